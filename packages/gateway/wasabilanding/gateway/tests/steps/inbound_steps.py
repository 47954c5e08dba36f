"""Steps for callers that disconnect."""

import behave
import trio
import trio.testing

from wasabilanding.gateway import inbound

WORK_S = 0.1
MAX_BODY_BYTES = 1000
SCOPE = {
    "type": "http",
    "method": "POST",
    "raw_path": b"/a",
    "query_string": b"",
    "headers": [],
}


@behave.given("a handler that answers {answer} and then works for 0.1 s")
def given_handler(context, answer):
    """Define what answers the request."""
    context.finished = False

    async def handle(head, body, response):
        await response.begin(200, [])
        await response.write(b"part")
        if answer == "completely":
            await response.end()
        await trio.sleep(WORK_S)
        context.finished = True

    context.handle = handle


async def _call(context):
    """Call the application as a server does."""
    ended = trio.Event()
    messages = [{"type": "http.request", "body": b"", "more_body": False}]

    async def receive():
        if messages:
            return messages.pop()
        await ended.wait()
        return {"type": "http.disconnect"}

    async def send(message):
        is_last = message.get("more_body") is False
        if is_last or context.moment == "after the part":
            ended.set()
        await trio.lowlevel.checkpoint()

    app = inbound.callers_app(
        context.handle, lambda: MAX_BODY_BYTES, lambda: False, lambda: True
    )
    await app(SCOPE, receive, send)


@behave.when("the caller's connection ends {moment}")
def end_connection(context, moment):
    """Run the application; servers report the end of each request."""
    context.moment = moment
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(_call, context, clock=clock)


@behave.then("the handler {fate}")
def check_fate(context, fate):
    """Compare whether the handler has run to its end."""
    assert context.finished == (fate == "has finished"), context.finished
