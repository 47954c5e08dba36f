"""Headers that go from one end to the other."""

import collections.abc

from wasabilanding.gateway import messages

# RFC 9110, section 7.6.1, and what the HTTP libraries set themselves.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def end_to_end(
    headers: collections.abc.Iterable[messages.Header],
) -> tuple[messages.Header, ...]:
    """Return the headers that are not about one connection.

    :param headers: headers, names in lower case.
    """
    pairs = tuple(headers)
    named = {
        option.strip().lower()
        for name, text in pairs
        if name == b"connection"
        for option in text.split(b",")
    }
    dropped = HOP_BY_HOP_HEADERS | named
    return tuple(pair for pair in pairs if pair[0] not in dropped)
