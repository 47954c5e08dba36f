"""Simulator of a failure domain for tests of the planner."""

import dataclasses

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding import placement

TICK_S = 0.5
LOAD_S = 2.0
SERVICE = "escriba"
PROFILE = model.ReplicaProfile(
    name="draft",
    model="tarifa",
    version="v1",
    vms_per_replica=2,
    replicas_per_domain=1,
    ready_within_s=20.0,
)


@dataclasses.dataclass
class FakeVm:
    """State of a simulated VM, which its reports may lag behind."""

    vm: model.Vm
    alive: bool = True
    paused: bool = False
    leaving: bool = False
    state: model.VmState = model.VmState.IDLE
    replica_key: model.ReplicaKey = model.NO_REPLICA_KEY
    weights: tuple[str, ...] = ()
    fetching: tuple[str, ...] = ()
    fetches: int = 0
    ready_at: float = 0.0
    running: int = 0
    broken: bool = False
    accepts_drain: bool = True
    lag_ticks: int = 0
    loads: list[int] = dataclasses.field(default_factory=list)

    def report(self, now: float) -> model.VmReport:
        """Return its report, with the load of ``lag_ticks`` ticks ago."""
        self.loads.append(self.running)
        return model.VmReport(
            self.vm.vm,
            self.state,
            *self.replica_key,
            running=self.loads[-1 - self.lag_ticks],
            leaving=self.leaving,
            observed_at=now,
        )


