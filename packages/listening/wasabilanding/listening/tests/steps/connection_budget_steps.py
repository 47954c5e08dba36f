"""Steps for listeners whose connections are bounded."""

import contextlib
import logging
import re

import behave
import hypercorn.config
import trio

from wasabilanding.experiments import launcher
from wasabilanding import listening

REQUEST = b"POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
HALF_HEAD = b"POST /half HTTP/1.1\r\nHost: "
HALF_BODY = b"POST /half HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab"
MANY_LINES = (
    b"POST /many HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
    + b"a:\r\n" * 500
    + b"\r\n"
)
HTTP = b"HTTP/1.1"
END = b"\r\n\r\n"
WORK_S = 0.6
SETTLED_S = 0.1
TIMEOUT_S = 5.0
NUMBER = re.compile(r"(\d+) (?:callers|others)")
SECONDS = re.compile(r"for ([\d.]+) s")


class _Records(logging.Handler):
    """Keeps the records of a logger."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Keep a record."""
        self.records.append(record)


class _Listener:
    """A listener in this process.

    :param options: options of the listener.
    """

    def __init__(self, head_limit_s=10.0, **options):
        self._options = options
        self._head_limit_s = head_limit_s
        self.closes = []
        self.records = _Records()
        self.most_open = 0
        self.at_work = 0
        self.most_at_work = 0

    async def _app(self, scope, receive, send):
        if scope["type"] == "lifespan":
            for step in ("startup", "shutdown"):
                await receive()
                await send({"type": f"lifespan.{step}.complete"})
            return
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            if not message["more_body"]:
                break
        if scope["path"] in ("/slow", "/many"):
            self.at_work += 1
            self.most_at_work = max(self.most_at_work, self.at_work)
            await trio.sleep(WORK_S)
            self.at_work -= 1
        headers = [(b"content-length", b"0")]
        start = {"type": "http.response.start", "status": 200}
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": b""})

    async def connect(self):
        """Return a new connection."""
        return await trio.open_tcp_stream("127.0.0.1", self.port)

    async def _watch(self):
        while True:
            self.most_open = max(
                self.most_open, self._listener.open_connections
            )
            await trio.sleep(0.01)

    async def run(self, act):
        """Serve while a function runs."""
        config = hypercorn.config.Config()
        self.port = launcher.free_ports(1)[0]
        config.bind = [f"127.0.0.1:{self.port}"]
        self._listener = listening.HttpListener(
            self._app, config, 60.0, self.closes.append, **self._options
        )
        self._listener.head_limit_s = self._head_limit_s
        stopping = trio.Event()
        root = logging.getLogger("wasabilanding.listening")
        root.addHandler(self.records)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._listener.serve, stopping)
                nursery.start_soon(self._watch)
                await self._wait()
                with trio.fail_after(4 * TIMEOUT_S):
                    await act()
                nursery.cancel_scope.cancel()
        finally:
            root.removeHandler(self.records)

    async def _wait(self):
        while True:
            with contextlib.suppress(OSError):
                stream = await self.connect()
                await stream.aclose()
                break
            await trio.sleep(0.01)
        while self._listener.open_connections:
            await trio.sleep(0.01)
        self.closes.clear()


async def _answer(stream, count=1):
    """Return the last of some answers."""
    received = b""
    with (
        trio.move_on_after(TIMEOUT_S),
        contextlib.suppress(trio.BrokenResourceError),
    ):
        while received.count(END) < count:
            part = await stream.receive_some()
            received += part
            if not part:
                break
    return received[received.rfind(HTTP) :] if received else b""


@behave.given("a listener of {count:d} connections")
def given_listener(context, count):
    """Make a listener."""
    context.listener = _Listener(max_connections=count)


@behave.given(
    "a listener of {count:d} connections whose heads must arrive within "
    "{limit:g} s"
)
def given_head_limit(context, count, limit):
    """Make a listener."""
    context.listener = _Listener(limit, max_connections=count)


@behave.given(
    "a listener with {count:d} place for many lines, heads within {limit:g} s"
)
def given_places(context, count, limit):
    """Make a listener."""
    context.listener = _Listener(limit, parsing=listening.ParsingShare(count))


def _sent(what):
    if "half a head" in what:
        return HALF_HEAD
    if "half a body" in what:
        return HALF_BODY
    if "idle" in what:
        return REQUEST % b"first"
    if "wait" in what:
        return REQUEST % b"slow"
    return b""


