"""End-to-end HTTP headers."""

import collections.abc

from wasabilanding.gateway import messages

# RFC 9110, section 7.6.1, and headers that the HTTP libraries set themselves.
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


def replaced(
    headers: collections.abc.Iterable[messages.Header],
    changed: collections.abc.Collection[messages.Header],
) -> list[messages.Header]:
    """Return the end-to-end headers of a request, some of them replaced.

    :param headers: headers, names in lower case.
    :param changed: the others.
    """
    names = {name for name, _ in changed}
    kept = [pair for pair in end_to_end(headers) if pair[0] not in names]
    return [*kept, *changed]


def end_to_end(
    headers: collections.abc.Iterable[messages.Header],
) -> tuple[messages.Header, ...]:
    """Return the headers that are not specific to one connection.

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
