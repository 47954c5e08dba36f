"""One HTTP/1.1 connection to an endpoint.

Explanation
===========

:mod:`h11` parses and frames; reading and writing are done here, as an
endpoint decides how much work its bytes are. 64 KiB in chunks of one byte are
some ten thousand parts, so a read is handled in turns of
:data:`MAX_TURN_PARTS` parts. The parts of a turn are passed on as one, and
other tasks run between two turns. An endpoint that sends more parts than its
share (:mod:`wasabilanding.limits`) is read more slowly.
"""

import collections
import collections.abc
import contextlib
import dataclasses
import logging
import typing

import h11
import httpx
import trio

from wasabilanding import limits
from wasabilanding import listening
from wasabilanding import replies

# Extension of a request: its identity, if it is a caller's.
REQUEST_ID = "request_id"
READ_BYTES = 64 * 1024
# Larger bodies are not copied to be written together with the head.
MAX_JOINED_BYTES = 64 * 1024
# Heads, trailers and chunk headers that are longer are errors.
MAX_HEAD_BYTES = 100 * 1024
# Between two turns other tasks run.
MAX_TURN_PARTS = 64
# Interim answers (1xx) of one reply; more are an error.
MAX_INTERIM_ANSWERS = 100
# An answer is not expected to come again later than after so many others.
REMEMBERED_IDS = 64
# An address that cannot be used raises errors of other kinds than one that is
# not reached.
ADDRESS_ERRORS = (OSError, OverflowError, ValueError)
SWITCHING_PROTOCOLS = 101
_LOG = logging.getLogger(__name__)

SocketOptions = collections.abc.Iterable[tuple[int, int, int]]


@contextlib.contextmanager
def _time_limit(
    seconds: float | None, error: type[httpx.TimeoutException], what: str
) -> collections.abc.Iterator[None]:
    """Raise an error of httpx if a block takes too long.

    Without a limit no scope is opened: for streams of many small events it
    costs about as much as a read.
    """
    if seconds is None:
        yield
        return
    with trio.move_on_after(seconds) as scope:
        yield
    if scope.cancelled_caught:
        raise error(f"{what} took more than {seconds} s")


async def connect(
    host: str,
    port: int,
    options: SocketOptions,
    timeout_s: float | None,
) -> trio.SocketStream:
    """Return a new connection.

    :param host: name or address.
    :param port: TCP port.
    :param options: options of the socket.
    :param timeout_s: seconds that it may take; None for no limit.
    :raises httpx.ConnectError: if the connection is refused.
    :raises httpx.ConnectTimeout: if it takes too long.
    """
    with _time_limit(timeout_s, httpx.ConnectTimeout, "to connect"):
        try:
            stream = await trio.open_tcp_stream(host, port)
        except ADDRESS_ERRORS as error:
            raise httpx.ConnectError(str(error)) from error
        for option in options:
            stream.setsockopt(*option)
        return stream


def _check_head(response: h11.Response) -> None:
    """Check the head of a reply.

    :raises httpx.RemoteProtocolError: if it breaks the protocol.
    """
    head = replies.Head(
        response.status_code,
        response.http_version,
        response.reason,
        response.headers.raw_items(),
    )
    try:
        replies.check_head(head)
    except replies.InvalidReply as error:
        raise httpx.RemoteProtocolError(str(error)) from None


@dataclasses.dataclass(frozen=True)
class _Turn:
    """What one turn of the parser has found.

    :param data: bytes of the body.
    :param parts: number of parts.
    :param last: the last event: more data is needed, the message has ended,
        or the turn was full.
    """

    data: bytes
    parts: int
    last: typing.Any


