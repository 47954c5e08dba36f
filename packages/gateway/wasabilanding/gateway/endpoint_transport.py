"""HTTP transport to one endpoint that reads streams at a lower cost.

Explanation
===========

:mod:`httpcore` begins a time limit for each read, even if none is given. For
streams of many small events it costs about as much as the read, so
:class:`_Stream` reads without one. All else is left to the libraries: httpcore
takes a network backend, and httpx a transport.
"""

import collections.abc
import contextlib
import ssl
import typing

import httpcore
import httpx
import trio


class _Stream(httpcore.AsyncNetworkStream):
    """A connection; reads without a time limit begin none.

    :param inner: the connection as the library made it.
    """

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        self._inner = inner
        self._socket = inner.get_extra_info("socket")

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Return the bytes that arrive next; none at the end."""
        if timeout is not None:
            return await self._inner.read(max_bytes, timeout)
        try:
            return await self._socket.recv(max_bytes)
        except (OSError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(
                f"socket connection broken: {error}"
            ) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes."""
        await self._inner.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._inner.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return an encrypted connection."""
        return await self._inner.start_tls(
            ssl_context, server_hostname, timeout
        )

    def get_extra_info(self, info: str) -> typing.Any:
        """Return a property of the connection."""
        return self._inner.get_extra_info(info)


class _Backend(httpcore.TrioBackend):
    """Establishes connections as the library does."""

    async def connect_tcp(
        self, *args: typing.Any, **kwargs: typing.Any
    ) -> httpcore.AsyncNetworkStream:
        """Return a new connection."""
        return _Stream(await super().connect_tcp(*args, **kwargs))


@contextlib.contextmanager
def _httpx_errors() -> collections.abc.Iterator[None]:
    """Raise the errors of httpcore as those of httpx, of the same names."""
    try:
        yield
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
        httpcore.UnsupportedProtocol,
        httpcore.ProxyError,
    ) as error:
        name = type(error).__name__
        raise getattr(httpx, name)(str(error)) from error


class _Body(httpx.AsyncByteStream):
    """Body of a response.

    :param parts: its parts as they arrive.
    """

    def __init__(self, parts: typing.Any) -> None:
        self._parts = parts

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        with _httpx_errors():
            async for part in self._parts:
                yield part

    async def aclose(self) -> None:
        """End the response; the connection is kept if the body was read."""
        await self._parts.aclose()


class EndpointTransport(httpx.AsyncBaseTransport):
    """Connections to one endpoint, as of :class:`httpx.AsyncHTTPTransport`.

    :param ssl_context: context of encrypted connections.
    :param keepalive_expiry_s: seconds after which an idle connection is not
        used again.
    :param socket_options: options of the sockets.
    """

    def __init__(
        self,
        ssl_context: ssl.SSLContext,
        keepalive_expiry_s: float,
        socket_options: collections.abc.Iterable[tuple[int, int, int]],
    ) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=ssl_context,
            max_connections=None,
            max_keepalive_connections=None,
            keepalive_expiry=keepalive_expiry_s,
            socket_options=socket_options,
            network_backend=_Backend(),
        )

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request and return the response when its head has arrived.

        :param request: the request.
        """
        url = request.url
        sent = httpcore.Request(
            method=request.method,
            url=httpcore.URL(
                scheme=url.raw_scheme,
                host=url.raw_host,
                port=url.port,
                target=url.raw_path,
            ),
            headers=request.headers.raw,
            content=request.stream,
            extensions=request.extensions,
        )
        with _httpx_errors():
            reply = await self._pool.handle_async_request(sent)
        return httpx.Response(
            status_code=reply.status,
            headers=reply.headers,
            stream=_Body(reply.stream),
            extensions=reply.extensions,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
