"""Seeded runs of one failure domain under faults, with both costs.

Explanation
===========

A run assembles replicas and injects faults that are drawn from its seed:
crashes, pauses and restarts of VMs, the loss of a fabric domain, paused and
replaced nodes, store outages and lost answers. It repairs all faults at the
end and waits until the replicas serve. The history is checked throughout.
"""

import collections
import collections.abc
import dataclasses
import random

import trio

from wasabilanding.experiments import cluster as cluster_module
from wasabilanding.experiments.faults import record_history
from wasabilanding import model
from wasabilanding import placement
from wasabilanding import standins

DOMAIN = "prov"
SERVICE = "escriba"
MEASURE_INTERVAL_S = 0.1
REQUEST_INTERVAL_S = 0.25
RECOVERY_TIMEOUT_S = 180.0
SETTLE_S = 5.0
PROFILE = model.ReplicaProfile(
    name="draft",
    model="tarifa",
    version="v1",
    vms_per_replica=2,
    replicas_per_domain=3,
)


@dataclasses.dataclass(frozen=True)
class RunPlan:
    """Parameters of one run.

    :param seed: seed of the faults and of the schedule.
    :param fault_duration_s: time in which faults are injected, in seconds.
    :param mean_fault_interval_s: mean time between faults, in seconds.
    :param kinds: kinds of faults, drawn with equal probability.
    :param checks_fence: whether engines reject stale fencing tokens.
    :param profile: profile of the service.
    :param vms_per_fabric: number of VMs in each of two fabric domains.
    :param spare_policy: policy for unassigned VMs.
    :param weight_fetch_s: duration of one fetch of weights, in seconds.
    """

    seed: int
    fault_duration_s: float = 40.0
    mean_fault_interval_s: float = 4.0
    kinds: tuple[str, ...] = ()
    checks_fence: bool = True
    profile: model.ReplicaProfile = PROFILE
    vms_per_fabric: int = 4
    spare_policy: placement.SparePolicy = placement.assign_spares_and_extras
    weight_fetch_s: float = 0.5


@dataclasses.dataclass(frozen=True)
class RunResult:
    """Result of one run.

    :param violations: violations of the invariants.
    :param downtime_s: group downtime during the faults, in replica-seconds.
    :param stranded_s: stranded accelerators, in accelerator-seconds.
    :param records: number of revisions of the record.
    :param recovery_s: time from the end of the last fault until all replicas
        serve, in seconds.
    :param outcomes: number of requests by outcome.
    """

    violations: tuple[record_history.Violation, ...]
    downtime_s: float
    stranded_s: float
    records: int
    recovery_s: float
    outcomes: dict[str, int]


