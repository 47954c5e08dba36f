"""Steps for the exchange of hints between nodes."""

import codecs
import dataclasses

import behave
import trio
import trio.testing

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import crash_guard
from wasabilanding.gateway import directory
from wasabilanding.gateway import hints
from wasabilanding.gateway import metrics
from wasabilanding.gateway import plain_wire
from wasabilanding.gateway import store_watch
from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway.tests import memory_network
from wasabilanding.gateway.tests import memory_store
from wasabilanding import limits
from wasabilanding import metadata
from wasabilanding import model

PREFIX = directory.address_prefix(plain_wire)
SENDER = ("10.0.0.99", 1)
E1 = fleet.Incarnation("e1", 0)
OWN = directory.NodeAddress("n1", "z1", "10.0.0.1", 1)


class Nodes:
    """Nodes that know each other and two endpoints."""

    def __init__(self, domains):
        endpoints = fakes.FakeEndpoints({"e1": "", "e2": ""})
        self.addresses = [
            directory.NodeAddress(
                name, domain, f"10.0.0.{i}", 1, directory.PROTOCOL
            )
            for i, (name, domain) in enumerate(domains.items())
        ]
        self.internal_items = {
            f"{PREFIX}{entry.node}": metadata.Item(
                f"{PREFIX}{entry.node}", model.encode(entry).encode(), 1
            )
            for entry in self.addresses
        }
        self.trackers = {name: dispatch.EndpointTracker() for name in domains}
        self.hints = {}
        self.guards = {}
        self.grants = {}
        self.waiting_reports = {}
        # Seconds after which a node starts, by name.
        self.late_s = {}
        self.views = {}
        for entry in self.addresses:
            view = cluster_view_module.ClusterView(
                plain_wire, trio.current_time
            )
            view.internal_items = self.internal_items
            view.table = fakes.table("safe", False, 1)
            self.views[entry.node] = view
            for name in ("e1", "e2"):
                view.registry.put(endpoints.endpoint(name))
            self.guards[entry.node] = crash_guard.CrashGuard(
                view, self.trackers[entry.node], metrics.Metrics(entry.node)
            )
            self.grants[entry.node] = fakes.grants(entry.node)
            self.waiting_reports[entry.node] = limits.WaitingReports()
            self.hints[entry.node] = hints.HintExchange(
                entry.node,
                entry.failure_domain,
                view,
                self.trackers[entry.node],
                self.guards[entry.node],
                self.grants[entry.node],
                plain_wire,
                self.waiting_reports[entry.node],
            )
            self.grants[entry.node].exchange_through(
                self.hints[entry.node].ask_to_send,
                self.hints[entry.node].nodes.owners_of,
            )

    def items(self, names, revision=1):
        """Return the stored registrations of endpoints."""
        endpoints = fakes.FakeEndpoints(
            dict.fromkeys(("e1", "e2", "e3", "e4"))
        )
        for name in names:
            value = model.encode(endpoints.endpoint(name)).encode()
            key = f"{plain_wire.registrations_prefix}{name}"
            yield metadata.Item(key, value, revision)

    def address(self, node):
        """Return the address of a node's socket."""
        found = next(entry for entry in self.addresses if entry.node == node)
        return found.host, found.port

    def _start(self, node, endpoint):
        """Return the start of an endpoint that a node has registered."""
        started_at_ms = self.views[node].registry.start_of(endpoint) or 0
        return fleet.Incarnation(endpoint, started_at_ms)

    async def _run_late(self, name, exchange):
        await trio.sleep(self.late_s[name])
        await exchange.run(self.network.socket(self.address(name)))

    async def run(self, steps):
        """Run all nodes and execute the steps in order."""
        network = self.network = memory_network.Network()
        async with trio.open_nursery() as nursery:
            for name, entry in self.hints.items():
                if name in self.late_s:
                    nursery.start_soon(self._run_late, name, entry)
                    continue
                socket = network.socket(self.address(name))
                nursery.start_soon(entry.run, socket)
            for step in steps:
                await trio.sleep(step(network) or 0.01)
            self.ages_s = [
                view.staleness_s
                for name, view in self.views.items()
                if name != COLLECTOR
            ]
            nursery.cancel_scope.cancel()
        return [
            name
            for name, tracker in self.trackers.items()
            if self._start(name, "e1")
            in tracker.silent_endpoints(trio.current_time(), 9.0)
        ]


