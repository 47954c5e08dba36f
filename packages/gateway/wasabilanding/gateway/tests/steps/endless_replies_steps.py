"""Steps for replies without end, over loopback."""

import contextlib

import behave
import trio

from wasabilanding import fleet
from wasabilanding.gateway import reply_bounds
from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway.tests import loopback
from wasabilanding.gateway import upstream as upstream_module

MIB = 1024 * 1024
PIECE = b"x" * 65536
# An endpoint goes silent after it, so that a test ends on any code.
MAX_SENT_BYTES = 256 * MIB
DEADLINE_S = 8.0
# Requests to other endpoints, sent every 0.1 s.
OTHERS = 6
# The caller joins all bytes of an answer again with each part.
BOUNDS = reply_bounds.ReplyBounds(answer_bytes=4 * MIB, event_bytes=MIB // 2)
HEAD = b"HTTP/1.1 %d X\r\nx-request: r1\r\n"
EVENTS = HEAD % 200 + b"x-events: 1\r\n\r\n"
CHUNK = b"%x\r\n%s\r\n" % (len(PIECE), PIECE)
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
CHUNKED_EVENTS = HEAD % 200 + b"x-events: 1\r\n" + CHUNKED
SMALL_CHUNKS = b"1\r\nx\r\n" * 10000
BEGINNINGS = {
    "a head": HEAD % 200,
    "a failure": HEAD % 500 + b"\r\n",
    "a chunked failure": HEAD % 500 + b"transfer-encoding: chunked\r\n\r\n",
    "an event": EVENTS + b"data: ",
    "a comment in lines": EVENTS,
    "an event byte by byte": EVENTS + b"data: ",
    "an answer": HEAD % 200 + b"\r\n",
    "an answer in small chunks": HEAD % 200 + CHUNKED,
    "a failure in small chunks": HEAD % 500 + CHUNKED,
    "an event in small chunks": CHUNKED_EVENTS,
    "events in small chunks": CHUNKED_EVENTS,
    "tiny events": EVENTS,
    "chunks with extensions": HEAD % 200 + CHUNKED,
    "a chunk extension": HEAD % 200 + CHUNKED + b"1;",
    "trailers": HEAD % 200 + CHUNKED + b"0\r\n",
    "interim answers": b"",
}
PIECES = {
    "a head": b"x-filler: x\r\n" * 500,
    "a chunked failure": CHUNK,
    "a comment in lines": b": still here\n" * 500,
    "an event byte by byte": b"x" * 100,
    "an answer in small chunks": SMALL_CHUNKS,
    "a failure in small chunks": SMALL_CHUNKS,
    "an event in small chunks": SMALL_CHUNKS,
    "events in small chunks": b"1\r\n\n\r\n" * 10000,
    "tiny events": b"\n\n" * 30000,
    "chunks with extensions": b"1;a=b\r\nx\r\n" * 6000,
    "a chunk extension": b"a=b;" * 16000,
    "trailers": b"x-filler: x\r\n" * 5000,
    "interim answers": b"HTTP/1.1 100 Continue\r\n\r\n" * 2500,
}


class _Endpoint:
    """Listener whose reply does not end, or has a given size.

    :param reply: kind of the reply.
    :param size: bytes of its body; None for no end.
    """

    def __init__(self, reply, size=None):
        self._reply = reply
        self._size = size
        self.sent = 0
        self.closed = False

    async def serve(self, stream):
        """Reply to one request."""
        with contextlib.suppress(trio.BrokenResourceError):
            while b"\r\n\r\n" not in await stream.receive_some():
                pass
            if self._size is None:
                await self._send_endlessly(stream)
            else:
                await self._send_whole(stream)
        self.closed = True

    async def _send_endlessly(self, stream):
        await stream.send_all(BEGINNINGS[self._reply])
        piece = PIECES.get(self._reply, PIECE)
        while self.sent < MAX_SENT_BYTES:
            await stream.send_all(piece)
            self.sent += len(piece)
        await stream.receive_some()

    async def _send_whole(self, stream):
        begun = BEGINNINGS[self._reply]
        if begun.endswith(CHUNKED):
            body = b"1\r\nx\r\n" * self._size + b"0\r\n\r\n"
            await stream.send_all(begun + body)
            await stream.receive_some()
            return
        head, _, start = begun.partition(b"\r\n\r\n")
        end = b"\n\n" if start else b""
        filler = b"x" * (self._size - len(start) - len(end))
        length = b"\r\ncontent-length: %d\r\n\r\n" % self._size
        await stream.send_all(head + length + start + filler + end)
        await stream.receive_some()


@behave.given("an endpoint that replies with {reply} without end")
def given_endless(context, reply):
    """Make an endpoint."""
    context.endpoint = _Endpoint(reply)


@behave.given("an endpoint that replies with {reply} of {size:d} bytes")
def given_sized(context, reply, size):
    """Make an endpoint whose reply ends."""
    context.endpoint = _Endpoint(reply, size)


def _table(kind, timeout_s):
    """Return a table with one route of a kind of requests."""
    return fakes.table(
        kind.removeprefix("resumable "),
        kind.startswith("resumable "),
        1,
        timeout_s=timeout_s,
    )


@behave.when(
    "a {kind} request is sent to it, and one to another endpoint 0.1 s later"
)
def send(context, kind):
    """Send both requests."""
    table = _table(kind, DEADLINE_S)

    async def ask(name, system):
        system.view.mark_current(0.0)
        setattr(context, name, await system.ask())

    async def run():
        async with trio.open_nursery() as nursery:
            first = await loopback.system(
                nursery, context.endpoint, table, BOUNDS
            )
            sound = _Endpoint("an answer", 100)
            other = await loopback.system(
                nursery, sound, fakes.table("safe", False, 1)
            )
            async with trio.open_nursery() as asking:
                asking.start_soon(ask, "first", first)
                await trio.sleep(0.1)
                asking.start_soon(ask, "other", other)
            await trio.sleep(0.1)
            context.sent = context.endpoint.sent
            context.closed = context.endpoint.closed
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.when(
    "{count:d} {kind} requests with a time limit of {limit:g} s are sent to "
    "it, and one a time to another endpoint beside them"
)
def send_many(context, count, kind, limit):
    """Send requests beside which others must be served."""
    table = _table(kind, limit)
    context.first = []
    context.others = []

    async def ask(answers, system):
        system.view.mark_current(0.0)
        answers.append(await system.ask())

    async def run():
        async with trio.open_nursery() as nursery:
            first = await loopback.system(
                nursery, context.endpoint, table, BOUNDS
            )
            others = [
                await loopback.system(
                    nursery,
                    _Endpoint("an answer", 100),
                    fakes.table("safe", False, 1),
                )
                for _ in range(OTHERS)
            ]
            async with first.forwarder(), trio.open_nursery() as asking:
                for _ in range(count):
                    asking.start_soon(ask, context.first, first)
                for other in others:
                    await trio.sleep(0.1)
                    asking.start_soon(ask, context.others, other)
            context.system = first
            now = trio.current_time()
            record = first.tracker.record(fleet.incarnation_of(first.endpoint))
            context.is_avoided = record.avoid_until > now
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.when("a call for {purpose} is made to it")
def call(context, purpose):
    """Call the control API of the endpoint."""

    async def run():
        table = fakes.table("safe", False, 1)
        async with trio.open_nursery() as nursery:
            system = await loopback.system(
                nursery, context.endpoint, table, BOUNDS
            )
            started_at = trio.current_time()
            async with system.upstream() as upstream:
                context.result = await loopback.call(system, upstream, purpose)
            context.took_s = trio.current_time() - started_at
            await trio.sleep(0.1)
            context.sent = context.endpoint.sent
            context.closed = context.endpoint.closed
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.then("the first ends with {status:d} within {bound:g} s")
def check_first(context, status, bound):
    """Compare the answer."""
    first = context.first
    assert first.status == status, (first.status, first.body[:200])
    assert first.took_s <= bound, first.took_s


@behave.then(
    "the endpoint could send at most {most:g} MiB before its connection closed"
)
def check_sent(context, most):
    """Compare what the endpoint could send."""
    assert context.sent <= most * MIB, f"{context.sent / MIB:.1f} MiB"
    assert context.closed


@behave.then("the other is answered within {bound:g} s")
def check_other(context, bound):
    """Compare the answer to the other request."""
    assert context.other.status == 200, context.other.status
    assert context.other.took_s <= bound, context.other.took_s


@behave.then("the call fails within {bound:g} s")
def check_call(context, bound):
    """Compare the outcome of the call."""
    failure = upstream_module.AttemptFailed
    assert isinstance(context.result, failure), context.result
    assert context.took_s <= bound, context.took_s


@behave.then("its body has {size:d} bytes")
def check_body(context, size):
    """Compare the length of the answer."""
    assert len(context.first.body) == size, len(context.first.body)


@behave.then("they end with {status:d} within {bound:g} s")
def check_all(context, status, bound):
    """Compare the answers to all requests to the endpoint."""
    found = [(f.status, round(f.took_s, 3)) for f in context.first]
    assert {s for s, _ in found} == {status}, found
    assert all(took_s <= bound for _, took_s in found), found


@behave.then("each of the others is answered within {bound:g} s")
def check_others(context, bound):
    """Compare the answers to the requests to other endpoints."""
    found = [(o.status, round(o.took_s, 3)) for o in context.others]
    assert len(found) == OTHERS, found
    assert {s for s, _ in found} == {200}, found
    assert all(took_s <= bound for _, took_s in found), found


@behave.then("the endpoint is avoided")
def check_avoided(context):
    """Check that later requests go elsewhere."""
    assert context.is_avoided
