"""One attempt of a request: send it to an endpoint and relay the reply.

Explanation
===========

The head of an answer is held back until the first event or, for a short
body, until the body is complete. After an earlier failure the request can
still be retried. An attempt ends when the endpoint has replied, breaks off,
or when another attempt has taken over; the endpoint's silence alone does not
end it (see :mod:`wasabilanding.gateway.attempt_set`).
"""

import collections.abc
import contextlib
import dataclasses
import functools

import trio

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import memory_account
from wasabilanding.gateway import messages
from wasabilanding.gateway import reachability as reachability_module
from wasabilanding.gateway import relays
from wasabilanding.gateway import reply_bounds
from wasabilanding.gateway import request_state as request_state_module
from wasabilanding.gateway import shared_answer
from wasabilanding.gateway import sse
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import listening
from wasabilanding import model
from wasabilanding import routes

# A body up to this size is read completely before the answer begins.
MAX_BUFFERED_BYTES = 256 * 1024
FAULTY_AVOID_S = 6.0
MAX_PRIORITY = 9
NEVER = float("inf")


@dataclasses.dataclass(frozen=True)
class AttemptContext:
    """Objects that all attempts share.

    :param wire: wire format of callers and endpoints.
    :param upstream: connections to endpoints.
    :param tracker: this node's observations of the endpoints.
    :param may_repeat: returns whether a request that an endpoint has just run
        may run again at another one.
    :param may_have_ended: returns whether an endpoint that has closed a
        connection may have ended.
    :param record_progress: receives endpoints that make progress, with the
        local monotonic time in seconds at which the request was sent.
    :param reachability: whether this node reaches any endpoint.
    :param relay_headers: returns what other nodes are told of a request.
    :param account: the node's memory.
    :param check_send: checks that a request may still be sent to an endpoint
        or a node, right before it is.
    """

    wire: messages.WireFormat
    upstream: upstream_module.Upstream
    tracker: dispatch.EndpointTracker
    may_repeat: collections.abc.Callable[
        [request_state_module.RequestState], bool
    ]
    may_have_ended: collections.abc.Callable[
        [fleet.Endpoint], collections.abc.Awaitable[bool]
    ]
    record_progress: collections.abc.Callable[[fleet.Incarnation, float], None]
    reachability: reachability_module.Reachability
    relay_headers: collections.abc.Callable[
        [request_state_module.RequestState], list[messages.Header]
    ]
    account: memory_account.MemoryAccount
    check_send: collections.abc.Callable[
        [request_state_module.RequestState, fleet.Endpoint], None
    ]


