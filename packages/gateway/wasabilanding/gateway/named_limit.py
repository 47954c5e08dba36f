"""Limit on requests that an endpoint names in the head of a reply."""

import re

from wasabilanding.gateway import messages

# A higher limit makes no difference.
MAX_LIMIT_PER_S = 1e6
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")


def parse_limit(text: str) -> float | None:
    """Return a limit in requests a second; None if the text is no valid one.

    >>> [parse_limit(text) for text in ("1.3", " 8 ", "0", ".5")]
    [1.3, 8.0, 0.0, 0.5]
    >>> [parse_limit(text) for text in ("-1", "1e3", "nan", "few", "", "1,5")]
    [None, None, None, None, None, None]

    :param text: value of the header.
    """
    stripped = text.strip()
    if not _DECIMAL.fullmatch(stripped):
        return None
    return min(float(stripped), MAX_LIMIT_PER_S)


def read_limit(
    header: bytes, headers: list[messages.Header]
) -> tuple[float | None, str | None]:
    """Return the limit that a reply names, and its value if it is invalid.

    Of several values, the lowest valid one counts.

    >>> read_limit(b"x-limit", [(b"x-limit", b"2"), (b"x-limit", b"1.5")])
    (1.5, None)
    >>> read_limit(b"x-limit", [(b"x-limit", b"few")])
    (None, 'few')
    >>> read_limit(b"x-limit", [])
    (None, None)

    :param header: name of the header, in lower case.
    :param headers: headers of the reply, names in lower case.
    """
    texts = [
        value.decode("latin-1") for name, value in headers if name == header
    ]
    invalid = next((t for t in texts if parse_limit(t) is None), None)
    valid = [limit for limit in map(parse_limit, texts) if limit is not None]
    return min(valid, default=None), invalid