class _Run:
    """State of one run."""

    def __init__(self, plan: RunPlan, system: cluster_module.Cluster) -> None:
        self.plan = plan
        self.system = system
        self.rng = random.Random(plan.seed)
        self.history = record_history.RecordHistory(system, DOMAIN)
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.downtime_s = 0.0
        self.stranded_s = 0.0

    def _active_nodes(self) -> list[str]:
        nodes = self.system.nodes
        return [name for name in sorted(nodes) if not self._is_paused(name)]

    def _is_paused(self, name: str) -> bool:
        return self.system.is_paused(name)

    def _engines(self) -> list[str]:
        return sorted(self.system.fleets[DOMAIN].engines)

    def _holder(self) -> str:
        holders = [
            name
            for name in self._active_nodes()
            if self.system.nodes[name].node.controller.is_holder
        ]
        return holders[0] if holders else self.rng.choice(self._active_nodes())

    async def kill_vm(self) -> None:
        """Kill a VM and restart it without its state."""
        vm = self.rng.choice(self._engines())
        if not self.system.engine(vm).alive:
            return
        self.system.kill_vm(vm)
        await trio.sleep(self.rng.uniform(1, 12))
        self.system.restart_vm(vm)

    async def pause_vm(self) -> None:
        """Pause a VM and resume it with its state."""
        engine = self.system.engine(self.rng.choice(self._engines()))
        paused = engine.paused = trio.Event()
        await trio.sleep(self.rng.uniform(1, 8))
        paused.set()

    async def lose_fabric_domain(self) -> None:
        """Kill all VMs of a fabric domain and restart them without state."""
        fabric = f"{DOMAIN}-{self.rng.choice((0, 1))}-"
        vms = [vm for vm in self._engines() if vm.startswith(fabric)]
        alive = [vm for vm in vms if self.system.engine(vm).alive]
        for vm in alive:
            self.system.kill_vm(vm)
        await trio.sleep(self.rng.uniform(4, 12))
        for vm in alive:
            self.system.restart_vm(vm)

    async def pause_holder(self) -> None:
        """Pause the holder of control, often until its lease expires."""
        if len(self._active_nodes()) < 2:
            return
        name = self._holder()
        running = self.system.nodes[name]
        running.gate.close()
        await trio.sleep(self.rng.uniform(0.5, 9))
        running.gate.open()

    async def pause_at_order(self) -> None:
        """Pause the holder just before it sends an order."""
        await self._pause_before("/v1/orders/")

    async def pause_at_write(self) -> None:
        """Pause the holder just before it writes the record."""
        await self._pause_before("/v1/kv/record/")

    async def _pause_before(self, path: str) -> None:
        if len(self._active_nodes()) < 2:
            return
        running = self.system.nodes[self._holder()]
        running.gate.close_before_call(path)
        engine = self.system.engine(self.rng.choice(self._engines()))
        if engine.alive:
            self.system.kill_vm(engine.vm)
        await trio.sleep(self.rng.uniform(6, 12))
        running.gate.open()
        if not engine.alive:
            self.system.restart_vm(engine.vm)

    async def replace_node(self) -> None:
        """Kill the holder of control and start a new node in its place."""
        if len(self._active_nodes()) < 2:
            return
        name = self._holder()
        self.system.kill_node(name)
        await trio.sleep(self.rng.uniform(0.5, 5))
        await self.system.start_node(name, DOMAIN)
        self.system.nodes[
            name
        ].node.controller.spare_policy = self.plan.spare_policy

    async def lose_answers(self) -> None:
        """Lose the answers to the next one or two writes."""
        self.system.platform.faults.lose_answers += self.rng.choice((1, 2))

    async def stop_store(self) -> None:
        """Take the store down for some seconds."""
        self.system.platform.faults.down = True
        await trio.sleep(self.rng.uniform(1, 8))
        self.system.platform.faults.down = False

    async def slow_store(self) -> None:
        """Delay the store's answers for some seconds."""
        self.system.platform.faults.delay_s = self.rng.uniform(0.1, 1.2)
        await trio.sleep(self.rng.uniform(1, 6))
        self.system.platform.faults.delay_s = 0.0

    async def change_version(self) -> None:
        """Write another version of the profile."""
        version = f"v{self.rng.randint(1, 3)}"
        known = self.system.nodes[self._active_nodes()[0]].context.known
        entry = known.configuration.profile_of(SERVICE)
        if self.system.platform.faults.down or entry is None:
            return
        changed = dataclasses.replace(self.plan.profile, version=version)
        try:
            await self.system.configure(
                SERVICE, changed, self._active_nodes()[0]
            )
        except Exception as error:  # noqa: H201
            self.outcomes[f"configure {type(error).__name__}"] += 1

    async def inject(self) -> None:
        """Inject faults, then wait until each has ended."""
        kinds = self.plan.kinds or ALL_KINDS
        until = trio.current_time() + self.plan.fault_duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                kind = self.rng.choice(kinds)
                nursery.start_soon(getattr(self, kind))
                mean_s = self.plan.mean_fault_interval_s
                await trio.sleep(self.rng.uniform(0.3, 1.7) * mean_s)

    async def measure(self) -> None:
        """Accumulate both costs until cancelled."""
        while True:
            await trio.sleep(MEASURE_INTERVAL_S)
            node = self.system.nodes[self._active_nodes()[0]].node
            summary = node.status.summary(DOMAIN)
            self.downtime_s += summary.down * MEASURE_INTERVAL_S
            self.stranded_s += summary.stranded * MEASURE_INTERVAL_S

    async def send_requests(self) -> None:
        """Send requests through all nodes until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(
                    self._send, self.rng.choice(self._active_nodes())
                )
                await trio.sleep(REQUEST_INTERVAL_S)

    async def _send(self, name: str) -> None:
        address = f"{name}:{cluster_module.CALLERS_PORT}"
        body = {
            "model": SERVICE,
            "messages": [{"role": "user", "content": f"{self.rng.random()}"}],
            "max_tokens": 40,
        }
        async with self.system.client(DOMAIN) as http:
            try:
                response = await http.post(
                    f"http://{address}/v1/chat/completions",
                    json=body,
                    timeout=20.0,
                )
                outcome = response.headers.get("X-Outcome", "completed")
            except Exception as error:  # noqa: H201
                outcome = type(error).__name__
        self.outcomes[outcome] += 1


ALL_KINDS = (
    "kill_vm",
    "kill_vm",
    "pause_vm",
    "pause_holder",
    "pause_at_order",
    "pause_at_write",
    "replace_node",
    "lose_answers",
    "stop_store",
    "slow_store",
    "lose_fabric_domain",
    "change_version",
)


async def run(plan: RunPlan) -> RunResult:
    """Run one seeded fault run.

    :param plan: parameters of the run.
    """
    engine = standins.EngineSettings(checks_fence=plan.checks_fence)
    cluster_plan = cluster_module.Plan(
        failure_domains=(DOMAIN,),
        nodes_per_domain=3,
        fabrics_per_domain=2,
        vms_per_fabric=plan.vms_per_fabric,
        engine=engine,
        seed=plan.seed,
    )
    async with cluster_module.open_cluster(cluster_plan) as system:
        system.platform.weight_fetch_s = plan.weight_fetch_s
        for running in system.nodes.values():
            running.node.controller.spare_policy = plan.spare_policy
        await system.configure(SERVICE, plan.profile)
        replica_count = plan.profile.replicas_per_domain
        await system.wait_serving(DOMAIN, replica_count, RECOVERY_TIMEOUT_S)
        await trio.sleep(SETTLE_S + 2 * plan.weight_fetch_s)
        return await _run_under_faults(_Run(plan, system), replica_count)


async def _run_under_faults(state: _Run, replica_count: int) -> RunResult:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(state.history.watch)
        nursery.start_soon(state.send_requests)
        async with trio.open_nursery() as measured:
            measured.start_soon(state.measure)
            await state.inject()
            measured.cancel_scope.cancel()
        recovery_s = await state.system.wait_serving(
            DOMAIN, replica_count, RECOVERY_TIMEOUT_S
        )
        nursery.cancel_scope.cancel()
    return RunResult(
        violations=tuple(state.history.violations),
        downtime_s=round(state.downtime_s, 1),
        stranded_s=round(state.stranded_s, 1),
        records=len(state.history.records),
        recovery_s=round(recovery_s, 2),
        outcomes=dict(sorted(state.outcomes.items())),
    )


def run_seeded(plan: RunPlan) -> RunResult:
    """Run one seeded fault run on the mock clock.

    :param plan: parameters of the run.
    """
    return cluster_module.run_seeded(run, plan, seed=plan.seed)
