"""Steps for endpoints that are cold."""

import dataclasses
import random

import behave
import trio

from wasabilanding.gateway import endpoint_guard
from wasabilanding.gateway import plain_wire
from wasabilanding.gateway.tests.steps import hints_steps
from wasabilanding.gateway.tests.steps import limits_steps
from wasabilanding.gateway.tests.steps import notices_steps
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import membership
from wasabilanding import metadata
from wasabilanding import model

COLD_S = 60.0
# After a start, in the tests of one node.
COLD_AFTER_START_S = 3.0
CURRENT_INTERVAL_S = 0.5
GRANTED = upstream_module.Purpose.GRANTED
E1 = dataclasses.replace(limits_steps.E1, cold_left_s=COLD_S)


def _with_cold_rate(table, rate, cold_s=0.0):
    """Return a table whose service has cold endpoints."""
    service = dataclasses.replace(
        table.services[0], cold_rate_per_s=rate, cold_s=cold_s
    )
    return dataclasses.replace(table, services=(service,))


class _ColdSenders(limits_steps.Senders):
    """Nodes that want to send requests to one cold endpoint."""

    def __init__(self, nodes, domains, rate):
        super().__init__(nodes, domains, None)
        self.endpoint = E1
        self.connect_s = self.delay_s = 0.0
        self.cut_off = frozenset()
        self.cut_at = float("inf")
        self._guards = {}
        self._rng = random.Random(1)
        for name, view in self.nodes.views.items():
            view.table = _with_cold_rate(view.table, rate)
            grants = self.nodes.grants[name]
            grants.cold.follow(view)
            grants.cold.report_through(self.nodes.hints[name].report_cold)
            self._guards[name] = endpoint_guard.EndpointGuard(
                view,
                self.nodes.trackers[name],
                plain_wire,
                None,
                grants,
                None,
                random.Random(name),
            )

    def half(self, rank):
        """Return half of the nodes, with one of the two owners."""
        own = [name for name in self.names if name.startswith("z0")]
        owners = membership.owners_of("e1", own, 2)
        return {*self.names[::2]} - {*owners} | {owners[rank]}

    def make_old(self, domain):
        """Let the nodes of a failure domain be of the previous build.

        They give out no permission for cold endpoints, and reply to no
        question on one. What they send themselves does not count here.
        """
        for entry in self.nodes.addresses:
            if entry.failure_domain == domain:
                self.dead[entry.node] = 0.0
                key = f"{hints_steps.PREFIX}{entry.node}"
                old = dataclasses.replace(entry, protocol=0)
                self.nodes.internal_items[key] = metadata.Item(
                    key, model.encode(old).encode(), 1
                )

    def remove(self, nodes):
        """Remove the addresses of nodes from the views of the others."""
        kept = {
            key: item
            for key, item in self.nodes.internal_items.items()
            if key.removeprefix(hints_steps.PREFIX) not in nodes
        }
        for name in {*self.names} - nodes:
            self.nodes.views[name].internal_items = kept

    async def _keep_current(self):
        while True:
            is_cut = trio.current_time() >= self.cut_at
            for name in {*self.names} - (self.cut_off if is_cut else set()):
                self.nodes.views[name].mark_current(0.0)
            await trio.sleep(CURRENT_INTERVAL_S)

    async def _acquire(self, name):
        grants = self.nodes.grants[name]
        if not await grants.acquire(self.endpoint, limits_steps.MAX_WAIT_S):
            return
        try:
            with self._guards[name].admit(self.endpoint, GRANTED) as permit:
                await trio.sleep(self._rng.uniform(0, self.connect_s))
                permit.check()
                self.sent_at.append(trio.current_time())
        except upstream_module.AttemptFailed:
            return

    def _begin(self, network):
        super()._begin(network)
        network.delay_s = self.delay_s
        apart = {self.nodes.address(name) for name in self.cut_off}
        network.is_cut = lambda sender, address: (
            trio.current_time() >= self.cut_at
            and (sender in apart) != (address in apart)
        )
        for view in self.nodes.views.values():
            view.on_registration(self.endpoint, trio.current_time())
        self._nursery.start_soon(self._keep_current)


@behave.given(
    "{nodes:d} nodes in each of {domains:d} failure domains that read that e1 "
    "is cold and takes {rate:g} requests a second"
)
def given_senders(context, nodes, domains, rate):
    """Make nodes that read a registration."""
    context.senders = _ColdSenders(nodes, domains, rate)


@behave.given(
    "each datagram takes {delay:g} s, and a connection up to {connect:g} s"
)
def given_times(context, delay, connect):
    """Delay datagrams, and requests that have a grant."""
    context.senders.delay_s = delay
    context.senders.connect_s = connect


@behave.given(
    "half of the nodes, with the {which} owner, are cut off from {at:g} s on"
)
def given_cut(context, which, at):
    """Cut off half of the nodes, from the store as well."""
    context.senders.cut_off = context.senders.half(int(which == "second"))
    context.senders.cut_at = at


@behave.given("the others have removed the nodes that are cut off")
def given_removed(context):
    """Let the addresses of these nodes lapse."""
    context.senders.remove(context.senders.cut_off)


@behave.given("the nodes of failure domain {domain} are of the previous build")
def given_old(context, domain):
    """Let some nodes not understand questions on cold endpoints."""
    context.senders.make_old(domain)


@behave.given("e1 is in a failure domain without nodes")
def given_empty_domain(context):
    """Move the endpoint."""
    context.senders.endpoint = dataclasses.replace(E1, failure_domain="z9")


@behave.when("a reply tells one node at {at:g} s that e1 becomes cold")
def tell_one(context, at):
    """Let one node learn it, and find out when the others do."""
    senders = context.senders
    senders.endpoint = dataclasses.replace(E1, cold_left_s=0.0)
    context.known_at = {}

    async def tell():
        await trio.sleep(at)
        cold = senders.nodes.grants[senders.names[1]].cold
        cold.record_reply(limits_steps.NAMED, COLD_S, trio.current_time())

    async def acquire(name):
        if senders.nodes.grants[name].is_limited(E1):
            context.known_at.setdefault(name, trio.current_time() - at)

    senders._keep_current = tell
    senders._acquire = acquire
    senders.run(20 * len(senders.names), at + 2.0)


@behave.then(
    "the nodes of failure domain {domain} know it {seconds:g} s later"
)
def check_known(context, domain, seconds):
    """Compare the times."""
    for name in context.senders.names:
        if name.startswith(domain):
            assert context.known_at[name] <= seconds, context.known_at


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
