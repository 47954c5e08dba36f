"""Bodies of requests to an application that counts none itself.

Explanation
===========

The whole body is read under the account of the process before the application
sees the request, which it then gets in one part. Requests that are refused
have not run; the application's own package says what their answers look like.
"""

import collections.abc
import dataclasses

from wasabilanding.listening import body_reader
from wasabilanding.listening import memory_account
from wasabilanding.listening import request_body

HTTP_REQUEST_TIMEOUT = 408
HTTP_CONTENT_TOO_LARGE = 413
HTTP_UNAVAILABLE = 503
# The application holds a second copy of a body while it handles a request.
COPIES = 2


@dataclasses.dataclass(frozen=True)
class RefusedAnswer:
    """Answer to a request that is refused.

    :param status: HTTP status.
    :param headers: its headers, without the length.
    :param body: its body.
    """

    status: int
    headers: collections.abc.Sequence[body_reader.Header]
    body: bytes


AnswerRefused = collections.abc.Callable[[int, str], RefusedAnswer]
TimeLimit = collections.abc.Callable[[request_body.Message], float]


def _any_time(scope: request_body.Message) -> float:
    return body_reader.NO_TIME_LIMIT


def bounded_app(
    app: request_body.App,
    account: memory_account.MemoryAccount,
    max_body_bytes: int,
    answer_refused: AnswerRefused,
    time_limit_s: TimeLimit = _any_time,
) -> request_body.App:
    """Return an application whose bodies are counted and bounded.

    :param app: the application.
    :param account: the account of the process.
    :param max_body_bytes: size limit of a body.
    :param answer_refused: returns the answer to a refused request, for its
        status and what is to be said.
    :param time_limit_s: returns the seconds within which a request must be
        answered, for its scope.
    """

    async def run(
        scope: request_body.Message,
        receive: request_body.Receive,
        send: request_body.Send,
    ) -> None:
        if scope["type"] != "http":
            await app(scope, receive, send)
            return
        kind = memory_account.Kind.REQUEST
        with account.reserve(kind) as held:
            reading = body_reader.BodyLimits(
                max_body_bytes, lambda: time_limit_s(scope)
            )
            try:
                body = await body_reader.read_body(
                    receive, scope["headers"], reading, account, held, COPIES
                )
            except body_reader.CallerDisconnected:
                return
            except body_reader.BodyNotSent:
                held.resize(0)
                refused = answer_refused(
                    HTTP_REQUEST_TIMEOUT, body_reader.NOT_SENT_DETAIL
                )
            except body_reader.BodyTooLarge:
                held.resize(0)
                detail = (
                    f"request body exceeds the limit of {max_body_bytes} bytes"
                )
                refused = answer_refused(HTTP_CONTENT_TOO_LARGE, detail)
            except memory_account.MemoryRefused as error:
                held.resize(0)
                refused = answer_refused(HTTP_UNAVAILABLE, str(error))
            else:
                await app(scope, _one_part(body, receive), send)
                return
            await _refuse(refused, receive, send)

    return run


def _one_part(
    body: bytes, receive: request_body.Receive
) -> request_body.Receive:
    """Return a callable that yields a body at once."""
    parts = [{"type": "http.request", "body": body, "more_body": False}]

    async def receive_next() -> request_body.Message:
        if parts:
            return parts.pop()
        return await receive()

    return receive_next


async def _refuse(
    refused: RefusedAnswer,
    receive: request_body.Receive,
    send: request_body.Send,
) -> None:
    """Answer; the rest of the body is discarded for a short time."""
    length = (b"content-length", str(len(refused.body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": refused.status,
            "headers": [*refused.headers, length],
        }
    )
    await send(
        {
            "type": "http.response.body",
            "body": refused.body,
            "more_body": True,
        }
    )
    await body_reader.discard_body(receive)
    await send({"type": "http.response.body", "body": b""})
