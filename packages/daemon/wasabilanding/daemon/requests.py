"""Runs the requests of callers: claim, route, attempt, retry."""

import collections
import collections.abc
import contextlib
import dataclasses
import hashlib
import logging
import uuid

import httpx
import trio

from wasabilanding import callers
from wasabilanding import configuration
from wasabilanding.daemon import context as context_module
from wasabilanding.daemon import telemetry
from wasabilanding import endpoints
from wasabilanding import limits
from wasabilanding import model
from wasabilanding import platform
from wasabilanding import retries
from wasabilanding import routing

NO_REPLICA_COMEBACK_S = 2.0
CLAIM_COMEBACK_S = 2.0
HOP_HEADERS = frozenset(
    ("connection", "content-length", "host", "transfer-encoding")
)

_LOG = logging.getLogger(__name__)

Batches = collections.abc.AsyncIterator[list[bytes]]


@dataclasses.dataclass
class _Progress:
    attempts: int = 0
    delivered: int = 0
    outcome: model.Outcome | None = None
    tried: frozenset[str] = frozenset()


def claim_key(request: callers.CallerRequest) -> str:
    """Return the key under which a non-idempotent request is claimed.

    :param request: the request.
    """
    text = f"{request.customer}\0{request.idempotency_key}"
    return f"claims/{hashlib.blake2b(text.encode()).hexdigest()[:32]}"


