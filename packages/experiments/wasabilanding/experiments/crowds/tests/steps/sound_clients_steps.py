"""Steps for single clients that send as much as they may."""

import contextlib
import re

import behave
import trio

from wasabilanding.experiments.installation import launch
from wasabilanding.experiments import launcher

HEAD_BYTES = 16_000
TIMEOUT_S = 20.0
OK = b"HTTP/1.1 200"
END_OF_CHUNKS = b"0\r\n\r\n"
NUMBER = re.compile(r"\d+")
OPENED_AT_ONCE = 32


def _start(number):
    return (
        f"POST /drafts/sound-{number} HTTP/1.1\r\nhost: {launch.SITE}\r\n"
        f"x-key: key-1\r\nx-request: sound-{number}\r\n"
        f"x-model: {launch.SMALL.name}\r\nx-events-wanted: 1\r\n"
    ).encode()


def _chunked(body, size):
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    chunks = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
    return b"transfer-encoding: chunked\r\n\r\n" + b"".join(
        [*chunks, b"0\r\n\r\n"]
    )


def _sized(body):
    return b"content-length: %d\r\n\r\n%b" % (len(body), body)


def _writes(what):
    """Return what a client writes."""
    start = _start(0)
    size = int(NUMBER.search(what).group())
    body = bytes(size)
    if what.startswith("a head"):
        rest = HEAD_BYTES - len(start) - len(_sized(b""))
        is_short = what.endswith("short lines")
        filler = b"a:\r\n" * (rest // 4)
        if not is_short:
            filler = b"x: " + b"x" * (rest - 5) + b"\r\n"
        return [start + filler + _sized(b"")]
    if what.endswith("large chunks"):
        return [start + _chunked(body, 65536)]
    if what.endswith("chunks of 1"):
        return [start + _chunked(body, 1)]
    whole = start + _sized(body)
    if what.endswith("a byte a write"):
        return [whole[i : i + 1] for i in range(len(whole))]
    return [whole]


async def _exchange(stream, writes):
    """Send a request; return its answer."""
    received = b""
    with trio.move_on_after(TIMEOUT_S):
        for data in writes:
            await stream.send_all(data)
        while not received.endswith(END_OF_CHUNKS):
            part = await stream.receive_some()
            received += part
            if not part or not received.startswith(OK):
                break
    return received


@behave.when("a client sends {what}")
def when_sent(context, what):
    """Exchange one request."""

    async def act():
        address = launcher.HOST, context.target.ports["callers"]
        stream = await trio.open_tcp_stream(*address)
        stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        async with stream:
            return await _exchange(stream, _writes(what))

    context.answer = trio.run(act)


@behave.then("it is answered with {status:d}")
def then_answered(context, status):
    """Compare the status."""
    begin = b"HTTP/1.1 %d" % status
    assert context.answer.startswith(begin), context.answer[:500]


@behave.when(
    "{count:d} clients are answered, wait for {seconds:g} s and send again"
)
def when_idle(context, count, seconds):
    """Exchange two requests on each connection."""
    context.answers = []
    opening = trio.CapacityLimiter(OPENED_AT_ONCE)

    async def call(number):
        address = launcher.HOST, context.target.ports["callers"]
        answers = [b"", b""]
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            async with opening:
                stream = await trio.open_tcp_stream(*address)
                request = [_start(2 * number) + _sized(b"")]
                answers[0] = await _exchange(stream, request)
            async with stream:
                await trio.sleep(seconds)
                request = [_start(2 * number + 1) + _sized(b"")]
                async with opening:
                    answers[1] = await _exchange(stream, request)
        context.answers += answers

    async def act():
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(call, number)

    trio.run(act)


@behave.then("all of them are answered with {status:d}")
def then_all_answered(context, status):
    """Compare the statuses."""
    begin = b"HTTP/1.1 %d" % status
    others = [a[:80] for a in context.answers if not a.startswith(begin)]
    assert not others, f"{len(others)} of {len(context.answers)}: {others[0]}"
