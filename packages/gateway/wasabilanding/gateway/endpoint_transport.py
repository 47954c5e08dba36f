"""HTTP transport to one endpoint, over connections that are used again."""

import collections.abc
import re

import h11
import httpx
import trio

from wasabilanding.gateway import endpoint_connection
from wasabilanding import limits

# Extension of a request: called once a connection is ready for it.
BEFORE_SEND = "before_send"
# Extension of a response: its connection.
CONNECTION = "connection"
# For endpoints that do not announce their timeout of idle connections.
DEFAULT_IDLE_TIMEOUT_S = 5.0
# Fraction of the announced timeout after which a connection is not reused.
IDLE_FRACTION = 0.75
DEFAULT_REUSE_S = DEFAULT_IDLE_TIMEOUT_S * IDLE_FRACTION
_KEEP_ALIVE = b"keep-alive"
_TIMEOUT = re.compile(rb"timeout=(\d{1,6})")


def _read_idle_timeout(
    head: h11.Response, connection: endpoint_connection.EndpointConnection
) -> None:
    """Keep a connection for as long as a reply announces, if it does.

    :param head: head of the reply.
    :param connection: its connection.
    """
    for name, value in head.headers:
        found = _TIMEOUT.search(value) if name == _KEEP_ALIVE else None
        if found:
            connection.reuse_s = float(found.group(1)) * IDLE_FRACTION


class _Body(httpx.AsyncByteStream):
    """Body of a response.

    :param parts: its parts as they arrive.
    :param end: ends the exchange.
    """

    def __init__(
        self,
        parts: collections.abc.AsyncIterator[bytes],
        end: collections.abc.Callable[[], None],
    ) -> None:
        self._parts = parts
        self._end = end
        self._is_ended = False

    def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        return self._parts

    async def aclose(self) -> None:
        """End the response; the connection is kept if the body was read."""
        if not self._is_ended:
            self._is_ended = True
            self._end()


class EndpointTransport(httpx.AsyncBaseTransport):
    """Connections to one endpoint, as of :class:`httpx.AsyncHTTPTransport`.

    A connection is used again for as long as its replies announce.

    :param share: share of the endpoint in the node's reading.
    :param socket_options: options of the sockets.
    :param reuse_s: seconds for which an idle connection is used again whose
        replies announce nothing.
    """

    def __init__(
        self,
        share: limits.ReadShare,
        socket_options: endpoint_connection.SocketOptions,
        reuse_s: float = DEFAULT_REUSE_S,
    ) -> None:
        self._share = share
        self._reuse_s = reuse_s
        self._socket_options = tuple(socket_options)
        # The one that was used last stands at the end.
        self._idle: list[endpoint_connection.EndpointConnection] = []
        self._is_closed = False

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request and return the response when its head has arrived.

        :param request: the request. :data:`BEFORE_SEND` may raise an error if
            it must not be sent any more.
        """
        timeout = request.extensions.get("timeout", {})
        connection = await self._connection(request)
        self._check(request, connection)
        try:
            await connection.send(request, timeout.get("write"))
            head = await connection.read_head(timeout.get("read"))
        except BaseException:
            connection.close()
            raise
        _read_idle_timeout(head, connection)
        return httpx.Response(
            status_code=head.status_code,
            headers=head.headers.raw_items(),
            stream=_Body(
                connection.read_body(timeout.get("read")),
                lambda: self._end_exchange(connection),
            ),
            extensions={CONNECTION: connection},
        )

    async def aclose(self) -> None:
        """Close all connections that are idle, and the others at their end."""
        self._is_closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _connection(
        self, request: httpx.Request
    ) -> endpoint_connection.EndpointConnection:
        """Return an idle connection, or a new one."""
        connection = self._take_idle(request)
        if connection is not None:
            return connection
        timeout = request.extensions.get("timeout", {})
        stream = await endpoint_connection.connect(
            request.url.host,
            request.url.port or 80,
            self._socket_options,
            timeout.get("connect"),
        )
        connection = endpoint_connection.EndpointConnection(
            stream, self._share
        )
        connection.idle_since = trio.current_time()
        connection.reuse_s = self._reuse_s
        return connection

    def _take_idle(
        self, request: httpx.Request
    ) -> endpoint_connection.EndpointConnection | None:
        """Return an idle connection that may carry a request, if any.

        One on which something has arrived is not used again: nothing that
        arrives before a request is sent belongs to it.
        """
        request_id = request.extensions.get(endpoint_connection.REQUEST_ID, "")
        self._close_expired()
        for connection in reversed(self._idle.copy()):
            if connection.is_readable:
                self._idle.remove(connection)
                connection.close()
            elif connection.may_carry(request_id):
                self._idle.remove(connection)
                return connection
        return None

    def _check(
        self,
        request: httpx.Request,
        connection: endpoint_connection.EndpointConnection,
    ) -> None:
        """Check that a request may be sent, now that it has a connection."""
        before_send = request.extensions.get(BEFORE_SEND)
        if before_send is None:
            return
        try:
            before_send()
        except BaseException:
            self._keep(connection)
            raise

    def _end_exchange(
        self, connection: endpoint_connection.EndpointConnection
    ) -> None:
        if connection.end_exchange():
            connection.idle_since = trio.current_time()
            self._keep(connection)
        else:
            connection.close()

    def _keep(
        self, connection: endpoint_connection.EndpointConnection
    ) -> None:
        if self._is_closed:
            connection.close()
            return
        self._idle.append(connection)

    def _close_expired(self) -> None:
        now = trio.current_time()
        expired = [c for c in self._idle if c.idle_since + c.reuse_s < now]
        for connection in expired:
            self._idle.remove(connection)
            connection.close()