class EndpointConnection:
    """A connection that carries one exchange after the other.

    An endpoint may send an answer once more where the answer to the next
    request is due, and the request's id alone tells the two apart. So a
    connection carries no two requests with the same id: a caller may send a
    request again, and another node may hand it on. Nothing follows a reply
    behind which more has arrived: those bytes belong to no request.

    :param stream: the connection.
    :param share: share of the endpoint.
    """

    def __init__(
        self, stream: trio.SocketStream, share: limits.ReadShare
    ) -> None:
        self._stream = stream
        self._share = share
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._recent_ids: collections.deque[str] = collections.deque(
            maxlen=REMEMBERED_IDS
        )
        self._exchanges = 0
        # Whether the connection broke while a request was written.
        self._is_broken = False
        # Seconds for which the current reply had to wait for its share.
        self.waited_s = 0.0
        # Local monotonic time in seconds from which it is idle.
        self.idle_since = 0.0
        # Seconds for which it may be used again while it is idle.
        self.reuse_s = 0.0

    @property
    def is_first_exchange(self) -> bool:
        """Whether no exchange came before the current one."""
        return self._exchanges <= 1

    @property
    def is_readable(self) -> bool:
        """Whether bytes, or the end of the connection, have arrived."""
        return listening.is_readable(self._stream.socket)

    def may_carry(self, request_id: str) -> bool:
        """Return whether a request may be sent on this connection.

        :param request_id: identity of the request; empty for none.
        """
        return request_id not in self._recent_ids

    async def send(
        self, request: httpx.Request, timeout_s: float | None
    ) -> None:
        """Send a request.

        If the endpoint has closed the connection, it may have replied first,
        so that this is left to the reader of the reply. The socket reports a
        reset once: the reader finds an ordinary end behind it, which does not
        end a reply without a length.

        :param request: the request.
        :param timeout_s: seconds that it may take; None for no limit.
        :raises httpx.LocalProtocolError: if it is malformed.
        :raises httpx.WriteTimeout: if it takes too long.
        """
        self.waited_s = 0.0
        self._exchanges += 1
        request_id = request.extensions.get(REQUEST_ID)
        if request_id:
            self._recent_ids.append(request_id)
        writes = self._encode(request)
        with _time_limit(timeout_s, httpx.WriteTimeout, "to send"):
            try:
                for data in writes:
                    await self._stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self._is_broken = True

    def _encode(self, request: httpx.Request) -> list[bytes]:
        """Return what to write for a request.

        A small body is written with the head, as one packet. A large one is
        written as it is: a copy of it would be held until the endpoint has
        read it.
        """
        target = request.extensions.get("target", request.url.raw_path)
        body = request.content
        head = h11.Request(
            method=request.method, target=target, headers=request.headers.raw
        )
        events = [head, h11.EndOfMessage()]
        if body:
            events.insert(1, h11.Data(data=body))
        parts: list[bytes] = []
        try:
            for event in events:
                parts += self._http.send_with_data_passthrough(event) or ()
        except h11.LocalProtocolError as error:
            raise httpx.LocalProtocolError(str(error)) from error
        if len(body) > MAX_JOINED_BYTES:
            return [part for part in parts if part]
        return [b"".join(parts)]

    async def read_head(self, timeout_s: float | None) -> h11.Response:
        """Return the head of the reply.

        :param timeout_s: seconds that one read may take; None for no limit.
        :raises httpx.ReadError: if the connection breaks.
        :raises httpx.ReadTimeout: if a read takes too long.
        :raises httpx.RemoteProtocolError: if it is malformed.
        """
        interim_answers = 0
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                await self._receive(timeout_s)
            elif isinstance(event, h11.Response):
                _check_head(event)
                return event
            elif not isinstance(event, h11.InformationalResponse):
                raise httpx.RemoteProtocolError(f"no reply but {event!r}")
            elif event.status_code == SWITCHING_PROTOCOLS:
                raise httpx.RemoteProtocolError("another protocol begins")
            else:
                interim_answers += 1
            if interim_answers > MAX_INTERIM_ANSWERS:
                raise httpx.RemoteProtocolError(
                    f"more than {MAX_INTERIM_ANSWERS} interim answers"
                )

    async def read_body(
        self, timeout_s: float | None
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body of the reply as it arrives.

        :param timeout_s: seconds that one read may take; None for no limit.
        :raises httpx.ReadError: if the connection breaks.
        :raises httpx.ReadTimeout: if a read takes too long.
        :raises httpx.RemoteProtocolError: if it is malformed or truncated.
        """
        while True:
            turn = self._parse_turn()
            if turn.data:
                yield turn.data
            if turn.last is h11.NEED_DATA:
                await self.pace(turn.parts)
                await self._receive(timeout_s)
            elif isinstance(turn.last, h11.Data):
                await self.pace(turn.parts)
                await trio.lowlevel.checkpoint()
            elif isinstance(turn.last, h11.EndOfMessage):
                return
            else:
                raise httpx.RemoteProtocolError(f"no body but {turn.last!r}")

    async def pace(self, parts: int) -> None:
        """Count parts of the reply; wait if the share is exceeded.

        :param parts: number of parts.
        """
        wait_s = self._share.spend(parts, trio.current_time())
        if wait_s:
            self.waited_s += wait_s
            await trio.sleep(wait_s)

    def end_exchange(self) -> bool:
        """End the exchange; return whether another one may follow."""
        states = self._http.our_state, self._http.their_state
        if states != (h11.DONE, h11.DONE):
            return False
        left_over, _ = self._http.trailing_data
        if left_over:
            _LOG.warning("%d bytes follow a complete reply", len(left_over))
            return False
        self._http.start_next_cycle()
        return True

    def close(self) -> None:
        """Close the connection."""
        self._stream.socket.close()

    def _next_event(self) -> typing.Any:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise httpx.RemoteProtocolError(str(error)) from error

    def _parse_turn(self) -> _Turn:
        """Handle the parts that have arrived, up to a number of them.

        Bytes that are malformed end the turn; the next one raises the error,
        so that what came before them is passed on.
        """
        data = []
        event = None
        for _ in range(MAX_TURN_PARTS):
            try:
                event = self._next_event()
            except httpx.RemoteProtocolError:
                if not data:
                    raise
                break
            if not isinstance(event, h11.Data):
                break
            data.append(event.data)
        return _Turn(b"".join(data), max(1, len(data)), event)

    async def _receive(self, timeout_s: float | None) -> None:
        """Read the bytes that arrive next."""
        with _time_limit(timeout_s, httpx.ReadTimeout, "to read"):
            try:
                data = await self._stream.socket.recv(READ_BYTES)
            except (OSError, trio.ClosedResourceError) as error:
                raise httpx.ReadError(str(error)) from error
        if not data and self._is_broken:
            raise httpx.ReadError("it broke while the request was written")
        self._http.receive_data(data)
