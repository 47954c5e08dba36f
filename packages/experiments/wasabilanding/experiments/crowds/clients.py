"""Kinds of clients that keep to the limits and cost a process most.

Each function sends on one connection and returns once it has sent all that it
wants to send; the connection stays open for as long as the crowd.
"""

import collections.abc
import struct

import trio

# The largest bodies that a gateway takes by default, and the daemon.
BODY_BYTES = 4 * 1024 * 1024
DAEMON_BODY_BYTES = 8 * 1024 * 1024
HEAD_BYTES = 16_000
CHUNK_BYTES = 64 * 1024
TRICKLE_INTERVAL_S = 1.0
# The smallest header line, and its end.
SMALL_LINE = b"a:\r\n"
ANSWERS_BEHIND = 200
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
HTTP2_SETTINGS = struct.pack(">I", 0)[1:] + b"\x04\x00" + struct.pack(">I", 0)
HTTP2_STREAMS = 100
HTTP2_HEADER_BYTES = 15_000
# Frame types and flags of RFC 9113.
HTTP2_HEADERS = 1
HTTP2_END_HEADERS = 4

Client = collections.abc.Callable[
    [trio.SocketStream, bytes], collections.abc.Awaitable[None]
]


def _head(start: bytes, *lines: bytes) -> bytes:
    return b"\r\n".join([start, *lines, b"", b""])


def _sized(start: bytes, size: int) -> bytes:
    return _head(start, b"content-length: %d" % size)


async def whole_bodies(stream: trio.SocketStream, start: bytes) -> None:
    """Send the largest body.

    :param stream: the connection.
    :param start: request line and header lines.
    """
    await stream.send_all(_sized(start, BODY_BYTES) + bytes(BODY_BYTES))


async def bodies_but_the_last_byte(
    stream: trio.SocketStream, start: bytes, size: int = BODY_BYTES
) -> None:
    """Send all but the last byte of the largest body.

    :param stream: the connection.
    :param start: request line and header lines.
    :param size: its size.
    """
    await stream.send_all(_sized(start, size) + bytes(size - 1))


async def daemon_bodies_but_the_last_byte(
    stream: trio.SocketStream, start: bytes
) -> None:
    """Send all but the last byte of the largest body to a daemon.

    :param stream: the connection.
    :param start: request line and header lines.
    """
    await bodies_but_the_last_byte(stream, start, DAEMON_BODY_BYTES)


async def daemon_bodies_of_small_values(
    stream: trio.SocketStream, start: bytes
) -> None:
    """Send the largest body to a daemon, of as many values as it can hold.

    :param stream: the connection.
    :param start: request line and header lines.
    """
    begin, end = b'{"model":"m","messages":[[]', b"]}"
    value = b",[]"
    count = (DAEMON_BODY_BYTES - len(begin) - len(end)) // len(value)
    body = begin + value * count + end
    await stream.send_all(_sized(start, len(body)) + body)


async def bodies_that_trickle(stream: trio.SocketStream, start: bytes) -> None:
    """Send the largest body, and its last bytes one a second.

    :param stream: the connection.
    :param start: request line and header lines.
    """
    rest = 600
    await stream.send_all(_sized(start, BODY_BYTES) + bytes(BODY_BYTES - rest))
    for _ in range(rest):
        await trio.sleep(TRICKLE_INTERVAL_S)
        await stream.send_all(b"x")


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def chunks_without_a_last_one(
    stream: trio.SocketStream, start: bytes
) -> None:
    """Send the largest body in large chunks, but no last chunk.

    :param stream: the connection.
    :param start: request line and header lines.
    """
    await stream.send_all(_head(start, b"transfer-encoding: chunked"))
    for _ in range(BODY_BYTES // CHUNK_BYTES):
        await stream.send_all(_chunk(bytes(CHUNK_BYTES)))


async def small_chunks_without_a_last_one(
    stream: trio.SocketStream, start: bytes
) -> None:
    """Send the largest body in chunks of 2 bytes, but no last chunk.

    :param stream: the connection.
    :param start: request line and header lines.
    """
    await stream.send_all(_head(start, b"transfer-encoding: chunked"))
    many = _chunk(b"xx") * 10_000
    for _ in range(BODY_BYTES // 2 // 10_000):
        await stream.send_all(many)


async def heads_of_short_lines(
    stream: trio.SocketStream, start: bytes
) -> None:
    """Send a head of many short lines; its body is declared, and not sent.

    :param stream: the connection.
    :param start: request line and header lines.
    """
    lines = SMALL_LINE * ((HEAD_BYTES - len(start) - 40) // len(SMALL_LINE))
    await stream.send_all(
        start + b"\r\n" + lines + b"content-length: 1000\r\n\r\n"
    )


async def heads_without_an_end(
    stream: trio.SocketStream, start: bytes
) -> None:
    """Send a head of the largest size, but its end.

    :param stream: the connection.
    :param start: request line and header lines.
    """
    rest = HEAD_BYTES - len(start)
    await stream.send_all(start + b"\r\nx: " + b"x" * rest)


async def nothing(stream: trio.SocketStream, start: bytes) -> None:
    """Send nothing.

    :param stream: the connection.
    :param start: request line and header lines.
    """


async def unread_answers(stream: trio.SocketStream, start: bytes) -> None:
    """Send many requests, one behind the other, and read no answer.

    :param stream: the connection.
    :param start: request line and header lines.
    """
    await stream.send_all(_sized(start, 0) * ANSWERS_BEHIND)


def _frame(kind: int, flags: int, stream_id: int, payload: bytes) -> bytes:
    length = struct.pack(">I", len(payload))[1:]
    return length + struct.pack(">BBI", kind, flags, stream_id) + payload


def _literal(name: bytes, value: bytes) -> bytes:
    """Return a header field without indexing, of HPACK (RFC 7541, 6.2.2)."""
    return b"\x00" + _length(len(name)) + name + _length(len(value)) + value


def _length(size: int) -> bytes:
    """Return an integer with a prefix of 7 bits (RFC 7541, 5.1)."""
    if size < 127:
        return bytes([size])
    size -= 127
    digits = [127]
    while size >= 128:
        digits.append(size % 128 + 128)
        size //= 128
    return bytes([*digits, size])


async def http2_streams(stream: trio.SocketStream, start: bytes) -> None:
    """Speak HTTP/2 and open many streams with large heads and no end.

    :param stream: the connection.
    :param start: request line and header lines.
    """
    method, path, *_ = start.split()
    fields = b"".join(
        (
            _literal(b":method", method),
            _literal(b":path", path),
            _literal(b":scheme", b"http"),
            _literal(b":authority", b"salon.example"),
            _literal(b"x", b"x" * HTTP2_HEADER_BYTES),
        )
    )
    await stream.send_all(HTTP2_PREFACE + HTTP2_SETTINGS)
    for number in range(HTTP2_STREAMS):
        stream_id = 2 * number + 1
        head = _frame(HTTP2_HEADERS, HTTP2_END_HEADERS, stream_id, fields)
        await stream.send_all(head + _frame(0, 0, stream_id, bytes(600)))


KINDS: collections.abc.Mapping[str, Client] = {
    function.__name__.replace("_", " "): function
    for function in (
        whole_bodies,
        bodies_but_the_last_byte,
        daemon_bodies_but_the_last_byte,
        daemon_bodies_of_small_values,
        bodies_that_trickle,
        chunks_without_a_last_one,
        small_chunks_without_a_last_one,
        heads_of_short_lines,
        heads_without_an_end,
        nothing,
        unread_answers,
        http2_streams,
    )
}
