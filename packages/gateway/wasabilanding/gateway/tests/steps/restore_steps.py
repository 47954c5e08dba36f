"""Steps for a store that comes back from a copy."""

import contextlib
import dataclasses
import random

import behave
import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from wasabilanding import assembly
from wasabilanding import changefeed
from wasabilanding.experiments import fuzz
from wasabilanding import fleet
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import join_intents
from wasabilanding.gateway import lease
from wasabilanding.gateway import metrics
from wasabilanding.gateway import plain_wire
from wasabilanding.gateway import store_watch
from wasabilanding.gateway.tests import memory_network
from wasabilanding.gateway.tests import memory_store
from wasabilanding.gateway.tests import restore_cluster
from wasabilanding import metadata
from wasabilanding import model
from wasabilanding import standins

QUIET_S = 25.0
LONGEST_DELAY_S = 1.0


def _registration(name, revision):
    endpoint = fleet.Endpoint(name, "service", "10.0.0.1", 80, "z1")
    key = f"{plain_wire.registrations_prefix}{name}"
    return metadata.Item(key, model.encode(endpoint).encode(), revision)


def _configuration(version, revision):
    keys = (restore_cluster.KEPT_KEY,)
    table = restore_cluster.configuration(version, keys)
    value = model.encode(table).encode()
    return metadata.Item(plain_wire.configuration_key, value, revision)


def _make_view(context, items):
    context.now = 1000.0
    context.view = cluster_view_module.ClusterView(
        plain_wire, lambda: context.now
    )
    listing = metadata.Listing(tuple(items), 100, model.Era(2))
    context.view.apply_listing(listing, context.now)
    context.view.mark_current(0.0)
    context.now += 2.0
    context.view.mark_current(0.0)


@behave.given('a view of era 2 at revision 100 with endpoints "{names}"')
def given_endpoints(context, names):
    """Make a view with endpoints."""
    registered = [_registration(name, 100) for name in names.split()]
    _make_view(context, [_configuration(1, 100), *registered])


@behave.given("a view of era 2 at revision 100 with configuration {version:d}")
def given_configuration(context, version):
    """Make a view with a configuration."""
    _make_view(context, [_configuration(version, 100)])


@behave.given('a view of era 2 at revision 100 with items "{keys}"')
def given_items(context, keys):
    """Make a view with internal items."""
    items = [metadata.Item(key, b"x", 100) for key in keys.split()]
    _make_view(context, [_configuration(1, 100), *items])


def _receive(context, kind, era, revision, items):
    era = model.Era(era)
    view = context.view
    if kind == "listing":
        listing = metadata.Listing(tuple(items), revision, era)
        context.is_confirmed = view.apply_listing(listing, context.now)
    elif kind == "changes":
        changes = metadata.Changes(tuple(items), revision, era)
        context.is_confirmed = view.apply_changes(changes, context.now)
    else:
        endpoints = tuple(
            plain_wire.read_registration(item.key, item.value)
            for item in items
        )
        segment = changefeed.Segment(
            after=50,
            until=revision,
            age_s=0.0,
            endpoints=endpoints,
            era=era,
            content=changefeed.CONTENT,
        )
        view.apply_segment(segment, context.now, context.now)
        context.is_confirmed = view.feed_age_s == 0


@behave.when(
    'it receives {kind} of era {era:d} at revision {revision:d} with "{names}"'
)
def receive_endpoints(context, kind, era, revision, names):
    """Give the view registrations."""
    items = [_registration(name, revision) for name in names.split()]
    _receive(context, kind, era, revision, items)


@behave.when(
    "it receives {article} {kind} of era {era:d} at revision {revision:d} "
    "with configuration {version:d}"
)
def receive_configuration(context, article, kind, era, revision, version):
    """Give the view a configuration."""
    item = _configuration(version, revision)
    _receive(context, kind, era, revision, [item])


@behave.when(
    "it receives changes of era {era:d} at revision {revision:d} with "
    "configuration {version:d}"
)
def receive_changed_configuration(context, era, revision, version):
    """Give the view a changed configuration."""
    item = _configuration(version, revision)
    _receive(context, "changes", era, revision, [item])


