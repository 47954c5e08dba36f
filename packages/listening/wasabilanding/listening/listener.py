"""Listener of an HTTP server.

The server (:mod:`hypercorn`) speaks HTTP on each connection. Accepting, and
the end of connections, are decided here: the server's own timer for idle
connections never ends.
"""

import collections.abc
import contextlib
import dataclasses
import logging
import math

import hypercorn.app_wrappers
import hypercorn.config
from hypercorn.trio import lifespan
from hypercorn.trio import worker_context
import hypercorn.typing
import trio

from wasabilanding.listening import close_monitor
from wasabilanding.listening import closes
from wasabilanding.listening import connection as connection_module
from wasabilanding.listening import connection_budget
from wasabilanding.listening import cut_answers
from wasabilanding.listening import http_server
from wasabilanding.listening import idle_limit
from wasabilanding.listening import parsing_share
from wasabilanding.listening import request_body

# Key of the connection in the state of a request's scope.
CONNECTION = "connection"
TRANSFER_ENCODING = b"transfer-encoding"
# Seconds within which the head of a request must arrive.
DEFAULT_HEAD_LIMIT_S = 10.0
NOT_LOGGED = (
    closes.CloseCause.CALLER,
    closes.CloseCause.LIMIT,
)
ReportClose = collections.abc.Callable[[closes.Close], None]
_LOG = logging.getLogger(__name__)


def report_nothing(close: closes.Close) -> None:
    """Report nothing of the end of a connection."""


@dataclasses.dataclass(frozen=True)
class _Served:
    """A connection that is served.

    :param connection: the connection.
    :param nursery: tasks that end with it.
    """

    connection: connection_module.Connection
    nursery: trio.Nursery


def _served(scope: request_body.Message) -> _Served | None:
    """Return the connection of a request; None for other scopes."""
    return scope.get("state", {}).get(CONNECTION)


def is_broken(scope: request_body.Message) -> bool:
    """Return whether a part of the answer to a request could not be sent.

    The server does not say so: it also reports the end of a whole answer as a
    disconnection.

    :param scope: scope of the request.
    """
    served = _served(scope)
    return served is not None and served.connection.is_broken


def has_caller_closed(scope: request_body.Message) -> bool:
    """Return whether the caller of a request has closed its connection.

    The server's message that says so arrives later, when its reader runs.

    :param scope: scope of the request.
    """
    served = _served(scope)
    return served is not None and served.connection.has_caller_closed


def _is_chunked(scope: request_body.Message) -> bool:
    return any(name == TRANSFER_ENCODING for name, _ in scope["headers"])


def _keeping_connections(app: request_body.App) -> request_body.App:
    """Return an application whose requests keep their connections open.

    Nothing is awaited before, so that a connection with a request that was
    read is never closed as idle.
    """

    async def run(
        scope: request_body.Message,
        receive: request_body.Receive,
        send: request_body.Send,
    ) -> None:
        served = _served(scope)
        if served is None:
            await app(scope, receive, send)
            return
        connection, nursery = served.connection, served.nursery
        with connection.request(_is_chunked(scope)):
            if scope.get("http_version") != cut_answers.HTTP_10:
                await request_body.run(
                    app, scope, receive, send, nursery, connection
                )
                return
            answer = cut_answers.CutAnswer(connection, send)
            with contextlib.closing(answer):
                await request_body.run(
                    app, scope, receive, answer.send, nursery, connection
                )

    return run