class RequestService:
    """Runs requests on this node.

    :param context: what the loops share.
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._admission = limits.Admission(context.settings.max_in_flight)
        self._by_replica: collections.Counter[str] = collections.Counter()
        self._draining = False
        self._idle = trio.Event()

    @property
    def in_flight(self) -> int:
        """Requests in flight."""
        return self._admission.in_flight

    @property
    def ready(self) -> bool:
        """Whether the balancer may send requests."""
        known = self._context.known.configuration.revision > 0
        return known and not self._draining

    def begin_drain(self) -> None:
        """Tell the balancer to send no further requests."""
        self._draining = True

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self.in_flight:
            self._idle = trio.Event()
            await self._idle.wait()

    async def run(self, request: callers.CallerRequest) -> Batches:
        """Run a request and yield payloads, a batch at a time.

        :param request: the request.
        :raises wasabilanding.callers.RequestFailed: when it does not
            complete.
        """
        context = self._context
        span = context.telemetry.start_span(
            "request",
            remote=request.trace,
            request=request.request_id,
            service=request.service,
        )
        progress = _Progress()
        with span_ended(span), self._admitted(request, progress):
            await self._claim(request, span)
            batches = self._attempts(request, span, progress)
            async with contextlib.aclosing(batches):
                async for batch in batches:
                    yield batch
            progress.outcome = model.completed()

    @contextlib.contextmanager
    def _admitted(
        self, request: callers.CallerRequest, progress: _Progress
    ) -> collections.abc.Iterator[None]:
        document = self._context.known.configuration
        customer = document.customers.get(
            request.customer, configuration.Customer()
        )
        refusal = self._admission.admit(request.customer, customer)
        if refusal:
            self._finish(request, refusal, progress)
            raise callers.RequestFailed(refusal)
        outcome = model.may_have_run(
            model.Reason.CANCELLED, "the caller went away"
        )
        try:
            yield
            outcome = progress.outcome
        except callers.RequestFailed as error:
            outcome = error.outcome
            raise
        finally:
            self._admission.release(request.customer)
            self._finish(request, outcome, progress)
            if not self.in_flight:
                self._idle.set()

    def _finish(
        self,
        request: callers.CallerRequest,
        outcome: model.Outcome,
        progress: _Progress,
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

    async def _claim(
        self, request: callers.CallerRequest, span: telemetry.Span
    ) -> None:
        if request.idempotent or not request.idempotency_key:
            return
        context = self._context
        token = uuid.uuid4().hex
        key = claim_key(request)
        claim_span = context.telemetry.start_span("claim", parent=span)
        with span_ended(claim_span):
            result = await context.platform.put(key, token, 0)
            if isinstance(result, platform.Unknown):
                result = await self._resolve_claim(key, token)
        if isinstance(result, platform.Written):
            return
        if isinstance(result, platform.Conflict):
            raise callers.RequestFailed(
                model.may_have_run(
                    model.Reason.DUPLICATE,
                    f"key {request.idempotency_key!r} was used before",
                )
            )
        raise callers.RequestFailed(
            model.not_run(
                model.Reason.CLAIM_UNAVAILABLE,
                f"no claim could be had: {result.detail}",
                CLAIM_COMEBACK_S,
            )
        )

    async def _resolve_claim(
        self, key: str, token: str
    ) -> platform.Written | platform.Conflict | platform.Unavailable:
        found = await self._context.platform.get(key)
        if isinstance(found, platform.Entry):
            if found.value == token:
                return platform.Written(found.revision)
            return platform.Conflict(found.revision)
        return platform.Unavailable("the claim's answer was lost")

    async def _attempts(
        self,
        request: callers.CallerRequest,
        span: telemetry.Span,
        progress: _Progress,
    ) -> Batches:
        deadline = self._context.now() + request.deadline_s
        while True:
            replica = self._choose(request, progress)
            progress.attempts += 1
            progress.tried |= {replica.replica_id}
            attempt = self._attempt(request, replica, span, deadline)
            try:
                async with contextlib.aclosing(attempt) as batches:
                    async for batch in batches:
                        progress.delivered += len(batch)
                        yield batch
                return
            except endpoints.AttemptFailed as error:
                self._after_failure(request, progress, error, deadline)

    def _after_failure(
        self,
        request: callers.CallerRequest,
        progress: _Progress,
        error: endpoints.AttemptFailed,
        deadline: float,
    ) -> None:
        outcome = error.outcome
        self._context.telemetry.count_attempt(request.service, outcome)
        made = retries.Attempts(
            progress.attempts,
            deadline,
            request.idempotent,
            progress.delivered,
        )
        step = retries.next_step(outcome, made, self._context.now())
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

    def _choose(
        self, request: callers.CallerRequest, progress: _Progress
    ) -> model.ReplicaRecord:
        known = self._context.known
        if known.configuration.profile_of(request.service) is None:
            raise callers.RequestFailed(
                model.not_run(
                    model.Reason.UNKNOWN_SERVICE,
                    f"service {request.service!r} does not exist",
                )
            )
        now = self._context.now()
        usable = routing.usable_replicas(
            known.replicas, request.service, known.reports, now
        )
        local = self._local(usable)
        choice = routing.choose_replica(
            local or usable,
            known.reports,
            self._by_replica,
            self._context.rng,
            progress.tried,
        )
        if choice is None:
            raise callers.RequestFailed(
                model.not_run(
                    model.Reason.NO_REPLICA,
                    f"no replica of service {request.service} is whole",
                    NO_REPLICA_COMEBACK_S,
                )
            )
        return choice

    def _local(
        self, replicas: tuple[model.ReplicaRecord, ...]
    ) -> tuple[model.ReplicaRecord, ...]:
        record = self._context.known.record(self._context.failure_domain)
        own = {replica.replica_id for replica in record.replicas}
        return tuple(r for r in replicas if r.replica_id in own)

    async def _attempt(
        self,
        request: callers.CallerRequest,
        replica: model.ReplicaRecord,
        parent: telemetry.Span,
        deadline: float,
    ) -> Batches:
        context = self._context
        vm = context.known.vm(replica.leader)
        if vm is None:
            raise endpoints.AttemptFailed(
                model.not_run(
                    model.Reason.REFUSED,
                    f"VM {replica.leader} is not listed",
                )
            )
        attempt_id = uuid.uuid4().hex
        span = context.telemetry.start_span(
            "attempt",
            parent=parent,
            attempt=attempt_id,
            replica=replica.replica_id,
        )
        sent = endpoints.AttemptRequest(
            address=vm.address,
            attempt_id=attempt_id,
            replica_id=replica.replica_id,
            epoch=replica.epoch,
            body=request.body,
            headers=context.telemetry.headers(span),
        )
        self._by_replica[replica.replica_id] += 1
        finished = False
        try:
            with span_ended(span):
                stream = endpoints.stream_attempt(context.endpoints.http, sent)
                async with contextlib.aclosing(stream) as batches:
                    async for batch in batches:
                        self._check_deadline(deadline)
                        yield [part.data for part in batch]
                finished = True
        finally:
            self._by_replica[replica.replica_id] -= 1
            if not finished:
                await self._cancel(sent)

    def _check_deadline(self, deadline: float) -> None:
        if self._context.now() >= deadline:
            raise endpoints.AttemptFailed(
                model.may_have_run(
                    model.Reason.DEADLINE, "the deadline has passed"
                )
            )

    async def _cancel(self, sent: endpoints.AttemptRequest) -> None:
        with trio.CancelScope(shield=True):
            await endpoints.cancel_attempt(self._context.endpoints.http, sent)

    async def forward(
        self, service: str, path: str, call: callers.PlainCall
    ) -> callers.PlainAnswer:
        """Forward a call to a plain service.

        :param service: name of the service.
        :param path: path below its base URL.
        :param call: the call.
        :raises wasabilanding.callers.RequestFailed: without an answer.
        """
        entry = self._context.known.configuration.profile_of(service)
        if entry is None or entry.profile.kind != "plain":
            raise callers.RequestFailed(
                model.not_run(
                    model.Reason.UNKNOWN_SERVICE,
                    f"plain service {service!r} does not exist",
                )
            )
        addresses = _plain_addresses(
            entry.profile, self._context.failure_domain
        )
        failure = model.not_run(
            model.Reason.NO_REPLICA,
            f"service {service} has no endpoint",
            NO_REPLICA_COMEBACK_S,
        )
        for address in addresses:
            try:
                return await self._forward(f"{address}/{path}", call)
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                failure = model.not_run(
                    model.Reason.CONNECT_FAILED, repr(error)
                )
            except httpx.HTTPError as error:
                failure = model.may_have_run(
                    model.Reason.CONNECTION_LOST, repr(error)
                )
                break
        raise callers.RequestFailed(failure)

    async def _forward(
        self, url: str, call: callers.PlainCall
    ) -> callers.PlainAnswer:
        response = await self._context.endpoints.http.request(
            call.method,
            url,
            params=call.query,
            headers=_end_to_end(call.headers),
            content=call.body,
            timeout=30.0,
        )
        return callers.PlainAnswer(
            response.status_code,
            _end_to_end(response.headers),
            response.content,
        )


def _end_to_end(
    headers: collections.abc.Mapping[str, str],
) -> dict[str, str]:
    dropped = HOP_HEADERS | {"content-encoding"}
    return {k: v for k, v in headers.items() if k.lower() not in dropped}


def _plain_addresses(
    profile: model.PlainProfile, failure_domain: str
) -> list[str]:
    own = profile.addresses.get(failure_domain, ())
    others = [
        address
        for domain, addresses in sorted(profile.addresses.items())
        if domain != failure_domain
        for address in addresses
    ]
    return [*own, *others]


@contextlib.contextmanager
def span_ended(span: telemetry.Span) -> collections.abc.Iterator[None]:
    """End a span when the block ends.

    :param span: the span.
    """
    try:
        yield
    finally:
        span.end()
