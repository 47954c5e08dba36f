"""Reading of a request's body under the account of the node's memory.

Explanation
===========

A request is refused by the declared size of its body before a byte of it is
read, and a body is abandoned if its caller sends nothing for a time. After a
refusal the rest of the body is read and discarded for a short time: if the
node closed a connection with unread bytes, the caller's system could drop the
answer.
"""

import collections.abc

import trio

from wasabilanding.gateway import answers
from wasabilanding.gateway import asgi
from wasabilanding.gateway import memory_account
from wasabilanding.gateway import messages

# A body of which nothing arrives for this time is abandoned.
BODY_TIMEOUT_S = 5.0
# A refused body is discarded for this time at most.
DISCARD_TIMEOUT_S = 1.0
CONTENT_LENGTH = b"content-length"
MAX_LENGTH_DIGITS = 20
NOT_SENT = answers.Answer(
    408, "body_not_sent", f"no byte of the body arrived for {BODY_TIMEOUT_S} s"
)


class BodyTooLarge(Exception):
    """A request's body exceeds the size limit."""


class BodyNotSent(Exception):
    """A caller does not send the body of its request."""


class CallerDisconnected(Exception):
    """A caller disconnected before its request was complete."""


def declared_bytes(
    headers: collections.abc.Iterable[messages.Header],
) -> int:
    """Return the declared size of a body; 0 if it is not declared.

    :param headers: headers of the request, names in lower case.

    Examples
    ========

    >>> from wasabilanding.gateway import request_body
    >>> request_body.declared_bytes([(b"content-length", b"12")])
    12
    >>> request_body.declared_bytes([(b"transfer-encoding", b"chunked")])
    0
    """
    text = dict(headers).get(CONTENT_LENGTH, b"")
    # A longer number is larger than any limit, and too long to convert.
    return int(text[:MAX_LENGTH_DIGITS]) if text.isdigit() else 0


async def _next_part(receive: asgi.Receive, timeout_s: float) -> asgi.Message:
    with trio.move_on_after(timeout_s):
        message = await receive()
        if message["type"] != "http.request":
            raise CallerDisconnected()
        return message
    raise BodyNotSent()


async def read_body(
    receive: asgi.Receive,
    headers: collections.abc.Iterable[messages.Header],
    limit: int,
    account: memory_account.MemoryAccount,
    held: memory_account.Reservation,
) -> bytes:
    """Return the body of a request.

    :param receive: ASGI callable.
    :param headers: headers of the request, names in lower case.
    :param limit: size limit.
    :param account: the node's memory.
    :param held: holds the bytes that have arrived.
    :raises BodyTooLarge: if it exceeds the limit.
    :raises BodyNotSent: if nothing arrives for a time.
    :raises CallerDisconnected: if the caller disconnects.
    :raises wasabilanding.gateway.memory_account.MemoryRefused: if the node
        may not hold it.
    """
    declared = declared_bytes(headers)
    if account.is_bounded and declared > limit:
        raise BodyTooLarge()
    account.check_declared(declared)
    held.grow(memory_account.REQUEST_OVERHEAD_BYTES)
    timeout_s = BODY_TIMEOUT_S if account.is_bounded else float("inf")
    parts = []
    size = 0
    while True:
        message = await _next_part(receive, timeout_s)
        part = message["body"]
        size += len(part)
        if size > limit:
            raise BodyTooLarge()
        account.grow_request(held, len(part))
        parts.append(part)
        if not message.get("more_body"):
            return b"".join(parts)


async def discard_body(receive: asgi.Receive) -> None:
    """Read and discard the rest of a body, for a short time.

    :param receive: ASGI callable.
    """
    with trio.move_on_after(DISCARD_TIMEOUT_S):
        while True:
            message = await receive()
            if message["type"] != "http.request":
                return
            if not message.get("more_body"):
                return
