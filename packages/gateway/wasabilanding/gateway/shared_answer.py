"""The answer to one request, which several attempts may produce.

Explanation
===========

While an endpoint is silent, a second attempt resumes the stream beside the
first. The attempt that delivers the next event owns the answer from then on
and the others are cancelled, so that no event is delivered twice and each
event follows the one before it. Another attempt takes over with the event that
is due next only: if the numbers of the delivered events rise evenly, none may
be left out.
"""

import collections.abc
import contextlib
import typing

import trio

from wasabilanding.gateway import inbound
from wasabilanding.gateway import messages
from wasabilanding.gateway import request_state as request_state_module
from wasabilanding.gateway import sse

BEFORE_FIRST_EVENT = -1
# Of a stream whose event numbers do not rise evenly.
NO_INTERVAL = 0


class NotResumed(Exception):
    """The events of another attempt do not go on where the answer broke off.

    Its message says what is wrong with them.
    """


class SharedAnswer:
    """The answer to one request.

    :param state: the request.
    :param response: writes the answer.
    :param claim: called with the attempt that owns the answer from now on.
    :param has_alternative: returns whether more than one attempt is open.
    """

    def __init__(
        self,
        state: request_state_module.RequestState,
        response: inbound.ResponseWriter,
        claim: collections.abc.Callable[[typing.Any], None],
        has_alternative: collections.abc.Callable[[], bool],
    ) -> None:
        self._state = state
        self._response = response
        self._lock = trio.Lock()
        self._report_claim = claim
        self._has_alternative = has_alternative
        self._owner: object | None = None
        # Between the numbers of delivered events; None until two are known.
        self._interval: int | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the head of the answer has been sent."""
        return self._response.has_begun

    @property
    def has_alternative(self) -> bool:
        """Whether more than one attempt may produce the answer."""
        return self._has_alternative()

    async def deliver(
        self,
        owner: object,
        head: messages.ReplyHead,
        events: collections.abc.Sequence[sse.Event],
    ) -> None:
        """Send the events that the caller has not received yet.

        :param owner: the attempt that received them.
        :param head: head of its reply.
        :param events: the events, in order.
        :raises NotResumed: if the attempt would take over with other events
            than those that are due.
        """
        async with self._exclusive():
            new_events = self._undelivered(owner, events)
            if not new_events:
                return
            self._claim(owner)
            await self._begin(head)
            await self._response.write(b"".join(e.data for e in new_events))
            self._record_delivered(new_events)

    async def end_stream(
        self, owner: object, head: messages.ReplyHead
    ) -> None:
        """End the stream as complete.

        :param owner: the attempt whose reply is complete.
        :param head: head of its reply.
        """
        async with self._exclusive():
            self._claim(owner)
            await self._begin(head)
            await self._response.end()

    async def send_complete(
        self, owner: object, head: messages.ReplyHead, body: bytes
    ) -> None:
        """Send a complete answer.

        :param owner: the attempt that received it.
        :param head: head of its reply.
        :param body: its body.
        """
        length = (b"content-length", str(len(body)).encode())
        async with self._exclusive():
            self._claim(owner)
            await self._response.begin(head.status, [*head.headers, length])
            await self._response.end(body)

    async def write(
        self, owner: object, head: messages.ReplyHead, data: bytes
    ) -> None:
        """Send a part of an answer that is no stream of events.

        :param owner: the attempt that received it.
        :param head: head of its reply.
        :param data: the part.
        """
        async with self._exclusive():
            self._claim(owner)
            await self._begin(head)
            # No event can follow what is no stream of events.
            self._state.is_position_known = False
            await self._response.write(data)

    @contextlib.asynccontextmanager
    async def _exclusive(self) -> collections.abc.AsyncIterator[None]:
        """Let one attempt write at a time, unless another has taken over."""
        await trio.lowlevel.checkpoint_if_cancelled()
        try:
            # Without a pass of the scheduler for each event.
            self._lock.acquire_nowait()
        except trio.WouldBlock:
            await self._lock.acquire()
        try:
            yield
        finally:
            self._lock.release()

    async def _begin(self, head: messages.ReplyHead) -> None:
        if not self._response.has_begun:
            await self._response.begin(head.status, list(head.headers))

    def _claim(self, owner: object) -> None:
        self._owner = owner
        self._report_claim(owner)

    def _undelivered(
        self, owner: object, events: collections.abc.Sequence[sse.Event]
    ) -> list[sse.Event]:
        """Return the events that the caller has not received yet.

        Another attempt takes over a begun answer with a numbered event only:
        of any other event it is unknown whether it follows the last one.

        :raises NotResumed: if other events than those that are due come.
        """
        last_event_id = self._state.resumes_after
        if last_event_id is None:
            last_event_id = BEFORE_FIRST_EVENT
        takes_over = self.has_begun and owner is not self._owner
        found = []
        for event in events:
            if event.event_id is None:
                if takes_over and event.has_data:
                    raise NotResumed("an event without an id")
                if not takes_over:
                    found.append(event)
            elif event.event_id > last_event_id:
                if takes_over:
                    self._check_due(event.event_id, last_event_id)
                takes_over = False
                last_event_id = event.event_id
                found.append(event)
        return found

    def _check_due(self, event_id: int, last_event_id: int) -> None:
        """Check that an event is the next one, as far as that is known.

        The last interval of a stream may be shorter.
        """
        if self._interval and event_id > last_event_id + self._interval:
            raise NotResumed(f"event {event_id} after {last_event_id}")

    def _record_delivered(
        self, events: collections.abc.Sequence[sse.Event]
    ) -> None:
        """Record the last event that the caller has received.

        There must be no cancellation point between write and record, or a
        resumed stream would repeat events.
        """
        for event in events:
            if event.event_id is not None:
                self._record_interval(event.event_id)
                self._state.last_event = event.event_id
            elif event.has_data:
                self._state.is_position_known = False

    def _record_interval(self, event_id: int) -> None:
        last_event_id = self._state.last_event
        if last_event_id is None:
            return
        interval = event_id - last_event_id
        if self._interval is None:
            self._interval = interval
        elif self._interval != interval:
            self._interval = NO_INTERVAL
