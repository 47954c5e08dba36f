"""Transports of :mod:`httpx` whose replies are whole and valid.

Explanation
===========

If a connection breaks while a request is written, the HTTP library reads the
reply all the same, as the server may have replied before it had read the whole
request. But a socket reports its reset once. The write has had the report, so
the next read sees an ordinary end, and a body without a length looks whole.
Such a body is an error here.
"""

import collections.abc
import typing

import httpx

from wasabilanding.replies import heads

# Extensions of httpx.
TRACE = "trace"
HTTP_VERSION = "http_version"
REASON = "reason_phrase"
VERSION_PREFIX = b"HTTP/"
SEND_FAILED = (
    "http11.send_request_headers.failed",
    "http11.send_request_body.failed",
)
BROKEN = "the connection broke while the request was written"


class _Writing:
    """Whether a request could not be written completely.

    :param request: the request; what it reports of itself is observed.
    """

    def __init__(self, request: httpx.Request) -> None:
        self.has_failed = False
        self._report = request.extensions.get(TRACE)

    def record(self, event: str, info: typing.Any) -> typing.Any:
        """Record a step of the HTTP library.

        :param event: its name.
        :param info: its details.
        :returns: the result of the request's own observer.
        """
        if event in SEND_FAILED:
            self.has_failed = True
        return self._report(event, info) if self._report else None

    async def record_async(self, event: str, info: typing.Any) -> None:
        """Record a step of the HTTP library for an asynchronous client.

        :param event: its name.
        :param info: its details.
        """
        result = self.record(event, info)
        if result is not None:
            await result


def _head(response: httpx.Response) -> heads.Head:
    version = response.extensions.get(HTTP_VERSION, b"HTTP/1.1")
    return heads.Head(
        response.status_code,
        version.removeprefix(VERSION_PREFIX),
        response.extensions.get(REASON, b""),
        response.headers.raw,
    )


def _check(response: httpx.Response, writing: _Writing) -> bool:
    """Check a reply; return whether its body is cut.

    :raises httpx.RemoteProtocolError: if its head is not valid.
    """
    head = _head(response)
    try:
        heads.check_head(head)
    except heads.InvalidReply as error:
        raise httpx.RemoteProtocolError(str(error)) from None
    return writing.has_failed and not head.is_framed


class _CutBody(httpx.AsyncByteStream, httpx.SyncByteStream):
    """Body whose end is an error.

    :param body: the body.
    """

    def __init__(self, body: typing.Any) -> None:
        self._body = body

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        async for part in self._body:
            yield part
        raise httpx.ReadError(BROKEN)

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        yield from self._body
        raise httpx.ReadError(BROKEN)

    async def aclose(self) -> None:
        """End the response."""
        await self._body.aclose()

    def close(self) -> None:
        """End the response."""
        self._body.close()


class WholeReplies(httpx.AsyncBaseTransport):
    """Transport whose replies are whole and valid, or errors.

    :param transport: the transport.
    """

    def __init__(self, transport: httpx.AsyncBaseTransport) -> None:
        self._transport = transport

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request and return the reply.

        :param request: the request.
        :raises httpx.RemoteProtocolError: if the head of the reply is not
            valid.
        """
        writing = _Writing(request)
        request.extensions = {
            **request.extensions,
            TRACE: writing.record_async,
        }
        response = await self._transport.handle_async_request(request)
        try:
            is_cut = _check(response, writing)
        except httpx.RemoteProtocolError:
            await response.aclose()
            raise
        if is_cut:
            response.stream = _CutBody(response.stream)
        return response

    async def aclose(self) -> None:
        """Close all connections."""
        await self._transport.aclose()


class WholeRepliesSync(httpx.BaseTransport):
    """The same for clients that are not asynchronous.

    :param transport: the transport.
    """

    def __init__(self, transport: httpx.BaseTransport) -> None:
        self._transport = transport

    def handle_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return the reply.

        :param request: the request.
        :raises httpx.RemoteProtocolError: if the head of the reply is not
            valid.
        """
        writing = _Writing(request)
        request.extensions = {**request.extensions, TRACE: writing.record}
        response = self._transport.handle_request(request)
        try:
            is_cut = _check(response, writing)
        except httpx.RemoteProtocolError:
            response.close()
            raise
        if is_cut:
            response.stream = _CutBody(response.stream)
        return response

    def close(self) -> None:
        """Close all connections."""
        self._transport.close()