@behave.when(
    "it receives a listing of era {era:d} at revision {revision:d} with "
    'items "{keys}"'
)
def receive_items(context, era, revision, keys):
    """Give the view internal items."""
    items = [metadata.Item(key, b"x", revision) for key in keys.split()]
    _receive(context, "listing", era, revision, items)


@behave.when("{seconds:g} s pass without further changes")
def pass_quietly(context, seconds):
    """Apply empty changes later."""
    context.now += seconds
    at = context.view.revision
    changes = metadata.Changes((), at.number, at.era)
    context.view.apply_changes(changes, context.now)


@behave.then(
    'it is in era {era:d} at revision {revision:d} with endpoints "{names}"'
)
def check_view(context, era, revision, names):
    """Compare the view."""
    view = context.view
    expected = model.StoreRevision(model.Era(era), revision)
    assert view.revision == expected, view.revision
    found = sorted(e.endpoint_id for e in view.registry.endpoints)
    assert found == names.split(), found


@behave.given("endpoint {name} has begun to drain at revision {revision:d}")
def drain(context, name, revision):
    """Write another registration of the endpoint."""
    item = _registration(name, revision)
    endpoint = plain_wire.read_registration(item.key, item.value)
    drained = dataclasses.replace(endpoint, draining=True)
    value = model.encode(drained).encode()
    changed = metadata.Item(item.key, value, revision)
    _receive(context, "changes", 2, revision, [changed])


@behave.then('its next segment lists "{names}"')
def check_fed(context, names):
    """Compare the endpoints that other nodes are told of."""
    segment = context.view.cut_segment()
    found = sorted(e.endpoint_id for e in segment.endpoints)
    assert found == names.split(), found


@behave.given("another node has told of era {era:d}")
def tell_era(context, era):
    """Record the era of a datagram."""
    context.view.note_era(model.Era(era))


@behave.then("it is confirmed: {confirmed}")
def check_confirmed(context, confirmed):
    """Check whether what was received shows that the view is current."""
    assert context.is_confirmed == (confirmed == "yes")


@behave.then("it is outdated: {outdated}")
def check_outdated(context, outdated):
    """Check whether the view must be read anew."""
    assert context.view.is_outdated == (outdated == "yes")


@behave.then("configuration {version:d} is in force")
def check_configuration(context, version):
    """Compare the version."""
    assert context.view.table.version == version, context.view.table.version


@behave.then('it has the items "{keys}"')
def check_items(context, keys):
    """Compare the internal items."""
    found = sorted(context.view.internal_items)
    assert found == keys.split(), found


@behave.when("another node tells that it has configuration {version:d}")
def tell(context, version):
    """Record the version of a peer."""
    context.view.note_peer_version(version)


@behave.given("its era began {seconds:g} s ago")
def given_age(context, seconds):
    """Pass time, with the view current."""
    context.now += seconds
    context.view.mark_current(0.1)


@behave.when("its view is confirmed {what}")
def confirm(context, what):
    """Confirm the view by an answer to a call now or 0.7 s before."""
    context.now += 0.6
    context.view.mark_current(0.0 if what == "anew" else 0.7)


@behave.given(
    'a view whose first listing is of era {era:d} with items "{keys}"'
)
def given_first_listing(context, era, keys):
    """Make a view of a node that has just started."""
    context.now = 1000.0
    context.view = cluster_view_module.ClusterView(
        plain_wire, lambda: context.now
    )
    items = [metadata.Item(key, b"x", 100) for key in keys.split()]
    _receive(context, "listing", era, 100, [_configuration(1, 100), *items])
    context.view.mark_current(0.0)


@behave.when(
    "{seconds:g} s have passed and it was told of configuration {version:d}"
)
def pass_and_tell(context, seconds, version):
    """Pass time and record the version of a peer."""
    context.now += seconds
    context.view.note_peer_version(version)


def _decide(context, *arguments):
    async def decide():
        node = restore_cluster.Node(
            "n1",
            1,
            standins.Store(),
            memory_network.Network(),
            random.Random(1),
            lambda: 0.0,
            context.view,
        )
        return node.decide(*arguments)

    return trio.run(decide)


@behave.then("a request with a {key} key is {decision}")
def check_decision(context, key, decision):
    """Compare the decision on a request."""
    found = _decide(context, key)
    assert found == decision, found


