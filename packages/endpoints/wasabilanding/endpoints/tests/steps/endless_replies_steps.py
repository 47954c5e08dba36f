"""Steps for engines that send bytes without end, over loopback."""

import contextlib

import behave
import httpx
import trio

from wasabilanding import endpoints
from wasabilanding import model
from wasabilanding import placement

OK = b"HTTP/1.1 200 OK\r\n"
FAILURE = b"HTTP/1.1 500 X\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
MIB = 1024 * 1024
PART = b"x" * 65536
CHUNK = b"%x\r\n%s\r\n" % (len(PART), PART)
INTERIM_ANSWERS = b"HTTP/1.1 102 Processing\r\n\r\n" * 2000
# Head, and what is sent again and again behind it.
REPLIES = {
    "a body": (OK + b"\r\n", PART),
    "a slow body": (OK + b"\r\n", b"x"),
    "chunks": (OK + CHUNKED, CHUNK),
    "a failure": (FAILURE + b"\r\n", PART),
    "a head": (OK + b"X-Long: ", PART),
    "interim answers": (b"", INTERIM_ANSWERS),
    "an event": (OK + b"\r\nid: 0\ndata: ", PART),
}
SLOW_INTERVAL_S = 0.2
# The engine stops there, so that a fault does not use up the memory here.
MOST_BYTES = 300 * MIB
TIMEOUT_S = 12.0


class _Engine:
    """Engine whose replies do not end."""

    def __init__(self, reply):
        self._head, self._part = REPLIES[reply]
        self._pause_s = SLOW_INTERVAL_S if len(self._part) == 1 else 0.0
        self.sent = 0

    async def serve(self, stream):
        """Reply to a request until the connection ends."""
        with contextlib.suppress(trio.BrokenResourceError):
            async with stream:
                await stream.receive_some()
                await stream.send_all(self._head)
                while self.sent < MOST_BYTES:
                    await stream.send_all(self._part)
                    self.sent += len(self._part)
                    await trio.sleep(self._pause_s)
                await trio.sleep_forever()


@behave.given("an engine that replies with {reply} without end")
def given_engine(context, reply):
    """Make the engine."""
    context.engine = _Engine(reply)


async def _ask(client, what, address):
    """Make a call or send a request; return its result."""
    vm = model.Vm("v1", address, "z1", "f1")
    if what == "order":
        order = placement.Release("v1", "r1", 1, 1)
        found = await client.order(vm, order)
        return "accepted" if found.accepted else "refused"
    if what == "report":
        return str(await client.report(vm, 0.0))
    if what == "cache_events":
        return str(await client.cache_events(vm, 0))
    if what == "answer":
        try:
            await client.http.get(address)
        except httpx.HTTPError:
            return "failed"
        return "answered"
    request = endpoints.AttemptRequest(address, "a1", "r1", 1, b"{}")
    attempt = client.start_attempt(request, trio.current_time() + TIMEOUT_S)
    with contextlib.closing(attempt):
        try:
            while await attempt.receive():
                pass
        except endpoints.AttemptFailed as error:
            return error.outcome.verdict.value
    return "completed"


@behave.when("{what:w} is asked of it")
def ask(context, what):
    """Ask the engine; record the result and the time that it takes."""
    context.result = "no end"

    async def run():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                trio.serve_tcp, context.engine.serve, 0
            )
            port = listeners[0].socket.getsockname()[1]
            begun_at = trio.current_time()
            with trio.move_on_after(TIMEOUT_S):
                async with endpoints.EndpointClient() as client:
                    context.result = await _ask(
                        client, what, f"http://127.0.0.1:{port}"
                    )
                    context.took_s = trio.current_time() - begun_at
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.then('it ends with "{result}" within {bound:g} s')
def check_result(context, result, bound):
    """Compare the result and the time."""
    assert context.result == result, (context.result, context.engine.sent)
    assert context.took_s <= bound, context.took_s


@behave.then("the engine could send at most {most:d} MiB")
def check_sent(context, most):
    """Compare what was read of the reply, and some in the kernel's buffers."""
    assert context.engine.sent <= most * MIB, context.engine.sent / MIB