@behave.given("nodes {first} and {second} in failure domain z1 and n3 in z2")
def given_nodes(context, first, second):
    """Make three nodes."""
    context.nodes = Nodes({first: "z1", second: "z1", "n3": "z2"})
    context.plan = []


@behave.step("node {node} saw progress of endpoint {endpoint} {ago:g} s ago")
def record_progress(context, endpoint, node, ago):
    """Record progress of an endpoint."""

    def note_work(network):
        context.progress_at = trio.current_time() - ago
        context.nodes.trackers[node].record_progress(
            fleet.Incarnation(endpoint, 0), context.progress_at
        )

    context.plan.append(note_work)


@behave.given("the stored address of a node is {value}")
def given_address(context, value):
    """Store an invalid address."""
    key = f"{PREFIX}broken"
    data = codecs.escape_decode(value.encode())[0]
    context.nodes.internal_items[key] = metadata.Item(key, data, 1)


@behave.step("node {node} receives the datagram {data}")
def receive(context, node, data):
    """Send a datagram."""
    text = "" if data == "nothing" else data
    raw = codecs.escape_decode(text.encode())[0]
    context.plan.append(
        lambda network: network.send(raw, SENDER, context.nodes.address(node))
    )


@behave.when("node {node} reports {endpoint} as silent")
def report_silent(context, node, endpoint):
    """Let a node report an endpoint as silent."""
    context.plan.append(
        lambda network: context.nodes.hints[node].report_silent(
            fleet.Incarnation(endpoint, 0)
        )
    )


@behave.given("node {node} has seen e1 start again")
def given_start_seen(context, node):
    """Register another start of the endpoint at one node."""
    registry = context.nodes.views[node].registry
    registry.put(dataclasses.replace(registry.get("e1"), started_at_ms=7))


@behave.then('the nodes that consider e1 silent are "{nodes}"')
def check_silent(context, nodes):
    """Run the nodes and compare which consider e1 silent."""
    found = _run_nodes(context)
    assert found == nodes.split(), found


@behave.then('the nodes that consider e1 silent are ""')
def check_none_silent(context):
    """Run the nodes and compare which consider e1 silent."""
    check_silent(context, "")


def _run_nodes(context):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(context.nodes.run, context.plan, clock=clock)


@behave.when("node {node} hears that start {start:d} of e1 leaves")
def hear_leaving(context, node, start):
    """Let an endpoint announce its shutdown to a node."""

    def hear(network):
        incarnation = fleet.Incarnation("e1", start)
        view = context.nodes.views[node]
        view.announce_shutdown(incarnation, trio.current_time())
        context.nodes.hints[node].report_leaving(incarnation)

    context.plan = [*getattr(context, "plan", []), hear]


@behave.when("endpoint {name} registers")
def register_everywhere(context, name):
    """Register an endpoint on all nodes."""

    def put(network):
        endpoints = fakes.FakeEndpoints({"e1": "", "e2": "", name: ""})
        for view in context.nodes.views.values():
            view.registry.put(endpoints.endpoint(name))

    context.plan.append(put)


@behave.given(
    "the first {count:d} datagrams from {sender} to {receiver} are lost"
)
def given_lost_between(context, count, sender, receiver):
    """Lose datagrams between two nodes."""

    def lose(network):
        path = context.nodes.address(sender), context.nodes.address(receiver)
        network.to_lose[path] = count

    context.plan.append(lose)


def _drained(context, name):
    return [
        node
        for node, view in context.nodes.views.items()
        if view.registry.get(name).draining
    ]


@behave.then('the nodes for which {name} drains are "{nodes}"')
def check_drains(context, name, nodes):
    """Run the nodes and compare which consider an endpoint draining."""
    _run_nodes(context)
    assert _drained(context, name) == nodes.split(), _drained(context, name)


@behave.then('the nodes for which e1 drains are ""')
def check_none_drains(context):
    """Run the nodes and compare which consider an endpoint draining."""
    check_drains(context, "e1", "")


@behave.then("e1 drains for all nodes")
def check_all_drain(context):
    """Compare the running nodes that consider an endpoint draining."""
    drained = set(_drained(context, "e1"))
    missing = set(context.nodes.hints) - drained
    assert not missing, missing


@behave.when("node {node} sends {count:d} requests to {endpoint}")
def send_requests(context, node, count, endpoint):
    """Count requests in flight."""

    def send(network):
        for _ in range(count):
            context.nodes.trackers[node].begin(
                fleet.Incarnation(endpoint, 0), trio.current_time()
            )

    context.plan.append(send)


