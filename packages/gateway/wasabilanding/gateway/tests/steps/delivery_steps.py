"""Steps for the answer to one request."""

import behave
import trio
import trio.testing

from wasabilanding.gateway import inbound

MESSAGES = {
    "begin": lambda delivery: delivery.begin(200, []),
    "write": lambda delivery: delivery.write(b"a"),
    "end": lambda delivery: delivery.end(b"a"),
}


@behave.given("a server that takes {seconds:g} s for each message")
def given_server(context, seconds):
    """Make a server that counts what it has begun and taken."""
    context.begun = []
    context.taken = []
    context.pause_s = seconds


@behave.when("the request is cancelled while {message} is sent")
def cancel(context, message):
    """Cancel half way through a message."""

    async def send(sent):
        context.begun.append(sent["type"])
        await trio.sleep(context.pause_s)
        context.taken.append(sent["type"])

    async def run():
        delivery = inbound.Delivery(send, lambda: False)
        with trio.move_on_after(context.pause_s / 2):
            await MESSAGES[message](delivery)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.then("the server has taken the whole message")
def check_taken(context):
    """Compare what was begun and what was taken."""
    assert len(context.taken) == 1
    assert context.taken == context.begun, context.taken
