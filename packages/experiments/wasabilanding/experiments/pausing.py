"""Pausing a node of the cluster: nothing passes in or out meanwhile.

Explanation
===========

A paused node keeps its memory, its connections and its belief that it holds
a lease. Calls that it was about to send leave when it resumes, and answers
that came meanwhile are seen only then.
"""

import collections.abc
import typing

import httpx
import trio

AsgiApp = collections.abc.Callable[..., collections.abc.Awaitable[None]]


class Gate:
    """Whether a node makes progress."""

    def __init__(self) -> None:
        self._open = trio.Event()
        self._open.set()
        self._closing_path = ""

    @property
    def is_closed(self) -> bool:
        """Whether the node is paused."""
        return not self._open.is_set()

    async def passed(self) -> None:
        """Wait while the node is paused."""
        await self._open.wait()

    def close(self) -> None:
        """Pause the node."""
        self._closing_path = ""
        self._open = trio.Event()

    def close_before(self, path: str) -> None:
        """Pause the node just before it sends a call.

        :param path: start of the call's path.
        """
        self._closing_path = path

    def about_to_send(self, path: str) -> None:
        """Note that the node is about to send a call.

        :param path: path of the call.
        """
        if self._closing_path and path.startswith(self._closing_path):
            self.close()

    def open(self) -> None:
        """Let the node resume."""
        self._closing_path = ""
        self._open.set()


class GatedTransport(httpx.AsyncBaseTransport):
    """Transport of a node that may be paused.

    :param gate: whether the node makes progress.
    :param transport: the transport behind it.
    """

    def __init__(
        self, gate: Gate, transport: httpx.AsyncBaseTransport
    ) -> None:
        self._gate = gate
        self._transport = transport

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request while the node makes progress.

        :param request: the request.
        """
        self._gate.about_to_send(request.url.path)
        await self._gate.passed()
        response = await self._transport.handle_async_request(request)
        await self._gate.passed()
        return response


def gated_app(gate: Gate, app: AsgiApp) -> AsgiApp:
    """Return an ASGI application that sends nothing while paused.

    :param gate: whether the node makes progress.
    :param app: the application.
    """

    async def run(
        scope: dict,
        receive: collections.abc.Callable[..., typing.Any],
        send: collections.abc.Callable[..., typing.Any],
    ) -> None:
        async def send_later(message: dict) -> None:
            await gate.passed()
            await send(message)

        await gate.passed()
        await app(scope, receive, send_later)

    return run
