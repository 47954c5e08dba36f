"""Heads of replies that are not valid.

The parser of HTTP takes more than RFC 9110 and RFC 9112 allow: any status from
100 to 999, any version, a control byte in the reason.
"""

import collections.abc
import dataclasses
import re

VERSIONS = frozenset((b"1.0", b"1.1"))
MIN_STATUS = 200
MAX_STATUS = 599
NO_CONTENT = 204
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
FRAMING = frozenset((CONTENT_LENGTH, TRANSFER_ENCODING))
# A tab is allowed.
CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
Header = tuple[bytes, bytes]


class InvalidReply(Exception):
    """A server's reply breaks the protocol."""


@dataclasses.dataclass(frozen=True)
class Head:
    """Head of a final reply.

    :param status: HTTP status.
    :param version: version of HTTP, such as ``b"1.1"``.
    :param reason: reason phrase.
    :param headers: headers.
    """

    status: int
    version: bytes
    reason: bytes
    headers: collections.abc.Sequence[Header]

    @property
    def is_framed(self) -> bool:
        """Whether more than the end of the connection ends the body."""
        return any(name.lower() in FRAMING for name, _ in self.headers)


def _announces_body(headers: collections.abc.Iterable[Header]) -> bool:
    for name, value in headers:
        if name.lower() == TRANSFER_ENCODING:
            return True
        if name.lower() == CONTENT_LENGTH and value.strip(b"0"):
            return True
    return False


def check_head(head: Head) -> None:
    """Check the head of a final reply.

    :param head: the head.
    :raises InvalidReply: if it breaks the protocol.

    Examples
    ========

    >>> from wasabilanding import replies
    >>> replies.check_head(replies.Head(200, b"1.1", b"OK", ()))
    >>> replies.check_head(replies.Head(600, b"1.1", b"", ()))
    Traceback (most recent call last):
    ...
    wasabilanding.replies.heads.InvalidReply: status 600
    >>> length = (b"content-length", b"5")
    >>> replies.check_head(replies.Head(204, b"1.1", b"", (length,)))
    Traceback (most recent call last):
    ...
    wasabilanding.replies.heads.InvalidReply: status 204 with a body
    """
    if not MIN_STATUS <= head.status <= MAX_STATUS:
        raise InvalidReply(f"status {head.status}")
    if head.version not in VERSIONS:
        raise InvalidReply(f"version {head.version!r}")
    if CONTROL_BYTE.search(head.reason):
        raise InvalidReply(f"reason {head.reason!r}")
    if any(CONTROL_BYTE.search(value) for _, value in head.headers):
        raise InvalidReply("a control byte in a header")
    if head.status == NO_CONTENT and _announces_body(head.headers):
        raise InvalidReply(f"status {head.status} with a body")
