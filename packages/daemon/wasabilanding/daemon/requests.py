"""Runs callers' requests: admission, claim and attempts."""

import collections.abc
import contextlib
import dataclasses
import logging

from wasabilanding import callers
from wasabilanding.daemon import admission
from wasabilanding.daemon import attempts
from wasabilanding.daemon import claims
from wasabilanding.daemon import context as context_module
from wasabilanding.daemon import plain_claims
from wasabilanding.daemon import plain_forwarding
from wasabilanding.daemon import poison_guard
from wasabilanding.daemon import selection
from wasabilanding.daemon import telemetry
from wasabilanding import model

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass
class _OutcomeHolder:
    outcome: model.Outcome = model.may_have_run(
        model.Reason.CANCELLED, "the caller disconnected"
    )


class RequestService:
    """Runs requests on this node.

    :param context: state shared by the daemon's loops.
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self.guard = poison_guard.PoisonGuard(context)
        self._router = selection.Router(context, self.guard)
        self._gate = admission.AdmissionGate(context, self._router)
        self._attempts = attempts.AttemptRunner(
            context, self._router, self.guard
        )
        self._plain = plain_forwarding.PlainForwarder(context)
        self.claims = claims.ClaimManager(context)
        self._draining = False

    @property
    def gate(self) -> admission.AdmissionGate:
        """Gate at which requests wait for admission."""
        return self._gate

    @property
    def router(self) -> selection.Router:
        """Router that selects replicas."""
        return self._router

    @property
    def in_flight(self) -> int:
        """Number of requests and plain calls, waiting ones included."""
        return self._gate.in_flight + self._plain.in_flight

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests to this node."""
        known = self._context.known
        if not known.informed or known.configuration.revision == 0:
            return False
        return not self._draining

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services that are served by model replicas."""
        known = self._context.known.configuration
        return tuple(
            name
            for name in known.services
            if known.profile_of(name).profile.kind == "replica"
        )

    def begin_drain(self) -> None:
        """Report this node as not ready to the load balancer."""
        self._draining = True

    async def wait_idle(self) -> None:
        """Wait until nothing is in flight and claims are settled."""
        while self.in_flight:
            await self._gate.wait_idle()
            await self._plain.wait_idle()
        await self.claims.wait_until_settled()

    async def run(self, request: callers.CallerRequest) -> attempts.Batches:
        """Run a request and yield payloads in batches.

        :param request: the request.
        :raises wasabilanding.callers.RequestFailed: when it does not
            complete.
        """
        context = self._context
        progress = attempts.Progress(context.now() + request.deadline_s)
        span = context.telemetry.start_span(
            "request",
            remote=request.trace,
            request=request.request_id,
            service=request.service,
        )
        with (
            telemetry.ending_span(span),
            self._recording(request, progress) as holder,
        ):
            admitted = self._gate.admitted(request, progress.deadline)
            async with admitted as state:
                # The claim is taken after admission, so that no queued
                # request holds one.
                admitted_request = dataclasses.replace(
                    request, priority=state.engine_priority
                )
                batches = self._run_claimed(admitted_request, span, progress)
                async with contextlib.aclosing(batches):
                    async for batch in batches:
                        yield batch
                state.generated = progress.delivered
                # A replayed answer must not enter the service time estimate.
                state.completed = progress.attempts > 0
                holder.outcome = model.completed()

    async def _run_claimed(
        self,
        request: callers.CallerRequest,
        span: telemetry.Span,
        progress: attempts.Progress,
    ) -> attempts.Batches:
        subject = claims.subject_of(request)
        deadline = progress.deadline
        async with self.claims.claimed(
            subject, deadline, span
        ) as claimed_request:
            if claimed_request.stored_answer is not None:
                yield claimed_request.stored_answer
                return
            batches = self._attempts.run(request, span, progress)
            async with contextlib.aclosing(batches):
                async for batch in batches:
                    claimed_request.collect(batch)
                    yield batch

    @contextlib.contextmanager
    def _recording(
        self, request: callers.CallerRequest, progress: attempts.Progress
    ) -> collections.abc.Iterator[_OutcomeHolder]:
        holder = _OutcomeHolder()
        try:
            yield holder
        except callers.RequestFailed as error:
            holder.outcome = error.outcome
            raise
        finally:
            self._record(request, holder.outcome, progress)

    def _record(
        self,
        request: callers.CallerRequest,
        outcome: model.Outcome,
        progress: attempts.Progress,
    ) -> None:
        self._context.telemetry.count_request(request.service, outcome)
        _LOG.info(
            "request %s: %s, %s",
            request.request_id,
            outcome.verdict.value,
            outcome.reason.value,
            extra={
                "request": request.request_id,
                "service": request.service,
                "customer": request.customer,
                "attempts": progress.attempts,
                "detail": outcome.detail,
            },
        )

    async def forward(
        self, service: str, path: str, call: callers.PlainRequest
    ) -> callers.PlainResponse:
        """Forward a call to a plain service.

        :param service: name of the service.
        :param path: path below its base URL.
        :param call: the call.
        :raises wasabilanding.callers.RequestFailed: when no answer was
            received.
        """
        deadline = self._context.now() + plain_forwarding.deadline_s(call)
        subject = plain_claims.subject_of(service, path, call)
        async with self.claims.claimed(subject, deadline) as claimed_request:
            if claimed_request.stored_answer is not None:
                return plain_claims.decode_answer(
                    claimed_request.stored_answer
                )
            answer = await self._plain.forward(service, path, call)
            claimed_request.collect(plain_claims.encode_answer(answer))
            return answer