class Attempt:
    """One attempt of a request at one endpoint.

    :param context: objects that all attempts share.
    :param state: the request.
    :param endpoint: the endpoint.
    :param answer: the answer to the request.
    :param purpose: what the endpoint is for: a caller's request, with or
        without a grant, or a relay to another node.
    """

    def __init__(
        self,
        context: AttemptContext,
        state: request_state_module.RequestState,
        endpoint: fleet.Endpoint,
        answer: shared_answer.SharedAnswer,
        purpose: upstream_module.Purpose = upstream_module.Purpose.CALLER,
    ) -> None:
        self._context = context
        self._purpose = purpose
        self._tracker = context.tracker
        self._bounds = context.upstream.bounds
        self._state = state
        self._endpoint = endpoint
        self.incarnation = fleet.incarnation_of(endpoint)
        self._answer = answer
        self._scope = trio.CancelScope()
        self._is_run_counted = False
        self._is_sent = False
        # Whether the endpoint was found not to accept connections while it was
        # silent; None before it was examined.
        self.is_unreachable: bool | None = None
        self._is_in_flight_counted = False
        # Local monotonic times in seconds at which the attempt began, and at
        # which its connection was ready for the request.
        self.sent_at = NEVER
        self._connected_at = NEVER
        self.silence = dispatch.SilenceMonitor(trio.current_time())

    @property
    def endpoint(self) -> fleet.Endpoint:
        """The endpoint."""
        return self._endpoint

    @property
    def endpoint_id(self) -> str:
        """Identity of the endpoint."""
        return self._endpoint.endpoint_id

    @property
    def is_relayed(self) -> bool:
        """Whether the request is sent to another node."""
        return self._purpose is upstream_module.Purpose.RELAY

    @property
    def is_run_counted(self) -> bool:
        """Whether the attempt counts as a run of the request."""
        return self._is_run_counted

    @property
    def silent_at(self) -> float:
        """Local time in seconds from which on the endpoint is silent."""
        if self._state.route.kind is not routes.RequestKind.STREAMING:
            return NEVER
        record = self._tracker.record(self.incarnation)
        return self.silence.silent_at(record.progress_at)

    @property
    def endpoint_makes_progress(self) -> bool:
        """Whether the endpoint has progressed on others since the last sign.

        The request may wait in its queue, or have run and its reply be lost.
        """
        record = self._tracker.record(self.incarnation)
        return record.progress_at > self.silence.active_at

    def cancel(self) -> None:
        """End the attempt because another one replaces it.

        Its endpoint may have run the request, unless it cannot be reached.
        """
        if self._is_sent and not self.is_unreachable:
            self._count_run()
        self._scope.cancel()

    def _record_sent(self) -> None:
        self._is_sent = True

    def count_in_flight(self, now: float) -> None:
        """Count the request as in flight to the endpoint, once.

        It is counted before it is sent where other requests that are sent at
        the same moment must know of it. :meth:`run` must follow.

        :param now: local monotonic time in seconds.
        """
        if not self._is_in_flight_counted:
            self._is_in_flight_counted = True
            self._tracker.begin(self.incarnation, now, self._state.tokens)

    async def run(self) -> model.Outcome | None:
        """Send the request and relay the reply.

        :returns: the outcome; None if another attempt has replaced this one.
        """
        now = trio.current_time()
        self.sent_at = now
        headers = self._headers(now)
        self.silence.record_activity(now)
        self.count_in_flight(now)
        try:
            with self._scope, self._waiting():
                return await self._relay_catching_failure(headers)
        finally:
            self._tracker.end(self.incarnation, self._state.tokens)
        return None

    def _headers(self, now: float) -> list[messages.Header]:
        """Return the headers of the request, for an endpoint or a node."""
        state = self._state
        wire = self._context.wire
        remaining_s = state.deadline_at - now
        if self.is_relayed:
            headers = wire.relay_headers(
                state.head, remaining_s, state.resumes_after
            )
            return [*headers, *self._context.relay_headers(state)]
        parameters = messages.AttemptParameters(
            endpoint=self._endpoint,
            remaining_s=remaining_s,
            customer=state.customer,
            resumes_after=state.resumes_after,
            priority=min(state.priority, MAX_PRIORITY),
        )
        return wire.request_headers(state.request, parameters)

    def _waiting(self) -> contextlib.AbstractContextManager[None]:
        if self.is_relayed:
            return contextlib.nullcontext()
        return self._context.reachability.waiting()

    def _count_run(self) -> None:
        """Count a run of the request, at most once per attempt."""
        if not self._is_run_counted:
            self._is_run_counted = True
            self._state.runs += 1

    async def _relay_catching_failure(
        self, headers: list[messages.Header]
    ) -> model.Outcome:
        try:
            kind = memory_account.Kind.ANSWER
            with self._context.account.reserve(kind) as held:
                return await self._relay(headers, held)
        except upstream_module.AttemptFailed as error:
            if error.outcome.verdict is not model.Verdict.NOT_RUN:
                self._count_run()
            return error.outcome

    def _record_progress(self) -> None:
        now = trio.current_time()
        self.silence.record_activity(now)
        self._tracker.record_progress(self.incarnation, now)
        if not self.is_relayed:
            self._context.record_progress(self.incarnation, self._connected_at)
            self._context.reachability.monitor.record_success(now)

    @contextlib.contextmanager
    def _waiting_for_caller(self) -> collections.abc.Iterator[None]:
        """Do not count the time of a write as silence of the endpoint."""
        self.silence.suspend()
        self._tracker.suspend(self.incarnation)
        try:
            yield
        finally:
            now = trio.current_time()
            self._tracker.resume(self.incarnation, now)
            self.silence.resume(now)

    async def _relay(
        self,
        headers: list[messages.Header],
        held: listening.Reservation,
    ) -> model.Outcome:
        state = self._state
        sent = self._context.upstream.send(
            self._endpoint,
            state.head.method,
            state.head.target,
            headers,
            state.body,
            purpose=self._purpose,
            check=functools.partial(
                self._context.check_send, state, self._endpoint
            ),
            on_send=self._record_sent,
            request_id=state.request.request_id,
        )
        async with sent as reply:
            self._connected_at = reply.sent_at
            self._record_progress()
            if self.is_relayed:
                refusal = self._read_relay_reply(reply)
                if refusal is not None:
                    return refusal
            head = self._context.wire.read_reply(
                state.request,
                reply.status,
                relays.without_own(reply.headers),
                reply.is_first,
            )
            if head.kind is messages.ReplyKind.NOT_RUN:
                return self._refusal_outcome(head)
            self._count_run()
            if head.kind is messages.ReplyKind.MISMATCHED:
                return model.may_have_run(
                    model.Reason.CONNECTION_LOST,
                    f"status {head.status} belongs to another request",
                )
            if head.kind is messages.ReplyKind.FAILURE:
                return await self._handle_failure(head, reply)
            if head.is_events:
                return await self._relay_events(head, reply, held)
            return await self._relay_body(head, reply, held)

    def _read_relay_reply(
        self, reply: upstream_module.Reply
    ) -> model.Outcome | None:
        """Read what another node says; None if an endpoint has replied."""
        told = relays.read_reply(reply.headers)
        if told.runs:
            # They include those of the other node.
            self._state.runs = max(self._state.runs, told.runs)
            self._is_run_counted = True
        if not told.verdict:
            return None
        notice = self._context.wire.read_notice(reply.status, reply.headers)
        self._state.is_rejected_elsewhere = told.verdict == relays.NOT_RUN
        return relays.outcome_of(
            told, self.endpoint_id, reply.status, notice.retry_after_s
        )

    def _refusal_outcome(self, head: messages.ReplyHead) -> model.Outcome:
        if head.faulty_endpoint_id or head.is_misdirected:
            self._tracker.avoid(
                self.incarnation,
                trio.current_time(),
                FAULTY_AVOID_S,
            )
        return model.not_run(
            model.Reason.REFUSED,
            f"{self.endpoint_id} refused with {head.status}",
        )

    async def _handle_failure(
        self, head: messages.ReplyHead, reply: upstream_module.Reply
    ) -> model.Outcome:
        """Relay a failure reply, unless the request may be retried."""
        body = await reply.read(
            f"failure {head.status} of {self.endpoint_id}",
            self._bounds.failure_bytes,
        )
        await self._check_end(reply)
        if self._may_be_replaced():
            return model.may_have_run(
                model.Reason.ENDPOINT_ERROR,
                f"{self.endpoint_id} failed with {head.status}",
            )
        await self._send_complete(head, body)
        return model.completed()

    def _may_be_replaced(self) -> bool:
        """Return whether another reply than this one may be relayed."""
        return (
            self._answer.has_begun
            or self._answer.has_alternative
            or self._context.may_repeat(self._state)
        )

    async def _relay_body(
        self,
        head: messages.ReplyHead,
        reply: upstream_module.Reply,
        held: listening.Reservation,
    ) -> model.Outcome:
        if self._answer.has_begun:
            return model.may_have_run(
                model.Reason.CONNECTION_LOST,
                f"{self.endpoint_id} did not resume the stream",
            )
        buffered: list[bytes] = []
        size = 0
        chunks = reply.bounded_chunks(
            f"answer of {self.endpoint_id}", self._bounds.answer_bytes
        )
        async for chunk in chunks:
            self._record_progress()
            buffered.append(chunk)
            held.grow(len(chunk))
            size += len(chunk)
            if size > MAX_BUFFERED_BYTES:
                await self._write(head, b"".join(buffered))
                buffered.clear()
                held.resize(0)
        await self._check_end(reply)
        if self._answer.has_begun:
            if buffered:
                await self._write(head, b"".join(buffered))
            await self._end_stream(head)
        else:
            await self._send_complete(head, b"".join(buffered))
        return self._answered()

    async def _check_end(self, reply: upstream_module.Reply) -> None:
        """Check that a body is whole whose end only its connection marks.

        It looks the same if the endpoint ends meanwhile. Nodes send all
        answers with a length or in chunks.
        """
        if not reply.ends_with_connection:
            return
        if self.is_relayed:
            raise upstream_module.AttemptFailed(
                model.may_have_run(
                    model.Reason.CONNECTION_LOST,
                    "the answer of another node has no length",
                )
            )
        if await self._context.may_have_ended(self._endpoint):
            raise upstream_module.AttemptFailed(
                model.may_have_run(
                    model.Reason.CONNECTION_LOST,
                    "the answer ended together with its endpoint",
                )
            )

    def _answered(self) -> model.Outcome:
        """Return the outcome of an attempt with a whole answer."""
        self._state.answered_sent_at = self.sent_at
        return model.completed()

    async def _send_complete(
        self, head: messages.ReplyHead, body: bytes
    ) -> None:
        with self._waiting_for_caller():
            await self._answer.send_complete(self, head, body)

    async def _end_stream(self, head: messages.ReplyHead) -> None:
        with self._waiting_for_caller():
            await self._answer.end_stream(self, head)

    async def _write(self, head: messages.ReplyHead, data: bytes) -> None:
        with self._waiting_for_caller():
            await self._answer.write(self, head, data)

    async def _deliver(
        self, head: messages.ReplyHead, events: list[sse.Event]
    ) -> None:
        try:
            with self._waiting_for_caller():
                await self._answer.deliver(self, head, events)
        except shared_answer.NotResumed as error:
            raise upstream_module.AttemptFailed(
                model.may_have_run(
                    model.Reason.ENDPOINT_ERROR,
                    f"{self.endpoint_id} did not resume the stream: {error}",
                )
            ) from None

    async def _relay_events(
        self,
        head: messages.ReplyHead,
        reply: upstream_module.Reply,
        held: listening.Reservation,
    ) -> model.Outcome:
        splitter = sse.EventSplitter(self._bounds.event_bytes)
        async for chunk in reply.chunks():
            self._record_progress()
            held.grow(len(chunk))
            for piece in sse.pieces(chunk):
                try:
                    events = splitter.feed(piece)
                except reply_bounds.BoundExceeded as error:
                    raise upstream_module.bound_failure(error) from None
                if events:
                    await self._deliver(head, events)
                    held.resize(splitter.remaining_bytes)
                if len(events) > 1:
                    # The first one counts as the part that was read.
                    await reply.pace(len(events) - 1)
        if splitter.remainder:
            raise upstream_module.AttemptFailed(
                model.may_have_run(
                    model.Reason.CONNECTION_LOST,
                    "stream ended in the middle of an event",
                )
            )
        await self._check_end(reply)
        await self._end_stream(head)
        return self._answered()
