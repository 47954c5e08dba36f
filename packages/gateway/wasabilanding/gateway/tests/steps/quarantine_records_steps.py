"""Steps for records of quarantines, with nodes that share a store."""

import base64

import behave
import trio
import trio.testing

from wasabilanding import dispatch
from wasabilanding.gateway import cluster_view
from wasabilanding.gateway import crash_guard
from wasabilanding.gateway import crash_reports
from wasabilanding.gateway import metrics
from wasabilanding.gateway import plain_wire
from wasabilanding.gateway import quarantine_records
from wasabilanding.gateway import store_watch
from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway.tests import memory_store
from wasabilanding import model
from wasabilanding import poison
from wasabilanding import standins

NAME = "f"
TIME_OF_DAY = 1_000_000_000.0
POLL_INTERVAL_S = 0.8
CRASH_INTERVAL_S = 0.3
# More than the window of a mass event.
MANY_INTERVAL_S = 1.5
PREFIX = quarantine_records.records_prefix(plain_wire)


class _Node:
    """A node that follows the store and keeps records."""

    def __init__(self, name, cluster):
        self.name = name
        self.scope = trio.CancelScope()
        self.view = cluster_view.ClusterView(plain_wire, trio.current_time)
        self.guard = crash_guard.CrashGuard(
            self.view, dispatch.EndpointTracker(), metrics.Metrics(name)
        )
        self.store = memory_store.MemoryStore(cluster.store, cluster.path)
        ahead_s = cluster.ahead_s.get(name, 0.0)
        self.records = quarantine_records.QuarantineRecords(
            self.store,
            PREFIX,
            self.view,
            self.guard,
            lambda subject: int(name[1:]) - 1,
            lambda: TIME_OF_DAY + trio.current_time() + ahead_s,
        )
        self.guard.follow_news(self.records.note_news)
        self.view.on_internal_item = self.records.read
        # Whether its first view had the quarantine.
        self.knew_at_start = None

    async def run(self):
        """Run until the node ends."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    store_watch.follow_store,
                    self.view,
                    self.store,
                    lambda _: None,
                    POLL_INTERVAL_S,
                )
                nursery.start_soon(self.records.run)
                while not self.view.is_initialized:
                    await self.view.wait_changed()
                self.knew_at_start = self.rejects()

    def rejects(self):
        """Return whether it turns the request or the part away."""
        quarantines = self.guard.quarantines(trio.current_time())
        return any(s.fingerprint == NAME for s in quarantines)


class _Cluster:
    """A store and its nodes, which tell each other of crashes at once."""

    def __init__(self, count):
        self.store = standins.Store(trio.current_time)
        self.path = memory_store.PausedClock()
        self.names = [f"n{i + 1}" for i in range(count)]
        self.nodes = {}
        self.ahead_s = {}
        self.feature = poison.Feature.REQUEST
        self.plan = []
        self.crashes = 0

    def add(self, at, action):
        """Run an action at a time."""
        self.plan.append((at, action))

    def start(self, name):
        """Start a node."""
        self.nodes[name] = _Node(name, self)
        self.nursery.start_soon(self.nodes[name].run)

    def end(self, names):
        """Let nodes end."""
        for name in names:
            self.nodes.pop(name).scope.cancel()

    def tell(self, finders, reports):
        """Let some nodes find something out, and all others be told."""
        now = trio.current_time()
        for name, node in self.nodes.items():
            for report in reports:
                node.guard.apply_report("peer", report, now)
            if name in finders:
                notices = [crash_reports.notice_of(r, now) for r in reports]
                node.records.note_news(notices)

    def crash_report(self, age_s, fingerprint=NAME):
        """Return a report of another crash."""
        self.crashes += 1
        return crash_reports.CrashReport(
            poison.NoticeKind.CRASH,
            fingerprint,
            f"e{self.crashes}@1",
            age_s,
            feature=self.feature,
            sent_before_s=CRASH_INTERVAL_S / 2,
            companions=(fingerprint,),
        )

    def write(self, text, key):
        """Write a value as another build might."""
        value = base64.b64encode(text.encode()).decode()
        self.store.write_all({key: value})

    async def run(self, seconds, check):
        """Run the nodes and the plan, then check."""
        table = fakes.table("safe", False, 1)
        self.write(model.encode(table), plain_wire.configuration_key)
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for name in self.names:
                self.start(name)
            for at, action in sorted(self.plan, key=lambda entry: entry[0]):
                await trio.sleep_until(at)
                action()
            await trio.sleep_until(seconds)
            check()
            nursery.cancel_scope.cancel()


@behave.given("{count:d} nodes")
def given_nodes(context, count):
    """Prepare nodes that share a store."""
    context.count = count
    context.plan = []


def _plan(context, at, act):
    """Run an action on the cluster at a time."""
    context.plan.append((at, act))


@behave.given(
    "node {finders} finds {count:d} crashes under a {feature} at {at:g} s"
)
def given_crashes(context, finders, count, feature, at):
    """Let nodes find endpoints that ended one after the other."""

    def act(cluster):
        cluster.feature = poison.Feature(feature)
        reports = [
            cluster.crash_report((count - i) * CRASH_INTERVAL_S)
            for i in range(count)
        ]
        cluster.tell(finders.split(), reports)

    _plan(context, at, act)


@behave.given("node {finder} finds another crash at {at:g} s")
def given_another_crash(context, finder, at):
    """Let a node find one more endpoint that has ended."""
    _plan(context, at, lambda c: c.tell([finder], [c.crash_report(0.0)]))


@behave.given(
    "node {finder} finds that {count:d} requests have ended endpoints at "
    "{at:g} s"
)
def given_many(context, finder, count, at):
    """Let a node find many requests, each with three crashes of its own."""

    def act(cluster):
        reports = [
            cluster.crash_report(MANY_INTERVAL_S * i, f"f{i}")
            for i in range(count)
            for _ in range(3)
        ]
        cluster.tell([finder], reports)

    _plan(context, at, act)


@behave.given("the request is answered at node {finder} at {at:g} s")
def given_answer(context, finder, at):
    """Let a node receive the answer to the request."""
    report = crash_reports.CrashReport(
        poison.NoticeKind.CLEARED, NAME, "", 0.0
    )
    _plan(context, at, lambda c: c.tell([finder], [report]))


@behave.given("all nodes end at {at:g} s")
def given_end(context, at):
    """Let all nodes end that run then."""
    _plan(context, at, lambda c: c.end(list(c.nodes)))


@behave.given("all other nodes end at {at:g} s")
def given_end_of_others(context, at):
    """Let the nodes end that ran from the beginning."""
    _plan(context, at, lambda c: c.end(c.names))


@behave.given("node {name} starts at {at:g} s")
def given_start(context, name, at):
    """Start another node."""
    _plan(context, at, lambda c: c.start(name))


@behave.given("no node reaches the store from {begin:g} to {end:g} s")
def given_outage(context, begin, end):
    """Make the store unreachable for a while."""
    _plan(context, begin, lambda c: c.path.stop())
    _plan(context, end, lambda c: c.path.resume())


@behave.given("a copy {age:d} s old replaces the store at {at:g} s")
def given_restore(context, age, at):
    """Restore the store from a copy; the operator writes again."""

    def act(cluster):
        values = cluster.store.items(plain_wire.configuration_key)
        cluster.store.restore(age)
        cluster.store.write_all({k: v.value for k, v in values.items()})

    _plan(context, at, act)


@behave.given("the clock of node {name} is {seconds:d} s ahead")
def given_clock(context, name, seconds):
    """Let the time of day of a node differ."""
    _plan(context, 0.0, lambda c: c.ahead_s.update({name: seconds}))


@behave.given('a record "{text}" is stored beside a valid one')
def given_record(context, text):
    """Write a record of another build, and one of this one."""

    def act(cluster):
        reports = tuple(cluster.crash_report(1.0) for _ in range(3))
        record = quarantine_records.QuarantineRecord(TIME_OF_DAY, reports)
        cluster.write(text, f"{PREFIX}request-other")
        cluster.write(model.encode(record), f"{PREFIX}request-valid")

    _plan(context, 0.0, act)


@behave.when("the nodes keep records for {seconds:d} s")
def run(context, seconds):
    """Run all nodes, and note what they and the store have then."""

    async def main():
        cluster = _Cluster(context.count)
        for at, act in context.plan:
            cluster.add(at, lambda act=act: act(cluster))

        def check():
            context.records = len(cluster.store.items(PREFIX))
            changes = cluster.store.changes(PREFIX, 0)
            context.writes = sum(c.stored is not None for c in changes)
            context.rejecting = [
                n.name for n in cluster.nodes.values() if n.rejects()
            ]
            context.knowing = [
                n.name for n in cluster.nodes.values() if n.knew_at_start
            ]
            now = trio.current_time()
            context.quarantined = {
                name: len(node.guard.quarantines(now))
                for name, node in cluster.nodes.items()
            }

        await cluster.run(seconds, check)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.then("the store has {count:d} records, written {writes:d} times")
def check_records(context, count, writes):
    """Compare the number of records and of writes."""
    found = (context.records, context.writes)
    assert found == (count, writes), found


@behave.then('"{names}" turn it away')
def check_rejecting(context, names):
    """Compare which nodes turn the request or the part away."""
    assert context.rejecting == names.split(), context.rejecting


@behave.then('"" turn it away')
def check_none_rejecting(context):
    """Check that no node turns it away."""
    check_rejecting(context, "")


@behave.then('"{names}" turn it away from their first view on')
def check_knowing(context, names):
    """Compare which nodes know the quarantine once they may be ready."""
    assert context.knowing == names.split(), context.knowing
    check_rejecting(context, names)


@behave.then('"" turn it away from their first view on')
def check_none_knowing(context):
    """Check that no node knows the quarantine."""
    check_knowing(context, "")


@behave.then("{count:d} requests are quarantined at node {name}")
def check_quarantined(context, count, name):
    """Compare the number of quarantines of a node."""
    assert context.quarantined[name] == count, context.quarantined
