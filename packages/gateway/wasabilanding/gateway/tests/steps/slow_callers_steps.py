"""Steps for callers that read slowly, over loopback."""

import contextlib
import random
import socket
import unittest.mock

import behave
import httpx
import trio

from wasabilanding.gateway import endpoint_transport
from wasabilanding.gateway import inbound
from wasabilanding.gateway import listeners
from wasabilanding.gateway import memory_account
from wasabilanding.gateway import metrics
from wasabilanding.gateway.tests import fakes
from wasabilanding.listening import bounded_sockets

MB = 1_000_000
MEMORY_MB = 96
MAX_BODY_BYTES = 4 * MB
ANSWER_S = 2.0
# Less than the usual buffer, so that small answers are left unread too.
SMALL_BUFFER_BYTES = 4096
# The largest usual event.
EVENT = b"data: %s\n\n" % (b"x" * 502)
HEAD = b"POST /%s HTTP/1.1\r\nhost: h.example\r\nx-request: r1\r\n"
HEAD += b"x-model: large\r\ncontent-length: 0\r\n\r\n"


class _Body(httpx.AsyncByteStream):
    """Body whose parts are counted as they are read."""

    def __init__(self, size, part=b"x" * 65536):
        self._size = size
        self._part = part
        self.is_events = part.startswith(b"data: ")
        self.read = 0

    async def __aiter__(self):
        while self.read < self._size:
            part = self._part
            self.read += len(part)
            await trio.lowlevel.checkpoint()
            yield part


class _Listening:
    """A forwarder behind the listener of a bounded node."""

    def __init__(self):
        self.unread_s = bounded_sockets.UNREAD_TIMEOUT_S
        self.body = _Body(float("inf"))
        self.ended_s = None

    async def reply(self, request):
        """Reply with the long body, or with a short one."""
        request.extensions[endpoint_transport.BEFORE_SEND]()
        body = self.body
        if request.extensions["target"] == b"/short":
            body = _Body(100)
        headers = {"x-request": "r1", "transfer-encoding": "chunked"}
        if body.is_events:
            headers["x-events"] = "1"
        return httpx.Response(200, headers=headers, stream=body)

    async def run(self, read):
        """Let callers read the answers.

        :param read: coroutine function that gets the port.
        """
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        account = memory_account.MemoryAccount(
            MEMORY_MB, metrics.Metrics("n1"), random.Random(1)
        )
        table = fakes.table("unsafe", False, 1, timeout_s=ANSWER_S)
        system = fakes.System({"e0": "answer"}, table)
        system.account = account
        system.endpoints.handle = self.reply
        system.view.mark_current(0.0)
        option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        options = ((*option, int(self.unread_s * 1000)),)
        options += bounded_sockets.OPTIONS[1:]
        stopping = trio.Event()
        async with system.forwarder() as forwarder:

            async def handle(*args):
                begun_at = trio.current_time()
                try:
                    await forwarder.handle(*args)
                finally:
                    self.ended_s = trio.current_time() - begun_at

            app = inbound.callers_app(
                handle,
                lambda: MAX_BODY_BYTES,
                lambda: False,
                lambda: True,
                account=account,
            )
            with unittest.mock.patch.object(
                bounded_sockets, "OPTIONS", options
            ):
                found = listeners.Listener(app, f"127.0.0.1:{port}", True)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(found.serve, stopping)
                    await trio.sleep(0.3)
                    await read(port)
                    nursery.cancel_scope.cancel()


async def _open(port, path, buffer_bytes=None):
    sock = trio.socket.socket()
    if buffer_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    await sock.connect(("127.0.0.1", port))
    caller = trio.SocketStream(sock)
    await caller.send_all(HEAD % path)
    return caller


@behave.given("listeners of a bounded node")
def given_listeners(context):
    """Make a node that listens."""
    context.listening = _Listening()


@behave.given("callers that read nothing are given up after {seconds:g} s")
def given_unread(context, seconds):
    """Replace the bound of the node."""
    context.listening.unread_s = seconds


def _stall(context, seconds, buffer_bytes=None):
    """Leave an answer unread for a time; ask for another one then."""

    async def read(port):
        async with await _open(port, b"long", buffer_bytes):
            await trio.sleep(seconds)
            context.read = context.listening.body.read
            context.stalled_ended_s = context.listening.ended_s
            begun_at = trio.current_time()
            async with await _open(port, b"short") as other:
                await other.receive_some(1000)
            context.other_s = trio.current_time() - begun_at

    with fakes.log_of("wasabilanding.gateway.forwarding") as records:
        trio.run(context.listening.run, read)
    context.reasons = [getattr(r, "reason", "") for r in records]


@behave.when("a caller does not read an answer without end for {seconds:g} s")
def stall_endless(context, seconds):
    """Leave an answer without end unread."""
    _stall(context, seconds)


@behave.when(
    "a caller does not read events of {size:d} bytes for {seconds:g} s"
)
def stall_sized(context, size, seconds):
    """Leave a stream unread."""
    context.listening.body = _Body(size, EVENT)
    _stall(context, seconds)


@behave.when("a caller does not read an event of {size:d} bytes for 4 s")
def stall_event(context, size):
    """Leave an event unread, which is written at once."""
    event = b"data: %s\n\n" % (b"x" * size)
    context.listening.body = _Body(size, event)
    _stall(context, 4.0, SMALL_BUFFER_BYTES)


@behave.when("a caller does not read a body of {size:d} bytes for 4 s")
def stall_body(context, size):
    """Leave a body unread."""
    context.listening.body = _Body(size)
    _stall(context, 4.0, SMALL_BUFFER_BYTES)


@behave.then("the node has read between {least:g} and {most:g} MB of it")
def check_read(context, least, most):
    """Compare what the node has read of the endpoint."""
    assert least * MB < context.read < most * MB, context.read


@behave.then("the node has read the whole answer")
def check_read_whole(context):
    """Compare what the node has read of the endpoint."""
    assert context.stalled_ended_s < 0.5, context.stalled_ended_s


@behave.then("another caller gets its answer within {seconds:g} s")
def check_other_time(context, seconds):
    """Compare the time of another answer."""
    assert context.other_s < seconds, context.other_s


@behave.then(
    "the answer has ended and the log says that the caller did not read"
)
def check_given_up(context):
    """Compare the end of the answer, and its reason."""
    assert context.stalled_ended_s < 4.0, context.stalled_ended_s
    reason = context.reasons[0]
    assert "the caller did not read for" in reason, reason


@behave.when(
    "a caller reads {part:d} bytes each {interval:g} s of an event of "
    "{size:d} bytes"
)
def read_slowly(context, part, interval, size):
    """Read an event, which is written at once, until its connection ends."""
    event = b"data: %s\n\n" % (b"x" * size)
    context.listening.body = _Body(size, event)

    async def read(port):
        with contextlib.suppress(trio.BrokenResourceError):
            async with await _open(port, b"long") as caller:
                while context.listening.ended_s is None:
                    await caller.receive_some(part)
                    await trio.sleep(interval)

    trio.run(context.listening.run, read)


@behave.then("the answer has ended {least:g} to {most:g} s after its request")
def check_ended(context, least, most):
    """Compare the time for which the node worked on the request."""
    assert least <= context.listening.ended_s <= most, (
        context.listening.ended_s
    )
