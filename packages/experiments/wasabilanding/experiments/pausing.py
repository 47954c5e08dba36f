"""Simulates a paused node, which neither sends nor receives.

Explanation
===========

A paused node keeps its memory and its connections, and still assumes that it
holds its lease. When it resumes, it sends the calls that it was about to send
and processes the responses that arrived during the pause.
"""

import collections.abc
import typing

import httpx
import trio

AsgiApp = collections.abc.Callable[..., collections.abc.Awaitable[None]]


class PauseGate:
    """Blocks the calls of a node while it is paused."""

    def __init__(self) -> None:
        self._open = trio.Event()
        self._open.set()
        self._close_before_path = ""

    @property
    def is_closed(self) -> bool:
        """Whether the node is paused."""
        return not self._open.is_set()

    async def wait_until_open(self) -> None:
        """Wait until the node is not paused."""
        await self._open.wait()

    def close(self) -> None:
        """Pause the node."""
        self._close_before_path = ""
        self._open = trio.Event()

    def close_before_call(self, path: str) -> None:
        """Pause the node just before its next call to a path.

        :param path: path prefix of the call.
        """
        self._close_before_path = path

    def before_send(self, path: str) -> None:
        """Pause the node if it is to be paused before this call.

        :param path: path of the call.
        """
        if self._close_before_path and path.startswith(
            self._close_before_path
        ):
            self.close()

    def open(self) -> None:
        """Resume the node."""
        self._close_before_path = ""
        self._open.set()


class PausableTransport(httpx.AsyncBaseTransport):
    """HTTP transport that blocks while its node is paused.

    :param gate: pause gate of the node.
    :param transport: transport that sends the requests.
    """

    def __init__(
        self, gate: PauseGate, transport: httpx.AsyncBaseTransport
    ) -> None:
        self._gate = gate
        self._transport = transport

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request and return its response, each while not paused.

        :param request: the request.
        """
        self._gate.before_send(request.url.path)
        await self._gate.wait_until_open()
        response = await self._transport.handle_async_request(request)
        await self._gate.wait_until_open()
        return response


def pausable_app(gate: PauseGate, app: AsgiApp) -> AsgiApp:
    """Return an ASGI application that blocks while its node is paused.

    :param gate: pause gate of the node.
    :param app: application to wrap.
    """

    async def run(
        scope: dict,
        receive: collections.abc.Callable[..., typing.Any],
        send: collections.abc.Callable[..., typing.Any],
    ) -> None:
        async def send_when_open(message: dict) -> None:
            await gate.wait_until_open()
            await send(message)

        await gate.wait_until_open()
        await app(scope, receive, send_when_open)

    return run
