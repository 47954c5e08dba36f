"""Steps for connections that end while a request arrives."""

import contextlib
import functools
import itertools
import select
import socket
import struct
import time
from unittest import mock

import behave
import hypercorn.config
from hypercorn.protocol import h11 as h11_protocol
import trio

from wasabilanding.experiments import launcher
from wasabilanding import listening

WORK_S = 0.02
ANSWER = b"whole answer"
TIMEOUT_S = 5.0
# The loop stands still from this time before an idle time ends until this
# time after it.
STILL_S = 0.1
# Trio runs the tasks of a turn in one order or its reverse, by chance.
ROUNDS = 6
REQUESTS_A_TURN = 6
SHORT_LIMITS = 6
HEADS_ALONE_S = 0.4
# The server fails on requests of this target.
ODD_TARGET = b"/1"


def _request(path):
    return b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" % path


def _head(path):
    return b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n" % path


class _Callers:
    """Callers that keep connections to a listener in this process.

    :param count: number of connections.
    :param limit_s: limit on idle connections in seconds.
    """

    def __init__(self, count, limit_s):
        self.count = count
        self.limit_s = limit_s
        self.work_s = WORK_S
        # Requests that the application has begun, and read whole.
        self.begun = set()
        self.reached = set()
        self.received = {}
        self.closes = []
        self.closes_connections = False
        self.is_first_request_skipped = False
        self.stop_idle_s = 0.0
        # Requests that were passed on at the end of their connections, and
        # those of them without a whole answer.
        self.passed_on = 0
        self.lost = 0
        # Bytes of bodies that the application has read.
        self.read_bytes = 0

    async def _app(self, scope, receive, send):
        """Answer after some work, like a request that is passed on."""
        if scope["type"] == "lifespan":
            for step in ("startup", "shutdown"):
                await receive()
                await send({"type": f"lifespan.{step}.complete"})
            return
        if scope["type"] != "http":
            return
        path = int(scope["path"][1:])
        self.begun.add(path)
        message = await receive()
        while message.get("more_body"):
            self.read_bytes += len(message["body"])
            message = await receive()
        if message["type"] == "http.disconnect":
            return
        self.reached.add(path)
        # Like a gateway, it gives up a request whose connection has ended.
        with trio.move_on_after(self.work_s):
            await receive()
            return
        headers = [(b"content-length", str(len(ANSWER)).encode())]
        if self.closes_connections:
            headers.append((b"connection", b"close"))
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": ANSWER})

    async def run(self, act):
        """Exchange one request on each connection, then do something else.

        :param act: function of the callers and their sockets.
        """
        config = hypercorn.config.Config()
        port = launcher.free_ports(1)[0]
        config.bind = [f"127.0.0.1:{port}"]
        self.listener = listening.HttpListener(
            self._app,
            config,
            self.limit_s,
            self.closes.append,
            self.stop_idle_s,
        )
        self.port = port
        self.stopping = trio.Event()
        self.ended = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._serve)
            with contextlib.ExitStack() as stack:
                sockets = await self._connect(stack, port)
                if not self.is_first_request_skipped:
                    await self._exchange(sockets, range(self.count))
                self.reached.clear()
                self.begun.clear()
                await act(self, sockets)
            self.stopping.set()

    async def _serve(self):
        await self.listener.serve(self.stopping)
        self.ended.set()

    async def run_meeting(self, meet):
        """Let requests meet the end of their connections; read the answers.

        :param meet: function that sends the requests.
        """

        async def act(callers, sockets):
            await meet(callers, sockets)
            await self.read(sockets)

        await self.run(act)
        answered = {p for p, data in self.received.items() if _is_whole(data)}
        self.passed_on += len(self.reached)
        self.lost += len(self.reached - answered)

    async def _connect(self, stack, port):
        found = []
        with trio.fail_after(TIMEOUT_S):
            while len(found) < self.count:
                sock = socket.socket()
                try:
                    sock.connect(("127.0.0.1", port))
                except ConnectionRefusedError:
                    sock.close()
                    await trio.sleep(0.01)
                    continue
                found.append(stack.enter_context(sock))
        return found

    async def _exchange(self, sockets, paths):
        for sock, path in zip(sockets, paths, strict=True):
            sock.sendall(_request(path))
        await self.read(sockets)
        assert not [p for p in paths if not _is_whole(self.received[p])]

    async def read(self, sockets):
        """Read until each connection has a whole answer or has ended."""
        self.received = dict.fromkeys(range(self.count), b"")
        open_paths = set(self.received)
        with trio.move_on_after(TIMEOUT_S):
            while open_paths:
                await trio.sleep(0.005)
                for path in tuple(open_paths):
                    if self._read_one(sockets[path], path):
                        open_paths.remove(path)

    def _read_one(self, sock, path):
        """Read what has arrived; return whether no more is expected."""
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        if not poll.poll(0):
            return False
        try:
            data = sock.recv(65536)
        except ConnectionError:
            return True
        self.received[path] += data
        return not data or _is_whole(self.received[path])


