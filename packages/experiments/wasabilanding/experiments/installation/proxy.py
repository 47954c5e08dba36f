"""Loopback TCP proxy that delays, stalls and resets connections."""

import collections.abc
import enum
import socket
import struct

import trio

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
BACKLOG = 200
DELAY_S = 0.15
# SO_LINGER with a timeout of 0: closing the socket sends a reset.
LINGER_RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """Fault that a proxy applies to its connections.

    SILENT stalls both directions.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    # Data towards the server, or towards the client, is held back.
    STALL_UPSTREAM = "cut up"
    STALL_DOWNSTREAM = "cut down"


FAULTS = tuple(mode for mode in Mode if mode is not Mode.PASS)
STALLED_UPSTREAM = (Mode.SILENT, Mode.STALL_UPSTREAM)
STALLED_DOWNSTREAM = (Mode.SILENT, Mode.STALL_DOWNSTREAM)


class Proxy:
    """Proxy in front of one port.

    :param name: name of the server behind the proxy.
    :param target_port: port of the server.
    """

    def __init__(self, name: str, target_port: int) -> None:
        self._target_port = target_port
        self._mode_changed = trio.Event()
        self._scopes: set[trio.CancelScope] = set()
        self._socket = socket.socket()
        self._socket.bind((HOST, 0))
        self._socket.listen(BACKLOG)
        self.name = name
        self.mode = Mode.PASS

    @property
    def port(self) -> int:
        """Port that the proxy listens on."""
        return self._socket.getsockname()[1]

    def set_mode(self, mode: Mode) -> None:
        """Change the mode; RESET also resets all open connections.

        :param mode: new mode.
        """
        self.mode = mode
        if mode is Mode.RESET:
            for scope in self._scopes:
                scope.cancel()
        self._mode_changed.set()
        self._mode_changed = trio.Event()

    async def run(self) -> None:
        """Accept and relay connections until cancelled."""
        self._socket.setblocking(False)
        listener = trio.socket.from_stdlib_socket(self._socket)
        async with trio.open_nursery() as nursery:
            while True:
                accepted, _ = await listener.accept()
                nursery.start_soon(self._relay, accepted)

    async def _relay(self, accepted: trio.socket.SocketType) -> None:
        client = trio.SocketStream(accepted)
        if self.mode is Mode.RESET:
            _reset(client)
            return
        try:
            server = await trio.open_tcp_stream(HOST, self._target_port)
        except OSError:
            _reset(client)
            return
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._pump, client, server, STALLED_UPSTREAM, scope
                )
                nursery.start_soon(
                    self._pump, server, client, STALLED_DOWNSTREAM, scope
                )
        self._scopes.discard(scope)
        _reset(client)
        _reset(server)

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        stalled_modes: collections.abc.Container[Mode],
        scope: trio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive_some(CHUNK_BYTES)
                while self.mode in stalled_modes:
                    await self._mode_changed.wait()
                if self.mode is Mode.DELAY:
                    await trio.sleep(DELAY_S)
                if not data:
                    await sink.send_eof()
                    return
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()


def _reset(stream: trio.SocketStream) -> None:
    """Close a connection; the peer sees a reset if data was pending."""
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    stream.socket.close()
