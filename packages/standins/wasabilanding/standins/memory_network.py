"""In-memory network between HTTP clients and ASGI applications.

Explanation
===========

A :class:`MemoryNetwork` connects clients and applications inside one process,
without sockets, so that trio's mock clock can drive whole runs. Every client
and every application has a location, such as a node or a failure domain.
Faults are injected by location or address:

``refuse``
    an address refuses connections and its open ones break, as after the loss
    of a VM.
``cut``
    two locations are partitioned: new connections time out and open ones
    deliver nothing more.
``silence``
    open streams of an address deliver nothing more while new ones work.
``break_streams``
    open streams of an address break while new ones work.
``lose_answers``
    the next answers of an address are lost after the call took effect.
``break_sends``
    the next connections to an address break while the request is sent.

See Also
========

wasabilanding.standins.engine : engines that this network usually connects.
"""

import collections
import collections.abc
import dataclasses
import math
import typing

import httpx
import trio

AsgiApp = collections.abc.Callable[..., collections.abc.Awaitable[None]]
BUFFERED_MESSAGES = 10_000
HTTP_PORT = 80


@dataclasses.dataclass(frozen=True)
class _Listener:
    app: AsgiApp
    location: str


class _Exchange:
    """One HTTP exchange over the network."""

    def __init__(self, origin: str, address: str, target: str) -> None:
        self.origin = origin
        self.address = address
        self.target = target
        self.silent = False
        self.broken = False
        self.changed = trio.Event()
        self.disconnected = trio.Event()
        self.scope = trio.CancelScope()
        self.messages: collections.deque[dict] = collections.deque()
        self.ended = False

    def notify(self) -> None:
        """Wake the client."""
        self.changed.set()
        self.changed = trio.Event()

    def abort(self) -> None:
        """Break the connection at both ends."""
        self.broken = True
        self.disconnected.set()
        self.notify()


class MemoryNetwork:
    """Connects clients and applications inside one process.

    :param nursery: runs the applications.
    :param delay_s: one-way delay in seconds by pair of locations; 0 where not
        given.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        delay_s: collections.abc.Mapping[frozenset[str], float] | None = None,
    ) -> None:
        self._nursery = nursery
        self._delay_s = dict(delay_s or {})
        self._listeners: dict[str, _Listener] = {}
        self._cuts: set[frozenset[str]] = set()
        self._open: set[_Exchange] = set()
        self._lost_answers: collections.Counter[str] = collections.Counter()
        self._broken_sends: collections.Counter[str] = collections.Counter()

    def listen(self, address: str, app: AsgiApp, location: str) -> None:
        """Serve an application.

        :param address: host and port.
        :param app: the ASGI application.
        :param location: location of the application.
        """
        self._listeners[address] = _Listener(app, location)

    def refuse(self, address: str) -> None:
        """Refuse connections to an address and break its open ones.

        :param address: host and port.
        """
        self._listeners.pop(address, None)
        for exchange in self._open_to(address):
            exchange.abort()

    def cut(self, one: str, other: str) -> None:
        """Partition two locations from each other.

        :param one: a location.
        :param other: another location.
        """
        self._cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """End a partition; connections opened before it stay silent.

        :param one: a location.
        :param other: another location.
        """
        for exchange in self._open:
            if {exchange.origin, exchange.target} == {one, other}:
                exchange.silent = True
        self._cuts.discard(frozenset((one, other)))

    def delay(self, one: str, other: str, delay_s: float) -> None:
        """Set the one-way delay between two locations.

        :param one: a location.
        :param other: another location.
        :param delay_s: the delay in seconds.
        """
        self._delay_s[frozenset((one, other))] = delay_s

    def silence(self, address: str) -> None:
        """Deliver nothing more on the open streams of an address.

        :param address: host and port.
        """
        for exchange in self._open_to(address):
            exchange.silent = True

    def break_streams(self, address: str) -> None:
        """Break the open streams of an address while new ones work.

        :param address: host and port.
        """
        for exchange in self._open_to(address):
            exchange.abort()

    def lose_answers(self, address: str, count: int = 1) -> None:
        """Lose the next answers of an address after the calls took effect.

        :param address: host and port.
        :param count: how many answers.
        """
        self._lost_answers[address] += count

    def break_sends(self, address: str, count: int = 1) -> None:
        """Break the next connections to an address while a request is sent.

        :param address: host and port.
        :param count: how many connections.
        """
        self._broken_sends[address] += count

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two locations are partitioned from each other.

        :param one: a location.
        :param other: another location.
        """
        return one != other and frozenset((one, other)) in self._cuts

    def transport(self, origin: str) -> "MemoryTransport":
        """Return the transport of a client.

        :param origin: location of the client.
        """
        return MemoryTransport(self, origin)

    async def wait_delay(self, one: str, other: str) -> None:
        """Wait for the one-way delay between two locations.

        :param one: a location.
        :param other: another location.
        """
        delay = self._delay_s.get(frozenset((one, other)), 0.0)
        if delay:
            await trio.sleep(delay)
        else:
            await trio.lowlevel.checkpoint()

    def _open_to(self, address: str) -> list[_Exchange]:
        return [x for x in self._open if x.address == address]

    def connect(self, origin: str, address: str) -> _Exchange | None:
        """Open an exchange.

        :param origin: location of the client.
        :param address: host and port.
        :returns: the exchange, or None when the address is unreachable.
        :raises httpx.ConnectError: when the address refuses connections.
        :raises httpx.WriteError: when the connection breaks during the send.
        """
        listener = self._listeners.get(address)
        if listener is None:
            raise httpx.ConnectError(f"{address} refused the connection")
        if self.is_cut(origin, listener.location):
            return None
        if self._broken_sends[address] > 0:
            self._broken_sends[address] -= 1
            raise httpx.WriteError(
                f"connection to {address} broke during the send"
            )
        exchange = _Exchange(origin, address, listener.location)
        if self._lost_answers[address] > 0:
            self._lost_answers[address] -= 1
            exchange.silent = True
        self._open.add(exchange)
        return exchange

    def close(self, exchange: _Exchange) -> None:
        """Close an exchange and stop tracking it.

        :param exchange: the exchange.
        """
        exchange.disconnected.set()
        self._open.discard(exchange)

    def start(self, exchange: _Exchange, scope: dict, body: bytes) -> None:
        """Run the application on an exchange.

        :param exchange: the exchange.
        :param scope: ASGI scope of the request.
        :param body: body of the request.
        """
        app = self._listeners[exchange.address].app
        self._nursery.start_soon(self._run, exchange, app, scope, body)

    async def _run(
        self, exchange: _Exchange, app: AsgiApp, scope: dict, body: bytes
    ) -> None:
        sent_body = False

        async def receive() -> dict:
            nonlocal sent_body
            if not sent_body:
                sent_body = True
                return {
                    "type": "http.request",
                    "body": body,
                    "more_body": False,
                }
            await exchange.disconnected.wait()
            return {"type": "http.disconnect"}

        async def send(message: dict) -> None:
            await self.wait_delay(exchange.origin, exchange.target)
            if not self._is_lost(exchange):
                exchange.messages.append(message)
                exchange.notify()

        try:
            with exchange.scope:
                await app(scope, receive, send)
        except Exception:
            # A server closes the connection when its application fails.
            exchange.broken = True
        exchange.ended = True
        if not self._is_lost(exchange):
            exchange.notify()

    def _is_lost(self, exchange: _Exchange) -> bool:
        cut = self.is_cut(exchange.origin, exchange.target)
        # The network does not retransmit: after a partition drops a message,
        # the connection stays silent.
        exchange.silent = exchange.silent or cut
        return exchange.silent