def _is_whole(data):
    """Return whether an answer has all of its body."""
    return data.endswith(b"\r\n\r\n" + ANSWER)


def _send(sock, path):
    """Send a request, unless its connection is closed."""
    with contextlib.suppress(ConnectionError):
        sock.sendall(_request(path))


def _meet_end_after(margin_s):
    """Return a function that sends while the event loop stands still.

    :param margin_s: seconds from the limit to the end of the connection.
    """

    async def meet(callers, sockets):
        await trio.sleep(callers.limit_s + margin_s - STILL_S)
        for path, sock in enumerate(sockets):
            _send(sock, path)
        time.sleep(2 * STILL_S)

    return meet


async def _meet_end_of_head(callers, sockets):
    """Complete heads while the event loop stands still as their time ends."""
    requests = [_request(path) for path in range(len(sockets))]
    for sock, request in zip(sockets, requests, strict=True):
        sock.sendall(request[:20])
    await trio.sleep(callers.limit_s - STILL_S)
    for sock, request in zip(sockets, requests, strict=True):
        with contextlib.suppress(ConnectionError):
            sock.sendall(request[20:])
    time.sleep(2 * STILL_S)


async def _meet_stop(callers, sockets):
    """Send a few requests in each turn of the loop while it stops."""
    callers.stopping.set()
    for path, sock in enumerate(sockets):
        _send(sock, path)
        if path % REQUESTS_A_TURN == 0:
            await trio.lowlevel.checkpoint()


MEETINGS = {
    "the event loop stands still as the idle time ends": _meet_end_after(0.0),
    "the process stops": _meet_stop,
    "the event loop stands still as the time for its head ends": (
        _meet_end_of_head
    ),
    "the event loop stands still as the margin ends": _meet_end_after(
        listening.IDLE_MARGIN_S
    ),
}


def _run(act):
    async def run():
        with trio.fail_after(4 * TIMEOUT_S):
            await act()

    trio.run(run)


@behave.given("{count:d} connections that are kept for {limit:g} s")
def given_connections(context, count, limit):
    """Make callers."""
    context.callers = _Callers(count, limit)


@behave.given(
    "a connection that is kept for {limit:g} s, and {seconds:g} s after an "
    "answer in a stop"
)
def given_kept_in_stop(context, limit, seconds):
    """Make one caller, whose connection is kept in a stop."""
    context.callers = _Callers(1, limit)
    context.callers.stop_idle_s = seconds


@behave.given("a connection that is kept for {limit:g} s")
def given_connection(context, limit):
    """Make one caller."""
    context.callers = _Callers(1, limit)


@behave.when("a request arrives on each while {event}")
def meet(context, event):
    """Send the requests at the end of the connections."""
    callers = context.callers
    for _ in range(ROUNDS):
        _run(lambda: callers.run_meeting(MEETINGS[event]))


@behave.when(
    "the limit becomes {limit:g} s while it is idle, and its caller waits"
)
def change_limit(context, limit):
    """Change the limit; record when the connection ends."""

    async def act(callers, sockets):
        begun_at = trio.current_time()
        await trio.sleep(0.2)
        callers.listener.set_idle_limit(limit)
        await callers.read(sockets)
        context.kept_s = trio.current_time() - begun_at

    _run(lambda: context.callers.run(act))


@behave.then("it is closed after {least:g} s to {most:g} s")
def check_kept(context, least, most):
    """Compare the time for which the connection was kept."""
    assert least <= context.kept_s <= most, context.kept_s


@behave.when("its caller closes it after an answer")
def close_by_caller(context):
    """Close the socket; look at the listener later."""

    async def act(callers, sockets):
        sockets[0].close()
        await trio.sleep(0.5)
        context.open_connections = callers.listener.open_connections

    _run(lambda: context.callers.run(act))


def _close(sock):
    sock.close()


def _half_close(sock):
    sock.shutdown(socket.SHUT_WR)


def _reset(sock):
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    sock.close()


CLOSES = {"closes": _close, "half-closes": _half_close, "resets": _reset}
BEHIND = {
    "nothing": b"",
    "an empty line": b"\r\n",
    "half a head": _request(1)[:20],
    "another request": _request(1),
}


