"""ASGI application that receives callers' requests and writes answers.

It uses plain ASGI, not a web framework, because path, query and body are
forwarded to endpoints byte for byte. If an answer has begun and cannot be
completed, the application returns without sending the last part of the body;
the server then closes the connection, so that the caller sees a truncated
body.
"""

import collections.abc

import trio

from wasabilanding.gateway import answers
from wasabilanding.gateway import asgi
from wasabilanding.gateway import messages

# Time in which the server closes an idle connection.
CLOSE_TIME_S = 0.02
STOPPING = answers.not_run("stopping", "this node stops", 0.0)
Message = asgi.Message
Receive = asgi.Receive
Send = asgi.Send
AddedHeaders = collections.abc.Callable[[], list[messages.Header]]


class BodyTooLarge(Exception):
    """A request's body exceeds the size limit."""


class CallerDisconnected(Exception):
    """A caller disconnected before its request was complete."""


class ResponseWriter:
    """Writes the answer to one request.

    :param send: ASGI callable.
    :param closes_connection: returns whether to close the connection after
        the answer.

    ``caller_left`` tells whether the caller closed its connection before the
    answer was complete.
    """

    def __init__(
        self, send: Send, closes_connection: collections.abc.Callable[[], bool]
    ) -> None:
        self._send = send
        self._closes_connection = closes_connection
        self.status = 0
        self.begun_at: float | None = None
        self.is_complete = False
        self.caller_left = False
        # Returns headers to add to the head of the answer.
        self.added_headers: AddedHeaders = lambda: []

    @property
    def has_begun(self) -> bool:
        """Whether the head of an answer has been sent."""
        return self.status > 0

    async def _send_uninterrupted(self, message: Message) -> None:
        # If a send were cancelled halfway, the server's protocol state would
        # be ahead of the bytes written. A cancellation takes effect after the
        # send, when it is known what the caller has received.
        with trio.CancelScope(shield=True):
            await self._send(message)

    async def begin(self, status: int, headers: list[messages.Header]) -> None:
        """Send the head of the answer.

        :param status: HTTP status.
        :param headers: headers.
        """
        if self._closes_connection():
            headers = [*headers, (b"connection", b"close")]
        headers = [*headers, *self.added_headers()]
        self.status = status
        self.begun_at = trio.current_time()
        await self._send_uninterrupted(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body.

        :param data: the part.
        """
        await self._send_uninterrupted(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self, data: bytes = b"") -> None:
        """Send the last part of the body.

        :param data: the part.
        """
        self.is_complete = True
        await self._send_uninterrupted(
            {"type": "http.response.body", "body": data, "more_body": False}
        )

    async def answer(
        self, answer: answers.Answer, headers: list[messages.Header]
    ) -> None:
        """Send a complete answer that the node generated itself.

        :param answer: the answer.
        :param headers: headers that every answer to the request has.
        """
        body = answer.body
        length = (b"content-length", str(len(body)).encode())
        await self.begin(answer.status, [*headers, *answer.headers, length])
        await self.end(body)


Handler = collections.abc.Callable[
    [messages.RequestHead, bytes, ResponseWriter],
    collections.abc.Awaitable[None],
]


async def _read_body(receive: Receive, limit: int) -> bytes:
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            raise CallerDisconnected()
        size += len(message["body"])
        if size > limit:
            raise BodyTooLarge()
        parts.append(message["body"])
        if not message.get("more_body"):
            return b"".join(parts)


def _head(scope: Message) -> messages.RequestHead:
    path = scope["raw_path"]
    query = scope["query_string"]
    target = path + b"?" + query if query else path
    return messages.RequestHead(
        scope["method"],
        target,
        path.decode("latin-1"),
        tuple(scope["headers"]),
    )


async def _cancel_on_disconnect(
    receive: Receive, response: ResponseWriter, scope: trio.CancelScope
) -> None:
    while True:
        message = await receive()
        if message["type"] != "http.disconnect":
            continue
        # The server also says so after the end of an answer.
        if not response.is_complete:
            response.caller_left = True
            scope.cancel()
        return


def callers_app(
    handle: Handler,
    max_body_bytes: collections.abc.Callable[[], int],
    closes_connection: collections.abc.Callable[[], bool],
    accepts_requests: collections.abc.Callable[[], bool],
    stopping_headers: collections.abc.Sequence[messages.Header] = (),
) -> collections.abc.Callable[..., collections.abc.Awaitable[None]]:
    """Return the ASGI application for callers.

    :param handle: answers a complete request; it is cancelled if the caller
        disconnects.
    :param max_body_bytes: returns the size limit of a request's body.
    :param closes_connection: returns whether to close connections after
        their answers.
    :param accepts_requests: returns whether to pass on a request that has
        just begun to arrive; if not, its connection is being closed.
    :param stopping_headers: headers of the answer to such a request.
    """

    async def run(scope: Message, receive: Receive, send: Send) -> None:
        response = ResponseWriter(send, closes_connection)
        is_accepted = accepts_requests()
        try:
            body = await _read_body(receive, max_body_bytes())
        except CallerDisconnected:
            return
        except BodyTooLarge:
            detail = f"the body is larger than {max_body_bytes()} bytes"
            await response.answer(answers.Answer(413, "too_large", detail), [])
            return
        if not is_accepted:
            # If its connection is being closed, it is by then, and the caller
            # gets no part of an answer.
            await trio.sleep(CLOSE_TIME_S)
            await response.answer(STOPPING, list(stopping_headers))
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_on_disconnect,
                receive,
                response,
                nursery.cancel_scope,
            )
            await handle(_head(scope), body, response)
            nursery.cancel_scope.cancel()

    async def app(scope: Message, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await asgi.run_lifespan(receive, send)
        elif scope["type"] == "http":
            await run(scope, receive, send)

    return app
