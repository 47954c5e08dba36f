"""Steps for what requests add to the retry budget."""

import dataclasses
import itertools

import behave
from prometheus_client import parser
import trio
import trio.testing

from wasabilanding.gateway import relays
from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway.tests.steps import notices_steps
from wasabilanding.gateway.tests.steps import relays_steps
from wasabilanding import limits

# Endpoints that refuse a request are avoided for less.
INTERVAL_S = 2.0
# A share of it allows all retries of a request.
AMPLE_SLACK = 1200
TIME_S = 20.0
CONNECT_S = 1.0
# What an attempt meets that does not bring the request to an endpoint.
NOT_REACHED = ("unreachable", "elsewhere")


@behave.given("a node that has started again")
def given_started_again(context):
    """Let the node begin without tokens."""
    system = context.system
    system.settings = dataclasses.replace(system.settings, first_start=False)


def _ask_all(context, count, headers, is_relayed):
    """Send requests one by one, all through the same forwarder."""
    timeline = notices_steps.timeline_of(context)

    async def ask_all():
        async with timeline.system.forwarder() as forwarder:
            for _ in range(count):
                await trio.sleep(INTERVAL_S)
                await timeline.system.ask(headers, is_relayed=is_relayed)
            forwarder.update_retry_budget(0)

    timeline.add(0.0, ask_all)
    timeline.run()
    context.requests = count


@behave.when("{count:d} requests are sent one after the other")
def send(context, count):
    """Send requests of callers."""
    _ask_all(context, count, (), False)


@behave.when("another node hands over {count:d} requests {how:w} tokens")
def hand_over(context, count, how):
    """Send requests as another node does that keeps their tokens or not."""
    told = relays.RelayedRequest("n2", 1, 0, how == "with")
    _ask_all(context, count, relays.request_headers(told), True)


@behave.when(
    'one request meets each order of {count:d} of "{outcomes}", and then '
    'nodes that "{nodes}"'
)
def meet_all(context, count, outcomes, nodes):
    """Send a request for each order, to endpoints and nodes of its own."""
    context.results = []
    last = nodes.split(", ")
    for order in itertools.product(outcomes.split(", "), repeat=count):
        scripts = {f"e{i}": name for i, name in enumerate((*order, *last))}
        context.system = fakes.System(dict(scripts), context.routing)
        context.system.settings = dataclasses.replace(
            context.system.settings, retry_slack=AMPLE_SLACK
        )
        names = list(scripts)[count:]
        relays_steps.relay_through(
            context.system, {f"n{name}": name for name in names}
        )
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(_ask_within_time, context.system, clock=clock)
        reached = [
            scripts[name] for name, _ in context.system.endpoints.arrivals
        ]
        charged = sum(
            number
            for labels, number in context.system.metrics.repeats.items()
            if ("result", "charged") in labels
        )
        context.results.append((order, reached, charged))


async def _ask_within_time(system):
    system.view.mark_current(0.0)
    with trio.move_on_after(TIME_S):
        await system.ask()


@behave.then("it reaches endpoints more often than it is charged once at most")
def check_charged(context):
    """Compare arrivals and charges for each order."""
    wrong = [
        (order, reached, charged)
        for order, reached, charged in context.results
        if sum(name not in NOT_REACHED for name in reached) > charged + 1
    ]
    assert not wrong, wrong
    assert any(charged for _, _, charged in context.results)


@behave.then("the endpoints get {least:d} to {most:d} of them again")
def check_repeats(context, least, most):
    """Compare the arrivals beyond the first of each request."""
    repeats = len(context.system.endpoints.arrivals) - context.requests
    assert least <= repeats <= most, repeats


@behave.then("{count:d} of them are handed on with their tokens")
def check_handed(context, count):
    """Read what the other node is told."""
    name = relays.DEPOSIT.decode()
    told = [fields[name] for _, fields in context.system.endpoints.arrivals]
    assert told.count("1") == count, told


@behave.then("the node has {left:g} tokens left")
def check_left(context, left):
    """Compare the node's budget."""
    found = context.system.metrics.retry_tokens
    assert [round(tokens, 3) for tokens in found.values()] == [left], found


@behave.then("the metrics say")
def check_metrics(context):
    """Compare samples of the exported metrics by some of their labels."""
    text = context.system.metrics.text().decode()
    samples = [
        sample
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    ]
    for row in context.table:
        labels = dict(pair.split("=") for pair in row["labels"].split())
        found = [
            round(sample.value, 3)
            for sample in samples
            if sample.name == f"wasabilanding_{row['metric']}"
            and labels.items() <= sample.labels.items()
        ]
        assert found == [float(row["value"])], (row, found)


@behave.when("another node hands over a request, and the node stops meanwhile")
def stop_meanwhile(context):
    """Stop the node while an endpoint is asked for its connection."""
    timeline = notices_steps.timeline_of(context)
    system = timeline.system
    system.endpoints.connect_s = CONNECT_S
    told = relays.RelayedRequest("n2", 1, 0)

    async def ask(headers):
        context.caller = await system.ask(headers, is_relayed=True)

    async def run():
        async with system.forwarder() as forwarder, trio.open_nursery() as n:
            n.start_soon(ask, relays.request_headers(told))
            await trio.sleep(CONNECT_S / 2)
            now = trio.current_time()
            forwarder.stop(limits.grace_period(now, CONNECT_S / 2))

    timeline.add(0.0, run)
    timeline.run()


@behave.then('it is told that a third node may be asked, and "{reached}"')
def check_told(context, reached):
    """Compare the headers for the other node."""
    headers = context.caller.headers
    assert headers[relays.VERDICT] == relays.ELSEWHERE, headers
    assert headers.get(relays.REACHED) == reached.encode(), headers
