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
from wasabilanding.gateway import memory_account
from wasabilanding.gateway import messages
from wasabilanding import listening

# Parts between which a write stops once the answer's time has passed.
WRITE_BYTES = 64 * 1024
NOT_SENT = answers.Answer(408, "body_not_sent", listening.NOT_SENT_DETAIL)
STOPPING = answers.not_run("stopping", "this node stops", 0.0)
Message = asgi.Message
Receive = asgi.Receive
Send = asgi.Send
AddedHeaders = collections.abc.Callable[[], list[messages.Header]]
TimeLimit = collections.abc.Callable[[messages.RequestHead], float]
EchoedHeaders = collections.abc.Callable[
    [messages.RequestHead], list[messages.Header]
]


class ResponseWriter:
    """Writes the answer to one request.

    :param send: ASGI callable.
    :param closes_connection: returns whether to close the connection after
        the answer.
    :param is_broken: returns whether a part could not be sent.
    :param has_caller_closed: returns whether the caller has closed its
        connection, read or not.

    ``caller_left`` tells whether the caller closed its connection before the
    answer was complete. A write that the caller does not read is not
    interrupted within a part of :data:`WRITE_BYTES`; the kernel ends the
    connection of a caller that reads nothing for a time (see
    :mod:`wasabilanding.listening.bounded_sockets`).
    """

    def __init__(
        self,
        send: Send,
        closes_connection: collections.abc.Callable[[], bool],
        is_broken: collections.abc.Callable[[], bool] = lambda: False,
        has_caller_closed: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        self._send = send
        self.has_caller_closed = has_caller_closed
        self._closes_connection = closes_connection
        self._is_broken = is_broken
        self.status = 0
        self.begun_at: float | None = None
        self.is_complete = False
        self.caller_left = False
        # Cancels what answers the request.
        self.end_request: collections.abc.Callable[[], None] = lambda: None
        # Local monotonic time in seconds after which no part is written.
        self.deadline_at = float("inf")
        # Seconds that the longest write took.
        self.unread_s = 0.0
        # Returns headers to add to the head of the answer.
        self.added_headers: AddedHeaders = lambda: []

    @property
    def has_begun(self) -> bool:
        """Whether the head of an answer has been sent."""
        return self.status > 0

    def record_caller_left(self) -> None:
        """End the request, as its caller has closed the connection."""
        if not self.is_complete:
            self.caller_left = True
            self.end_request()

    async def _send_uninterrupted(self, message: Message) -> None:
        # If a send were cancelled halfway, the server's protocol state would
        # be ahead of the bytes written. A cancellation takes effect after the
        # send, when it is known what the caller has received.
        begun_at = trio.current_time()
        with trio.CancelScope(shield=True):
            await self._send(message)
        took_s = trio.current_time() - begun_at
        self.unread_s = max(self.unread_s, took_s)

    async def _write_but_last(self, data: bytes) -> bytes:
        """Write all parts of some data but the last one, which is returned.

        If the answer's time has passed, the rest is not written: the scope
        that ends the request is cancelled then.
        """
        if self.deadline_at == float("inf"):
            return data
        start = 0
        while len(data) - start > WRITE_BYTES:
            part = data[start : start + WRITE_BYTES]
            start += WRITE_BYTES
            await self._send_uninterrupted(
                {"type": "http.response.body", "body": part, "more_body": True}
            )
            if trio.current_time() >= self.deadline_at:
                await trio.lowlevel.checkpoint()
        return data[start:]

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
        data = await self._write_but_last(data)
        await self._send_uninterrupted(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self, data: bytes = b"") -> None:
        """Send the last part of the body.

        :param data: the part.
        """
        data = await self._write_but_last(data)
        self.is_complete = True
        await self._send_uninterrupted(
            {"type": "http.response.body", "body": data, "more_body": False}
        )
        if self._is_broken():
            self.is_complete = False
            self.caller_left = True

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

    async def refuse(
        self,
        answer: answers.Answer,
        headers: list[messages.Header],
        receive: Receive,
    ) -> None:
        """Send an answer that the node generated before it read the body.

        :param answer: the answer.
        :param headers: headers that the answer has in addition.
        :param receive: ASGI callable; the rest of the body is discarded.
        """
        body = answer.body
        length = (b"content-length", str(len(body)).encode())
        await self.begin(answer.status, [*headers, *answer.headers, length])
        await self.write(body)
        await listening.discard_body(receive)
        await self.end()


Handler = collections.abc.Callable[
    [messages.RequestHead, bytes, ResponseWriter],
    collections.abc.Awaitable[None],
]


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
    receive: Receive, response: ResponseWriter
) -> None:
    while True:
        message = await receive()
        if message["type"] != "http.disconnect":
            continue
        # The server also says so after the end of an answer.
        response.record_caller_left()
        return


