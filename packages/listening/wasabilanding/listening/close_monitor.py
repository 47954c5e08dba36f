"""Closes of connections that are not being read.

Explanation
===========

The HTTP server reads on only when a request has been answered, if more than
one has arrived. The close of the connection then stands behind bytes that
nobody reads. The kernel reports it all the same, as ``EPOLLRDHUP``. One epoll
instance watches the sockets of all connections of a listener for this event
alone, and trio waits for that instance as for a socket. A socket is registered
once, not for each request, and its close is reported once.
"""

import collections.abc
import contextlib
import select
import typing

import trio

_EVENTS = select.EPOLLRDHUP | select.EPOLLONESHOT


class CloseMonitor:
    """Tells when the other side closes a connection; a context manager."""

    def __init__(self) -> None:
        self._epoll: select.epoll | None = None
        # By file descriptor.
        self._callbacks: dict[int, collections.abc.Callable[[], None]] = {}

    def __enter__(self) -> "CloseMonitor":
        self._epoll = select.epoll()
        return self

    def __exit__(self, *error: typing.Any) -> None:
        self._epoll.close()
        self._callbacks.clear()

    @contextlib.contextmanager
    def watching(
        self,
        sock: trio.socket.SocketType,
        on_close: collections.abc.Callable[[], None],
    ) -> collections.abc.Iterator[None]:
        """Watch a connection until the end of the block.

        :param sock: its socket.
        :param on_close: called once the other side has closed it.
        """
        descriptor = sock.fileno()
        self._epoll.register(descriptor, _EVENTS)
        self._callbacks[descriptor] = on_close
        try:
            yield
        finally:
            # The kernel removes closed sockets itself, and another connection
            # may have the descriptor by then.
            if sock.fileno() == descriptor:
                self._epoll.unregister(descriptor)
            if self._callbacks.get(descriptor) is on_close:
                del self._callbacks[descriptor]

    async def run(self) -> None:
        """Report closes; never returns."""
        while True:
            await trio.lowlevel.wait_readable(self._epoll.fileno())
            for descriptor, _ in self._epoll.poll(0):
                on_close = self._callbacks.get(descriptor)
                if on_close is not None:
                    on_close()
