"""State machine that tests the planner with random faults and changes."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from wasabilanding.experiments import fuzz
from wasabilanding import model
from wasabilanding import placement
from wasabilanding.placement.tests import simulator as simulator_module

FABRICS = [4, 3]
NAMES = [f"a{i}" for i in range(4)] + [f"b{i}" for i in range(3)]
SERVICES = ["alba", "zeta"]
vms = strategies.sampled_from(NAMES)
services = strategies.sampled_from(SERVICES)


def check_record(record: model.DomainRecord) -> None:
    """Check that no VM is placed twice and no replica spans fabric domains."""
    placed = [vm for r in record.replicas for vm in (*r.members, *r.spares)]
    assert len(placed) == len(set(placed)), record
    for replica in record.replicas:
        fabrics = {vm[0] for vm in (*replica.members, *replica.spares)}
        assert fabrics == {replica.fabric_domain}, replica
        for variant in replica.variants:
            assert variant.epoch < record.next_epoch, record


class Planner(stateful.RuleBasedStateMachine):
    """Random events, and the invariants that are checked after each tick.

    Hypothesis orders rules by method name, so renaming a rule changes the
    derandomised sequences.
    """

    def __init__(self) -> None:
        super().__init__()
        self.simulator = simulator_module.DomainSimulator(FABRICS)
        self.epochs: dict[int, tuple] = {}

    @stateful.initialize(
        size=strategies.integers(1, 3),
        heavy=strategies.booleans(),
        minimum=strategies.integers(0, 1),
    )
    def start(self, size, heavy, minimum):
        """Form replicas of both services."""
        for service, count in (("alba", 2), ("zeta", 1)):
            weights = (4.0, 1.0) if heavy else (1.0, 4.0)
            self.configure(service, count, size, "v1", minimum, weights)
        self.step(24)

    @stateful.rule(
        service=services,
        count=strategies.integers(1, 3),
        size=strategies.integers(1, 4),
        version=strategies.sampled_from(["v1", "v2", "v3"]),
        minimum=strategies.integers(0, 2),
        weights=strategies.sampled_from([(1.0, 1.0), (4.0, 1.0), (1.0, 4.0)]),
    )
    def configure(self, service, count, size, version, minimum, weights):
        """Write the profile of a service."""
        profile = dataclasses.replace(
            simulator_module.PROFILE,
            name=service,
            version=version,
            vms_per_replica=size,
            replicas_per_domain=count,
            min_replicas_per_domain=minimum,
            downtime_weight=weights[0],
            stranding_weight=weights[1],
        )
        self.simulator.configure(service, profile)

    @stateful.rule(vm=vms)
    def kill(self, vm):
        """Kill a VM."""
        self.simulator.kill(vm)

    @stateful.rule(vm=vms)
    def restart(self, vm):
        """Restart a VM without state."""
        self.simulator.restart(vm)

    @stateful.rule(vm=vms, paused=strategies.booleans())
    def pause(self, vm, paused):
        """Pause or resume a VM."""
        self.simulator.vms[vm].paused = paused

    @stateful.rule(vm=vms)
    def leave(self, vm):
        """Announce the shutdown of a VM."""
        self.simulator.vms[vm].leaving = True

    @stateful.rule(version=strategies.sampled_from(["v2", "v3"]))
    def spoil(self, version):
        """Make a version fail to load."""
        self.simulator.bad_versions.add(version)

    @stateful.rule(index=strategies.integers(0, 5))
    def work(self, index):
        """Start a request on a leader."""
        if not self.simulator.record.replicas:
            return
        replicas = self.simulator.record.replicas
        leader = self.simulator.vms[replicas[index % len(replicas)].leader]
        if leader.state is model.VmState.READY and leader.alive:
            leader.running += 1

    @stateful.rule()
    def finish(self):
        """Finish all requests."""
        for vm in self.simulator.vms.values():
            vm.running = 0

    @stateful.rule(outcome=strategies.sampled_from(["lost", "refused"]))
    def lose_write(self, outcome):
        """Refuse the next write, or lose its answer."""
        self.simulator.write_outcome = outcome

    @stateful.rule()
    def take_over(self):
        """Let another node become the controller."""
        self.simulator.take_over()

    @stateful.rule(vm=vms, back=strategies.integers(1, 5))
    def obey_stale_order(self, vm, back):
        """Apply a former controller's order to an engine without fencing."""
        record = self.simulator.records[
            -min(back, len(self.simulator.records))
        ]
        target = self.simulator.vms[vm]
        for replica in record.replicas:
            if vm in replica.members and target.alive:
                target.running = 0
                order = placement.Load(vm, replica, record.fence)
                self.simulator.apply_order(target, order)

    @stateful.rule(down=strategies.booleans())
    def reach_store(self, down):
        """Stop or restore the store."""
        self.simulator.store_down = down

    @stateful.rule(back=strategies.integers(1, 5))
    def substitute_late(self, back):
        """Let a former controller substitute members of an old record."""
        records = self.simulator.records
        self.simulator.substitute(records[-min(back, len(records))])

    @stateful.rule(ticks=strategies.integers(1, 12))
    def step(self, ticks):
        """Let time pass."""
        for _ in range(ticks):
            self._step()

    def _step(self) -> None:
        simulator = self.simulator
        before = simulator.record
        running = self._running_healthy()
        planned = simulator.step()
        snapshot = simulator.snapshot()
        check_record(planned)
        assert planned.next_epoch >= before.next_epoch
        for leader, count in running.items():
            assert simulator.vms[leader].running == count, (leader, planned)
        self._check_epochs()
        self._check_causes(before, planned, snapshot)
        self._check_minimum(before, planned, snapshot)
        self._check_converges(dataclasses.replace(snapshot, record=planned))

    def _running_healthy(self) -> dict[str, int]:
        healthy = (model.VmState.READY, model.VmState.DRAINING)
        found = {}
        for replica in self.simulator.record.replicas:
            members = [self.simulator.vms[vm] for vm in replica.members]
            if all(
                vm.alive
                and not vm.paused
                and vm.replica_key == replica.replica_key
                and vm.state in healthy
                for vm in members
            ):
                found[replica.leader] = members[0].running
        return found

    def _check_epochs(self) -> None:
        for replica in self.simulator.record.replicas:
            for variant in replica.variants:
                content = (variant.replica_id, variant.members)
                known = self.epochs.setdefault(variant.epoch, content)
                assert known == content, (variant, known)

    def _check_minimum(self, before, planned, snapshot) -> None:
        after = {r.replica_id: r for r in planned.replicas}
        for old in before.replicas:
            new = after.get(old.replica_id)
            if new is None or new.state is old.state:
                continue
            if any(snapshot.is_leaving(vm) for vm in old.members):
                continue
            if any(self._is_impaired(vm, old, snapshot) for vm in old.members):
                continue
            if not placement.is_serving(snapshot, old):
                continue
            entry = snapshot.configuration.profile_of(old.service)
            profile = entry.profile
            serving = sum(
                placement.is_serving(snapshot, r)
                for r in planned.replicas
                if r.service == old.service
            )
            keep = min(
                profile.min_replicas_per_domain, profile.replicas_per_domain
            )
            assert serving >= keep, (old, planned)

    def _check_causes(self, before, planned, snapshot) -> None:
        after = {r.replica_id: r for r in planned.replicas}
        for old in before.replicas:
            new = after.get(old.replica_id)
            if new is None or new.epoch != old.epoch:
                assert self._may_change(old, snapshot), (old, new)
            elif new.state is not old.state:
                assert old.state is model.ReplicaState.ACTIVE

    def _may_change(self, old, snapshot) -> bool:
        if any(self._is_impaired(vm, old, snapshot) for vm in old.members):
            return True
        leader = self.simulator.vms[old.leader]
        draining = old.state is model.ReplicaState.DRAINING
        return draining and leader.running == 0

    def _is_impaired(self, vm, replica, snapshot) -> bool:
        report = snapshot.reports.get(vm)
        return (
            not snapshot.is_alive(vm)
            or snapshot.is_held_down(vm)
            or not snapshot.is_placed_in(vm, replica)
            or report.state is model.VmState.FAILED
            or report.state is model.VmState.LOADING
        )

    def _check_converges(self, snapshot) -> None:
        record = snapshot.record
        for _ in range(6):
            following = placement.plan(
                dataclasses.replace(snapshot, record=record)
            )
            if following == record:
                return
            record = following
        raise AssertionError(f"the plan does not converge: {record}")


def run(examples: int, steps: int) -> None:
    """Run the state machine on a bounded number of derandomised examples.

    :param examples: how many sequences of events.
    :param steps: events in each.
    """
    settings = fuzz.with_fuzz_examples(
        hypothesis.settings(
            derandomize=True,
            max_examples=examples,
            stateful_step_count=steps,
            phases=[hypothesis.Phase.generate],
            database=None,
            deadline=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        )
    )
    stateful.run_state_machine_as_test(Planner, settings=settings)