@behave.when("{before}, and another caller sends a request")
def when_another(context, before):
    """Let callers come, and another one."""
    listener = context.listener
    streams = []

    async def come(what):
        for _ in range(int(NUMBER.search(what).group(1))):
            stream = await listener.connect()
            streams.append(stream)
            data = _sent(what)
            with contextlib.suppress(trio.BrokenResourceError):
                if data:
                    await stream.send_all(data)
                if "idle" in what:
                    await _answer(stream)
            await trio.sleep(0.01)

    async def act():
        for what in before.split(" and "):
            await come(what)
        found = SECONDS.search(before)
        await trio.sleep(float(found.group(1)) if found else SETTLED_S)
        other = await listener.connect()
        with contextlib.suppress(trio.BrokenResourceError):
            await other.send_all(REQUEST % b"other")
        context.other = await _answer(other)
        if "wait" in before:
            context.answers = [await _answer(stream) for stream in streams]

    trio.run(listener.run, act)


@behave.then("the other caller gets {status}")
def then_other(context, status):
    """Compare the answer."""
    if status == "no answer":
        assert context.other == b"", context.other
    else:
        begin = f"HTTP/1.1 {status} ".encode()
        assert context.other.startswith(begin), context.other


@behave.then("all {count:d} callers get {status:d}")
def then_all(context, count, status):
    """Compare the answers."""
    begin = b"HTTP/1.1 %d " % status
    found = [a for a in context.answers if a.startswith(begin)]
    assert len(found) == count, context.answers


@behave.then("{count:d} connections were closed for another one")
def then_closed(context, count):
    """Count the reported closes."""
    limit = listening.CloseCause.LIMIT
    found = [c for c in context.listener.closes if c.cause is limit]
    assert len(found) == count, context.listener.closes


@behave.then("at most {count:d} connections are open")
def then_open(context, count):
    """Compare the largest number."""
    assert context.listener.most_open <= count, context.listener.most_open


@behave.then(
    "the log has {count:d} lines on closed connections and none on errors"
)
def then_log(context, count):
    """Compare the lines."""
    records = context.listener.records.records
    errors = [r for r in records if r.levelno >= logging.ERROR]
    assert not errors, errors[0].getMessage()
    lines = [r.getMessage() for r in records]
    assert len(lines) == count, lines


@behave.when("a caller sends half a head and waits")
def when_half_head(context):
    """Send a part of a head."""

    async def act():
        stream = await context.listener.connect()
        begun_at = trio.current_time()
        await stream.send_all(HALF_HEAD)
        context.other = await _answer(stream)
        context.took_s = trio.current_time() - begun_at

    trio.run(context.listener.run, act)


@behave.then("it gets {status:d} after {least:g} s to {most:g} s")
def then_after(context, status, least, most):
    """Compare answer and time."""
    then_other(context, str(status))
    assert least <= context.took_s <= most, context.took_s


@behave.when(
    "{count:d} callers send heads of 500 lines {where} and one an ordinary "
    "request"
)
def when_many_lines(context, count, where):
    """Send all at once."""
    context.answers = []
    first = b"" if where == "alone" else REQUEST % b"first"

    async def send(data, answers):
        stream = await context.listener.connect()
        await stream.send_all(data)
        answers.append(await _answer(stream, data.count(HTTP)))

    async def act():
        ordinary = []
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(send, first + MANY_LINES, context.answers)
            await trio.sleep(SETTLED_S)
            nursery.start_soon(send, REQUEST % b"ordinary", ordinary)
        context.other = ordinary[0]

    trio.run(context.listener.run, act)


@behave.then(
    "at most {count:d} of the requests of many lines was handled at a time"
)
def then_at_a_time(context, count):
    """Compare the largest number."""
    found = context.listener.most_at_work
    assert 0 < found <= count, found


@behave.then("each of them got 200 or 503")
def then_each(context):
    """Compare the statuses; some of both are expected."""
    statuses = sorted(a[9:12] for a in context.answers)
    assert set(statuses) <= {b"200", b"503"}, context.answers
    assert statuses.count(b"200") >= 2, statuses


@behave.then("the ordinary request got {status:d}")
def then_ordinary(context, status):
    """Compare the answer."""
    then_other(context, str(status))
