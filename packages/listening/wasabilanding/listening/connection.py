"""A caller's connection, which is either read or closed.

Explanation
===========

A request that has been read is answered, so a connection must not be closed
once it has. If one task waited for the end of the idle time and another one
read, both could happen in the same turn of the event loop, and nothing would
decide between them. Here the task that reads decides alone: it closes the
connection only if no request is handled on it and no byte has arrived.
Whoever else wants the connection to end tells that task.

A request that arrives between this decision and the close has not been read,
so its caller may send it again.
"""

import collections.abc
import contextlib
import typing

import trio

from wasabilanding import limits
from wasabilanding.listening import closes
from wasabilanding.listening import parsing_share
from wasabilanding.listening import socket_events

# A connection is closed later than its callers are told, so that a request
# that is sent at the end of the idle time still arrives.
IDLE_MARGIN_S = 0.5
# Once the process stops, the head of a request that has begun to arrive must
# be complete within this time.
STOP_HEAD_TIMEOUT_S = 1.0
# What arrives after the last answer is discarded for this time at most:
# closing a connection with unread bytes resets it, and the answer may be lost.
LINGER_S = 1.0
DISCARD_BYTES = 64 * 1024
# A buffer of this size is taken for each read, however little has arrived.
READ_BYTES = 32 * 1024
# Interim answers, such as 100 Continue, are not the answer.
INTERIM_ANSWER = b"HTTP/1.1 1"
NEVER = float("inf")
# The head of a request may take longer by this time than its limit, as its
# first bytes are sent earlier than they arrive.
HEAD_MARGIN_S = 0.5
HEAD_TOO_SLOW = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
NOT_READ = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
Result = typing.TypeVar("Result")


