"""Duration for which a refusing endpoint wants no other request.

RFC 9110, section 10.2.3, allows whole seconds or a date. Decimal seconds are
accepted as well. A date is not, as it would depend on the endpoint's clock.
"""

import re

from wasabilanding.gateway import messages

# Used instead of a value that is no valid duration.
DEFAULT_RETRY_AFTER_S = 1.0
# A longer duration is taken for an error.
MAX_RETRY_AFTER_S = 3600.0
HEADER = b"retry-after"
HTTP_UNAVAILABLE = 503
_SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


def parse_retry_after(text: str) -> float | None:
    """Return a duration in seconds; None if the text is no valid one.

    >>> [parse_retry_after(text) for text in ("2", " 0.25 ", "0")]
    [2.0, 0.25, 0.0]
    >>> [parse_retry_after(text) for text in ("-1", "1e3", "nan", "soon", "")]
    [None, None, None, None, None]
    >>> parse_retry_after("Wed, 21 Oct 2026 07:28:00 GMT") is None
    True
    >>> parse_retry_after("3600"), parse_retry_after("3600.1")
    (3600.0, None)

    :param text: value of the header.
    """
    stripped = text.strip()
    if not _SECONDS.fullmatch(stripped):
        return None
    seconds = float(stripped)
    return seconds if seconds <= MAX_RETRY_AFTER_S else None


def read_retry_after(
    status: int, headers: list[messages.Header]
) -> tuple[float | None, str | None]:
    """Return the duration that a reply states, and its value if it is invalid.

    >>> read_retry_after(503, [(b"retry-after", b"0.5")])
    (0.5, None)
    >>> read_retry_after(503, [(b"retry-after", b"later")])
    (1.0, 'later')
    >>> read_retry_after(503, [])
    (None, None)
    >>> read_retry_after(429, [(b"retry-after", b"2")])
    (None, None)

    Of several values, the longest counts.

    >>> read_retry_after(503, [(b"retry-after", b"2"), (b"retry-after", b"1")])
    (2.0, None)

    :param status: HTTP status of the reply.
    :param headers: its headers, names in lower case.
    """
    if status != HTTP_UNAVAILABLE:
        return None, None
    texts = [
        value.decode("latin-1") for name, value in headers if name == HEADER
    ]
    if not texts:
        return None, None
    invalid = next((t for t in texts if parse_retry_after(t) is None), None)
    valid = [s for s in map(parse_retry_after, texts) if s is not None]
    if not valid:
        return DEFAULT_RETRY_AFTER_S, invalid
    return max(valid), invalid
