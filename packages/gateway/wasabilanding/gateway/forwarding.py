"""The way of one request: admission, attempts, answer.

Explanation
===========

One way serves every request, streamed or not. An attempt sends the request
to one endpoint and relays what comes; when it fails, the request goes to
another endpoint if that cannot run it twice: after a refusal that says it
did not run, or for an idempotent request. A stream that broke goes on after
the last event that its caller has, within the same answer.

The head of an answer is held until its first event, or its whole body where
it is short, so that a failure before then can still be mended.
"""

import dataclasses
import logging
import random

import trio

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import answers
from wasabilanding.gateway import belief as belief_module
from wasabilanding.gateway import inbound
from wasabilanding.gateway import measures as measures_module
from wasabilanding.gateway import messages
from wasabilanding.gateway import settings as settings_module
from wasabilanding.gateway import sse
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import model
from wasabilanding import retries
from wasabilanding import routes

MS_PER_S = 1000
DEFAULT_DEADLINE_S = 30.0
# A body up to this size is read whole before its answer begins.
HELD_BYTES = 256 * 1024
COMEBACK_S = 0.5
UNINFORMED_COMEBACK_S = 1.0
# A stream that is silent for so long, on an endpoint that shows no other
# sign of work, goes on elsewhere.
SILENCE_S = 0.6
MAX_SILENCE_S = 1.6
REFUSED_AVOID_S = 0.15
FAILED_AVOID_S = 1.0
BROKEN_AVOID_S = 6.0
# Attempts that did not run are bounded too.
MAX_SENDS = 4
MAX_URGENCY = 9
# Margin before the revocation bound at which keyed requests are refused.
REVOCATION_MARGIN_S = 0.4
# A configuration that was proven in force so long ago may lack what is new.
RECENT_S = 3.0

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass
class Work:
    """A request under way.

    :param head: its head as received.
    :param body: its body.
    :param request: what its head says.
    :param route: its route.
    :param service: service that takes it.
    :param customer: customer that its caller belongs to.
    :param urgency: rank in an endpoint's queue.
    :param due_at: local monotonic time in seconds at which the answer must
        have come.
    """

    head: messages.Head
    body: bytes
    request: messages.CallerRequest
    route: routes.Route
    service: routes.RoutedService
    customer: str
    urgency: int
    due_at: float
    runs: int = 0
    sends: int = 0
    may_have_run: bool = False
    last_event: int | None = None
    excluded: set[str] = dataclasses.field(default_factory=set)
    tried: list[str] = dataclasses.field(default_factory=list)

    @property
    def resumes_after(self) -> int | None:
        """Event after which the next attempt goes on."""
        if self.last_event is not None:
            return self.last_event
        return self.request.resumes_after


class _Refused(Exception):
    """The node answers a request itself.

    :param answer: the answer.
    """

    def __init__(self, answer: answers.Answer) -> None:
        super().__init__(answer.detail)
        self.answer = answer


