"""Steps for writing the answer to a request."""

import behave
import trio
import trio.testing

from wasabilanding.gateway import inbound

MESSAGES = {
    "begin": lambda response: response.begin(200, []),
    "write": lambda response: response.write(b"a"),
    "end": lambda response: response.end(b"a"),
}


@behave.given("a server that takes {seconds:g} s for each message")
def given_server(context, seconds):
    """Make a server that records messages begun and completed."""
    context.begun = []
    context.taken = []
    context.pause_s = seconds


@behave.when("the request is cancelled while {message} is sent")
def cancel(context, message):
    """Cancel halfway through a message."""

    async def send(sent):
        context.begun.append(sent["type"])
        await trio.sleep(context.pause_s)
        context.taken.append(sent["type"])

    async def run():
        response = inbound.ResponseWriter(send, lambda: False)
        with trio.move_on_after(context.pause_s / 2):
            await MESSAGES[message](response)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.then("the server has taken the whole message")
def check_taken(context):
    """Check that one message was begun and completed."""
    assert len(context.taken) == 1
    assert context.taken == context.begun, context.taken