class DomainSimulator:
    """Failure domain with a controller and its store.

    :param sizes: VMs of each fabric domain, named a, b, and so on.
    """

    def __init__(self, sizes: list[int]) -> None:
        self.now = 100.0
        self.fence = 1
        self.vms: dict[str, FakeVm] = {}
        for fabric, size in zip("abcdef", sizes):
            for index in range(size):
                name = f"{fabric}{index}"
                vm = model.Vm(name, f"http://{name}", "prov", fabric)
                self.vms[name] = FakeVm(vm)
        self.record = model.DomainRecord("prov")
        self.records = [self.record]
        self.configuration = configuration.Configuration()
        self.history = placement.History()
        self.reports: dict[str, model.VmReport] = {}
        self.write_outcome = "taken"
        self.bad_versions: set[str] = set()
        self.aborted = 0
        self.stale_sends_until = 0.0
        self.store_down = False
        self.max_loading = 16
        self.orders: tuple[placement.Order, ...] = ()

    def configure(self, service: str, profile: model.ReplicaProfile) -> None:
        """Write a profile and choose it for a service."""
        history = self.configuration.profiles.get(profile.name)
        revision = history.current.revision if history else 0
        document = configuration.put_profile(
            self.configuration, profile, revision
        )
        document = configuration.choose_profile(
            document, service, profile.name
        )
        self.configuration = dataclasses.replace(
            document, revision=document.revision + 1
        )

    def snapshot(self) -> placement.DomainSnapshot:
        """Return the controller's snapshot of the failure domain."""
        return placement.DomainSnapshot(
            record=self.record,
            configuration=self.configuration,
            vms=tuple(v.vm for v in self.vms.values()),
            reports=self.reports,
            now=self.now,
            fence=self.fence,
            observing_since=self.history.settled_from,
            history=self.history,
        )

    def step(self) -> model.DomainRecord:
        """Let one tick pass and return the planned record."""
        self.now += TICK_S
        self._finish_loads()
        if self.stale_sends_until:
            self._finish_stale_requests()
        for name, vm in self.vms.items():
            if vm.alive and not vm.paused:
                self.reports[name] = vm.report(self.now)
        if self.stale_sends_until:
            self._send_stale_requests()
        self.history = placement.update_history(
            self.history, self.record, self.reports, self.now
        )
        planned = placement.plan(self.snapshot())
        if self.store_down:
            self.substitute(self.record)
        elif self._write(planned):
            self._carry_out()
        self._roll_back()
        return planned

    def _finish_stale_requests(self) -> None:
        for vm in self.vms.values():
            vm.running = 0

    def _send_stale_requests(self) -> None:
        # A node with an older record sends a short request to each draining
        # replica just after its leader has reported.
        for replica in self.record.replicas:
            leader = self.vms[replica.leader]
            if replica.state is model.ReplicaState.ACTIVE:
                continue
            refuses = leader.state is not model.VmState.READY
            leader.running = int(
                self.now < self.stale_sends_until and not refuses
            )

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.step()

    def take_over(self) -> None:
        """Let another node become the controller."""
        self.fence += 1
        self.history = placement.History()

    def _write(self, planned: model.DomainRecord) -> bool:
        outcome, self.write_outcome = self.write_outcome, "taken"
        if planned == self.record:
            return True
        if outcome != "refused":
            self.record = dataclasses.replace(
                planned, revision=self.record.revision + 1
            )
            self.records.append(self.record)
        return outcome == "taken"

    def substitute(self, record: model.DomainRecord) -> None:
        """Apply the substitution orders of a record during a store outage."""
        snapshot = dataclasses.replace(self.snapshot(), record=record)
        for order in placement.substitution_orders(snapshot):
            vm = self.vms[order.vm]
            if vm.alive and not vm.paused:
                self.apply_order(vm, order)

    def _roll_back(self) -> None:
        if self.store_down:
            return
        for rollback in placement.find_rollbacks(self.snapshot()):
            document = rollback.apply(self.configuration)
            self.configuration = dataclasses.replace(
                document, revision=document.revision + 1
            )

    def _carry_out(self) -> None:
        fresh = {
            name: report
            for name, report in self.reports.items()
            if self.now - report.observed_at < 2.5
        }
        shortfall = placement.service_shortfall(
            self.configuration, self.record, fresh, self.now
        )
        self.orders = placement.orders_for(
            self.record, fresh, self.history.vms, shortfall, self.max_loading
        )
        for order in self.orders:
            vm = self.vms[order.vm]
            if vm.alive and not vm.paused:
                self.apply_order(vm, order)

    def apply_order(self, vm: FakeVm, order: placement.Order) -> None:
        """Apply an order to a VM."""
        if isinstance(order, placement.Load):
            if vm.replica_key != order.replica.replica_key:
                self._leave(vm)
                vm.replica_key = order.replica.replica_key
                self._fetch(vm, order.replica.weights)
        elif isinstance(order, placement.Preload):
            weights = (order.model, order.version, *order.adapters)
            self._fetch(vm, weights)
        elif (order.replica_id, order.epoch) != vm.replica_key:
            return
        elif isinstance(order, placement.Drain):
            if vm.accepts_drain:
                vm.state = model.VmState.DRAINING
        else:
            self._leave(vm)

    def _leave(self, vm: FakeVm) -> None:
        self.aborted += vm.running
        vm.running = 0
        vm.replica_key = model.NO_REPLICA_KEY
        held = bool(vm.weights)
        vm.state = model.VmState.PRELOADED if held else model.VmState.IDLE

    def _fetch(self, vm: FakeVm, weights: tuple[str, ...]) -> None:
        if vm.weights == weights:
            vm.fetching = ()
            placed = vm.replica_key != model.NO_REPLICA_KEY
            vm.state = (
                model.VmState.READY if placed else model.VmState.PRELOADED
            )
        elif vm.fetching != weights or vm.state is not model.VmState.LOADING:
            vm.fetching = weights
            vm.weights = ()
            vm.fetches += 1
            vm.state = model.VmState.LOADING
            vm.ready_at = self.now + LOAD_S

    def _finish_loads(self) -> None:
        for vm in self.vms.values():
            loading = vm.state is model.VmState.LOADING
            if not loading or self.now < vm.ready_at or not vm.alive:
                continue
            if vm.broken or vm.fetching[1] in self.bad_versions:
                vm.state = model.VmState.FAILED
                vm.fetching = ()
                continue
            self._complete_load(vm)

    def _complete_load(self, vm: FakeVm) -> None:
        vm.weights = vm.fetching
        vm.fetching = ()
        placed = vm.replica_key != model.NO_REPLICA_KEY
        vm.state = model.VmState.READY if placed else model.VmState.PRELOADED

    def kill(self, name: str) -> None:
        """Kill a VM with its requests."""
        vm = self.vms[name]
        vm.alive = False
        vm.running = 0

    def restart(self, name: str) -> None:
        """Restart a VM without state."""
        self.vms[name] = FakeVm(self.vms[name].vm)

    def loading(self) -> int:
        """Return the number of VMs that fetch weights."""
        return sum(
            vm.state is model.VmState.LOADING for vm in self.vms.values()
        )

    def serving(self, service: str = SERVICE) -> int:
        """Return the number of replicas of a service that can serve."""
        snapshot = self.snapshot()
        return sum(
            r.service == service and placement.is_serving(snapshot, r)
            for r in self.record.replicas
        )

    def shape(self) -> str:
        """Return the record as text: members, (spares), ! for draining."""
        texts = []
        for replica in self.record.replicas:
            text = "+".join(replica.members)
            if replica.spares:
                text += "(" + ",".join(replica.spares) + ")"
            if replica.state is model.ReplicaState.DRAINING:
                text += "!"
            texts.append(text)
        return " ".join(sorted(texts)) or "none"
