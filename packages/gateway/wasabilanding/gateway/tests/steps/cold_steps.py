"""Steps for endpoints that are cold."""

import bisect
import dataclasses
import random

import behave
import trio
import trio.testing

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import endpoint_guard
from wasabilanding.gateway import plain_wire
from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway.tests.steps import hints_steps
from wasabilanding.gateway.tests.steps import notices_steps
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import membership

WINDOW_S = 1.0
MAX_WAIT_S = 0.1
START_S = 0.6
COLD_S = 60.0
# After a start, in the tests of one node.
COLD_AFTER_START_S = 3.0
CURRENT_INTERVAL_S = 0.5
FAULT_AT_S = 2.0
E1 = dataclasses.replace(
    fakes.FakeEndpoints({"e1": ""}).endpoint("e1"), failure_domain="z0"
)
COLD = fleet.incarnation_of(E1)


def _with_cold_rate(table, rate, cold_s=0.0):
    """Return a table whose service has cold endpoints."""
    service = dataclasses.replace(
        table.services[0], cold_rate_per_s=rate, cold_s=cold_s
    )
    return dataclasses.replace(table, services=(service,))


class _Senders:
    """Nodes that want to send requests to one cold endpoint."""

    def __init__(self, nodes, domains, rate, cold_left_s):
        self.names = [f"z{i % domains}-{i:03}" for i in range(nodes)]
        self.nodes = hints_steps.Nodes(
            {name: name.partition("-")[0] for name in self.names}
        )
        self.endpoint = dataclasses.replace(E1, cold_left_s=cold_left_s)
        self.cut_off = frozenset()
        # What happens to the network at the time of the fault.
        self.fault = lambda network: None
        self.connect_s = 0.0
        self.loss = self.delay_s = 0.0
        self.sent_at = []
        self.guards = {}
        for name, view in self.nodes.views.items():
            view.table = _with_cold_rate(view.table, rate)
            grants = self.nodes.grants[name]
            grants.cold.follow(view)
            grants.cold.report_through(self.nodes.hints[name].report_cold)
            self.guards[name] = endpoint_guard.EndpointGuard(
                view,
                self.nodes.trackers[name],
                plain_wire,
                grants._metrics,
                grants,
                lambda incarnation: None,
                random.Random(name),
            )

    def order(self):
        """Return the nodes that own the send times, in their order."""
        own = [name for name in self.names if name.startswith("z0")]
        return membership.owners_of("e1", own, 2)

    def half(self, included, excluded):
        """Return half of the nodes, with and without certain ones."""
        others = {*self.names[::2]} - {included, excluded}
        return frozenset(others | {included})

    def cut(self, network, nodes):
        """Cut nodes off from the others and from the store."""
        self.cut_off = nodes
        addresses = {self.nodes.address(name) for name in nodes}
        network.is_cut = lambda sender, address: (
            (sender in addresses) != (address in addresses)
        )

    def cut_links(self, network, node, others):
        """Cut the links between a node and some others."""
        center = self.nodes.address(node)
        ends = {self.nodes.address(name) for name in others}
        network.is_cut = lambda sender, address: (
            (sender == center and address in ends)
            or (address == center and sender in ends)
        )

    def remove(self, nodes):
        """Remove the addresses of nodes from the views of the others."""
        prefix = hints_steps.PREFIX
        kept = {
            key: item
            for key, item in self.nodes.internal_items.items()
            if key.removeprefix(prefix) not in nodes
        }
        for name in set(self.names) - nodes:
            self.nodes.views[name].internal_items = kept

    async def _keep_current(self):
        while True:
            for name in set(self.names) - self.cut_off:
                self.nodes.views[name].mark_current(0.0)
            await trio.sleep(CURRENT_INTERVAL_S)

    async def _want(self, name, interval_s, network):
        rng = random.Random(name)
        await trio.sleep(START_S)
        while True:
            if not network._is_dead(self.nodes.address(name)):
                self._nursery.start_soon(self._send, name, rng)
            await trio.sleep(rng.expovariate(1 / interval_s))

    async def _send(self, name, rng):
        grants = self.nodes.grants[name]
        wait_s = grants.wait_s(self.endpoint, trio.current_time())
        if wait_s > MAX_WAIT_S:
            return
        if not await grants.acquire(self.endpoint, MAX_WAIT_S):
            return
        purpose = upstream_module.Purpose.GRANTED
        try:
            with self.guards[name].admit(self.endpoint, purpose) as permit:
                await trio.sleep(rng.uniform(0, self.connect_s))
                permit.check()
                self.sent_at.append(trio.current_time())
        except upstream_module.AttemptFailed:
            return

    async def _fail(self, network):
        await trio.sleep(FAULT_AT_S)
        self.fault(network)

    def _begin(self, network):
        network.loss = self.loss
        network.delay_s = self.delay_s
        if self.cut_off:
            self.cut(network, self.cut_off)
        for name, view in self.nodes.views.items():
            view.on_registration(self.endpoint, trio.current_time())
            if self._rate:
                interval_s = len(self.names) / self._rate
                self._nursery.start_soon(self._want, name, interval_s, network)
        self._nursery.start_soon(self._keep_current)
        self._nursery.start_soon(self._fail, network)

    def run(self, rate, steps):
        """Run all nodes and steps."""
        self._rate = rate

        async def run():
            async with trio.open_nursery() as self._nursery:
                await self.nodes.run([self._begin, *steps])
                self._nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.sent_at.sort()


