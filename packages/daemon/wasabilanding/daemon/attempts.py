"""Runs the attempts of a request until one completes or retries end."""

import collections.abc
import contextlib
import dataclasses
import logging

from wasabilanding import callers
from wasabilanding.daemon import context as context_module
from wasabilanding.daemon import poison_guard
from wasabilanding.daemon import selection
from wasabilanding.daemon import telemetry
from wasabilanding import endpoints
from wasabilanding import model
from wasabilanding import retries
from wasabilanding import routing

_LOG = logging.getLogger(__name__)

Batches = collections.abc.AsyncIterator[list[bytes]]


@dataclasses.dataclass
class Progress:
    """Progress of one request.

    :param deadline: local monotonic time of its deadline in seconds.
    :param attempts: number of attempts made.
    :param delivered: number of payloads passed to the caller.
    :param tried: keys of the replicas of its attempts.
    :param may_have_run: whether any attempt may have run.
    :param completed: whether an attempt has delivered the complete answer.
    """

    deadline: float
    attempts: int = 0
    delivered: int = 0
    tried: frozenset[str] = frozenset()
    may_have_run: bool = False
    completed: bool = False


class AttemptRunner:
    """Runs attempts on this node.

    :param context: state shared by the daemon's loops.
    :param router: selects replicas.
    :param guard: tracks attempts that may have crashed a replica.
    """

    def __init__(
        self,
        context: context_module.Context,
        router: selection.Router,
        guard: poison_guard.PoisonGuard,
    ) -> None:
        self._context = context
        self._router = router
        self._budget = retries.RetryBudget()
        self._guard = guard

    async def run(
        self,
        request: callers.CallerRequest,
        span: telemetry.Span,
        progress: Progress,
    ) -> Batches:
        """Run attempts and yield payloads in batches.

        :param request: the request.
        :param span: span of the request.
        :param progress: updated as the attempts proceed.
        :raises wasabilanding.callers.RequestFailed: when retries end.
        """
        self._budget.deposit(request.service, self._context.now())
        try:
            while True:
                async with self._guard.serialized(request):
                    batches = self._next_attempt(request, span, progress)
                    async with contextlib.aclosing(batches):
                        async for batch in batches:
                            yield batch
                if progress.completed:
                    return
        except callers.RequestFailed as error:
            # The last attempt's outcome does not cover earlier attempts that
            # may have run.
            outcome = retries.final_outcome(
                error.outcome, progress.may_have_run
            )
            raise callers.RequestFailed(outcome) from error

    async def _next_attempt(
        self,
        request: callers.CallerRequest,
        span: telemetry.Span,
        progress: Progress,
    ) -> Batches:
        replica = self._router.select(request, progress.tried)
        progress.attempts += 1
        progress.tried |= {routing.global_replica_key(replica)}
        attempt = self._guarded_attempt(request, replica, span, progress)
        try:
            async with contextlib.aclosing(attempt) as batches:
                async for batch in batches:
                    progress.delivered += len(batch)
                    yield batch
            progress.completed = True
        except endpoints.AttemptFailed as error:
            self._handle_failure(request, progress, error)

    async def _guarded_attempt(
        self,
        request: callers.CallerRequest,
        replica: model.ReplicaRecord,
        span: telemetry.Span,
        progress: Progress,
    ) -> Batches:
        attempt = self._attempt(request, replica, span, progress)
        try:
            async with (
                self._guard.isolated(request, replica),
                contextlib.aclosing(attempt) as batches,
            ):
                async for batch in batches:
                    yield batch
        except endpoints.AttemptFailed as error:
            self._guard.note_failure(request, replica, error.outcome)
            raise
        self._guard.note_completion(request)

    def _handle_failure(
        self,
        request: callers.CallerRequest,
        progress: Progress,
        error: endpoints.AttemptFailed,
    ) -> None:
        outcome = error.outcome
        self._context.telemetry.count_attempt(request.service, outcome)
        step = self._next_step(request, progress, outcome)
        _LOG.warning(
            "attempt %d of request %s: %s, %s",
            progress.attempts,
            request.request_id,
            outcome.reason.value,
            outcome.detail,
            extra={"request": request.request_id},
        )
        if isinstance(step, retries.GiveUp):
            raise callers.RequestFailed(step.outcome) from error

    def _next_step(
        self,
        request: callers.CallerRequest,
        progress: Progress,
        outcome: model.Outcome,
    ) -> retries.Retry | retries.GiveUp:
        made = retries.Attempts(
            progress.attempts,
            progress.deadline,
            request.idempotent,
            progress.delivered,
            progress.may_have_run,
        )
        step = retries.next_step(outcome, made, self._context.now())
        if outcome.verdict is model.Verdict.MAY_HAVE_RUN:
            progress.may_have_run = True
        if isinstance(step, retries.GiveUp):
            return step
        if self._budget.spend(request.service, self._context.now()):
            return step
        _LOG.warning(
            "retry budget of service %s is exhausted",
            request.service,
            extra={"request": request.request_id},
        )
        return retries.GiveUp(
            retries.final_outcome(outcome, progress.may_have_run)
        )

    def _build_request(
        self,
        request: callers.CallerRequest,
        replica: model.ReplicaRecord,
        attempt_id: str,
        span: telemetry.Span,
    ) -> endpoints.AttemptRequest:
        vm = self._context.known.vm(replica.leader)
        if vm is None:
            raise endpoints.AttemptFailed(
                model.not_run(
                    model.Reason.REFUSED,
                    f"VM {replica.leader} is not in the platform's VM list",
                )
            )
        return endpoints.AttemptRequest(
            address=vm.address,
            attempt_id=attempt_id,
            replica_id=replica.replica_id,
            epoch=replica.epoch,
            body=request.body,
            headers={
                **self._context.telemetry.headers(span),
                "X-Priority": str(request.priority),
            },
            idempotent=request.idempotent,
        )

    async def _attempt(
        self,
        request: callers.CallerRequest,
        replica: model.ReplicaRecord,
        parent: telemetry.Span,
        progress: Progress,
    ) -> Batches:
        context = self._context
        attempt_id = context.new_id()
        span = context.telemetry.start_span(
            "attempt",
            parent=parent,
            attempt=attempt_id,
            replica=replica.replica_id,
        )
        with (
            telemetry.ending_span(span),
            self._router.track_attempt(replica) as timing,
        ):
            attempt_request = self._build_request(
                request, replica, attempt_id, span
            )
            with self._open_attempt(attempt_request, progress) as attempt:
                while batch := await attempt.receive():
                    timing.note(len(batch), context.now())
                    yield batch

    @contextlib.contextmanager
    def _open_attempt(
        self,
        attempt_request: endpoints.AttemptRequest,
        progress: Progress,
    ) -> collections.abc.Iterator[endpoints.Attempt]:
        attempt = self._context.endpoints.start_attempt(
            attempt_request, progress.deadline
        )
        try:
            yield attempt
        finally:
            attempt.close()
