"""A connection that a caller keeps and uses again at a chosen time."""

import contextlib
import select
import socket
import struct
import urllib.parse

import h11
import trio

from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import load
from wasabilanding.experiments.installation import sending


def encode(parser: h11.Connection, request: load.Request) -> bytes:
    """Return a request as it is sent.

    :param parser: state of its connection, which is updated.
    :param request: the request.
    """
    body = request.body.encode()
    headers = {
        **sending.headers_of(request),
        "content-length": str(len(body)),
    }
    head = h11.Request(
        method="POST", target=request.path, headers=list(headers.items())
    )
    parts = (head, h11.Data(data=body), h11.EndOfMessage())
    return b"".join(parser.send(part) or b"" for part in parts)


class KeptConnection:
    """A caller's keep-alive connection to a gateway.

    The next request is encoded before its time has come, so that it is sent
    within about 0.1 ms of that time.

    :param gateway: gateway that it leads to.
    :param stream: the connection.
    """

    def __init__(
        self, gateway: launch.Gateway, stream: trio.SocketStream
    ) -> None:
        self._stream = stream
        self._parser = h11.Connection(h11.CLIENT)
        self.gateway = gateway
        # Local monotonic time in seconds of the end of the last answer.
        self.answered_at = trio.current_time()

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent, as far as the caller sees."""
        if self._parser.our_state is not h11.IDLE:
            return False
        poll = select.poll()
        poll.register(self._stream.socket, select.POLLIN)
        return not poll.poll(0)

    async def aclose(self) -> None:
        """Close the connection."""
        with contextlib.suppress(trio.BrokenResourceError):
            await self._stream.aclose()

    def reset(self) -> None:
        """Close the connection with a reset, whatever has arrived."""
        self._stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self._stream.socket.close()

    async def send_only(
        self, request: load.Request, behind: bytes = b""
    ) -> None:
        """Send a request without reading anything.

        :param request: request to send.
        :param behind: bytes to send behind it.
        """
        await self._stream.send_all(encode(self._parser, request) + behind)

    async def send(self, request: load.Request) -> load.Answer:
        """Send a request now and return the answer or failure.

        :param request: request to send.
        """
        return await self.send_at(trio.current_time(), request)

    async def send_at(
        self, at: float, request: load.Request, behind: bytes = b""
    ) -> load.Answer:
        """Send a request, also if the gateway has closed the connection.

        :param at: local monotonic time in seconds at which to send it.
        :param request: request to send.
        :param behind: bytes to send behind it.
        """
        data = encode(self._parser, request) + behind
        await trio.sleep_until(at)
        exchange = sending.Exchange()
        with trio.move_on_after(load.REQUEST_TIMEOUT_S + 1.0):
            try:
                await self._stream.send_all(data)
                exchange.written_at = trio.current_time()
                await self._read(exchange)
            except trio.BrokenResourceError:
                exchange.was_reset = True
            except h11.RemoteProtocolError:
                # What was received counts as incomplete.
                pass
        if exchange.is_complete:
            self.answered_at = trio.current_time()
            if self._parser.their_state is h11.DONE:
                self._parser.start_next_cycle()
        return exchange.answer(request, self.gateway.name)

    async def _read(self, exchange: sending.Exchange) -> None:
        """Read until the answer is complete or the connection has ended."""
        while not exchange.is_complete:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                data = await self._stream.receive_some()
                if not data:
                    return
                self._parser.receive_data(data)
            elif isinstance(event, h11.Response):
                exchange.status = event.status_code
            elif isinstance(event, h11.Data):
                exchange.text += bytes(event.data).decode()
                exchange.last_part_at = trio.current_time()
            elif isinstance(event, h11.EndOfMessage):
                exchange.is_complete = True


async def connect(gateway: launch.Gateway) -> KeptConnection:
    """Open a connection to a gateway.

    :param gateway: the gateway.
    :raises OSError: if it does not accept the connection.
    """
    url = urllib.parse.urlsplit(gateway.callers_url)
    stream = await trio.open_tcp_stream(url.hostname, url.port)
    return KeptConnection(gateway, stream)
