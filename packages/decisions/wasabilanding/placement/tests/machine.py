"""State machine over the planner: any order of faults and changes."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from wasabilanding.experiments import fuzz
from wasabilanding import model
from wasabilanding import placement
from wasabilanding.placement.tests import fleet as fleet_module

FABRICS = [4, 3]
NAMES = [f"a{i}" for i in range(4)] + [f"b{i}" for i in range(3)]
SERVICES = ["alba", "zeta"]
vms = strategies.sampled_from(NAMES)
services = strategies.sampled_from(SERVICES)


def check_record(record: model.DomainRecord) -> None:
    """Check that no VM is placed twice and members share a fabric domain."""
    placed = [vm for r in record.replicas for vm in (*r.members, *r.spares)]
    assert len(placed) == len(set(placed)), record
    for replica in record.replicas:
        fabrics = {vm[0] for vm in (*replica.members, *replica.spares)}
        assert fabrics == {replica.fabric_domain}, replica
        for variant in replica.variants:
            assert variant.epoch < record.next_epoch, record


class Planner(stateful.RuleBasedStateMachine):
    """Events in any order, and what must hold after each."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = fleet_module.Fleet(FABRICS)
        self.epochs: dict[int, tuple] = {}

    @stateful.initialize(
        size=strategies.integers(1, 3),
        heavy=strategies.booleans(),
        minimum=strategies.integers(0, 1),
    )
    def start(self, size, heavy, minimum):
        """Assemble replicas of both services."""
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
            fleet_module.PROFILE,
            name=service,
            version=version,
            vms_per_replica=size,
            replicas_per_domain=count,
            min_replicas_per_domain=minimum,
            downtime_weight=weights[0],
            stranding_weight=weights[1],
        )
        self.fleet.configure(service, profile)

    @stateful.rule(vm=vms)
    def kill(self, vm):
        """Lose a VM."""
        self.fleet.kill(vm)

    @stateful.rule(vm=vms)
    def restart(self, vm):
        """Let a VM come back empty."""
        self.fleet.restart(vm)

    @stateful.rule(vm=vms, paused=strategies.booleans())
    def pause(self, vm, paused):
        """Pause or resume a VM."""
        self.fleet.vms[vm].paused = paused

    @stateful.rule(vm=vms)
    def leave(self, vm):
        """Announce the end of a VM."""
        self.fleet.vms[vm].leaving = True

    @stateful.rule(version=strategies.sampled_from(["v2", "v3"]))
    def spoil(self, version):
        """Let a version fail to load."""
        self.fleet.bad_versions.add(version)

    @stateful.rule(index=strategies.integers(0, 5))
    def work(self, index):
        """Let a leader run a request."""
        if not self.fleet.record.replicas:
            return
        replicas = self.fleet.record.replicas
        leader = self.fleet.vms[replicas[index % len(replicas)].leader]
        if leader.state is model.VmState.READY and leader.alive:
            leader.running += 1

    @stateful.rule()
    def finish(self):
        """Let all requests end."""
        for vm in self.fleet.vms.values():
            vm.running = 0

    @stateful.rule(fate=strategies.sampled_from(["lost", "refused"]))
    def lose_write(self, fate):
        """Lose the next write, or only its answer."""
        self.fleet.write_fate = fate

    @stateful.rule()
    def take_over(self):
        """Let another node become the holder."""
        self.fleet.take_over()

    @stateful.rule(vm=vms, back=strategies.integers(1, 5))
    def obey_stale_order(self, vm, back):
        """Let an engine that ignores fencing take an old holder's order."""
        record = self.fleet.records[-min(back, len(self.fleet.records))]
        target = self.fleet.vms[vm]
        for replica in record.replicas:
            if vm in replica.members and target.alive:
                target.running = 0
                order = placement.Load(vm, replica, record.fence)
                self.fleet.obey(target, order)

    @stateful.rule(down=strategies.booleans())
    def reach_store(self, down):
        """Let the store go down or come back."""
        self.fleet.store_down = down

    @stateful.rule(back=strategies.integers(1, 5))
    def substitute_late(self, back):
        """Let a former holder act on an old record."""
        records = self.fleet.records
        self.fleet.substitute(records[-min(back, len(records))])

    @stateful.rule(ticks=strategies.integers(1, 12))
    def step(self, ticks):
        """Let time pass."""
        for _ in range(ticks):
            self._step()

    def _step(self) -> None:
        fleet = self.fleet
        before = fleet.record
        running = self._running_healthy()
        planned = fleet.step()
        situation = fleet.situation()
        check_record(planned)
        assert planned.next_epoch >= before.next_epoch
        for leader, count in running.items():
            assert fleet.vms[leader].running == count, (leader, planned)
        self._check_epochs()
        self._check_causes(before, planned, situation)
        self._check_minimum(before, planned, situation)
        self._check_settles(dataclasses.replace(situation, record=planned))

    def _running_healthy(self) -> dict[str, int]:
        healthy = (model.VmState.READY, model.VmState.DRAINING)
        found = {}
        for replica in self.fleet.record.replicas:
            members = [self.fleet.vms[vm] for vm in replica.members]
            if all(
                vm.alive
                and not vm.paused
                and vm.replica_epoch == replica.replica_epoch
                and vm.state in healthy
                for vm in members
            ):
                found[replica.leader] = members[0].running
        return found

    def _check_epochs(self) -> None:
        for replica in self.fleet.record.replicas:
            for variant in replica.variants:
                content = (variant.replica_id, variant.members)
                known = self.epochs.setdefault(variant.epoch, content)
                assert known == content, (variant, known)

    def _check_minimum(self, before, planned, situation) -> None:
        after = {r.replica_id: r for r in planned.replicas}
        for old in before.replicas:
            new = after.get(old.replica_id)
            if new is None or new.state is old.state:
                continue
            if any(situation.is_leaving(vm) for vm in old.members):
                continue
            if any(self._is_hurt(vm, old, situation) for vm in old.members):
                continue
            if not placement.is_serving(situation, old):
                continue
            entry = situation.configuration.profile_of(old.service)
            profile = entry.profile
            serving = sum(
                placement.is_serving(situation, r)
                for r in planned.replicas
                if r.service == old.service
            )
            keep = min(
                profile.min_replicas_per_domain, profile.replicas_per_domain
            )
            assert serving >= keep, (old, planned)

    def _check_causes(self, before, planned, situation) -> None:
        after = {r.replica_id: r for r in planned.replicas}
        for old in before.replicas:
            new = after.get(old.replica_id)
            if new is None or new.epoch != old.epoch:
                assert self._may_change(old, situation), (old, new)
            elif new.state is not old.state:
                assert old.state is model.ReplicaState.ACTIVE

    def _may_change(self, old, situation) -> bool:
        if any(self._is_hurt(vm, old, situation) for vm in old.members):
            return True
        leader = self.fleet.vms[old.leader]
        draining = old.state is model.ReplicaState.DRAINING
        return draining and leader.running == 0

    def _is_hurt(self, vm, replica, situation) -> bool:
        report = situation.reports.get(vm)
        return (
            not situation.is_alive(vm)
            or situation.is_held_down(vm)
            or not situation.is_at(vm, replica)
            or report.state is model.VmState.FAILED
            or report.state is model.VmState.LOADING
        )

    def _check_settles(self, situation) -> None:
        record = situation.record
        for _ in range(6):
            following = placement.plan(
                dataclasses.replace(situation, record=record)
            )
            if following == record:
                return
            record = following
        raise AssertionError(f"the plan does not settle: {record}")


def run(examples: int, steps: int) -> None:
    """Run the state machine over bounded, derandomised examples.

    :param examples: how many sequences of events.
    :param steps: events in each.
    """
    settings = fuzz.widened(
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