@behave.given(
    "{nodes:d} nodes in {domains:d} failure domains that read that e1 is "
    "{state} and takes {rate:g} requests a second"
)
def given_senders(context, nodes, domains, state, rate):
    """Make nodes that read a registration."""
    left_s = COLD_S if state == "cold" else 0.0
    context.senders = _Senders(nodes, domains, rate, left_s)


@behave.given(
    "a share of {loss:g} of their datagrams is lost, each takes {delay:g} s"
)
def given_network(context, loss, delay):
    """Lose and delay datagrams."""
    context.senders.loss = loss
    context.senders.delay_s = delay


@behave.given("a connection to e1 takes up to {seconds:g} s")
def given_connect(context, seconds):
    """Delay requests that have a grant."""
    context.senders.connect_s = seconds


@behave.given("at 2 s nothing fails")
def given_no_fault(context):
    """Let nothing fail."""


@behave.given("at 2 s the owner of e1 dies")
def given_death(context):
    """Let the owner die."""
    senders = context.senders
    owner = senders.nodes.address(senders.order()[0])

    def die(network):
        network.dead_from[owner] = FAULT_AT_S

    senders.fault = die


@behave.given("at 2 s the owner of e1 reaches only half of the nodes")
def given_half_reached(context):
    """Cut links of the owner."""
    senders = context.senders
    owner, second = senders.order()
    others = senders.half(second, owner)
    senders.fault = lambda network: senders.cut_links(network, owner, others)


@behave.given("at 2 s half of the nodes are cut off, with the {which}")
def given_cut(context, which):
    """Cut off half of the nodes."""
    senders = context.senders
    owner, second = senders.order()
    pair = (owner, second) if which == "owner" else (second, owner)
    nodes = senders.half(*pair)
    senders.fault = lambda network: senders.cut(network, nodes)


@behave.given("half of the nodes, with the owner, have been cut off for long")
def given_long_cut(context):
    """Cut off half of the nodes; the others know them no more."""
    senders = context.senders
    senders.cut_off = senders.half(*senders.order())
    senders.remove(senders.cut_off)


@behave.given("e1 is in a failure domain without nodes")
def given_empty_domain(context):
    """Move the endpoint."""
    context.senders.endpoint = dataclasses.replace(
        context.senders.endpoint, failure_domain="z9"
    )


@behave.when(
    "together they want to send {rate:g} requests a second to e1 for "
    "{seconds:g} s"
)
def run_senders(context, rate, seconds):
    """Run the nodes."""
    context.seconds = seconds
    context.senders.run(rate, [lambda network: START_S + seconds])


@behave.when("a reply at 2 s tells one node that e1 is cold")
def tell_one(context):
    """Let one node learn it, and find out when the others do."""
    senders = context.senders
    grants = senders.nodes.grants
    known_at = context.known_at = {}

    def tell(network):
        now = trio.current_time()
        grants["z0-003"].cold.record_reply(COLD, COLD_S, now)

    def look(network):
        for name in senders.names:
            if grants[name].is_limited(E1):
                known_at.setdefault(name, trio.current_time())
        return 0.02

    senders.fault = tell
    senders.run(0, [lambda network: FAULT_AT_S, *[look] * 100])


@behave.then("the nodes of its failure domain know it {seconds:g} s later")
def check_domain_knows(context, seconds):
    """Compare the times."""
    _check_known(context, seconds, "z0")


@behave.then("all nodes know it {seconds:g} s later")
def check_all_know(context, seconds):
    """Compare the times."""
    _check_known(context, seconds, "")


def _check_known(context, seconds, domain):
    names = [n for n in context.senders.names if n.startswith(domain)]
    late = {
        name: context.known_at.get(name)
        for name in names
        if context.known_at.get(name, COLD_S) > FAULT_AT_S + seconds
    }
    assert not late, late


@behave.then(
    "in any one second at most {factor:g} x {rate:g} + {slack:d} are sent"
)
def check_windows(context, factor, rate, slack):
    """Compare all windows."""
    times = context.senders.sent_at
    largest = max(
        (
            bisect.bisect_left(times, at + WINDOW_S) - index
            for index, at in enumerate(times)
        ),
        default=0,
    )
    assert largest <= factor * rate + slack, largest


@behave.then("at least {least:g} a second are sent")
def check_least(context, least):
    """Compare the rate."""
    found = len(context.senders.sent_at) / context.seconds
    assert found >= least, found


@behave.given("cold endpoints that take {rate:g} requests a second")
def given_rate(context, rate):
    """Change the configuration."""
    context.routing = _with_cold_rate(
        context.routing, rate, COLD_AFTER_START_S
    )


@behave.given("endpoints {names} are read to be cold at {at:g} s")
def given_cold(context, names, at):
    """Let the node read registrations."""
    system = context.system

    async def read():
        for name in names.split(", "):
            endpoint = dataclasses.replace(
                system.endpoints.endpoint(name), cold_left_s=COLD_AFTER_START_S
            )
            system.view.on_registration(endpoint, trio.current_time())

    notices_steps.timeline_of(context).add(at, read)