@behave.then("a request for an unknown route is {decision}")
def check_route(context, decision):
    """Compare the decision on a request."""
    found = _decide(context, restore_cluster.KEPT_KEY, "other.example")
    assert found == decision, found


class _LeaseStore:
    """Grants a lease in an era."""

    def __init__(self, granted=2):
        self._granted = model.Era(granted)
        self.latest_era = model.Era(2)
        self.ended = False

    async def grant_lease(self, ttl_s):
        """Grant a lease."""
        return metadata.Lease(7, ttl_s, self._granted)

    async def create(self, key, value, granted):
        """Write a key."""
        return metadata.Written(1, self._granted)

    async def end_lease(self, granted):
        """End the lease."""
        self.ended = True


def _acquire(context, store, at):
    """Acquire a lease at a time that the steps set."""
    context.now = at
    context.eras = metadata.EraTracker()
    context.eras.note(model.Era(2))
    context.store = store
    context.lease = lease.DomainLease("k", "n1", store, context.eras)
    suspended = lease.clocks.boot_time
    lease.clocks.boot_time = lambda: context.now

    def restore_clock():
        lease.clocks.boot_time = suspended

    context.add_cleanup(restore_clock)
    trio.run(context.lease.acquire)


@behave.given("a lease acquired in era 2 at {at:g} s, for 3 s")
def given_lease(context, at):
    """Acquire a lease."""
    _acquire(context, _LeaseStore(), at)


@behave.when("{who} learns of era {era:d} at {at:g} s")
def learn(context, who, era, at):
    """Tell the client of the store or the view of an era."""
    context.now = at
    if who == "the store":
        context.store.latest_era = model.Era(era)
    else:
        context.eras.note(model.Era(era))


@behave.then("the lease is held: {held}")
def check_held(context, held):
    """Check whether the node may plan."""
    assert context.lease.is_held == (held == "yes")


@behave.then("it may be acquired after {wait:g} s")
def check_wait(context, wait):
    """Compare the time for which the node waits for a former holder."""
    found = context.lease.former_lease_left_s(context.now, context.now)
    assert found == wait, found


@behave.given("a node that knows era 2")
def given_nothing(context):
    """Make no lease yet."""


@behave.when("it is granted a lease in era {granted:d}")
def acquire_across(context, granted):
    """Acquire a lease."""
    _acquire(context, _LeaseStore(granted), 10.0)


@behave.then("it holds the lease: {held}")
def check_holds(context, held):
    """Check whether the node holds the lease."""
    check_held(context, held)


@behave.then("it has given the lease back: {ended}")
def check_ended(context, ended):
    """Check whether the lease was ended."""
    assert context.store.ended == (ended == "yes")


@behave.given(
    "a node that another one feeds and that would watch after {seconds:g} s"
)
def given_fed(context, seconds):
    """Set the interval between watches."""
    context.poll_interval_s = seconds


@behave.when("the feed is of a newer era from {at:g} s on")
def feed(context, at):
    """Feed a view; record when the store is read."""

    async def run():
        store = standins.Store(trio.current_time)
        client = memory_store.MemoryStore(store)
        view = cluster_view_module.ClusterView(plain_wire, trio.current_time)
        view.table = restore_cluster.configuration(1, ())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                store_watch.follow_store,
                view,
                client,
                lambda _: None,
                context.poll_interval_s,
            )
            await trio.sleep(at)
            store.restore(0.0)
            segment = changefeed.Segment(
                0, 0, 0.0, era=store.era, content=changefeed.CONTENT
            )
            while trio.current_time() < 3.2:
                view.apply_segment(segment, trio.current_time(), 0.0)
                await trio.sleep(0.1)
            context.listings = client.listings
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.then("the node has read the store anew at 3.2 s")
def check_read(context):
    """Count the full reads."""
    assert context.listings == 2, context.listings


@contextlib.contextmanager
def _mock_time():
    suspended = lease.clocks.boot_time
    lease.clocks.boot_time = trio.current_time
    try:
        yield trio.testing.MockClock(autojump_threshold=0)
    finally:
        lease.clocks.boot_time = suspended


def _run(context):
    """Run the cluster once, when its outcome is first compared."""
    if not context.is_run:
        context.is_run = True
        with _mock_time() as clock:
            trio.run(context.cluster.run, clock=clock)


