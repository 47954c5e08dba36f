"""Steps for request bodies in many small parts, over loopback."""

import contextlib
import socket

import behave
import trio

from wasabilanding.gateway import inbound
from wasabilanding.gateway import listeners

MAX_BODY_BYTES = 4_000_000
CHUNK = b"1\r\nx\r\n"
HEAD = b"POST /a HTTP/1.1\r\nhost: h\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
EMPTY = HEAD + b"content-length: 0\r\n\r\n"
STARTUP_S = 0.3
OTHERS = 6
TIME_LIMIT_S = 20.0


@behave.given("a node that answers requests")
def given_node(context):
    """Define the application; it answers with the size of the body."""

    async def handle(head, body, response):
        text = str(len(body)).encode()
        length = (b"content-length", str(len(text)).encode())
        await response.begin(200, [length])
        await response.end(text)

    context.app = inbound.callers_app(
        handle, lambda: MAX_BODY_BYTES, lambda: False, lambda: True
    )


@contextlib.asynccontextmanager
async def _listening(app):
    """Yield the port at which an application is served."""
    with socket.create_server(("127.0.0.1", 0)) as found:
        port = found.getsockname()[1]
    listener = listeners.Listener(app, f"127.0.0.1:{port}")
    stopping = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.serve, stopping)
        await trio.sleep(STARTUP_S)
        yield port
        nursery.cancel_scope.cancel()


async def _flood(port):
    """Send chunks until the connection is closed."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    await stream.send_all(CHUNKED)
    with contextlib.suppress(trio.BrokenResourceError):
        while True:
            await stream.send_all(CHUNK * 10000)


async def _ask(port, request):
    """Send a request; return the body of its answer."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    await stream.send_all(request)
    found = b""
    while not found.partition(b"\r\n\r\n")[2]:
        found += await stream.receive_some()
    await stream.aclose()
    return found.partition(b"\r\n\r\n")[2]


@behave.when("{count:d} callers send bodies in chunks of one byte without end")
def flood(context, count):
    """Measure how long other requests take meanwhile."""
    context.took_s = []

    async def run():
        with trio.fail_after(TIME_LIMIT_S):
            async with (
                _listening(context.app) as port,
                trio.open_nursery() as nursery,
            ):
                for _ in range(count):
                    nursery.start_soon(_flood, port)
                for _ in range(OTHERS):
                    await trio.sleep(0.1)
                    begun_at = trio.current_time()
                    await _ask(port, EMPTY)
                    context.took_s.append(trio.current_time() - begun_at)
                nursery.cancel_scope.cancel()

    trio.run(run)


@behave.when("a caller sends a body in {count:d} chunks of one byte")
def send_whole(context, count):
    """Record the answer."""

    async def run():
        async with _listening(context.app) as port:
            request = CHUNKED + CHUNK * count + b"0\r\n\r\n"
            with trio.fail_after(TIME_LIMIT_S):
                context.answer = await _ask(port, request)

    trio.run(run)


@behave.then("each request of another caller is answered within {bound:g} s")
def check_others(context, bound):
    """Compare the times of the answers."""
    assert len(context.took_s) == OTHERS
    assert max(context.took_s) <= bound, context.took_s


@behave.then("the node has read {count:d} bytes")
def check_read(context, count):
    """Compare the size of the body."""
    assert context.answer == str(count).encode(), context.answer