class Forwarder:
    """Answers the requests of callers.

    :param settings: settings of the node.
    :param belief: what the node believes.
    :param upstream: connections to endpoints.
    :param wire: how callers and endpoints speak.
    :param measures: counts requests and attempts.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        belief: belief_module.Belief,
        upstream: upstream_module.Upstream,
        wire: messages.Wire,
        measures: measures_module.Measures,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._measures = measures
        self._belief = belief
        self._upstream = upstream
        self._wire = wire
        self._rng = rng
        self._budget = retries.RetryBudget(
            retries.budget_of_node(settings.retry_ratio, settings.retry_slack)
        )
        self._candidates: dict[str, dict[str, list[dispatch.Candidate]]] = {}
        self._candidates_of: tuple[object, int] = (None, -1)
        self.board = dispatch.Board()
        self.in_flight = 0
        self._idle = trio.Event()

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self.in_flight:
            self._idle = trio.Event()
            await self._idle.wait()

    async def handle(
        self,
        head: messages.Head,
        body: bytes,
        delivery: inbound.Delivery,
    ) -> None:
        """Answer a request.

        :param head: its head.
        :param body: its whole body.
        :param delivery: takes the answer.
        """
        self.in_flight += 1
        try:
            await self._answer(head, body, delivery)
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self._idle.set()

    async def _answer(
        self,
        head: messages.Head,
        body: bytes,
        delivery: inbound.Delivery,
    ) -> None:
        arrived_at = trio.current_time()
        try:
            request = self._wire.read_request(head)
        except messages.InvalidHead as error:
            answer = answers.Answer(400, "invalid_request", str(error))
            await delivery.answer(answer, [])
            return
        echoed = self._wire.answer_headers(request)
        work = None
        reason = ""
        try:
            work = self._admit(head, body, request, arrived_at)
            with trio.move_on_at(work.due_at) as scope:
                await self._attempts(work, delivery)
            if scope.cancelled_caught:
                raise _Refused(answers.timed_out("the time is over"))
            reason = "answered"
        except _Refused as refused:
            reason = f"{refused.answer.reason}: {refused.answer.detail}"
            if not delivery.has_begun:
                await delivery.answer(refused.answer, echoed)
        finally:
            self._record(request, work, delivery, arrived_at, reason)

    def _record(
        self,
        request: messages.CallerRequest,
        work: Work | None,
        delivery: inbound.Delivery,
        arrived_at: float,
        reason: str,
    ) -> None:
        """Count and log the end of a request, with what decided it."""
        now = trio.current_time()
        first_s = None
        if delivery.begun_at is not None:
            first_s = round(delivery.begun_at - arrived_at, 4)
        service = work.service.name if work else ""
        whole_s = round(now - arrived_at, 4)
        self._measures.count_request(
            service, delivery.status, first_s, whole_s
        )
        table = self._belief.table
        _LOG.info(
            "request ends with %d",
            delivery.status,
            extra={
                "request": request.request_id,
                "reason": reason or "the caller left",
                "whole": delivery.is_complete,
                "route": work.route.name if work else "",
                "customer": work.customer if work else "",
                "model": request.model,
                "endpoints": work.tried if work else [],
                "runs": work.runs if work else 0,
                "first_s": first_s,
                "whole_s": whole_s,
                "version": table.version if table else 0,
                "belief_age_s": round(self._belief.proof_age_s, 2),
            },
        )

    def _admit(
        self,
        head: messages.Head,
        body: bytes,
        request: messages.CallerRequest,
        arrived_at: float,
    ) -> Work:
        table = self._belief.table
        if table is None:
            raise _Refused(
                answers.not_run(
                    "no_configuration",
                    "no configuration is known yet",
                    UNINFORMED_COMEBACK_S,
                )
            )
        route = table.find(request.host, head.path)
        if route is None:
            detail = f"no route for {request.host}{head.path}"
            raise self._unknown(404, "unknown_route", detail)
        holder = self._holder(table, route, request)
        service = table.service(
            routes.choose_target(route, self._rng.random())
        )
        if service is None:
            raise _Refused(
                answers.not_run(
                    "unknown_service",
                    f"route {route.name} leads to no service",
                    COMEBACK_S,
                )
            )
        wait_s = min(request.deadline_s or DEFAULT_DEADLINE_S, route.timeout_s)
        urgency = route.priority
        if holder is not None and holder.priority is not None:
            urgency = holder.priority
        self._budget.deposit(service.name)
        return Work(
            head=head,
            body=body,
            request=request,
            route=route,
            service=service,
            customer=holder.customer if holder else "",
            urgency=urgency,
            due_at=arrived_at + wait_s,
        )

    def _holder(
        self,
        table: routes.RoutingTable,
        route: routes.Route,
        request: messages.CallerRequest,
    ) -> routes.KeyHolder | None:
        if table.key_holders is None or route.public:
            return None
        bound_s = self._settings.key_revocation_ms / MS_PER_S
        age_s = self._belief.proof_age_s
        if bound_s and age_s > bound_s - REVOCATION_MARGIN_S:
            raise _Refused(
                answers.not_run(
                    "keys_not_proven",
                    f"keys were last proven valid {age_s:.1f} s ago",
                    UNINFORMED_COMEBACK_S,
                )
            )
        holder = table.holder(request.key) if request.key else None
        if holder is None:
            raise self._unknown(401, "unknown_key", "the key is not known")
        return holder

    def _unknown(self, status: int, reason: str, detail: str) -> _Refused:
        """Refuse what the configuration does not know, if it is recent."""
        age_s = self._belief.proof_age_s
        if age_s <= RECENT_S:
            return _Refused(answers.Answer(status, reason, detail))
        detail = f"{detail}; the configuration is {age_s:.1f} s old"
        return _Refused(
            answers.not_run("not_proven", detail, UNINFORMED_COMEBACK_S)
        )

    def _candidates_for(self, work: Work) -> list[dispatch.Candidate]:
        table = self._belief.table
        version = (table, self._belief.registry.version)
        if version != self._candidates_of:
            self._candidates = {}
            self._candidates_of = version
        name = work.service.name
        if name not in self._candidates:
            self._candidates[name] = dispatch.candidates_of(
                self._belief.registry.endpoints, work.service
            )
        wanted = work.request.model if work.service.engine else ""
        return self._candidates[name].get(wanted, [])

    def _pick(self, work: Work) -> dispatch.Candidate | None:
        found = [
            candidate
            for candidate in self._candidates_for(work)
            if candidate.endpoint.endpoint_id not in work.excluded
        ]
        return dispatch.choose(
            found,
            self.board,
            self._settings.failure_domain,
            trio.current_time(),
            self._rng,
        )

    async def _attempts(self, work: Work, delivery: inbound.Delivery) -> None:
        outcome = model.not_run(
            model.Reason.NO_REPLICA, f"no replica serves {work.request.model}"
        )
        while True:
            candidate = self._pick(work)
            if candidate is None:
                raise _Refused(_final(work, outcome))
            if work.sends and not self._may_send_again(work, outcome):
                raise _Refused(_final(work, outcome))
            attempt = _Attempt(self, work, candidate, delivery)
            work.tried.append(candidate.endpoint.endpoint_id)
            outcome = await attempt.run()
            self._measures.count_attempt(work.service.name, outcome)
            if outcome.verdict is model.Verdict.COMPLETED:
                return
            self._note_failure(work, candidate, outcome)
            if outcome.verdict is model.Verdict.MAY_HAVE_RUN:
                work.may_have_run = True
                if not work.route.is_idempotent:
                    raise _Refused(_final(work, outcome))

    def may_repeat(self, work: Work, failed: fleet.Endpoint) -> bool:
        """Tell whether a request may run again at another endpoint.

        :param work: the request.
        :param failed: endpoint that has just run it.
        """
        if not work.route.is_idempotent:
            return False
        if work.runs >= work.route.max_attempts or work.sends >= MAX_SENDS:
            return False
        tried = {*work.excluded, failed.endpoint_id}
        return any(
            candidate.endpoint.endpoint_id not in tried
            for candidate in self._candidates_for(work)
        )

    def _may_send_again(self, work: Work, outcome: model.Outcome) -> bool:
        if work.sends >= MAX_SENDS or work.runs >= work.route.max_attempts:
            return False
        if outcome.reason is model.Reason.CONNECT_FAILED:
            # Nothing arrived at the endpoint.
            return True
        return self._budget.spend(work.service.name)

    def _note_failure(
        self,
        work: Work,
        candidate: dispatch.Candidate,
        outcome: model.Outcome,
    ) -> None:
        name = candidate.endpoint.endpoint_id
        work.excluded.add(name)
        avoid_s = FAILED_AVOID_S
        if outcome.reason is model.Reason.REFUSED:
            avoid_s = REFUSED_AVOID_S
        elif outcome.reason is model.Reason.STALLED:
            avoid_s = BROKEN_AVOID_S
        elif outcome.reason is model.Reason.ENDPOINT_ERROR:
            avoid_s = 0.0
        self.board.avoid(name, trio.current_time(), avoid_s)
        _LOG.info(
            "attempt failed: %s",
            outcome.detail,
            extra={
                "request": work.request.request_id,
                "endpoint": name,
                "reason": outcome.reason.value,
                "verdict": outcome.verdict.value,
                "events": work.last_event,
            },
        )

    @property
    def wire(self) -> messages.Wire:
        """How callers and endpoints speak."""
        return self._wire

    @property
    def upstream(self) -> upstream_module.Upstream:
        """Connections to endpoints."""
        return self._upstream


def _final(work: Work, outcome: model.Outcome) -> answers.Answer:
    """Return the answer that covers all attempts of a request."""
    if work.may_have_run:
        return answers.may_have_run(outcome.reason.value, outcome.detail)
    return answers.not_run(outcome.reason.value, outcome.detail, COMEBACK_S)


class _Attempt:
    """One attempt of a request at one endpoint."""

    def __init__(
        self,
        forwarder: Forwarder,
        work: Work,
        candidate: dispatch.Candidate,
        delivery: inbound.Delivery,
    ) -> None:
        self._forwarder = forwarder
        self._board = forwarder.board
        self._work = work
        self._endpoint = candidate.endpoint
        self._delivery = delivery
        self._heard_at = 0.0
        self._is_counted = False

    async def run(self) -> model.Outcome:
        """Send the request and relay the reply."""
        work = self._work
        now = trio.current_time()
        errand = messages.Errand(
            endpoint=self._endpoint,
            left_s=work.due_at - now,
            customer=work.customer,
            resumes_after=work.resumes_after,
            urgency=min(work.urgency, MAX_URGENCY),
        )
        headers = self._forwarder.wire.request_headers(work.request, errand)
        work.sends += 1
        self._heard_at = now
        self._board.begin(self._endpoint.endpoint_id, now)
        try:
            if work.route.kind is routes.RequestKind.STREAMING:
                return await self._relay_watched(headers)
            return await self._relay_safely(headers)
        finally:
            self._board.end(self._endpoint.endpoint_id)

    async def _relay_watched(
        self, headers: list[messages.Header]
    ) -> model.Outcome:
        """Relay, unless the endpoint goes silent."""
        outcome = model.may_have_run(
            model.Reason.STALLED,
            f"{self._endpoint.endpoint_id} went silent",
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_silence, nursery.cancel_scope)
            outcome = await self._relay_safely(headers)
            nursery.cancel_scope.cancel()
        if (
            outcome.reason is model.Reason.STALLED
            and not self._is_all_silent()
        ):
            # The endpoint works: it may have run the request, and its answer
            # was lost.
            self._count_run()
        return outcome

    def _count_run(self) -> None:
        """Count that this attempt's endpoint has run the request, once."""
        if not self._is_counted:
            self._is_counted = True
            self._work.runs += 1

    def _is_all_silent(self) -> bool:
        record = self._board.record(self._endpoint.endpoint_id)
        return record.progress_at <= self._heard_at

    async def _relay_safely(
        self, headers: list[messages.Header]
    ) -> model.Outcome:
        try:
            return await self._relay(headers)
        except upstream_module.AttemptFailed as error:
            if error.outcome.verdict is not model.Verdict.NOT_RUN:
                self._count_run()
            return error.outcome

    async def _watch_silence(self, scope: trio.CancelScope) -> None:
        endpoint_id = self._endpoint.endpoint_id
        while True:
            record = self._board.record(endpoint_id)
            latest = max(self._heard_at, record.progress_at)
            at = min(latest + SILENCE_S, self._heard_at + MAX_SILENCE_S)
            if trio.current_time() >= at:
                scope.cancel()
                return
            await trio.sleep_until(at)

    def _note_heard(self) -> None:
        self._heard_at = trio.current_time()
        self._board.note_progress(self._endpoint.endpoint_id, self._heard_at)

    async def _relay(self, headers: list[messages.Header]) -> model.Outcome:
        work = self._work
        sent = self._forwarder.upstream.send(
            self._endpoint,
            work.head.method,
            work.head.target,
            headers,
            work.body,
        )
        async with sent as reply:
            self._note_heard()
            head = self._forwarder.wire.read_reply(
                work.request, reply.status, reply.headers
            )
            if head.kind is messages.ReplyKind.NOT_RUN:
                return self._refused(head)
            if head.kind is messages.ReplyKind.FOREIGN:
                self._count_run()
                return model.may_have_run(
                    model.Reason.CONNECTION_LOST,
                    f"status {head.status} belongs to another request",
                )
            self._count_run()
            if head.kind is messages.ReplyKind.FAILURE:
                return await self._failed(head, reply)
            if head.is_events:
                return await self._relay_events(head, reply)
            return await self._relay_body(head, reply)

    def _refused(self, head: messages.ReplyHead) -> model.Outcome:
        if head.at_fault or head.is_misdirected:
            self._board.avoid(
                self._endpoint.endpoint_id,
                trio.current_time(),
                BROKEN_AVOID_S,
            )
        return model.not_run(
            model.Reason.REFUSED,
            f"{self._endpoint.endpoint_id} refused with {head.status}",
        )

    async def _failed(
        self, head: messages.ReplyHead, reply: upstream_module.Reply
    ) -> model.Outcome:
        """Pass an endpoint's failure on, or try elsewhere."""
        work = self._work
        body = await self._read_body(reply)
        begun = self._delivery.has_begun
        if begun or self._forwarder.may_repeat(work, self._endpoint):
            return model.may_have_run(
                model.Reason.ENDPOINT_ERROR,
                f"{self._endpoint.endpoint_id} failed with {head.status}",
            )
        await self._deliver(head, body)
        return model.completed()

    async def _read_body(self, reply: upstream_module.Reply) -> bytes:
        return b"".join([chunk async for chunk in reply.chunks()])

    async def _deliver(self, head: messages.ReplyHead, body: bytes) -> None:
        length = (b"content-length", str(len(body)).encode())
        await self._delivery.begin(head.status, [*head.headers, length])
        await self._delivery.end(body)

    async def _relay_body(
        self, head: messages.ReplyHead, reply: upstream_module.Reply
    ) -> model.Outcome:
        held: list[bytes] = []
        size = 0
        async for chunk in reply.chunks():
            if self._delivery.has_begun:
                await self._delivery.write(chunk)
                continue
            held.append(chunk)
            size += len(chunk)
            if size > HELD_BYTES:
                await self._delivery.begin(head.status, list(head.headers))
                await self._delivery.write(b"".join(held))
        if self._delivery.has_begun:
            await self._delivery.end()
        else:
            await self._deliver(head, b"".join(held))
        return model.completed()

    async def _relay_events(
        self, head: messages.ReplyHead, reply: upstream_module.Reply
    ) -> model.Outcome:
        cutter = sse.EventCutter()
        async for chunk in reply.chunks():
            self._note_heard()
            data = self._fresh(cutter.feed(chunk))
            if not data:
                continue
            if not self._delivery.has_begun:
                await self._delivery.begin(head.status, list(head.headers))
            await self._delivery.write(data)
        if cutter.rest:
            raise upstream_module.AttemptFailed(
                model.may_have_run(
                    model.Reason.CONNECTION_LOST,
                    "the stream ended inside an event",
                )
            )
        if not self._delivery.has_begun:
            await self._delivery.begin(head.status, list(head.headers))
        await self._delivery.end()
        return model.completed()

    def _fresh(self, events: list[sse.Event]) -> bytes:
        """Return the bytes of events that the caller does not have yet."""
        work = self._work
        fresh = []
        for event in events:
            if event.event_id is not None:
                last = work.resumes_after
                if last is not None and event.event_id <= last:
                    continue
                work.last_event = event.event_id
            fresh.append(event.data)
        return b"".join(fresh)
