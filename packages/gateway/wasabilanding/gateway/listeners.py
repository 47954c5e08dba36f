"""Listeners of a node for callers, readiness checks and metrics."""

import collections.abc
import logging
import math

import hypercorn.config
import trio

from wasabilanding.gateway import asgi
from wasabilanding import listening
from wasabilanding import routes

LISTEN_BACKLOG = 1000
MAX_KEEP_ALIVE_REQUESTS = 1_000_000

MaxConnections = collections.abc.Callable[[int], float]


def any_number(head_bytes: int) -> float:
    """Return that any number of connections may be open.

    :param head_bytes: largest size of a request's head.
    """
    return math.inf


class Listener:
    """Serves an ASGI application on an address.

    :param app: the application.
    :param address: IP address and port.
    :param is_bounded: whether answers take a bounded amount of memory.
    :param report_close: called with the end of each connection.
    :param limits: limits to requests and connections.
    :param stop_idle_s: seconds since its last answer for which a connection
        is kept although the listener stops.
    :param max_connections: returns how many connections may be open, for a
        largest size of heads.
    :param parsing: places for requests of many small parts.
    """

    def __init__(
        self,
        app: asgi.App,
        address: str,
        is_bounded: bool = False,
        report_close: listening.ReportClose = listening.report_nothing,
        limits: routes.CallerLimits | None = None,
        stop_idle_s: float = 0.0,
        max_connections: MaxConnections = any_number,
        parsing: listening.ParsingShare | None = None,
    ) -> None:
        self._closed = trio.Event()
        self._config = _http_config(address, is_bounded)
        limits = limits or routes.CallerLimits()
        self._listener = listening.HttpListener(
            app,
            self._config,
            limits.idle_timeout_s,
            report_close,
            stop_idle_s,
            parsing=parsing,
        )
        self._max_connections = max_connections
        self.update_limits(limits)

    def update_limits(self, limits: routes.CallerLimits) -> None:
        """Apply limits to requests and connections from now on.

        :param limits: the limits.
        """
        self._config.h11_max_incomplete_size = limits.max_header_bytes
        self._listener.set_idle_limit(limits.idle_timeout_s)
        self._listener.head_limit_s = limits.header_timeout_s
        self._listener.set_max_connections(
            self._max_connections(limits.max_header_bytes)
        )

    async def serve(self, stopping: trio.Event) -> None:
        """Serve until stopped and all requests in progress are answered.

        Idle connections are closed when it stops, or once callers do not use
        them any more.

        :param stopping: set to stop.
        """
        await self._listener.serve(stopping)
        self._closed.set()

    async def wait_closed(self) -> None:
        """Wait until the last connection has ended."""
        await self._closed.wait()


def _http_config(address: str, is_bounded: bool) -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    if is_bounded:
        config = listening.BoundedConfig()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    config.backlog = LISTEN_BACKLOG
    config.include_server_header = False
    config.include_date_header = False
    config.keep_alive_max_requests = MAX_KEEP_ALIVE_REQUESTS
    config.graceful_timeout = math.inf
    return config