@behave.when("node {node} has received its answers from {endpoint}")
def answer_requests(context, node, endpoint):
    """End all requests in flight."""

    def answer(network):
        tracker = context.nodes.trackers[node]
        while tracker.local_load.get(endpoint):
            tracker.end(fleet.Incarnation(endpoint, 0))

    context.plan.append(answer)


@behave.given("{count:d} requests of customer {customer} wait at each node")
def given_waiting(context, count, customer):
    """Let requests wait at all nodes from the start."""
    for exchange in context.nodes.hints.values():
        exchange.waiting = lambda: {"pages/": {customer: count}}


@behave.when("{count:d} requests of customer {customer} wait at node {node}")
def set_waiting(context, count, customer, node):
    """Change the requests that wait at a node."""
    waiting = {"pages/": {customer: count}} if count else {}

    def change(network):
        context.nodes.hints[node].waiting = lambda: waiting

    context.plan.append(change)


def _waiting_elsewhere(context, name):
    """Return the waiting requests at other nodes that a node knows of."""
    report = context.nodes.waiting_reports[name]
    return report.of_pool("pages/", trio.current_time()).total()


@behave.then('the nodes know of "{known}" requests waiting elsewhere')
def check_waiting(context, known):
    """Run the nodes and compare what they know."""
    found = {}

    def read(network):
        found.update(
            (name, _waiting_elsewhere(context, name))
            for name in context.nodes.hints
        )

    context.plan.append(read)
    _run_nodes(context)
    text = " ".join(f"{name} {count}" for name, count in found.items())
    assert text == known, text


@behave.then(
    "after {seconds:g} s each node knows of {count:d} of them elsewhere"
)
def check_all_waiting(context, seconds, count):
    """Run the nodes and compare what they know."""
    found = set()

    def read(network):
        found.update(
            _waiting_elsewhere(context, name) for name in context.nodes.hints
        )

    context.plan = [lambda network: seconds, read]
    _run_nodes(context)
    assert found == {count}, found


@behave.when("the nodes exchange hints for {seconds:g} s")
def wait(context, seconds):
    """Wait."""
    context.plan.append(lambda network: seconds)


@behave.then('the nodes count "{known}" requests at e1')
def check_load(context, known):
    """Run the nodes and compare the load known to each."""
    _run_nodes(context)
    found = " ".join(
        f"{name} {tracker.load(E1)}"
        for name, tracker in context.nodes.trackers.items()
    )
    assert found == known, found


@behave.given(
    "{count:d} nodes of one failure domain, each with a request in flight"
)
def given_many(context, count):
    """Make many nodes."""
    context.nodes = Nodes({f"n{i:03}": "z1" for i in range(count)})
    for tracker in context.nodes.trackers.values():
        tracker.begin(E1, 0.0)


@behave.given(
    "{count:d} nodes in each of {domains:d} failure domains, each with a "
    "request in flight"
)
def given_many_domains(context, count, domains):
    """Make many nodes in several failure domains."""
    context.nodes = Nodes(
        {
            f"z{domain}-{i:03}": f"z{domain}"
            for domain in range(domains)
            for i in range(count)
        }
    )
    for tracker in context.nodes.trackers.values():
        tracker.begin(E1, 0.0)


@behave.given("the first {count:d} nodes of each failure domain are dead")
def given_dead_in_each(context, count):
    """Remove running nodes, but keep their addresses."""
    for name in list(context.nodes.hints):
        if int(name.rpartition("-")[2]) < count:
            del context.nodes.hints[name]
            del context.nodes.trackers[name]


@behave.given("the first {count:d} of them are dead")
def given_dead(context, count):
    """Remove running nodes, but keep their addresses."""
    for name in sorted(context.nodes.hints)[:count]:
        del context.nodes.hints[name]
        del context.nodes.trackers[name]


@behave.when("they exchange hints for {seconds:g} s")
def exchange_for(context, seconds):
    """Run the nodes."""
    plan = getattr(context, "plan", [])
    context.plan = [*plan, lambda network: seconds]
    _run_nodes(context)


@behave.then("each node knows the load of all nodes")
def check_all_loads(context):
    """Compare the load."""
    trackers = context.nodes.trackers.values()
    assert {tracker.load(E1) for tracker in trackers} == {len(trackers)}


@behave.then("each node knows the last progress of e1 to {error:g} s")
def check_progress(context, error):
    """Compare when the nodes believe that an endpoint last progressed."""
    errors_s = [
        tracker.record(E1).progress_at - context.progress_at
        for tracker in context.nodes.trackers.values()
    ]
    assert -error <= min(errors_s) and max(errors_s) <= error, errors_s


