"""Compression of datagrams between nodes.

Load pattern: the collector of many nodes sends the same registrations and
endpoint names to each of them over a slow link. The text repeats itself, so
that even the fastest level of DEFLATE (RFC 1951) reduces it several times.
"""

import zlib

# Smaller datagrams fit into one packet uncompressed.
MIN_COMPRESSED_BYTES = 1000
FASTEST_LEVEL = 1
MAX_TEXT_BYTES = 1024 * 1024
JSON_START = b"{"


class InvalidData(ValueError):
    """Compressed data is damaged or too large."""


def compress(text: bytes) -> bytes:
    """Compress a JSON object, unless it is small.

    :param text: the JSON object.
    """
    if len(text) < MIN_COMPRESSED_BYTES:
        return text
    return zlib.compress(text, FASTEST_LEVEL)


def decompress(data: bytes) -> bytes:
    """Return the text of a datagram.

    :param data: compressed or plain text.
    :raises InvalidData: if it is damaged, or larger than
        :data:`MAX_TEXT_BYTES`.

    Examples
    ========

    >>> from wasabilanding.gateway import compression
    >>> text = b'{"x": "' + 2000 * b"y" + b'"}'
    >>> data = compression.compress(text)
    >>> len(data) < 100, compression.decompress(data) == text
    (True, True)
    """
    if data.startswith(JSON_START):
        return data
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_TEXT_BYTES)
    except zlib.error as error:
        raise InvalidData(f"not compressed data: {error}") from None
    if not decompressor.eof:
        raise InvalidData(f"more than {MAX_TEXT_BYTES} bytes, or cut off")
    return text