def _step(context, action):
    async def step():
        action(context.cluster)

    context.cluster.steps.append(step)


@behave.given("{count:d} nodes, whose calls take up to {delay:g} s")
def given_cluster(context, count, delay):
    """Make a cluster."""
    context.cluster = restore_cluster.Cluster(count, 1, delay)
    context.is_run = False


def _wait(cluster, seconds):
    async def step():
        await trio.sleep(seconds)

    cluster.steps.append(step)


@behave.when("the cluster runs for {seconds:g} s")
def wait_in_cluster(context, seconds):
    """Wait."""
    _wait(context.cluster, seconds)


@behave.when("the store is restored from a copy of {age:g} s")
def restore(context, age):
    """Restore the store."""
    _step(context, lambda cluster: cluster.restore(age))


@behave.when("the operator writes again {seconds:g} s after a restore")
def set_rewrite(context, seconds):
    """Set the operator's delay."""

    def act(cluster):
        cluster.rewrite_after_s = seconds

    _step(context, act)


def _kill_planner(cluster):
    for node in cluster.planners:
        node.scope.cancel()


@behave.when("the planner dies")
def kill(context):
    """Cancel the node that plans."""
    _step(context, _kill_planner)


def _cut(cluster):
    for node in cluster.alive[:1]:
        if not node.path.is_stopped:
            node.cut()


def _reconnect(cluster):
    for node in cluster.nodes:
        if node.path.is_stopped:
            node.reconnect()


@behave.when("a node is cut off from the store")
def cut(context):
    """Cut off the first node."""
    _step(context, _cut)


@behave.when("the node returns after {seconds:g} s and another restore")
def reconnect_late(context, seconds):
    """Restore the store again, then reconnect the node."""
    _wait(context.cluster, seconds)
    _step(context, lambda cluster: cluster.restore(1.0))
    _wait(context.cluster, 1.0)
    _step(context, _reconnect)


def _revoke(cluster):
    cluster.write(cluster.version + 1, (restore_cluster.KEPT_KEY,))


@behave.when("a key is revoked")
def revoke(context):
    """Write a configuration without a key."""
    _step(context, _revoke)


@behave.when("a node starts")
def start(context):
    """Start another node."""
    _step(context, lambda cluster: cluster.start_node())


@behave.then("nothing forbidden has happened")
def check_violations(context):
    """Compare what the checker has seen."""
    _run(context)
    assert not context.cluster.violations, context.cluster.violations[:5]


def _differences(cluster):
    for node in cluster.alive:
        view = node.view
        if view.revision.era != cluster.store.era:
            yield f"{node.name} is in era {view.revision.era}"
        if view.table.version != cluster.version:
            yield f"{node.name} has configuration {view.table.version}"
        known = {e.endpoint_id for e in view.registry.endpoints}
        if known != cluster.endpoints:
            yield f"{node.name} knows {known}"


@behave.then("all views equal the store")
def check_views(context):
    """Compare the views with the store."""
    _run(context)
    found = list(_differences(context.cluster))
    assert not found, found


@behave.then("{count:d} node of the cluster plans")
def check_planners(context, count):
    """Count the nodes that plan."""
    _run(context)
    found = context.cluster.last_planners
    assert len(found) == count, found


@behave.then("each node has read the whole store {count:d} times")
def check_listings(context, count):
    """Count the full reads."""
    found = {node.store.listings for node in context.cluster.nodes}
    assert found == {count}, found


@behave.when(
    "node {name} records the join of replica {replica} with epoch {epoch:d}"
)
def record_join(context, name, replica, epoch):
    """Record a join as before it is ordered."""

    async def step():
        endpoint = fleet.Endpoint("e1", "service", "10.0.0.1", 80, "z1")
        join = assembly.Join(replica, epoch, "m", (endpoint,), (endpoint,))
        node = next(n for n in context.cluster.nodes if n.name == name)
        await node.controller.intents.record([join])

    context.cluster.steps.append(step)


@behave.then('the store has the intents "{replicas}"')
def check_intents(context, replicas):
    """Compare the stored records."""
    _run(context)
    keys = {f"{restore_cluster.JOINS_PREFIX}{r}" for r in replicas.split()}
    assert context.cluster.intents == keys, context.cluster.intents


