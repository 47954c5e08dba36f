"""Bounds on what is read of an endpoint's reply.

Explanation
===========

A faulty endpoint sends bytes without end. The HTTP library keeps a body as a
whole, and its timeout holds for each read, so that such a body takes all
memory. Here the connection is closed once a body exceeds its bound. The body
of a success may be a stream of events, whose events are bounded where they
are parsed. The HTTP library bounds heads by itself.
"""

import collections.abc

import httpx

MIB = 1024 * 1024
MAX_ANSWER_BYTES = 64 * MIB
MAX_FAILURE_BYTES = 2 * MIB
MAX_EVENT_BYTES = 2 * MIB

MaxBytes = collections.abc.Callable[[httpx.Response], float]


class ReplyTooLarge(httpx.RemoteProtocolError):
    """A reply is larger than its bound.

    :param what: the part of the reply.
    :param max_bytes: the bound.
    """

    def __init__(self, what: str, max_bytes: float) -> None:
        super().__init__(f"{what} of more than {max_bytes} bytes")


def of_answers(response: httpx.Response) -> float:
    """Return the bound of a reply that is kept as a whole.

    :param response: the reply, whose body has not been read.
    """
    return MAX_FAILURE_BYTES if response.is_error else MAX_ANSWER_BYTES


def of_streams(response: httpx.Response) -> float:
    """Return the bound of a reply that is a stream of events or a failure.

    :param response: the reply, whose body has not been read.
    """
    return MAX_FAILURE_BYTES if response.is_error else float("inf")


class _BoundedBody(httpx.AsyncByteStream):
    """Body of a reply that ends with an error beyond its bound.

    :param body: the body.
    :param max_bytes: its bound.
    """

    def __init__(self, body: httpx.AsyncByteStream, max_bytes: float) -> None:
        self._body = body
        self._max_bytes = max_bytes

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        size = 0
        async for part in self._body:
            size += len(part)
            if size > self._max_bytes:
                raise ReplyTooLarge("a body", self._max_bytes)
            yield part

    async def aclose(self) -> None:
        """Close the connection unless the body was read to its end."""
        await self._body.aclose()


class BoundedTransport(httpx.AsyncBaseTransport):
    """Transport that bounds the bodies of replies.

    :param transport: the transport that is bounded.
    :param max_bytes: returns the bound of a reply in bytes.
    """

    def __init__(
        self, transport: httpx.AsyncBaseTransport, max_bytes: MaxBytes
    ) -> None:
        self._transport = transport
        self._max_bytes = max_bytes

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request; return the reply with its body bounded.

        :param request: the request.
        """
        response = await self._transport.handle_async_request(request)
        response.stream = _BoundedBody(
            response.stream, self._max_bytes(response)
        )
        return response

    async def aclose(self) -> None:
        """Close all connections."""
        await self._transport.aclose()
