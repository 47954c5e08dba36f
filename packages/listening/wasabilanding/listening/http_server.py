"""HTTP/1.1 on one connection, with the parts of the HTTP server.

Explanation
===========

The server (:mod:`hypercorn`) also speaks HTTP/2 and websockets to whoever asks
for them. Limits, accounts and the end of connections are those of HTTP/1.1, so
nothing else is offered here: a header that asks for an upgrade is ignored, as
RFC 9110, 7.8, allows, and a request of another version gets 505.

The server hands each chunk of a body to the application by itself. Up to
:data:`MAX_TURN_PARTS` chunks that have arrived together are passed on as one
here, and other tasks run between two turns: chunks of one byte cost about as
much as large ones.
"""

import collections.abc
import typing

import h11
import hypercorn.events
from hypercorn.protocol import events as stream_events
from hypercorn.protocol import h11 as h11_protocol
from hypercorn.trio import task_group
from hypercorn.trio import tcp_server
import hypercorn.typing
import hypercorn.utils
import trio

MAX_TURN_PARTS = 64
UPGRADE = b"upgrade"
VERSIONS = frozenset((b"1.0", b"1.1"))
HTTP_VERSION_NOT_SUPPORTED = 505
Admit = collections.abc.Callable[[bytes], collections.abc.Awaitable[bool]]


def _without_upgrade(request: h11.Request) -> h11.Request:
    """Return a request that asks for no other protocol."""
    if all(name != UPGRADE for name, _ in request.headers):
        return request
    kept = [(name, v) for name, v in request.headers if name != UPGRADE]
    return h11.Request(
        method=request.method,
        target=request.target,
        headers=kept,
        http_version=request.http_version,
    )


class _Protocol(h11_protocol.H11Protocol):
    """State of HTTP/1.1 on one connection.

    :param admit: waits until a request that has arrived behind another one
        may be parsed; returns whether it may.
    """

    def __init__(
        self, *args: typing.Any, admit: Admit, **options: typing.Any
    ) -> None:
        super().__init__(*args, **options)
        self._admit = admit
        # Whether the request that is handled has been read to its end.
        self._is_request_read = False
        # What the parser has found behind chunks that are passed on first.
        self._pending: typing.Any = None
        # Whether as many chunks were passed on as one as may be.
        self._is_turn_full = False

    async def _handle_events(self) -> None:
        """Handle what has arrived."""
        while True:
            if self.connection.they_are_waiting_for_100_continue:
                await self._ask_for_body()
            try:
                event = self._next_event()
            except h11.RemoteProtocolError as error:
                await self._refuse(error.error_status_hint)
                return
            if isinstance(event, h11.Request):
                if not await self._begin(event):
                    return
            elif event is h11.PAUSED:
                await self.can_read.clear()
                await self.can_read.wait()
                if not await self._admit(self.connection.trailing_data[0]):
                    return
            elif isinstance(event, h11.ConnectionClosed):
                return
            elif event is h11.NEED_DATA or self.stream is None:
                return
            elif isinstance(event, h11.Data):
                await self.stream.handle(
                    stream_events.Body(
                        stream_id=h11_protocol.STREAM_ID, data=event.data
                    )
                )
                if self._is_turn_full:
                    await trio.lowlevel.checkpoint()
            elif isinstance(event, h11.EndOfMessage):
                self._is_request_read = True
                await self.stream.handle(
                    stream_events.EndBody(stream_id=h11_protocol.STREAM_ID)
                )

    async def _ask_for_body(self) -> None:
        await self._send_h11_event(
            h11.InformationalResponse(status_code=100, headers=[])
        )

    def _next_event(self) -> typing.Any:
        """Return the next event; chunks that follow each other are one.

        :raises h11.RemoteProtocolError: if what arrived is malformed.
        """
        if self._pending is not None:
            return self._take_pending()
        event = self.connection.next_event()
        if not isinstance(event, h11.Data):
            return event
        parts = [bytes(event.data)]
        while len(parts) < MAX_TURN_PARTS:
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError as error:
                event = error
            if not isinstance(event, h11.Data):
                self._pending = event
                break
            parts.append(bytes(event.data))
        self._is_turn_full = len(parts) == MAX_TURN_PARTS
        return h11.Data(data=b"".join(parts))

    def _take_pending(self) -> typing.Any:
        event, self._pending = self._pending, None
        if isinstance(event, h11.RemoteProtocolError):
            raise event
        if event is h11.NEED_DATA:
            # More has arrived since, perhaps.
            return self.connection.next_event()
        return event

    async def _begin(self, request: h11.Request) -> bool:
        """Begin to handle a request; return whether to read on."""
        if request.http_version not in VERSIONS:
            await self._refuse(HTTP_VERSION_NOT_SUPPORTED)
            return False
        self._is_request_read = False
        await self.send(hypercorn.events.Updated(idle=False))
        await self._create_stream(_without_upgrade(request))
        return True

    async def _refuse(self, status: int) -> None:
        """Answer bytes that are no request; read nothing more.

        Bytes behind the last request of a connection do not replace its
        answer: they are not run, and the connection closes after it.

        :param status: HTTP status.
        """
        if self.stream is not None and self._is_request_read:
            return
        states = h11.IDLE, h11.SEND_RESPONSE
        if self.connection.our_state in states:
            await self._send_error_response(status)
        await self.send(hypercorn.events.Closed())


class HttpServer(tcp_server.TCPServer):
    """Speaks HTTP/1.1 on one connection."""

    async def run(self) -> None:
        """Serve until the connection ends."""
        sock = self.stream.socket
        address = hypercorn.utils.parse_socket_addr
        try:
            client = address(sock.family, sock.getpeername())
            server = address(sock.family, sock.getsockname())
            async with task_group.TaskGroup() as group:
                self._task_group = group
                self.protocol = _Protocol(
                    self.app,
                    self.config,
                    self.context,
                    group,
                    hypercorn.typing.ConnectionState(self.state),
                    False,
                    client,
                    server,
                    self.protocol_send,
                    admit=self.stream.admit,
                )
                await self.idle_task.restart(group, self._idle_timeout)
                await self._read_data()
        except OSError:
            # The other side has closed the connection already.
            pass
        finally:
            await self._close()
