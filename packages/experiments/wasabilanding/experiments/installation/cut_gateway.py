"""A gateway whose links to endpoints can be cut while others stay.

Explanation
===========

A proxy in front of an endpoint cuts all gateways off alike. So the sockets of
one gateway are cut in its own process: those that lead to the ports of
endpoints follow the mode that a file names, or only those to the ports that
follow the mode there; an empty or missing file means that nothing is cut. All
else, to peers, store and callers, is untouched.

``hang``
    Nothing arrives in either direction; bytes are sent once the cut ends.
``reset``
    Connections are reset, and new ones are refused.
``refuse``
    Open connections live on, and new ones are refused.

:data:`PROGRAM` is run by Python with the options of the gateway, and blocks
SIGHUP at first as the gateway does; the environment names file and ports.
"""

import collections.abc
import os
import pathlib
import socket
import typing

import trio

from wasabilanding.gateway import main

PROGRAM = (
    f"from wasabilanding import gatewayd;gatewayd.start({__name__!r}, 'run')"
)
CUT_FILE = "WASABILANDING_CUT_FILE"
CUT_PORTS = "WASABILANDING_CUT_PORTS"
HANG = "hang"
RESET = "reset"
REFUSE = "refuse"
NONE = ""
MODES = (HANG, RESET, REFUSE)
POLL_S = 0.05

Socket = typing.Any
Call = collections.abc.Callable[..., collections.abc.Awaitable[typing.Any]]


class Cut:
    """The links of this process to some ports.

    :param path: file that names the mode.
    :param ports: ports of the endpoints.
    """

    def __init__(self, path: pathlib.Path, ports: frozenset[int]) -> None:
        self._path = path
        self._ports = ports
        # Bytes that wait for the end of the cut, by socket.
        self._unsent: dict[Socket, bytes] = {}

    @property
    def _words(self) -> list[str]:
        """The mode that is in force and the ports that are cut."""
        try:
            return self._path.read_text().split() or [NONE]
        except FileNotFoundError:
            return [NONE]

    @property
    def mode(self) -> str:
        """The mode that is in force."""
        return self._words[0]

    def concerns(self, address: tuple[str, int]) -> bool:
        """Return whether an address is one of an endpoint that may be cut.

        :param address: IP address and port.
        """
        chosen = self._words[1:]
        if chosen and str(address[1]) not in chosen:
            return False
        return address[1] in self._ports

    def leads_to_endpoint(self, sock: Socket) -> bool:
        """Return whether a socket is connected to an endpoint.

        :param sock: the socket.
        """
        try:
            return self.concerns(sock.getpeername())
        except OSError:
            return False

    async def wait_ended(self) -> None:
        """Wait until connections do not hang."""
        while self.mode == HANG:
            await trio.sleep(POLL_S)

    async def connect(self, call: Call, sock: Socket, address: typing.Any):
        """Connect as the mode says."""
        if self.concerns(address):
            await self.wait_ended()
            if self.mode in (RESET, REFUSE):
                raise ConnectionRefusedError("cut")
        return await call(sock, address)

    async def send(self, call: Call, sock: Socket, data: bytes, *flags):
        """Send as the mode says; a partition takes what it loses later."""
        if not self.leads_to_endpoint(sock):
            return await call(sock, data, *flags)
        mode = self.mode
        if mode == RESET:
            raise ConnectionResetError("cut")
        if mode == HANG:
            waiting = self._unsent.get(sock, b"")
            self._unsent[sock] = waiting + bytes(data)
            await trio.lowlevel.checkpoint()
            return len(data)
        await self._flush(call, sock)
        return await call(sock, data, *flags)

    async def _flush(self, call: Call, sock: Socket) -> None:
        left = self._unsent.pop(sock, b"")
        while left:
            left = left[await call(sock, left) :]

    async def receive(
        self, call: Call, send: Call, sock: Socket, *arguments: typing.Any
    ):
        """Receive as the mode says, also if it changes meanwhile."""
        if not self.leads_to_endpoint(sock):
            return await call(sock, *arguments)
        while True:
            await self.wait_ended()
            if self.mode == RESET:
                raise ConnectionResetError("cut")
            await self._flush(send, sock)
            with trio.move_on_after(POLL_S):
                return await call(sock, *arguments)


def install(cut: Cut) -> None:
    """Let all sockets of this process follow a cut.

    :param cut: the cut.
    """
    with socket.socket() as plain:
        kind = type(trio.socket.from_stdlib_socket(plain))
    connect, send, receive = kind.connect, kind.send, kind.recv
    kind.connect = lambda sock, address: cut.connect(connect, sock, address)
    kind.send = lambda sock, data, *flags: cut.send(send, sock, data, *flags)
    kind.recv = lambda sock, *rest: cut.receive(receive, send, sock, *rest)


def run() -> None:
    """Run a gateway that can be cut."""
    install(
        Cut(
            pathlib.Path(os.environ[CUT_FILE]),
            frozenset(map(int, os.environ[CUT_PORTS].split(","))),
        )
    )
    main.app()
