"""Steps for the account of the node's memory."""

import contextlib
import functools
import logging
import logging.handlers
import random
import socket
import unittest.mock

import behave
import httpx
import trio
import trio.testing

from wasabilanding.gateway import caller_sockets
from wasabilanding.gateway import inbound
from wasabilanding.gateway import listeners
from wasabilanding.gateway import memory_account
from wasabilanding.gateway import metrics
from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway import upstream as upstream_module

MB = 1_000_000
PART_BYTES = 100_000
MAX_BODY_BYTES = 4 * MB
# The largest usual event.
EVENT = b"data: %s\n\n" % (b"x" * 502)
ANSWER_S = 2.0
HEAD = b"POST /%s HTTP/1.1\r\nhost: h.example\r\nx-request: r1\r\n"
HEAD += b"x-model: large\r\ncontent-length: 0\r\n\r\n"


class _Node:
    """Part of a node that takes requests, and one caller of it."""

    def __init__(self, memory_mb):
        self.metrics = metrics.Metrics("n1")
        self.account = memory_account.MemoryAccount(
            memory_mb, self.metrics, random.Random(1)
        )
        self.handle = self.answer

    async def answer(self, head, body, response):
        """Answer a request with 200."""
        await response.begin(200, [])
        await response.end()

    async def ask(self, declared, sent):
        """Send a request; return its answer and the parts read before."""
        caller = fakes.Caller()
        left = [PART_BYTES] * (sent // PART_BYTES) or [sent]
        whole = declared in (0, sent)
        read = []

        async def receive():
            await trio.lowlevel.checkpoint()
            if not left:
                await trio.sleep_forever()
            if not caller.status:
                read.append(1)
            size = left.pop()
            more = bool(left) or not whole
            body = b"x" * size
            return {"type": "http.request", "body": body, "more_body": more}

        length = [(b"content-length", str(declared).encode())]
        scope = {
            "type": "http",
            "method": "POST",
            "raw_path": b"/a",
            "query_string": b"",
            "headers": [*fakes.HEADERS, *(length if declared else [])],
        }
        app = inbound.callers_app(
            self.handle,
            lambda: MAX_BODY_BYTES,
            lambda: False,
            lambda: True,
            account=self.account,
        )
        begun_at = trio.current_time()
        await app(scope, receive, caller.send)
        caller.took_s = trio.current_time() - begun_at
        return caller, len(read)


def _run(coroutine, *args):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(coroutine, *args, clock=clock)


@behave.given("a node of {memory:g} MB that holds {held:g} MB for others")
def given_node(context, memory, held):
    """Make a node."""
    context.node = _Node(memory)
    context.others = int(held * MB)


@contextlib.contextmanager
def _held(context):
    with context.node.account.reserve(memory_account.Kind.ANSWER) as others:
        others.resize(context.others)
        yield
        context.left = context.node.account.held_bytes - context.others


@behave.when("a caller declares {declared:d} bytes and sends {sent:d}")
def declare(context, declared, sent):
    """Send one request."""
    with _held(context):
        context.caller, context.parts = _run(context.node.ask, declared, sent)


@behave.then("it gets {status:d} after {parts:d} parts of the body")
def check_answer(context, status, parts):
    """Compare the answer, and what was read before it."""
    found = context.caller.status, context.parts
    assert found == (status, parts), found
    assert (b"retry-after" in context.caller.headers) == (status == 503)


@behave.then("the answer came after {seconds:g} s")
def check_time(context, seconds):
    """Compare the time of the answer."""
    assert abs(context.caller.took_s - seconds) < 0.1, context.caller.took_s


@behave.then('the metrics count {count:d} requests refused for "{cause}"')
def check_cause(context, count, cause):
    """Compare a counter."""
    found = dict(context.node.metrics.memory_refusals)
    assert found == {(("cause", cause),): count}, found


@behave.then("the node holds nothing for it afterwards")
def check_left(context):
    """Compare the account."""
    assert context.left == 0, context.left


@behave.when("{count:d} callers declare {declared:d} bytes and send {sent:d}")
def declare_many(context, count, declared, sent):
    """Leave bodies open; send another request meanwhile."""

    async def run():
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(context.node.ask, declared, sent)
            await trio.testing.wait_all_tasks_blocked()
            context.held = context.node.account.held_bytes
            context.small, _ = await context.node.ask(1000, 1000)
            nursery.cancel_scope.cancel()

    _run(run)


@behave.then("the node holds less than {size:g} MB")
def check_held(context, size):
    """Compare what was held while the bodies were open."""
    assert 0 < context.held < size * MB, context.held


@behave.then("another request of 1000 bytes gets {status:d}")
def check_other(context, status):
    """Compare the answer to the other request."""
    assert context.small.status == status, context.small.status


@contextlib.contextmanager
def _log_of(module):
    logger = logging.getLogger(module)
    handler = logging.handlers.BufferingHandler(1000)
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        yield handler.buffer
    finally:
        logger.removeHandler(handler)


@behave.when("{count:d} requests are refused, and none for {quiet:g} s")
def refuse(context, count, quiet):
    """Collect the log meanwhile."""

    async def run():
        for _ in range(count):
            await context.node.ask(MB, MB)
            context.node.account.observe(trio.current_time())
        context.shown = dict(context.node.metrics.memory_held)
        for _ in range(2):
            await trio.sleep(quiet)
            context.node.account.observe(trio.current_time())

    with _held(context), _log_of(memory_account.__name__) as records:
        _run(run)
    context.lines = [record.getMessage() for record in records]


@behave.then("the log has one line on their begin and one on their end")
def check_log(context):
    """Compare the lines."""
    begun, ended = context.lines
    assert begun.startswith("refuses requests"), begun
    assert ended.startswith("refuses no requests"), ended


@behave.then("the metrics count {count:d} refusals and show {size:d} bytes")
def check_metrics(context, count, size):
    """Compare the numbers."""
    refusals = dict(context.node.metrics.memory_refusals)
    assert refusals == {(("cause", "node"),): count}, refusals
    assert context.shown[(("kind", "answer"),)] == size, context.shown


@behave.given('endpoints that reply with "{scripts}"')
def given_scripts(context, scripts):
    """Set the scripts of the endpoints of each run."""
    context.scripts = [part.strip() for part in scripts.split(",")]


class _Steps(trio.abc.Instrument):
    """Cancels a scope after a number of steps of any task."""

    def __init__(self, left):
        self.left = left
        self.scope = trio.CancelScope()

    def after_task_step(self, task):
        """Count a step."""
        self.left -= 1
        if self.left == 0:
            self.scope.cancel()


async def _cancelled_after(context, steps):
    """Return whether a request was cancelled, and what is held then."""
    node = _Node(96)
    scripts = {f"e{i}": part for i, part in enumerate(context.scripts)}
    system = fakes.System(scripts, fakes.table("safe", True, 2))
    system.account = node.account
    system.view.mark_current(0.0)
    found = _Steps(steps)
    async with system.forwarder() as forwarder:
        node.handle = forwarder.handle
        trio.lowlevel.add_instrument(found)
        with found.scope:
            await node.ask(1000, 1000)
        trio.lowlevel.remove_instrument(found)
    return found.scope.cancelled_caught, node.account.held_bytes


@behave.when("a request is cancelled at each of its steps in turn")
def cancel_each(context):
    """Run one request for each step that it takes."""
    context.held_after = []
    is_cancelled = True
    while is_cancelled or len(context.held_after) < 5:
        steps = len(context.held_after) + 1
        is_cancelled, held = _run(_cancelled_after, context, steps)
        context.held_after.append(held)


@behave.then("the node holds nothing after each of them")
def check_none_held(context):
    """Compare all accounts."""
    assert len(context.held_after) > 10, context.held_after
    assert not any(context.held_after), context.held_after


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
        self.unread_s = caller_sockets.UNREAD_TIMEOUT_S
        self.body = _Body(float("inf"))
        self.ended_s = None

    async def reply(self, request):
        """Reply with the long body, or with a short one."""
        await request.extensions["trace"](upstream_module.SENDING, {})
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
        node = _Node(96)
        table = fakes.table("unsafe", False, 1, timeout_s=ANSWER_S)
        system = fakes.System({"e0": "answer"}, table)
        system.account = node.account
        system.endpoints.handle = self.reply
        system.view.mark_current(0.0)
        option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        options = ((*option, int(self.unread_s * 1000)),)
        options += caller_sockets.OPTIONS[1:]
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
                account=node.account,
            )
            with unittest.mock.patch.object(
                caller_sockets, "OPTIONS", options
            ):
                found = listeners.Listener(app, f"127.0.0.1:{port}", True)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(found.serve, stopping)
                    await trio.sleep(0.3)
                    await read(port)
                    nursery.cancel_scope.cancel()


async def _open(port, path):
    caller = await trio.open_tcp_stream("127.0.0.1", port)
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


def _stall(context, seconds):
    """Leave an answer unread for a time; ask for another one then."""

    async def read(port):
        async with await _open(port, b"long"):
            await trio.sleep(seconds)
            context.read = context.listening.body.read
            context.stalled_ended_s = context.listening.ended_s
            begun_at = trio.current_time()
            async with await _open(port, b"short") as other:
                await other.receive_some(1000)
            context.other_s = trio.current_time() - begun_at

    with _log_of("wasabilanding.gateway.forwarding") as records:
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


@behave.then("the answer has ended and the log says that {text}")
def check_given_up(context, text):
    """Compare the end of the answer, and its reason."""
    assert context.stalled_ended_s < 4.0, context.stalled_ended_s
    reason = context.reasons[0]
    assert "did not read for" in reason, (text, reason)


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

    trio.run(functools.partial(context.listening.run, read))


@behave.then("the answer has ended {least:g} to {most:g} s after its request")
def check_ended(context, least, most):
    """Compare the time for which the node worked on the request."""
    assert least <= context.listening.ended_s <= most, (
        context.listening.ended_s
    )
