"""Steps for the account of the node's memory."""

import contextlib
import random

import behave
import trio
import trio.testing

from wasabilanding.gateway import inbound
from wasabilanding.gateway import memory_account
from wasabilanding.gateway import metrics
from wasabilanding.gateway.tests import fakes

MB = 1_000_000
PART_BYTES = 100_000
MAX_BODY_BYTES = 4 * MB


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


@behave.when(
    "{count:d} callers declare {declared:d} bytes and send {sent:d}, and one "
    "asks {after:g} s later"
)
def ask_after_many(context, count, declared, sent, after):
    """Leave bodies open; send another request later."""
    context.ended = []

    async def leave_open():
        caller, _ = await context.node.ask(declared, sent)
        context.ended.append(caller.status)

    async def run():
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(leave_open)
            await trio.sleep(after)
            context.small, _ = await context.node.ask(200_000, 200_000)
            # A refused body is discarded for 1 s before its answer ends.
            await trio.sleep(1.5)
            nursery.cancel_scope.cancel()

    with _held(context):
        _run(run)


@behave.then("the request of that one gets {status:d}")
def check_later(context, status):
    """Compare the answer to the later request."""
    assert context.small.status == status, context.small.status


@behave.then("{count:d} of the callers have got {status:d} by then")
def check_ended(context, count, status):
    """Compare the answers to those whose bodies are incomplete."""
    assert context.ended == [status] * count, context.ended


@behave.then("the node holds less than {size:g} MB")
def check_held(context, size):
    """Compare what was held while the bodies were open."""
    assert 0 < context.held < size * MB, context.held


@behave.then("another request of 1000 bytes gets {status:d}")
def check_other(context, status):
    """Compare the answer to the other request."""
    assert context.small.status == status, context.small.status


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

    with _held(context), fakes.log_of(memory_account.__name__) as records:
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