@behave.then('the store has the intents ""')
def check_no_intents(context):
    """Check that there is no stored record."""
    check_intents(context, "")


@behave.then('the nodes expect a join of e1 with epoch "{epoch:d}"')
def check_pending(context, epoch):
    """Compare the epochs that the nodes would continue above."""
    found = {
        join_intents.pending_epochs(
            node.view.internal_items, restore_cluster.JOINS_PREFIX
        ).get("e1", 0)
        for node in context.cluster.nodes
    }
    assert found == {epoch}, found


@behave.then("it is the same node as before the restore")
def check_same_planner(context):
    """Compare the planners."""
    cluster = context.cluster
    assert cluster.last_planners == cluster.planners_before


@behave.when("the metrics are told of the eras {eras}")
def tell_metrics(context, eras):
    """Export the metrics."""
    found = metrics.Metrics("n1")
    for era in eras.split():
        found.set_store_era(model.Era(int(era)))
    context.lines = found.text().decode().splitlines()


@behave.then("they show era {era:d} and {restores:d} restores")
def check_metrics(context, era, restores):
    """Compare the exported lines."""
    values = dict(line.rsplit(" ", 1) for line in context.lines)
    assert _value(values, "wasabilanding_store_era") == era, values
    assert _value(values, "wasabilanding_store_restores") == restores, values


def _value(values, name):
    found = [v for key, v in values.items() if key.startswith(name)]
    return float(found[0])


@behave.then("the store has the addresses of all nodes")
def check_addresses(context):
    """Compare the registered nodes."""
    _run(context)
    cluster = context.cluster
    names = {f"{restore_cluster.NODES_PREFIX}{n.name}" for n in cluster.nodes}
    assert cluster.addresses == names, cluster.addresses


@behave.then(
    "the node that started last answers a request with a kept key with "
    "{decision}"
)
def check_last(context, decision):
    """Compare the decision of the last node."""
    _run(context)
    found = context.cluster.decisions[-1]
    assert found == decision, found


@behave.then(
    "the other nodes answer a request with a kept key with {decision}"
)
def check_others(context, decision):
    """Compare the decisions of the other nodes."""
    _run(context)
    found = set(context.cluster.decisions[:-1])
    assert found == {decision}, found


def _restore_from(age_s):
    return lambda cluster: cluster.restore(age_s)


def _start_node(cluster):
    cluster.start_node()


def _write_next(cluster):
    cluster.write(cluster.version + 1, cluster.keys)


ACTIONS = (
    *map(_restore_from, (0.3, 1.0, 5.0, 30.0)),
    _start_node,
    _write_next,
    _revoke,
    _kill_planner,
    _cut,
    _reconnect,
)
WAITS_S = (0.02, 0.3, 1.0, 3.0)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(WAITS_S),
        strategies.integers(0, len(ACTIONS) - 1),
    ),
    max_size=14,
)


def _always_reconnect(cluster):
    async def step():
        _reconnect(cluster)

    return step


def _fuzzed_cluster(seed, steps):
    """Return a cluster that waits and acts, then recovers."""
    cluster = restore_cluster.Cluster(3, seed, LONGEST_DELAY_S)

    def add(wait_s, action):
        async def step():
            await trio.sleep(wait_s)
            if len(cluster.alive) > 1:
                action(cluster)

        cluster.steps.append(step)

    _wait(cluster, 10.0)
    for wait_s, number in steps:
        add(wait_s, ACTIONS[number])
    cluster.steps.append(_always_reconnect(cluster))
    _wait(cluster, QUIET_S)
    return cluster


@behave.when("{count:d} runs restore and change the store in any order")
def run_fuzzed(context, count):
    """Search for a run in which the checker finds something."""
    context.found = ""

    @fuzz.settings(count)
    @hypothesis.given(seed=strategies.integers(0, 999), steps=STEPS)
    def search(seed, steps):
        cluster = _fuzzed_cluster(seed, steps)
        with _mock_time() as clock:
            trio.run(cluster.run, clock=clock)
        found = cluster.violations + list(_differences(cluster))
        assert not found, (found[:3], seed, steps)

    try:
        search()
    except AssertionError as error:
        context.found = str(error)


@behave.then("nothing forbidden has happened in any of them")
def check_fuzzed(context):
    """Compare what the checkers have seen."""
    assert not context.found, context.found
