"""Steps for routing."""

import collections
import dataclasses
import random

import behave
import hypothesis.stateful

from wasabilanding.experiments import fuzz
from wasabilanding import model
from wasabilanding import routing

CI_EXAMPLES = 60
FLAWS = {
    "reports another epoch": {"epoch": 9},
    "reports too long ago": {"observed_at": 90.0},
    "is leaving": {"leaving": True},
    "is loading": {"state": model.VmState.LOADING},
}
PROMPT = "".join(f"{n:08d}" for n in range(40 * 256 // 8))


def _replica(number, domain="prov"):
    return model.ReplicaRecord(
        replica_id=f"r{number}",
        epoch=1,
        service="drafts",
        profile="draft",
        profile_revision=1,
        model="tarifa",
        version="v1",
        fabric_domain=f"{domain}-0",
        members=(f"{domain}-{number}-0", f"{domain}-{number}-1"),
        max_running=16,
    )


class _World:
    """Routing state of a node."""

    def __init__(self, counts):
        self.now = 100.0
        self.reports = {}
        self.records = {}
        self.index = routing.ReplicaIndex("prov")
        self.loads = routing.LoadView()
        self.stream_intervals = routing.StreamIntervals()
        self.prefixes = routing.PrefixView()
        self.rng = random.Random(3)
        for domain, count in counts.items():
            replicas = tuple(_replica(n, domain) for n in range(count))
            self.records[domain] = model.DomainRecord(
                domain, revision=1, replicas=replicas
            )
            for replica in replicas:
                for vm in replica.members:
                    self.report(vm, replica)
        self.refresh()

    def report(self, vm, replica, **changes):
        report = model.VmReport(
            vm,
            model.VmState.READY,
            replica.replica_id,
            replica.epoch,
            observed_at=self.now,
        )
        self.reports[vm] = dataclasses.replace(report, **changes)

    def refresh(self):
        self.index.refresh(self.records, self.reports, self.now)

    def replica(self, number, domain="prov"):
        return self.records[domain].replicas[number]

    def choose(self, policy, blocks=()):
        self.refresh()
        state = routing.RoutingState(
            self.index,
            self.reports,
            self.loads,
            self.stream_intervals,
            self.prefixes,
            self.now,
        )
        request = routing.RoutingRequest("drafts", blocks)
        return routing.POLICIES[policy](state, request, self.rng)


def _choose(context, policies, times, blocks=()):
    context.chosen = collections.Counter()
    for policy in policies:
        for _ in range(times):
            found = context.world.choose(policy, blocks)
            key = (found.failure_domain, found.replica.replica_id)
            context.chosen[key] += 1


@behave.given("4 local replicas, and replica 0 whose second VM {flaw}")
def flawed(context, flaw):
    """Create replicas and apply the flaw to a report."""
    context.world = world = _World({"prov": 4})
    replica = world.replica(0)
    vm = replica.members[1]
    if flaw in FLAWS:
        world.report(vm, replica, **FLAWS[flaw])
    else:
        del world.reports[vm]
    world.now += 1.0


@behave.given("4 local replicas, all usable")
def usable(context):
    """Create replicas with fresh reports."""
    context.world = _World({"prov": 4})


@behave.when("replica 0 fails after a scan of the index")
def fail(context):
    """Let a member report no replica after the scan."""
    world = context.world
    replica = world.replica(0)
    world.report(replica.members[1], replica, replica_id="", epoch=0)


@behave.when("a record without replica 0 follows after a scan of the index")
def new_record(context):
    """Add a newer record after the scan."""
    world = context.world
    record = world.records["prov"]
    world.records["prov"] = dataclasses.replace(
        record, revision=2, replicas=record.replicas[1:]
    )


@behave.when("each policy chooses {times:d} times")
def choose_all(context, times):
    """Choose with each policy."""
    _choose(context, routing.POLICIES, times)


@behave.then("replica 0 is never chosen and all others are")
def check_flawed(context):
    """Compare the choices."""
    assert set(context.chosen) == {("prov", f"r{n}") for n in (1, 2, 3)}


@behave.given(
    "1 local replica with {local:d} requests and 1 remote with {remote:d}"
)
def two_places(context, local, remote):
    """Create a replica in each of two failure domains."""
    context.world = world = _World({"prov": 1, "maipu": 1})
    for domain, running in (("prov", local), ("maipu", remote)):
        replica = world.replica(0, domain)
        world.report(replica.leader, replica, running=running)
    world.now += 0.3
    world.refresh()


@behave.when('policy "{policy}" chooses {times:d} times')
def choose_by(context, policy, times):
    """Choose with one policy."""
    _choose(context, (policy,), times)


@behave.then("the {where} replica is chosen each time")
def check_where(context, where):
    """Compare the failure domain."""
    domain = {"local": "prov", "remote": "maipu"}[where]
    assert set(context.chosen) == {(domain, "r0")}, context.chosen


@behave.given(
    "replica {number:d} has the first {blocks:d} blocks of a prompt of 40 "
    "and {load:d} requests"
)
def cached(context, number, blocks, load):
    """Record the cached blocks and the load."""
    world = context.world
    replica = world.replica(number)
    hashes = routing.block_hashes(PROMPT)
    assert len(hashes) == 40
    world.prefixes.store(routing.global_replica_key(replica), hashes[:blocks])
    world.report(replica.leader, replica, running=load)
    for other in world.records["prov"].replicas:
        if other is not replica:
            world.report(other.leader, other, running=0)


@behave.when('policy "{policy}" chooses for the prompt {times:d} times')
def choose_for_prompt(context, policy, times):
    """Choose with one policy for the prompt."""
    _choose(context, (policy,), times, routing.block_hashes(PROMPT))


@behave.then("replica {number:d} is chosen {how}")
def check_cached(context, number, how):
    """Compare how often the replica was chosen."""
    chosen = context.chosen[("prov", f"r{number}")]
    wanted = {"each time": context.chosen.total(), "never": 0}[how]
    assert chosen == wanted, context.chosen


@behave.given(
    "replica {number:d} takes {factor:g} times as long between parts and "
    "{load:d} requests"
)
def straggler(context, number, factor, load):
    """Observe streams; the other replicas have one more request."""
    world = context.world
    for _ in range(30):
        for position, replica in enumerate(world.records["prov"].replicas):
            interval_s = 0.01 * (factor if position == number else 1.0)
            world.stream_intervals.observe(replica, interval_s, world.now)
    for position, replica in enumerate(world.records["prov"].replicas):
        running = load if position == number else load + 1
        world.report(replica.leader, replica, running=running)


@behave.when('policy "{policy}" chooses {times:d} times after {seconds:g} s')
def choose_later(context, policy, times, seconds):
    """Choose after some time, with fresh reports."""
    world = context.world
    world.now += seconds
    for vm, report in list(world.reports.items()):
        world.reports[vm] = dataclasses.replace(report, observed_at=world.now)
    _choose(context, (policy,), times)


@behave.then(
    "replica {number:d} gets between {least:d} and {most:d} of the choices"
)
def check_straggler(context, number, least, most):
    """Compare how often the replica was chosen."""
    found = context.chosen[("prov", f"r{number}")]
    assert least <= found <= most, context.chosen


@behave.given("a report of {load:d} requests where the mean is {mean:g}")
def one_report(context, load, mean):
    """Create a report and the load of the service."""
    context.world = world = _World({"prov": 1})
    replica = world.replica(0)
    world.report(replica.leader, replica, running=load)
    context.service_load = routing.ServiceLoad(4, mean, 3)


@behave.when("the report is {age:g} s old")
def let_age(context, age):
    """Advance the time by the age of the report."""
    context.world.now += age


@behave.then("the estimate is between {least:g} and {most:g}")
def check_estimate(context, least, most):
    """Compare the estimate."""
    world = context.world
    replica = world.replica(0)
    found = world.loads.estimate(
        replica, world.reports[replica.leader], context.service_load, world.now
    )
    assert least <= found <= most, found


@behave.given("a replica that stored {blocks:d} blocks of a prompt")
def stored(context, blocks):
    """Create the cache events of a prompt."""
    text = "".join(f"{n:08d}" for n in range(blocks * 256 // 8))
    context.hashes = routing.block_hashes(text)
    context.view = routing.PrefixView()
    context.events = [
        routing.CacheEvent(number, "stored", block)
        for number, block in enumerate(context.hashes, 1)
    ]


@behave.when("every event but each {kept:d}-th is lost")
def lose_events(context, kept):
    """Apply the events that are not lost."""
    left = [e for e in context.events if e.sequence % kept == 0]
    context.view.apply("replica", left or context.events[:1])


@behave.then(
    "between {least:d} and {most:d} leading blocks are assumed to be cached"
)
def check_match(context, least, most):
    """Compare the number of matching blocks."""
    found = context.view.match(context.hashes).get("replica", 0)
    assert least <= found <= most, found


@behave.given("a view of {entries:d} entries")
def small_view(context, entries):
    """Create a small view."""
    context.view = routing.PrefixView(entries)


@behave.when("{blocks:d} blocks are stored at {replicas:d} replicas")
def store_many(context, blocks, replicas):
    """Store more than the view holds."""
    context.latest = blocks - 1
    for block in range(blocks):
        for replica in range(replicas):
            context.view.store(f"replica {replica}", (block,))


@behave.then(
    "it holds at most {entries:d} entries and the latest block at all "
    "{replicas:d}"
)
def check_bound(context, entries, replicas):
    """Check the size and the replicas of the latest block."""
    assert len(context.view) <= entries, len(context.view)
    assert len(context.view.match((context.latest,))) == replicas


class RoutingMachine(hypothesis.stateful.RuleBasedStateMachine):
    """State machine that applies events to the routing state."""

    def __init__(self) -> None:
        super().__init__()
        self.world = _World({"prov": 3, "maipu": 2})
        self.in_flight = collections.Counter()

    def _pick(self, position):
        replicas = [
            replica
            for record in self.world.records.values()
            for replica in record.replicas
        ]
        return replicas[position % len(replicas)]

    @hypothesis.stateful.rule(
        position=hypothesis.strategies.integers(0, 4),
        rank=hypothesis.strategies.integers(0, 1),
        epoch=hypothesis.strategies.sampled_from((1, 1, 1, 2)),
        leaving=hypothesis.strategies.sampled_from((False, False, True)),
        running=hypothesis.strategies.integers(0, 40),
        age=hypothesis.strategies.floats(0, 4),
    )
    def report(self, position, rank, epoch, leaving, running, age):
        """Receive a report, which may be old."""
        replica = self._pick(position)
        self.world.report(
            replica.members[rank],
            replica,
            epoch=epoch,
            leaving=leaving,
            running=running,
            observed_at=self.world.now - age,
        )

    @hypothesis.stateful.rule(position=hypothesis.strategies.integers(0, 4))
    def lose_report(self, position):
        """Remove a report."""
        self.world.reports.pop(self._pick(position).members[1], None)

    @hypothesis.stateful.rule(seconds=hypothesis.strategies.floats(0, 2))
    def pass_time(self, seconds):
        """Advance the time."""
        self.world.now += seconds

    @hypothesis.stateful.rule(
        domain=hypothesis.strategies.sampled_from(("prov", "maipu")),
        position=hypothesis.strategies.integers(0, 4),
    )
    def repair(self, domain, position):
        """Store a record in which a replica has a new epoch."""
        record = self.world.records[domain]
        replicas = list(record.replicas)
        position %= len(replicas)
        replicas[position] = dataclasses.replace(
            replicas[position], epoch=replicas[position].epoch + 1
        )
        self.world.records[domain] = dataclasses.replace(
            record, revision=record.revision + 1, replicas=tuple(replicas)
        )

    @hypothesis.stateful.rule(
        policy=hypothesis.strategies.sampled_from(sorted(routing.POLICIES)),
        blocks=hypothesis.strategies.lists(
            hypothesis.strategies.integers(0, 20), max_size=5
        ),
    )
    def choose(self, policy, blocks):
        """Send a request to a replica and check that it is usable."""
        world = self.world
        found = world.choose(policy, tuple(blocks))
        usable = routing.usable_replicas(
            [r for d in world.records.values() for r in d.replicas],
            "drafts",
            world.reports,
            world.now,
        )
        if found is None:
            # Reports received after the last scan may not be considered.
            return
        assert found.replica in usable
        key = routing.global_replica_key(found.replica)
        world.prefixes.store(key, blocks)
        world.loads.send(found.replica, world.now)
        self.in_flight[found.replica] += 1

    @hypothesis.stateful.rule(position=hypothesis.strategies.integers(0, 99))
    def finish(self, position):
        """Finish a request."""
        held = sorted(
            (r for r, count in self.in_flight.items() if count),
            key=routing.global_replica_key,
        )
        if held:
            replica = held[position % len(held)]
            self.world.loads.finish(replica, self.world.now)
            self.in_flight[replica] -= 1

    @hypothesis.stateful.rule()
    def sweep(self):
        """Discard the state of unrecorded replicas."""
        self.world.refresh()
        self.world.loads.sweep(self.world.index.keys)
        self.world.stream_intervals.sweep(self.world.index.keys)

    @hypothesis.stateful.invariant()
    def own_requests_are_counted(self):
        """Own requests are counted exactly and bound each estimate."""
        world = self.world
        service_load = routing.ServiceLoad(5, 0.0, 1)
        for replica, count in self.in_flight.items():
            assert world.loads.in_flight(replica) == count
            report = world.reports.get(replica.leader)
            found = world.loads.estimate(
                replica, report, service_load, world.now
            )
            assert found >= count


@behave.when("routing events occur in any order")
def run_machine(context):
    """Run the state machine."""
    context.error = None
    try:
        hypothesis.stateful.run_state_machine_as_test(
            RoutingMachine, settings=fuzz.settings(CI_EXAMPLES)
        )
    except AssertionError as error:
        context.error = error


@behave.then("no invariant of routing is violated")
def check_machine(context):
    """Expect no counterexample."""
    if context.error:
        raise context.error
