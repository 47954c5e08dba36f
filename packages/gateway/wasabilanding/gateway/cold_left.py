"""Time for which an endpoint stays cold, in the head of a reply."""

from wasabilanding.gateway import messages
from wasabilanding.gateway import named_limit


def read_cold_left(
    header: bytes, headers: list[messages.Header], units_per_s: float = 1.0
) -> tuple[float | None, str | None]:
    """Return the seconds that a reply states, and its value if it is invalid.

    Of several values, the highest valid one counts.

    >>> read_cold_left(b"x-cold-s", [(b"x-cold-s", b"2.5")])
    (2.5, None)
    >>> read_cold_left(b"c", [(b"c", b"500"), (b"c", b"3000")], 1000)
    (3.0, None)
    >>> read_cold_left(b"c", [(b"c", b"-1")]), read_cold_left(b"c", [])
    ((None, '-1'), (None, None))

    :param header: name of the header, in lower case.
    :param headers: headers of the reply, names in lower case.
    :param units_per_s: units of the value in a second.
    """
    texts = [
        value.decode("latin-1") for name, value in headers if name == header
    ]
    parsed = [named_limit.parse_limit(text) for text in texts]
    valid = [value for value in parsed if value is not None]
    invalid = next(
        (t for t, value in zip(texts, parsed) if value is None), None
    )
    if not valid:
        return None, invalid
    return max(valid) / units_per_s, invalid