@behave.then("at most {most:d} datagrams were sent")
def check_datagrams(context, most):
    """Compare the number of datagrams."""
    assert context.nodes.network.sent <= most, context.nodes.network.sent


COLLECTOR = "n000"


@behave.given("{count:d} nodes of one failure domain at revision {revision:d}")
def given_current(context, count, revision):
    """Make many nodes whose views are current at the start."""
    context.nodes = Nodes({f"n{i:03}": "z1" for i in range(count)})

    def begin(network):
        for view in context.nodes.views.values():
            view.apply_listing(
                metadata.Listing(
                    tuple(context.nodes.items(["e1", "e2"])), revision
                ),
                trio.current_time(),
            )
            view.internal_items = context.nodes.internal_items
            view.mark_current(0.0)

    context.plan = [begin]


@behave.given(
    "the collector's first {count:d} datagrams to each of them are lost"
)
def given_lost(context, count):
    """Lose datagrams."""

    def lose(network):
        nodes = context.nodes
        for name in nodes.hints:
            path = nodes.address(COLLECTOR), nodes.address(name)
            network.to_lose[path] = count

    context.plan.append(lose)


@behave.given("datagrams take {seconds:g} s")
def given_delay(context, seconds):
    """Delay all datagrams."""

    def delay(network):
        network.delay_s = seconds

    context.plan.append(delay)


@behave.given("the collector's view was current {seconds:g} s ago")
def given_old_view(context, seconds):
    """Make all views older, the collector's by the given time."""

    def wait(network):
        return seconds

    context.plan.append(wait)


@behave.given("the collector confirms its view every {seconds:g} s")
def given_confirmations(context, seconds):
    """Mark the collector's view as current periodically."""

    async def confirm():
        while True:
            context.nodes.views[COLLECTOR].mark_current(0.0)
            await trio.sleep(seconds)

    context.plan.append(
        lambda network: trio.lowlevel.spawn_system_task(confirm) and None
    )


@behave.when("the collector sees endpoint {name} at revision {revision:d}")
def see_endpoint(context, name, revision):
    """Apply a change to the collector's view."""

    def see(network):
        changes = metadata.Changes(
            tuple(context.nodes.items([name], revision)), revision
        )
        view = context.nodes.views[COLLECTOR]
        view.apply_changes(changes, trio.current_time())

    context.plan.append(see)


@behave.when("the collector sees a new configuration at revision {revision:d}")
def see_configuration(context, revision):
    """Apply a new configuration to the collector's view."""

    def see(network):
        table = model.encode(fakes.table("unsafe", False, 1)).encode()
        item = metadata.Item(plain_wire.configuration_key, table, revision)
        view = context.nodes.views[COLLECTOR]
        view.apply_changes(
            metadata.Changes((item,), revision), trio.current_time()
        )

    context.plan.append(see)


@behave.when(
    "the collector sees {what} of endpoint {name} at revision {revision:d}"
)
def see(context, what, name, revision):
    """Apply the store's answer to the collector's view."""

    def apply(network):
        view = context.nodes.views[COLLECTOR]
        now = trio.current_time()
        items = tuple(context.nodes.items([name], revision))
        if what == "the removal":
            items = (metadata.Removal(items[0].key, revision),)
        if what == "a listing":
            view.apply_listing(metadata.Listing(items, revision), now)
        else:
            view.apply_changes(metadata.Changes(items, revision), now)

    context.plan.append(apply)


@behave.then('the collector knows the endpoints "{names}"')
def check_collector(context, names):
    """Run the nodes and compare the endpoints that the collector knows."""
    _run_nodes(context)
    view = context.nodes.views[COLLECTOR]
    found = sorted(e.endpoint_id for e in view.registry.endpoints)
    assert found == names.split(), found


def _other_views(context):
    return [
        view for name, view in context.nodes.views.items() if name != COLLECTOR
    ]


@behave.then('the other nodes know the endpoints "{names}"')
def check_known(context, names):
    """Compare the endpoints that the other nodes know."""
    for view in _other_views(context):
        found = sorted(e.endpoint_id for e in view.registry.endpoints)
        assert found == names.split(), found


@behave.then("the other nodes are at revision {revision:d}")
def check_revision(context, revision):
    """Compare the revisions of the other nodes' views."""
    found = {view.revision.number for view in _other_views(context)}
    assert found == {revision}, found