class HttpListener:
    """Serves an ASGI application.

    :param app: the application.
    :param config: addresses and limits of the server. Its limit on idle
        connections is set here and has no end.
    :param idle_limit_s: limit on idle connections in seconds.
    :param report: called with the end of each connection.
    :param stop_idle_s: seconds since its last answer for which a connection
        is kept although the listener stops: its callers do not use it later.
    :param max_connections: connections that may be open at the same time.
    :param parsing: places for requests of many small parts; listeners of a
        process share them.
    """

    def __init__(
        self,
        app: request_body.App,
        config: hypercorn.config.Config,
        idle_limit_s: float,
        report: ReportClose = report_nothing,
        stop_idle_s: float = 0.0,
        max_connections: float = connection_budget.NO_LIMIT,
        parsing: parsing_share.ParsingShare | None = None,
    ) -> None:
        self._app = hypercorn.app_wrappers.ASGIWrapper(
            _keeping_connections(app)
        )
        self._config = config
        config.keep_alive_timeout = math.inf
        self._idle_limit = idle_limit.IdleLimit(idle_limit_s)
        self._parsing = parsing or parsing_share.ParsingShare()
        self.head_limit_s = DEFAULT_HEAD_LIMIT_S
        self._report_close = report
        self._stop_idle_s = stop_idle_s
        self._is_stopping = False
        self._connections = connection_budget.ConnectionBudget(max_connections)
        self._monitor = close_monitor.CloseMonitor()

    @property
    def open_connections(self) -> int:
        """Number of connections."""
        return len(self._connections)

    def set_idle_limit(self, seconds: float) -> None:
        """Change the limit on idle connections, also on those open.

        :param seconds: the limit.
        """
        self._idle_limit.set(seconds, trio.current_time())
        for connection in self._connections:
            connection.refresh_limit()

    def set_max_connections(self, number: float) -> None:
        """Change how many connections may be open; none is closed at once.

        :param number: the number.
        """
        self._connections.limit = number

    async def serve(self, stopping: trio.Event) -> None:
        """Serve until stopped and all requests in progress are answered.

        Connections that callers may still use are kept until then.

        :param stopping: set to stop.
        """
        started = lifespan.Lifespan(self._app, self._config, {})
        with self._monitor:
            await self._serve(started, stopping)

    async def _serve(
        self, started: lifespan.Lifespan, stopping: trio.Event
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._monitor.run)
            await nursery.start(started.handle_lifespan)
            await started.wait_for_startup()
            async with trio.open_nursery() as connections:
                await self._accept(connections, stopping)
                self._stop()
            await started.wait_for_shutdown()
            nursery.cancel_scope.cancel()

    def _stop(self) -> None:
        self._is_stopping = True
        for connection in self._connections:
            connection.stop()

    async def _accept(
        self, connections: trio.Nursery, stopping: trio.Event
    ) -> None:
        """Accept connections until stopped."""
        listeners = []
        for sock in self._config.create_sockets().insecure_sockets:
            sock.listen(self._config.backlog)
            listeners.append(
                trio.SocketListener(trio.socket.from_stdlib_socket(sock))
            )
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                lambda: trio.serve_listeners(
                    self._serve_connection,
                    listeners,
                    handler_nursery=connections,
                )
            )
            await stopping.wait()
            accepting.cancel_scope.cancel()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve a connection; :func:`trio.serve_listeners` closes it.

        An error of the server ends this connection only: all connections run
        in one nursery.
        """
        context = worker_context.WorkerContext(None)
        connection = connection_module.Connection(
            stream,
            lambda: self._idle_limit.current(trio.current_time()),
            lambda: self.head_limit_s,
            # Ends the server's timer, which waits for nothing else.
            context.terminated.set,
            self._report,
            self._stop_idle_s,
            self._parsing,
        )
        with self._connections.holding(connection) as is_admitted:
            if not is_admitted:
                connection.end_at_limit()
                return
            if self._is_stopping:
                connection.stop()
            await self._serve_admitted(context, connection)

    async def _serve_admitted(
        self,
        context: worker_context.WorkerContext,
        connection: connection_module.Connection,
    ) -> None:
        """Serve a connection until its end, and report the end."""
        try:
            with (
                connection.scope,
                self._monitor.watching(
                    connection.socket, connection.record_caller_close
                ),
            ):
                await self._serve_http(context, connection)
        except* Exception:
            _LOG.exception("the HTTP server fails on a connection")
        finally:
            connection.finish()

    async def _serve_http(
        self,
        context: worker_context.WorkerContext,
        connection: connection_module.Connection,
    ) -> None:
        async with trio.open_nursery() as nursery:
            state = {CONNECTION: _Served(connection, nursery)}
            await http_server.HttpServer(
                self._app,
                self._config,
                context,
                hypercorn.typing.ConnectionState(state),
                connection,
            )
            nursery.cancel_scope.cancel()

    def _report(self, close: closes.Close) -> None:
        self._report_close(close)
        # Closes at the limit are logged together, in the connections' budget.
        if close.cause not in NOT_LOGGED and close.is_unanswered:
            _LOG.warning(
                "closes a connection with an unanswered request",
                extra={
                    "cause": close.cause.value,
                    "idle_s": round(close.idle_s, 4),
                    "received_s": round(close.received_s, 4),
                    "limit_s": close.limit_s,
                },
            )