class Connection:
    """A caller's connection, as the HTTP server reads and writes it.

    The server's tasks may call :meth:`aclose` at any time. It only ends the
    reading; the owner of the stream closes it when the server has returned.
    Like :class:`trio.SocketStream`, it has no ``do_handshake``, by which the
    server knows an unencrypted connection.

    :param stream: the connection.
    :param idle_limit_s: returns the limit on idle connections in seconds.
    :param head_limit_s: returns the seconds within which a head must arrive.
    :param on_reading_ended: called when nothing more is read.
    :param report: called once, when it ends.
    :param stop_idle_s: seconds since the last answer for which it is kept
        although the process stops.
    :param parsing: places for requests of many small parts.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        idle_limit_s: collections.abc.Callable[[], float],
        head_limit_s: collections.abc.Callable[[], float],
        on_reading_ended: collections.abc.Callable[
            [], collections.abc.Awaitable[None]
        ],
        report: collections.abc.Callable[[closes.Close], None],
        stop_idle_s: float = 0.0,
        parsing: parsing_share.ParsingShare | None = None,
    ) -> None:
        self._parsing = parsing or parsing_share.ParsingShare()
        # Of the request that is being read.
        self._parts = parsing_share.RequestParts(self._parsing)
        self._stream = stream
        self._idle_limit_s = idle_limit_s
        self._head_limit_s = head_limit_s
        self._on_reading_ended = on_reading_ended
        self._report = report
        self._stop_idle_s = stop_idle_s
        # Called with each change of what it is being used for.
        self.on_standing: collections.abc.Callable[
            [limits.ConnectionStanding], None
        ] = lambda standing: None
        # Requests that the application handles.
        self._open_requests = 0
        self._has_answered = False
        self._is_closed = False
        # Whether the caller has closed it and its request was given up.
        self._is_abandoned = False
        # Whether the close was reported; the socket may know it earlier.
        self._is_close_reported = False
        # End what requests wait for when the caller closes it.
        self._waits: set[trio.CancelScope] = set()
        # Whether a part of an answer could not be sent.
        self.is_broken = False
        self._read_scope: trio.CancelScope | None = None
        # Local monotonic times in seconds; the second one is of the bytes
        # after the last answer.
        self._idle_since = trio.current_time()
        self._received_at: float | None = None
        self._stopped_at = NEVER
        self._limit_s = idle_limit_s()
        # Ends the server's tasks; it gets a deadline when the server closes.
        self.scope = trio.CancelScope()

    @property
    def socket(self) -> trio.socket.SocketType:
        """The socket, whose addresses the server reads."""
        return self._stream.socket

    @property
    def has_caller_closed(self) -> bool:
        """Whether the caller has closed it, read or not."""
        return socket_events.is_closed_by_peer(self._stream.socket)

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes, or its end, have arrived and are not read yet."""
        return socket_events.is_readable(self._stream.socket)

    @property
    def _is_stopping(self) -> bool:
        return self._stopped_at < NEVER

    @contextlib.contextmanager
    def request(
        self, is_chunked: bool = False
    ) -> collections.abc.Iterator[None]:
        """Keep the connection while the application handles a request.

        The application enters this before it first waits for anything.

        :param is_chunked: whether the body arrives in chunks.
        """
        parts = self._parts
        parts.is_chunked = is_chunked
        self._open_requests += 1
        self._has_answered = False
        self.on_standing(limits.ConnectionStanding.INCOMPLETE)
        self._update_deadline()
        try:
            yield
        finally:
            # The next request may be being read already.
            parts.end()
            self._open_requests -= 1
            if not self._open_requests:
                self._begin_idle_time()

    def record_request_complete(self) -> None:
        """Record that the body of the request has been read."""
        self._parts.is_complete = True
        if self._open_requests:
            self.on_standing(limits.ConnectionStanding.BUSY)

    def record_caller_close(self) -> None:
        """End what requests wait for, as the caller has closed it."""
        self._is_close_reported = True
        for scope in self._waits:
            scope.cancel()

    async def unless_closed(
        self,
        wait: collections.abc.Callable[[], collections.abc.Awaitable[Result]],
    ) -> Result | None:
        """Return what a request waits for; None if the caller closes first.

        Nothing more is read then: a request that waits behind is not run.

        :param wait: waits and returns the result.
        """
        if not self._is_close_reported:
            with trio.CancelScope() as scope:
                self._waits.add(scope)
                try:
                    return await wait()
                finally:
                    self._waits.discard(scope)
        await trio.lowlevel.checkpoint()
        self._is_abandoned = True
        self._close(closes.CloseCause.CALLER)
        return None

    def refresh_limit(self) -> None:
        """Keep an idle connection longer if the limit has been raised."""
        self._limit_s = max(self._limit_s, self._idle_limit_s())
        self._update_deadline()

    def stop(self) -> None:
        """Close the connection once no request is handled on it."""
        self._stopped_at = trio.current_time()
        self._update_deadline()

    def finish(self) -> None:
        """Report the end if the server was ended from outside, or failed."""
        self._parts.end()
        is_stop = self._is_stopping
        self._close(
            closes.CloseCause.STOP if is_stop else closes.CloseCause.ERROR
        )

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return what arrives next; empty if the caller has closed.

        :param max_bytes: greatest number of bytes.
        :raises trio.BrokenResourceError: if the connection breaks.
        :raises trio.ClosedResourceError: if it is closed on this side.
        """
        data = b""
        try:
            data = await self._receive(min(max_bytes, READ_BYTES))
        except trio.BrokenResourceError:
            self._close(closes.CloseCause.CALLER)
            raise
        finally:
            if not data:
                await self._on_reading_ended()
        if not data:
            self._close(closes.CloseCause.CALLER)
            return data
        self._record_bytes()
        if not await self.admit(data):
            raise trio.ClosedResourceError("no place for its many parts")
        return data

    async def admit(self, data: bytes) -> bool:
        """Wait until bytes that have arrived may be parsed; return whether.

        :param data: bytes of the request that is being read, or of the next
            one once that has been read.
        """
        if self._parts.is_complete:
            self._parts = parsing_share.RequestParts(self._parsing)
        if not self._parts.count(data):
            return True
        wait_s = self._head_limit_s() + HEAD_MARGIN_S
        if await self._parts.take_place(trio.current_time() + wait_s):
            return True
        await self._answer_and_close(closes.CloseCause.PARTS, NOT_READ)
        return False

    async def _receive(self, max_bytes: int) -> bytes:
        while not self._is_closed:
            data = await self._receive_before_deadline(max_bytes)
            if data is None and self._is_due() and self.has_unread_bytes:
                data = await self._stream.receive_some(max_bytes)
            if self._is_closed:
                break
            if data is not None:
                return data
            if self._is_due():
                await self._end_due()
                raise trio.ClosedResourceError("the connection is due")
        await self._discard()
        raise trio.ClosedResourceError("the connection is closed")

    async def _end_due(self) -> None:
        """Close the connection; answer the part of a head that has arrived."""
        if self._is_stopping:
            self._close(closes.CloseCause.STOP)
        elif self._received_at is None:
            self._close(closes.CloseCause.IDLE)
        else:
            await self._answer_and_close(closes.CloseCause.HEAD, HEAD_TOO_SLOW)

    async def _answer_and_close(
        self, cause: closes.CloseCause, data: bytes
    ) -> None:
        """Answer a request that the server has not read; close then.

        Nothing is sent behind an answer that closes the connection.
        """
        if self._is_closed:
            return
        self._close(cause)
        with (
            trio.move_on_after(LINGER_S),
            contextlib.suppress(
                trio.BrokenResourceError, trio.ClosedResourceError
            ),
        ):
            await self._stream.send_all(data)
        await self._on_reading_ended()

    async def _receive_before_deadline(self, max_bytes: int) -> bytes | None:
        """Return what arrives before the deadline; None if nothing does.

        The reader hands a request to a new task, and the deadline may pass
        before that task first runs. After a checkpoint it has: it was
        scheduled before the cancelled wait of this one, or together with it.
        """
        with trio.CancelScope(deadline=self._deadline()) as self._read_scope:
            return await self._stream.receive_some(max_bytes)
        await trio.lowlevel.checkpoint()
        return None

    async def send_all(self, data: bytes) -> None:
        """Send a part of an answer.

        :param data: the part.
        :raises trio.BrokenResourceError: if the connection breaks, or if the
            server answers a request that was given up.
        """
        if self._is_abandoned and not self._has_answered:
            raise trio.BrokenResourceError("the caller has closed it")
        if not data.startswith(INTERIM_ANSWER):
            self._has_answered = True
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError:
            self.is_broken = True
            raise

    async def send_eof(self) -> None:
        """Tell the caller that nothing more follows."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Read no further request, and end the server's tasks soon."""
        if not self._is_closed:
            self._close(closes.CloseCause.ANSWER)
            # The reader may wait for something else than the caller.
            self.scope.deadline = trio.current_time() + 2 * LINGER_S
            if self._read_scope is not None:
                self._read_scope.cancel()
        await trio.lowlevel.checkpoint()

    def reset(self) -> None:
        """Close the socket at once, before an incomplete answer is ended."""
        self._close(closes.CloseCause.ANSWER)
        self._stream.socket.close()

    def end_at_limit(self) -> None:
        """Close the connection at once, as too many are open."""
        self._close(closes.CloseCause.LIMIT)
        self.scope.cancel()
        self._stream.socket.close()

    def _begin_idle_time(self) -> None:
        self._idle_since = trio.current_time()
        self._received_at = None
        self._limit_s = self._idle_limit_s()
        self.on_standing(limits.ConnectionStanding.IDLE)
        self._update_deadline()

    def _record_bytes(self) -> None:
        if self._received_at is None:
            self._received_at = trio.current_time()
            if not self._open_requests:
                self.on_standing(limits.ConnectionStanding.INCOMPLETE)

    def _deadline(self) -> float:
        """Return the local time in seconds at which the connection is due."""
        if self._open_requests:
            return NEVER
        if self._received_at is not None:
            return min(
                self._received_at + self._head_limit_s() + HEAD_MARGIN_S,
                max(self._received_at, self._stopped_at) + STOP_HEAD_TIMEOUT_S,
            )
        if self._is_stopping:
            kept_until = self._idle_since + self._stop_idle_s
            return max(self._stopped_at, kept_until)
        return self._idle_since + self._limit_s + IDLE_MARGIN_S

    def _is_due(self) -> bool:
        return trio.current_time() >= self._deadline()

    def _update_deadline(self) -> None:
        if self._read_scope is not None:
            self._read_scope.deadline = self._deadline()

    async def _discard(self) -> None:
        """Discard what still arrives, for a short time."""
        with (
            trio.move_on_after(LINGER_S),
            contextlib.suppress(
                trio.BrokenResourceError, trio.ClosedResourceError
            ),
        ):
            while await self._stream.receive_some(DISCARD_BYTES):
                pass

    def _close(self, cause: closes.CloseCause) -> None:
        """Pass on nothing more; report the end once."""
        if self._is_closed:
            return
        self._is_closed = True
        now = trio.current_time()
        received_at = now if self._received_at is None else self._received_at
        self._report(
            closes.Close(
                cause=cause,
                is_unanswered=bool(self._open_requests)
                and not self._has_answered,
                idle_s=received_at - self._idle_since,
                received_s=now - received_at,
                limit_s=self._limit_s,
            )
        )
