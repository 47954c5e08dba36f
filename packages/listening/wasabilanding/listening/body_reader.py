"""Reading of a request's body under the account of the node's memory.

Explanation
===========

A request is refused by the declared size of its body before a byte of it is
read. A body is abandoned if its caller sends nothing for a time, or has not
sent all of it within the time limit of the request: nobody would take the
answer. After a refusal the rest of the body is read and discarded for a short
time: if the node closed a connection with unread bytes, the caller's system
could drop the answer.
"""

import collections.abc
import dataclasses

import trio

from wasabilanding.listening import memory_account
from wasabilanding.listening import request_body

# A body of which nothing arrives for this time is abandoned.
BODY_TIMEOUT_S = 5.0
# A body that arrives within this time has no other limit.
QUICK_S = 1.0
NO_TIME_LIMIT = float("inf")
# A refused body is discarded for this time at most.
DISCARD_TIMEOUT_S = 1.0
CONTENT_LENGTH = b"content-length"
MAX_LENGTH_DIGITS = 20
Header = tuple[bytes, bytes]
NOT_SENT_DETAIL = (
    f"no byte of the body arrived for {BODY_TIMEOUT_S} s, or not all of it"
    " within the time limit of the request"
)


class BodyTooLarge(Exception):
    """A request's body exceeds the size limit."""


class BodyNotSent(Exception):
    """A caller does not send the body of its request."""


class CallerDisconnected(Exception):
    """A caller disconnected before its request was complete."""


def declared_bytes(
    headers: collections.abc.Iterable[Header],
) -> int:
    """Return the declared size of a body; 0 if it is not declared.

    :param headers: headers of the request, names in lower case.

    Examples
    ========

    >>> from wasabilanding.listening import body_reader
    >>> body_reader.declared_bytes([(b"content-length", b"12")])
    12
    >>> body_reader.declared_bytes([(b"transfer-encoding", b"chunked")])
    0
    """
    text = dict(headers).get(CONTENT_LENGTH, b"")
    # A longer number is larger than any limit, and too long to convert.
    return int(text[:MAX_LENGTH_DIGITS]) if text.isdigit() else 0


async def _next_part(
    receive: request_body.Receive, until: float
) -> request_body.Message:
    with trio.move_on_at(until):
        message = await receive()
        if message["type"] != "http.request":
            raise CallerDisconnected()
        return message
    raise BodyNotSent()


@dataclasses.dataclass(frozen=True)
class BodyLimits:
    """Limits to the body of one request.

    :param max_bytes: its size.
    :param time_limit_s: returns the seconds within which it must arrive; it
        is called once some time has passed, as it costs time itself.
    """

    max_bytes: int
    time_limit_s: collections.abc.Callable[[], float] = lambda: NO_TIME_LIMIT


class _Times:
    """Times within which the parts of a body must arrive.

    :param limits: limits to the body.
    :param is_bounded: whether there is any.
    """

    def __init__(self, limits: BodyLimits, is_bounded: bool) -> None:
        self._limits = limits
        self._is_bounded = is_bounded
        self._begun_at = trio.current_time()
        self._ends_at: float | None = None

    def next_until(self) -> float:
        """Return the local time in seconds until which to wait for a part."""
        if not self._is_bounded:
            return NO_TIME_LIMIT
        now = trio.current_time()
        if self._ends_at is None and now - self._begun_at >= QUICK_S:
            self._ends_at = self._begun_at + self._limits.time_limit_s()
        ends_at = NO_TIME_LIMIT if self._ends_at is None else self._ends_at
        return min(now + BODY_TIMEOUT_S, ends_at)


async def read_body(
    receive: request_body.Receive,
    headers: collections.abc.Iterable[Header],
    limits: BodyLimits,
    account: memory_account.MemoryAccount,
    held: memory_account.Reservation,
    copies: int = 1,
) -> bytes:
    """Return the body of a request.

    Parts are joined as they arrive: parts of a few bytes would cost more
    memory than is counted for them.

    :param receive: ASGI callable.
    :param headers: headers of the request, names in lower case.
    :param limits: limits to the body.
    :param account: the node's memory.
    :param held: holds the bytes that have arrived.
    :param copies: how often each byte is held until the request ends.
    :raises BodyTooLarge: if it exceeds the limit.
    :raises BodyNotSent: if nothing arrives for a time, or not all in time.
    :raises CallerDisconnected: if the caller disconnects.
    :raises wasabilanding.listening.MemoryRefused: if the node
        may not hold it.
    """
    declared = declared_bytes(headers)
    if account.is_bounded and declared > limits.max_bytes:
        raise BodyTooLarge()
    account.check_declared(copies * declared)
    held.grow(memory_account.REQUEST_OVERHEAD_BYTES)
    times = _Times(limits, account.is_bounded)
    body = bytearray()
    try:
        with account.arriving(held) as arrival:
            while True:
                message = await _next_part(receive, times.next_until())
                arrival.latest_at = trio.current_time()
                part = message["body"]
                if len(body) + len(part) > limits.max_bytes:
                    raise BodyTooLarge()
                account.grow_request(held, copies * len(part))
                body += part
                if not message.get("more_body"):
                    break
        return bytes(body)
    except Exception:
        # The error refers to this frame for as long as it is handled.
        body.clear()
        raise


async def discard_body(receive: request_body.Receive) -> None:
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
