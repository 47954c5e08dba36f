"""VMs, a holder of control and a record, driven step by step in tests."""

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
    """A VM as it is, whether it reports or not."""

    vm: model.Vm
    alive: bool = True
    paused: bool = False
    leaving: bool = False
    state: model.VmState = model.VmState.IDLE
    replica_epoch: model.ReplicaEpoch = model.NO_REPLICA_EPOCH
    weights: tuple[str, ...] = ()
    wanted: tuple[str, ...] = ()
    fetches: int = 0
    ready_at: float = 0.0
    running: int = 0
    broken: bool = False
    knows_drain: bool = True
    lag_ticks: int = 0
    loads: list[int] = dataclasses.field(default_factory=list)

    def report(self, now: float) -> model.VmReport:
        """Return its report; its load is as old as its lag says."""
        self.loads.append(self.running)
        return model.VmReport(
            self.vm.vm,
            self.state,
            *self.replica_epoch,
            running=self.loads[-1 - self.lag_ticks],
            leaving=self.leaving,
            observed_at=now,
        )


class Fleet:
    """A failure domain with a holder of control.

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
        self.write_fate = "taken"
        self.bad_versions: set[str] = set()
        self.cut = 0
        self.late_until = 0.0
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

    def situation(self) -> placement.Situation:
        """Return what the holder knows."""
        return placement.Situation(
            record=self.record,
            configuration=self.configuration,
            vms=tuple(v.vm for v in self.vms.values()),
            reports=self.reports,
            now=self.now,
            fence=self.fence,
            since=self.history.settled_from,
            history=self.history,
        )

    def step(self) -> model.DomainRecord:
        """Let one tick pass; return what the holder planned."""
        self.now += TICK_S
        self._finish_loads()
        if self.late_until:
            self._finish_late()
        for name, vm in self.vms.items():
            if vm.alive and not vm.paused:
                self.reports[name] = vm.report(self.now)
        if self.late_until:
            self._send_late()
        self.history = placement.advance(
            self.history, self.record, self.reports, self.now
        )
        planned = placement.plan(self.situation())
        if self.store_down:
            self.substitute(self.record)
        elif self._write(planned):
            self._carry_out()
        self._take_back()
        return planned

    def _finish_late(self) -> None:
        for vm in self.vms.values():
            vm.running = 0

    def _send_late(self) -> None:
        # A node that knows an older record sends a short request to each
        # draining replica, just after its leader has reported.
        for replica in self.record.replicas:
            leader = self.vms[replica.leader]
            if replica.state is model.ReplicaState.ACTIVE:
                continue
            refuses = leader.state is not model.VmState.READY
            leader.running = int(self.now < self.late_until and not refuses)

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.step()

    def take_over(self) -> None:
        """Let another node become the holder."""
        self.fence += 1
        self.history = placement.History()

    def _write(self, planned: model.DomainRecord) -> bool:
        fate, self.write_fate = self.write_fate, "taken"
        if planned == self.record:
            return True
        if fate != "refused":
            self.record = dataclasses.replace(
                planned, revision=self.record.revision + 1
            )
            self.records.append(self.record)
        return fate == "taken"

    def substitute(self, record: model.DomainRecord) -> None:
        """Carry out what a record agreed on for when nothing is written."""
        situation = dataclasses.replace(self.situation(), record=record)
        for order in placement.substitution_orders(situation):
            vm = self.vms[order.vm]
            if vm.alive and not vm.paused:
                self.obey(vm, order)

    def _take_back(self) -> None:
        if self.store_down:
            return
        for reversal in placement.reversals(self.situation()):
            document = reversal.apply(self.configuration)
            self.configuration = dataclasses.replace(
                document, revision=document.revision + 1
            )

    def _carry_out(self) -> None:
        fresh = {
            name: report
            for name, report in self.reports.items()
            if self.now - report.observed_at < 2.5
        }
        lack = placement.service_lack(
            self.configuration, self.record, fresh, self.now
        )
        self.orders = placement.orders_for(
            self.record, fresh, self.history.vms, lack, self.max_loading
        )
        for order in self.orders:
            vm = self.vms[order.vm]
            if vm.alive and not vm.paused:
                self.obey(vm, order)

    def obey(self, vm: FakeVm, order: placement.Order) -> None:
        """Let a VM take an order."""
        if isinstance(order, placement.Load):
            if vm.replica_epoch != order.replica.replica_epoch:
                self._leave(vm)
                vm.replica_epoch = order.replica.replica_epoch
                self._fetch(vm, order.replica.weights)
        elif isinstance(order, placement.Preload):
            wanted = (order.model, order.version, *order.adapters)
            self._fetch(vm, wanted)
        elif (order.replica_id, order.epoch) != vm.replica_epoch:
            return
        elif isinstance(order, placement.Drain):
            if vm.knows_drain:
                vm.state = model.VmState.DRAINING
        else:
            self._leave(vm)

    def _leave(self, vm: FakeVm) -> None:
        self.cut += vm.running
        vm.running = 0
        vm.replica_epoch = model.NO_REPLICA_EPOCH
        held = bool(vm.weights)
        vm.state = model.VmState.PRELOADED if held else model.VmState.IDLE

    def _fetch(self, vm: FakeVm, wanted: tuple[str, ...]) -> None:
        if vm.weights == wanted:
            vm.wanted = ()
            placed = vm.replica_epoch != model.NO_REPLICA_EPOCH
            vm.state = (
                model.VmState.READY if placed else model.VmState.PRELOADED
            )
        elif vm.wanted != wanted or vm.state is not model.VmState.LOADING:
            vm.wanted = wanted
            vm.weights = ()
            vm.fetches += 1
            vm.state = model.VmState.LOADING
            vm.ready_at = self.now + LOAD_S

    def _finish_loads(self) -> None:
        for vm in self.vms.values():
            loading = vm.state is model.VmState.LOADING
            if not loading or self.now < vm.ready_at or not vm.alive:
                continue
            if vm.broken or vm.wanted[1] in self.bad_versions:
                vm.state = model.VmState.FAILED
                vm.wanted = ()
                continue
            self._got_weights(vm)

    def _got_weights(self, vm: FakeVm) -> None:
        vm.weights = vm.wanted
        vm.wanted = ()
        placed = vm.replica_epoch != model.NO_REPLICA_EPOCH
        vm.state = model.VmState.READY if placed else model.VmState.PRELOADED

    def kill(self, name: str) -> None:
        """Lose a VM with everything on it."""
        vm = self.vms[name]
        vm.alive = False
        vm.running = 0

    def restart(self, name: str) -> None:
        """Let a VM come back empty."""
        self.vms[name] = FakeVm(self.vms[name].vm)

    def loading(self) -> int:
        """Return how many VMs fetch weights."""
        return sum(
            vm.state is model.VmState.LOADING for vm in self.vms.values()
        )

    def serving(self, service: str = SERVICE) -> int:
        """Return how many replicas of a service are whole."""
        situation = self.situation()
        return sum(
            r.service == service and placement.is_serving(situation, r)
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
