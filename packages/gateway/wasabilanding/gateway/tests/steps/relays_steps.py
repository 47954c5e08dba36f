"""Steps for requests that one node hands to another."""

import behave
import trio

from wasabilanding.gateway import relays
from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway.tests.steps import notices_steps
from wasabilanding import routes

CUT_OFF_CHECKED = 4


def relay_through(system, replaced):
    """Let nodes answer at the addresses of endpoints.

    :param system: the system.
    :param replaced: identities of the endpoints, by name of the node.
    """
    addresses = {}
    for name, endpoint_id in replaced.items():
        endpoint = system.endpoints.endpoint(endpoint_id)
        addresses[name] = (endpoint.host, endpoint.port)
        system.view.registry.remove(endpoint_id, 0.0)
    system.relays.nodes = lambda: {"z1": addresses}


@behave.given('the nodes "{names}" as relays, in place of {replaced}')
def given_relays(context, names, replaced):
    """Let nodes answer at the addresses of endpoints."""
    pairs = zip(names.split(), replaced.split(" and "), strict=True)
    relay_through(context.system, dict(pairs))
    notices_steps.timeline_of(context)


@behave.given("the node is cut off from the endpoints")
def given_cut_off(context):
    """Let the node know that no endpoint accepts its connections."""
    monitor = context.system.reachability.monitor
    monitor.record_check(0, CUT_OFF_CHECKED)


@behave.given("the node last heard of the store at 0 s")
def given_keys_not_proven(context):
    """Require keys, which the store confirms no more."""
    holders = (routes.KeyHolder("customer", frozenset({"key"})),)
    context.system.view.table = fakes.table("safe", False, 2, holders=holders)


@behave.given("the node reaches the endpoints")
def given_reachable(context):
    """Change nothing."""


@behave.given("the node checks its links for {seconds:d} s")
def given_checks(context, seconds):
    """Let the node check its links, as its loop does."""

    async def check():
        with trio.move_on_after(seconds):
            await context.system.reachability.keep_checking()

    context.system.crash_guard.check_links(context.system.reachability.check)
    notices_steps.timeline_of(context).add(0.0, check)


@behave.when(
    "another node with configuration {version:d} hands over a request at "
    "{at:g} s"
)
def hand_over(context, version, at):
    """Send a request as another node does."""
    timeline = notices_steps.timeline_of(context)
    told = relays.RelayedRequest("n2", version, 0)
    context.answers = {}

    async def ask():
        context.answers[at] = await timeline.system.ask(
            relays.request_headers(told), is_relayed=True
        )

    timeline.add(at, ask)
    timeline.run()


@behave.then(
    'the request at {at:g} s gets {status:d} with the verdict "{verdict}"'
)
def check_verdict(context, at, status, verdict):
    """Compare what the other node is told."""
    answer = context.answers[at]
    assert answer.status == status, (answer.status, answer.body)
    found = answer.headers.get(relays.VERDICT, b"").decode()
    assert found == verdict, found


@behave.then('the request at {at:g} s gets {status:d} with the verdict ""')
def check_no_verdict(context, at, status):
    """Compare an answer that an endpoint has given."""
    check_verdict(context, at, status, "")


@behave.then('the endpoints reached are "{names}"')
def check_reached(context, names):
    """Compare the endpoints, and nodes in their place, by arrival."""
    found = [name for name, _ in context.system.endpoints.arrivals]
    assert found == names.split(), found


@behave.then('the endpoints reached are ""')
def check_none_reached(context):
    """Check that nothing was sent."""
    check_reached(context, "")
