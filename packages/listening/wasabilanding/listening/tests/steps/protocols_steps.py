"""Steps for what a listener answers to other protocols and odd framing."""

import behave
import trio

START = b"POST /0 HTTP/1.1\r\nHost: h\r\n"
EMPTY = b"Content-Length: 0\r\n\r\n"
SETTINGS = b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"
SENT = {
    "a request": START + EMPTY,
    "an HTTP/1.0 request": START.replace(b"1.1", b"1.0") + EMPTY,
    "an HTTP/2 preface": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + SETTINGS,
    "an upgrade to HTTP/2": (
        b"GET /0 HTTP/1.1\r\nHost: h\r\n"
        b"Connection: Upgrade, HTTP2-Settings\r\n"
        b"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n"
    ),
    "a websocket handshake": (
        b"GET /0 HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\n"
        b"Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
        b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
    ),
    "a request of version 3.0": START.replace(b"1.1", b"3.0") + EMPTY,
    "two chunks and bytes that are none": (
        START + b"Transfer-Encoding: chunked\r\n\r\n"
        b"1\r\nx\r\n2\r\nxx\r\nzz\r\n"
    ),
}
QUIET_S = 0.3


async def _receive(context, sock):
    """Read an answer, and whether the connection ends behind it."""
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
    context.received = b""
    context.is_closed = False
    with trio.move_on_after(5.0) as scope:
        while not context.is_closed:
            data = await stream.receive_some()
            context.received += data
            context.is_closed = not data
            if b"\r\n\r\n" in context.received:
                scope.deadline = trio.current_time() + QUIET_S


def _exchange(context, writes):
    async def act(callers, sockets):
        for data in writes:
            sockets[0].sendall(data)
            await trio.sleep(0)
        sockets[0].setblocking(False)
        await _receive(context, sockets[0])

    async def run():
        with trio.fail_after(20.0):
            context.callers.is_first_request_skipped = True
            await context.callers.run(act)

    trio.run(run)


@behave.when("a caller opens a connection with {what}")
def when_sent(context, what):
    """Send bytes of another protocol, or odd ones."""
    _exchange(context, [SENT[what]])


@behave.when(
    "a caller sends a body of {size:d} bytes in chunks of {chunk:d} bytes, "
    "{parts:d} a write"
)
def when_chunks(context, size, chunk, parts):
    """Send a body in chunks."""
    body = bytes(size)
    chunks = [body[i : i + chunk] for i in range(0, size, chunk)]
    encoded = [b"%x\r\n%b\r\n" % (len(part), part) for part in chunks]
    writes = [START + b"Transfer-Encoding: chunked\r\n\r\n"]
    writes += [
        b"".join(encoded[i : i + parts]) for i in range(0, len(encoded), parts)
    ]
    _exchange(context, [*writes, b"0\r\n\r\n"])


@behave.then("it gets {status:d}")
def then_status(context, status):
    """Compare the status."""
    begin = b"HTTP/1.1 %d " % status
    assert context.received.startswith(begin), context.received


@behave.then("the connection is {after}")
def then_connection(context, after):
    """Check whether the connection has ended."""
    assert context.is_closed == (after == "closed"), context.received


@behave.then("the application has read {size:d} bytes")
def then_read(context, size):
    """Compare what the application has read."""
    assert context.callers.read_bytes == size, context.callers.read_bytes
