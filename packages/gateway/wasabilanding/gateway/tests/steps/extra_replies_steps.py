"""Steps for replies that an endpoint sends once more, over loopback."""

import behave
import trio

from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway.tests import loopback
from wasabilanding.gateway.tests import repeating_endpoint
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import model


@behave.given(
    'an endpoint that replies with "{replies}", and with {extra}, {moment}'
)
def given_repeating(context, replies, extra, moment):
    """Make an endpoint."""
    context.endpoint = repeating_endpoint.Endpoint(
        replies.split(), extra, moment
    )
    is_large = moment == "while the next body is being sent"
    context.body = repeating_endpoint.LARGE_BODY if is_large else b"body"


@behave.given("an endpoint that replies once to each request")
def given_sound(context):
    """Make an endpoint."""
    context.endpoint = repeating_endpoint.Endpoint(["success"])
    context.body = b"body"


@behave.when('{kind} requests with the ids "{ids}" are sent to it')
def send(context, kind, ids):
    """Send one request after the other."""
    requests = [[(b"x-request", name.encode())] for name in ids.split()]
    context.statuses = repeating_endpoint.statuses(
        context.endpoint, kind, requests, context.body
    )


@behave.when("a safe request is sent to it, and then a call for {purpose}")
def call(context, purpose):
    """Call the endpoint on the connection of the request."""

    async def run():
        table = fakes.table("safe", False, 1)
        async with trio.open_nursery() as nursery:
            system = await loopback.system(nursery, context.endpoint, table)
            async with system.upstream() as upstream:
                headers = [(b"x-request", b"a")]
                sent = upstream.send(
                    system.endpoint, "GET", b"/a", headers, b""
                )
                async with sent as reply:
                    await reply.read("reply", 100)
                context.result = await loopback.call(system, upstream, purpose)
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.then('their callers get "{statuses}"')
def check_statuses(context, statuses):
    """Compare the answers."""
    expected = [int(status) for status in statuses.split()]
    assert context.statuses == expected, context.statuses


@behave.then("it has accepted {count:d} connections from the node")
def check_connections(context, count):
    """Compare the number of connections."""
    assert context.endpoint.connections == count, context.endpoint.connections


@behave.then("the call may have run")
def check_call(context):
    """Compare the outcome of the call."""
    failure = upstream_module.AttemptFailed
    assert isinstance(context.result, failure), context.result
    assert context.result.outcome.verdict is model.Verdict.MAY_HAVE_RUN
