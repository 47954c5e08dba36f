"""Seeded runs of non-idempotent requests under mixed faults."""

import dataclasses
import random

import trio

from wasabilanding.experiments import cluster
from wasabilanding.experiments.histories import submissions
from wasabilanding import model
from wasabilanding import standins

SERVICE = "escriba"
PROFILE = model.ReplicaProfile(
    name="sheets",
    model="tarifa",
    version="v1",
    vms_per_replica=2,
    replicas_per_domain=2,
)
REQUESTS = 24
ATTEMPTS_PER_REQUEST = 4
RUN_S = 20.0
MAX_ANSWER_PARTS = 200
MAX_FAULT_GAP_S = 1.5
RESTART_S = 0.5


@dataclasses.dataclass(frozen=True)
class MixedFaultRun:
    """Records of a run.

    :param history: attempts of the callers and their results.
    :param starts: number of starts of each prompt in the logs of all engines.
    :param faults: kinds of the injected faults, in order.
    """

    history: list[submissions.Submission]
    starts: dict[str, int]
    faults: list[str]


class _FaultInjector:
    """Injects random faults until it is cancelled."""

    def __init__(self, system: cluster.Cluster, rng: random.Random) -> None:
        self._system = system
        self._rng = rng
        self.injected: list[str] = []

    async def run(self) -> None:
        """Inject one fault after another."""
        kinds = (
            self._replace_entry_vm,
            self._take_platform_down,
            self._slow_platform,
            self._lose_answers,
            self._silence_answers,
            self._cut_domain,
            self._lose_vm,
            self._pause_entry_vm,
        )
        while True:
            kind = self._rng.choice(kinds)
            self.injected.append(kind.__name__.strip("_"))
            await kind()
            await trio.sleep(self._rng.uniform(0.0, MAX_FAULT_GAP_S))

    async def _replace_entry_vm(self) -> None:
        name = self._rng.choice(sorted(self._system.nodes))
        domain = self._system.nodes[name].context.failure_domain
        self._system.kill_node(name)
        await trio.sleep(RESTART_S)
        await self._system.start_node(name, domain)

    async def _take_platform_down(self) -> None:
        self._system.platform.faults.down = True
        await trio.sleep(self._rng.uniform(0.1, 2.0))
        self._system.platform.faults.down = False

    async def _slow_platform(self) -> None:
        self._system.platform.faults.delay_s = self._rng.uniform(0.1, 1.2)
        await trio.sleep(1.0)
        self._system.platform.faults.delay_s = 0.0

    async def _lose_answers(self) -> None:
        self._system.platform.faults.lose_answers = self._rng.randint(1, 4)

    async def _silence_answers(self) -> None:
        count = self._rng.randint(1, 6)
        self._system.network.lose_answers(cluster.PLATFORM_ADDRESS, count)

    async def _cut_domain(self) -> None:
        domain = self._rng.choice(self._system.plan.failure_domains)
        other = self._rng.choice(
            (cluster.PLATFORM_LOCATION, *self._system.plan.failure_domains)
        )
        self._system.network.cut(domain, other)
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        self._system.network.heal(domain, other)

    async def _pause_entry_vm(self) -> None:
        name = self._rng.choice(sorted(self._system.nodes))
        self._system.pause_node(name)
        try:
            await trio.sleep(self._rng.uniform(0.5, 6.0))
        finally:
            # The shielded calls of a paused node would never end.
            self._system.resume_node(name)

    async def _lose_vm(self) -> None:
        vm = self._rng.choice(self._system.plan.vms).vm
        self._system.kill_vm(vm)
        await trio.sleep(RESTART_S)
        self._system.restart_vm(vm)


async def _submit_attempts(
    system: cluster.Cluster,
    rng: random.Random,
    index: int,
    history: list[submissions.Submission],
) -> None:
    """Send attempts with one key, some before the last one is answered."""
    length = rng.randint(1, MAX_ANSWER_PARTS)
    nodes = [
        f"{domain}-node-{node}"
        for domain in system.plan.failure_domains
        for node in range(system.plan.nodes_per_domain)
    ]

    async def submit_once(node: str) -> None:
        history.append(
            await submissions.submit(
                system, node, f"sheet {index}", f"key-{index}", length=length
            )
        )

    await trio.sleep(rng.uniform(0.0, RUN_S))
    async with trio.open_nursery() as nursery:
        for _ in range(ATTEMPTS_PER_REQUEST):
            nursery.start_soon(submit_once, rng.choice(nodes))
            await trio.sleep(rng.choice((0.0, 0.01, 0.5, 2.0)))


async def run_mixed_faults(seed: int) -> MixedFaultRun:
    """Run requests under faults; to be called by :func:`cluster.run_seeded`.

    :param seed: seed of the requests and the faults.
    """
    plan = cluster.Plan(
        nodes_per_domain=2,
        engine=standins.EngineSettings(checks_fence=seed % 2 == 0),
        seed=seed,
    )
    rng = random.Random(seed)
    history: list[submissions.Submission] = []
    async with cluster.open_cluster(plan) as system:
        await system.configure(SERVICE, PROFILE)
        for domain in plan.failure_domains:
            await system.wait_serving(domain, PROFILE.replicas_per_domain)
        faults = _FaultInjector(system, random.Random(rng.random()))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(faults.run)
            async with trio.open_nursery() as requests:
                for index in range(REQUESTS):
                    request_rng = random.Random(rng.random())
                    requests.start_soon(
                        _submit_attempts, system, request_rng, index, history
                    )
            nursery.cancel_scope.cancel()
        return MixedFaultRun(
            history, dict(submissions.starts(system)), faults.injected
        )