def _scope(request: httpx.Request) -> dict:
    return {
        "type": "http",
        "asgi": {"version": "3.0"},
        "http_version": "1.1",
        "method": request.method,
        "scheme": request.url.scheme,
        "path": request.url.path,
        "raw_path": request.url.raw_path.split(b"?")[0],
        "query_string": request.url.query,
        "root_path": "",
        "headers": [(k.lower(), v) for k, v in request.headers.raw],
        "client": ("127.0.0.1", HTTP_PORT),
        "server": (request.url.host, request.url.port or HTTP_PORT),
        "extensions": {},
    }


async def _next_message(exchange: _Exchange, timeout_s: float) -> dict | None:
    with trio.move_on_after(timeout_s):
        while not exchange.messages:
            if exchange.broken and not exchange.silent:
                raise httpx.RemoteProtocolError("connection broken by peer")
            if exchange.ended and not exchange.silent:
                return None
            await exchange.changed.wait()
        return exchange.messages.popleft()
    raise httpx.ReadTimeout("no data received before the read timeout")


class _Stream(httpx.AsyncByteStream):
    def __init__(
        self, network: MemoryNetwork, exchange: _Exchange, timeout_s: float
    ) -> None:
        self._network = network
        self._exchange = exchange
        self._timeout_s = timeout_s

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        while True:
            message = await _next_message(self._exchange, self._timeout_s)
            if message is None:
                raise httpx.RemoteProtocolError(
                    "stream ended before the end of the body"
                )
            if message.get("body"):
                yield message["body"]
            if not message.get("more_body", False):
                return

    async def aclose(self) -> None:
        self._network.close(self._exchange)


class MemoryTransport(httpx.AsyncBaseTransport):
    """Transport of a client on a :class:`MemoryNetwork`.

    :param network: the network.
    :param origin: location of the client.
    """

    def __init__(self, network: MemoryNetwork, origin: str) -> None:
        self._network = network
        self._origin = origin

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request over the network.

        :param request: the request.
        :raises httpx.HTTPError: as a real connection would.
        """
        timeouts: dict[str, typing.Any] = request.extensions.get("timeout", {})
        body = await request.aread()
        port = request.url.port or HTTP_PORT
        address = f"{request.url.host}:{port}"
        exchange = self._network.connect(self._origin, address)
        if exchange is None:
            await trio.sleep(timeouts.get("connect") or math.inf)
            raise httpx.ConnectTimeout(f"{address} is unreachable")
        await self._network.wait_delay(self._origin, exchange.target)
        self._network.start(exchange, _scope(request), body)
        timeout_s = timeouts.get("read") or math.inf
        try:
            head = await _next_message(exchange, timeout_s)
        except BaseException:
            self._network.close(exchange)
            raise
        if head is None:
            self._network.close(exchange)
            raise httpx.RemoteProtocolError("connection closed without answer")
        return httpx.Response(
            head["status"],
            headers=head["headers"],
            stream=_Stream(self._network, exchange, timeout_s),
        )