@behave.when("its caller {closes} it during a request with {what} behind it")
def close_during_request(context, closes, what):
    """Close the connection while the application works; look at it later."""

    async def act(callers, sockets):
        callers.work_s = TIMEOUT_S
        sockets[0].sendall(_request(0) + BEHIND[what])
        await trio.sleep(0.1)
        CLOSES[closes](sockets[0])
        await trio.sleep(0.5)
        context.open_connections = callers.listener.open_connections
        context.begun = callers.begun.copy()
        context.answer = b""
        if closes == "half-closes":
            sockets[0].setblocking(False)
            with contextlib.suppress(BlockingIOError):
                context.answer = sockets[0].recv(65536)

    _run(lambda: context.callers.run(act))


@behave.when(
    "its caller sends a request and {closes} it while the event loop stands "
    "still"
)
def close_while_still(context, closes):
    """Let a request and the close wait in the socket together."""

    async def act(callers, sockets):
        sockets[0].sendall(_request(0))
        CLOSES[closes](sockets[0])
        time.sleep(STILL_S)
        await trio.sleep(0.5)
        context.open_connections = callers.listener.open_connections
        context.reached = callers.reached.copy()

    _run(lambda: context.callers.run(act))


@behave.then("no request has been read by the application")
def check_none_reached(context):
    """Check that the application was told of the close instead."""
    assert not context.reached, context.reached


@behave.then("no other request has begun")
def check_none_begun(context):
    """Check that what was sent behind the request is not run."""
    assert context.begun == {0}, context.begun


@behave.then("its caller gets no answer")
def check_no_answer(context):
    """Check that the server does not answer for the application."""
    assert context.answer == b"", context.answer


@behave.then("the listener has no open connection after 0.5 s")
def check_open(context):
    """Compare the number of connections."""
    assert context.open_connections == 0, context.open_connections


@behave.when(
    "its answer closes it and {count:d} bytes have arrived behind the request"
)
def send_more(context, count):
    """Send a request and more behind it, and read somewhat later."""

    async def act(callers, sockets):
        callers.closes_connections = True
        data = _request(0) + b"x" * count
        context.received = await _send_and_read(sockets[0], data)

    _run(lambda: context.callers.run(act))


async def _send_and_read(sock, data):
    """Send bytes, and return what comes until the end, read somewhat later."""
    sock.setblocking(False)
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
    await stream.send_all(data)
    await trio.sleep(4 * WORK_S)
    received = b""
    while part := await stream.receive_some():
        received += part
    return received


@behave.when("a request that asks for the close has {count:d} bytes behind it")
def send_behind_last(context, count):
    """Send a request with the header Connection, and more behind it."""

    async def act(callers, sockets):
        request = _request(0)[:-2] + b"Connection: close\r\n\r\n"
        data = request + b"x" * count
        context.received = await _send_and_read(sockets[0], data)

    _run(lambda: context.callers.run(act))


@behave.then("the caller gets the whole answer")
def check_whole(context):
    """Compare the answer."""
    assert _is_whole(context.received), context.received


@behave.then("the end of the connection")
def check_end(context):
    """Do nothing: the answer was read to the end of the connection."""


@behave.when("the body of a request takes {late:g} s")
def send_late_body(context, late):
    """Send the body some time after the head."""

    async def act(callers, sockets):
        sockets[0].sendall(_head(0))
        await trio.sleep(late)
        sockets[0].sendall(b"body")
        await callers.read(sockets)
        context.received = callers.received[0]

    _run(lambda: context.callers.run(act))


@behave.when("the answer to a request takes {late:g} s")
def answer_late(context, late):
    """Let the application work longer than the limit."""

    async def act(callers, sockets):
        callers.work_s = late
        sockets[0].sendall(_request(0))
        await callers.read(sockets)
        context.received = callers.received[0]

    _run(lambda: context.callers.run(act))


@behave.given(
    "{count:d} connections that are kept for a time between {least:g} s and"
    " {most:g} s"
)
def given_short_limits(context, count, least, most):
    """Make callers for several limits."""
    step_s = (most - least) / (SHORT_LIMITS - 1)
    context.many_callers = [
        _Callers(count, least + step_s * number)
        for number in range(SHORT_LIMITS)
    ]


@behave.when(
    "heads arrive without bodies while each turn of the loop takes {turn:g} s"
)
def send_heads(context, turn):
    """Send heads while another task uses the loop; send bodies later."""

    async def use_loop():
        while True:
            time.sleep(turn)
            await trio.lowlevel.checkpoint()

    async def act(callers, sockets):
        for path, sock in enumerate(sockets):
            sock.sendall(_head(path))
        with trio.move_on_after(HEADS_ALONE_S):
            await use_loop()
        for sock in sockets:
            with contextlib.suppress(ConnectionError):
                sock.sendall(b"body")
        await callers.read(sockets)

    for callers in context.many_callers:
        callers.is_first_request_skipped = True
        _run(lambda callers=callers: callers.run(act))


