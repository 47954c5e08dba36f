"""One attempt of a request: send it, relay the reply.

Explanation
===========

The head of an answer is held until its first event, or its whole body where
it is short, so that a failure before then can still be mended. A stream that
goes silent is given up, so that it can go on elsewhere.
"""

import collections.abc
import dataclasses

import trio

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import inbound
from wasabilanding.gateway import messages
from wasabilanding.gateway import sse
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding.gateway import work as work_module
from wasabilanding import model
from wasabilanding import routes

# A body up to this size is read whole before its answer begins.
HELD_BYTES = 256 * 1024
# A stream that is silent for so long, on an endpoint that shows no other
# sign of work, goes on elsewhere.
SILENCE_S = 0.6
MAX_SILENCE_S = 1.6
BROKEN_AVOID_S = 6.0
MAX_URGENCY = 9


@dataclasses.dataclass(frozen=True)
class Tools:
    """What all attempts use.

    :param wire: how callers and endpoints speak.
    :param upstream: connections to endpoints.
    :param tracker: what this node has seen of the endpoints.
    :param may_repeat: tells whether a request that an endpoint has just run
        may run again at another one.
    """

    wire: messages.Wire
    upstream: upstream_module.Upstream
    tracker: dispatch.EndpointTracker
    may_repeat: collections.abc.Callable[[work_module.Work], bool]


class Attempt:
    """One attempt of a request at one endpoint.

    :param tools: what all attempts use.
    :param work: the request.
    :param endpoint: the endpoint.
    :param delivery: takes the answer.
    """

    def __init__(
        self,
        tools: Tools,
        work: work_module.Work,
        endpoint: fleet.Endpoint,
        delivery: inbound.Delivery,
    ) -> None:
        self._tools = tools
        self._tracker = tools.tracker
        self._work = work
        self._endpoint = endpoint
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
        headers = self._tools.wire.request_headers(work.request, errand)
        self._heard_at = now
        self._tracker.begin(self._endpoint.endpoint_id, now)
        try:
            if work.route.kind is routes.RequestKind.STREAMING:
                return await self._relay_watched(headers)
            return await self._relay_safely(headers)
        finally:
            self._tracker.end(self._endpoint.endpoint_id)

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
        record = self._tracker.record(self._endpoint.endpoint_id)
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
            record = self._tracker.record(endpoint_id)
            latest = max(self._heard_at, record.progress_at)
            at = min(latest + SILENCE_S, self._heard_at + MAX_SILENCE_S)
            if trio.current_time() >= at:
                scope.cancel()
                return
            await trio.sleep_until(at)

    def _note_heard(self) -> None:
        self._heard_at = trio.current_time()
        self._tracker.record_progress(
            self._endpoint.endpoint_id, self._heard_at
        )

    async def _relay(self, headers: list[messages.Header]) -> model.Outcome:
        work = self._work
        sent = self._tools.upstream.send(
            self._endpoint,
            work.head.method,
            work.head.target,
            headers,
            work.body,
        )
        async with sent as reply:
            self._note_heard()
            head = self._tools.wire.read_reply(
                work.request, reply.status, reply.headers
            )
            if head.kind is messages.ReplyKind.NOT_RUN:
                return self._refused(head)
            self._count_run()
            if head.kind is messages.ReplyKind.FOREIGN:
                return model.may_have_run(
                    model.Reason.CONNECTION_LOST,
                    f"status {head.status} belongs to another request",
                )
            if head.kind is messages.ReplyKind.FAILURE:
                return await self._failed(head, reply)
            if head.is_events:
                return await self._relay_events(head, reply)
            return await self._relay_body(head, reply)

    def _refused(self, head: messages.ReplyHead) -> model.Outcome:
        if head.at_fault or head.is_misdirected:
            self._tracker.avoid(
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
        body = await reply.read()
        begun = self._delivery.has_begun
        if begun or self._tools.may_repeat(self._work):
            return model.may_have_run(
                model.Reason.ENDPOINT_ERROR,
                f"{self._endpoint.endpoint_id} failed with {head.status}",
            )
        await self._deliver(head, body)
        return model.completed()

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
            fresh = self._fresh(cutter.feed(chunk))
            if not fresh:
                continue
            if not self._delivery.has_begun:
                await self._delivery.begin(head.status, list(head.headers))
            await self._delivery.write(b"".join(e.data for e in fresh))
            self._note_delivered(fresh)
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

    def _fresh(self, events: list[sse.Event]) -> list[sse.Event]:
        """Return the events that the caller does not have yet."""
        last = self._work.resumes_after
        if last is None:
            return events
        return [
            event
            for event in events
            if event.event_id is None or event.event_id > last
        ]

    def _note_delivered(self, events: list[sse.Event]) -> None:
        """Note what the caller has; nothing may be cancelled before this."""
        for event in events:
            if event.event_id is not None:
                self._work.last_event = event.event_id