def callers_app(
    handle: Handler,
    max_body_bytes: collections.abc.Callable[[], int],
    closes_connection: collections.abc.Callable[[], bool],
    accepts_requests: collections.abc.Callable[[], bool],
    stopping_headers: collections.abc.Sequence[messages.Header] = (),
    account: memory_account.MemoryAccount | None = None,
    kind: memory_account.Kind = memory_account.Kind.REQUEST,
    echoed_headers: EchoedHeaders = lambda head: [],
    time_limit_s: TimeLimit = lambda head: listening.NO_TIME_LIMIT,
) -> collections.abc.Callable[..., collections.abc.Awaitable[None]]:
    """Return the ASGI application for callers.

    :param handle: answers a complete request; it is cancelled if the caller
        disconnects.
    :param max_body_bytes: returns the size limit of a request's body.
    :param closes_connection: returns whether to close connections after
        their answers.
    :param accepts_requests: returns whether to pass on a request that has
        just begun to arrive; if not, the node stops.
    :param stopping_headers: headers of the answer to such a request, and to
        one that is refused for lack of memory or whose body is not sent.
    :param account: the node's memory; None for no bound.
    :param kind: what the bodies count as.
    :param echoed_headers: returns the headers that every answer to a request
        has.
    :param time_limit_s: returns the seconds within which a request must be
        answered.
    """
    found = account or memory_account.unbounded()

    async def run(scope: Message, receive: Receive, send: Send) -> None:
        with found.reserve(kind) as held:
            await answer(scope, receive, send, held)

    async def answer(
        scope: Message,
        receive: Receive,
        send: Send,
        held: listening.Reservation,
    ) -> None:
        response = ResponseWriter(
            send,
            closes_connection,
            lambda: listening.is_broken(scope),
            lambda: listening.has_caller_closed(scope),
        )
        is_accepted = accepts_requests()
        limit = max_body_bytes()
        limits = listening.BodyLimits(
            limit, lambda: time_limit_s(_head(scope))
        )
        try:
            body = await listening.read_body(
                receive, scope["headers"], limits, found, held
            )
        except listening.CallerDisconnected:
            return
        except listening.BodyNotSent:
            held.resize(0)
            found.count_body_not_sent()
            echoed = [*echoed_headers(_head(scope)), *stopping_headers]
            await response.answer(NOT_SENT, echoed)
            return
        except listening.MemoryRefused as refusal:
            held.resize(0)
            refused = found.refuse(refusal, trio.current_time())
            echoed = [*echoed_headers(_head(scope)), *stopping_headers]
            await response.refuse(refused, echoed, receive)
            return
        except listening.BodyTooLarge:
            detail = f"the body is larger than {limit} bytes"
            too_large = answers.Answer(413, "too_large", detail)
            if found.is_bounded:
                held.resize(0)
                await response.refuse(too_large, [], receive)
            else:
                await response.answer(too_large, [])
            return
        if not is_accepted:
            await response.answer(STOPPING, list(stopping_headers))
            return
        async with trio.open_nursery() as nursery:
            response.end_request = nursery.cancel_scope.cancel
            nursery.start_soon(_cancel_on_disconnect, receive, response)
            await handle(_head(scope), body, response)
            nursery.cancel_scope.cancel()

    async def app(scope: Message, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await asgi.run_lifespan(receive, send)
        elif scope["type"] == "http":
            await run(scope, receive, send)

    return app