@behave.then(
    "the other nodes' views are at least {least:g} and at most {most:g} s old"
)
def check_ages(context, least, most):
    """Compare the ages that the views had at the end."""
    for age in context.nodes.ages_s:
        assert least <= age <= most, context.nodes.ages_s


class _LeaseStore:
    """Fake store with leases, writes and one fault."""

    latest_era = model.NO_ERA

    def __init__(self, fault):
        self.fault = fault
        self.calls = 0
        self.items = {}

    async def grant_lease(self, ttl_s):
        """Grant a lease, or fail."""
        self.calls += 1
        if self.fault == "grants no lease at first" and self.calls == 1:
            return metadata.Unavailable("down")
        return metadata.Lease(self.calls, ttl_s)

    async def put_all(self, items, lease):
        """Write keys."""
        self.calls += 1
        self.items.update(items)
        return metadata.Written(1)

    async def renew_lease(self, lease):
        """Renew a lease, or report it missing once."""
        self.calls += 1
        if self.fault == "forgets the lease":
            self.fault = ""
            self.items.clear()
            return metadata.Missing("1")
        return lease


@behave.given("the store {fault}")
def given_store(context, fault):
    """Make a store."""
    context.store = _LeaseStore(fault)


@behave.when("a node registers its address for {seconds:g} s")
def register(context, seconds):
    """Register the node."""

    async def run():
        with trio.move_on_after(seconds):
            await directory.keep_registered(context.store, PREFIX, OWN)

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(run, clock=clock)


@behave.then("the store has the address at the end")
def check_address(context):
    """Compare the address."""
    value = context.store.items[f"{PREFIX}n1"]
    assert model.decode(directory.NodeAddress, value) == OWN


@behave.then("the node made at most {calls:d} calls")
def check_calls(context, calls):
    """Compare the calls."""
    assert context.store.calls <= calls, context.store.calls


@behave.given("a port that another process holds for {seconds:g} s")
def given_held_port(context, seconds):
    """Hold a port."""
    context.held_s = seconds


@behave.when("a node binds its socket to the port")
def bind(context):
    """Bind while another socket holds the port."""

    async def run():
        held = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await held.bind(("127.0.0.1", 0))
        address = held.getsockname()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_close_later, held, context.held_s)
            (await hints.bind_socket(address)).close()
        return trio.current_time()

    clock = trio.testing.MockClock(autojump_threshold=0)
    context.took_s = trio.run(_timed, run, clock=clock)


async def _timed(run):
    begun = trio.current_time()
    return await run() - begun


async def _close_later(held, seconds):
    await trio.sleep(seconds)
    held.close()


@behave.then("the socket is bound between {least:g} and {most:g} s later")
def check_bound(context, least, most):
    """Compare the time."""
    assert least <= context.took_s <= most, context.took_s


class _QuietStore:
    """A store without changes, which answers watches after their wait."""

    def __init__(self):
        self.calls = 0

    async def read_all(self, prefix):
        """Return an empty listing."""
        self.calls += 1
        await trio.sleep(memory_store.LATENCY_S)
        return metadata.Listing((), 1)

    async def watch(self, prefix, after, wait_s, is_probe=False):
        """Wait for the whole time and return no changes."""
        self.calls += 1
        await trio.sleep(memory_store.LATENCY_S + wait_s)
        return metadata.Changes((), 1)


@behave.given("a store without changes")
def given_quiet_store(context):
    """Make a store."""
    context.store = _QuietStore()


@behave.when("a node that feeds {count:d} others follows it for {seconds:g} s")
def follow_quiet(context, count, seconds):
    """Follow the store and observe the age of the view."""
    context.oldest_s = 0.0

    async def run():
        view = cluster_view_module.ClusterView(plain_wire, trio.current_time)
        view.feeds_peers = count > 0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                store_watch.follow_store,
                view,
                context.store,
                lambda is_reachable: None,
                1.6,
            )
            await trio.sleep(1.0)
            for _ in range(int(seconds / 0.01)):
                await trio.sleep(0.01)
                context.oldest_s = max(context.oldest_s, view.staleness_s)
            nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(run, clock=clock)


@behave.then("its view is never older than {age:g} s")
def check_oldest(context, age):
    """Compare the greatest age of the view."""
    assert context.oldest_s <= age, context.oldest_s


@behave.then("it made at most {calls:d} calls")
def check_quiet_calls(context, calls):
    """Compare the calls."""
    assert context.store.calls <= calls, context.store.calls