@behave.then("each request that has begun is answered whole")
def check_begun(context):
    """Compare the requests that have begun with the answers."""
    lost = [
        (callers.limit_s, path)
        for callers in context.many_callers
        for path in callers.begun
        if not _is_whole(callers.received[path])
    ]
    assert not lost, lost
    assert any(callers.begun for callers in context.many_callers)


@behave.when("another caller connects at the moment of the stop and waits")
def connect_at_stop(context):
    """Open a connection a few turns of the loop before the process stops."""

    async def act(callers, sockets, turns):
        with socket.socket() as sock:
            sock.connect(("127.0.0.1", callers.port))
            for _ in range(turns):
                await trio.lowlevel.checkpoint()
            callers.stopping.set()
            begun_at = trio.current_time()
            with trio.move_on_after(TIMEOUT_S):
                await callers.ended.wait()
            context.ended_s = max(
                context.ended_s, trio.current_time() - begun_at
            )

    context.ended_s = 0.0
    for turns in itertools.chain.from_iterable([range(ROUNDS)] * 3):
        connect = functools.partial(act, turns=turns)
        _run(lambda connect=connect: context.callers.run(connect))


@behave.then("the listener ends within {bound:g} s")
def check_listener_end(context, bound):
    """Compare the longest time from the stop."""
    assert context.ended_s <= bound, context.ended_s


@behave.when(
    "another one gets input that the server fails on during a request"
)
def send_odd(context):
    """Send a request on which the server raises an error."""
    create = h11_protocol.H11Protocol._create_stream

    async def fail_on_odd(protocol, request):
        if request.target == ODD_TARGET:
            raise RuntimeError("an error of the server")
        await create(protocol, request)

    async def act(callers, sockets):
        callers.work_s = 0.5
        sockets[0].sendall(_request(0))
        await trio.sleep(0.1)
        with socket.create_connection(("127.0.0.1", callers.port)) as odd:
            odd.sendall(_request(1))
            await callers.read(sockets)
        context.received = callers.received[0]

    with mock.patch.object(
        h11_protocol.H11Protocol, "_create_stream", fail_on_odd
    ):
        _run(lambda: context.callers.run(act))


@behave.when("the rest of a head arrives {late:g} s after the stop")
def send_late_head(context, late):
    """Send a part of a head before the stop and the rest after it."""

    async def act(callers, sockets):
        request = _request(0)
        sockets[0].sendall(request[:20])
        await trio.sleep(0.05)
        callers.stopping.set()
        await trio.sleep(late)
        with contextlib.suppress(ConnectionError):
            sockets[0].sendall(request[20:])
        await callers.read(sockets)

    _run(lambda: context.callers.run(act))


@behave.when("a request arrives in {parts} {late:g} s after the stop")
def send_after_stop(context, parts, late):
    """Send a request on an idle connection after the stop."""
    request = _request(0)
    cut = 20 if parts == "two parts" else len(request)

    async def act(callers, sockets):
        callers.stopping.set()
        await trio.sleep(late)
        for part in (request[:cut], request[cut:]):
            with contextlib.suppress(ConnectionError):
                sockets[0].sendall(part)
            await trio.sleep(0.1)
        await callers.read(sockets)

    _run(lambda: context.callers.run(act))


@behave.then("the request is {outcome}")
def check_outcome(context, outcome):
    """Compare what reached the application and what the caller got."""
    received = context.callers.received[0]
    if outcome == "answered":
        assert context.callers.reached and _is_whole(received), received
    else:
        assert not context.callers.reached and not received, received


@behave.then("each request that reaches the application is answered whole")
def check_answers(context):
    """Look for requests that were passed on and got no answer."""
    callers = context.callers
    assert not callers.lost, (
        f"{callers.lost} of {callers.passed_on} requests were passed on and"
        f" not answered"
    )


@behave.then("at least {least:d} of 120 requests reach it")
def check_passed_on(context, least):
    """Compare the number of requests that were passed on."""
    assert context.callers.passed_on >= least, context.callers.passed_on


@behave.then("no connection is reported as closed with an unanswered request")
def check_reports(context):
    """Compare what the listener reports."""
    found = [
        close
        for close in context.callers.closes
        if close.is_unanswered
        and close.cause is not listening.CloseCause.CALLER
    ]
    assert not found, f"{len(found)}, the first one {found[0]}"
