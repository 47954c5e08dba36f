"""Runs of concurrent operators under faults, recorded for the checker."""

import collections.abc
import dataclasses
import itertools
import random

import httpx
import trio

from wasabilanding.experiments import cluster
from wasabilanding.experiments.histories import configuration

SAMPLE_INTERVAL_S = 0.05
SETTLE_S = 8.0
OPERATORS = 3
CHANGE_INTERVAL_S = 1.5
CHANGE_TIMEOUT_S = 20.0
HTTP_OK = 200


@dataclasses.dataclass(frozen=True)
class RunPlan:
    """Parameters of one run.

    :param faults: names of the faults to draw from.
    :param seed: seed of all random choices.
    :param duration_s: time in which faults are injected, in seconds.
    """

    faults: tuple[str, ...]
    seed: int
    duration_s: float = 30.0


class ConfigurationRun:
    """State of one run.

    :param system: the cluster.
    :param plan: parameters of the run.
    """

    def __init__(self, system: cluster.Cluster, plan: RunPlan) -> None:
        self._system = system
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._changes = 0
        self.samples: list[configuration.Sample] = []
        self.accepted: list[configuration.AcceptedChange] = []

    @property
    def history(self) -> configuration.History:
        """Samples and accepted changes so far."""
        return configuration.History(tuple(self.samples), tuple(self.accepted))

    async def run(self) -> None:
        """Run operators and faults, repair the system and let it settle."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sample)
            await self._wait_ready()
            with trio.move_on_after(self._plan.duration_s):
                async with trio.open_nursery() as active:
                    for _ in range(OPERATORS):
                        active.start_soon(self._run_operator)
                    active.start_soon(self._inject_faults)
            await self._repair()
            await trio.sleep(SETTLE_S)
            nursery.cancel_scope.cancel()

    async def _wait_ready(self) -> None:
        while await self._change("first") is None:
            await trio.sleep(SAMPLE_INTERVAL_S)
        await trio.sleep(SETTLE_S / 2)

    def _is_reachable(self, domain: str) -> bool:
        network = self._system.network
        platform = cluster.PLATFORM_LOCATION
        if not network.is_cut(domain, platform):
            return True
        return any(
            not network.is_cut(domain, other)
            and not network.is_cut(other, platform)
            for other in self._system.plan.failure_domains
            if other != domain
        )

    async def _sample(self) -> None:
        while True:
            for name, running in sorted(self._system.nodes.items()):
                context = running.context
                document = context.known.configuration
                self.samples.append(
                    configuration.Sample(
                        time=trio.current_time(),
                        node=name,
                        incarnation=context.members.own.incarnation,
                        revision=document.revision,
                        changes=frozenset(document.customers),
                        ready=running.node.service.ready,
                        reachable=self._is_reachable(context.failure_domain),
                    )
                )
            await trio.sleep(SAMPLE_INTERVAL_S)

    async def _run_operator(self) -> None:
        while True:
            await trio.sleep(self._rng.uniform(0.0, CHANGE_INTERVAL_S))
            self._changes += 1
            await self._change(f"change-{self._changes}")

    async def _change(self, change_id: str) -> int | None:
        name = self._rng.choice(sorted(self._system.nodes))
        running = self._system.nodes[name]
        address = running.context.settings.administration.address
        async with self._system.client(running.context.failure_domain) as http:
            try:
                response = await http.put(
                    f"http://{address}/v1/customers/{change_id}",
                    json={},
                    timeout=CHANGE_TIMEOUT_S,
                )
            except httpx.HTTPError:
                return None
        if response.status_code != HTTP_OK:
            return None
        revision = response.json()["revision"]
        self.accepted.append(
            configuration.AcceptedChange(
                trio.current_time(), revision, change_id
            )
        )
        return revision

    async def _inject_faults(self) -> None:
        faults: dict[
            str, collections.abc.Callable[[], collections.abc.Awaitable[None]]
        ] = {
            "replace": self._replace_node,
            "outage": self._store_outage,
            "slow store": self._slow_store,
            "slow network": self._slow_network,
            "lost answers": self._lose_answers,
            "cut from platform": self._cut_from_platform,
            "cut from others": self._cut_from_others,
            "cut from both": self._cut_from_both,
        }
        while True:
            name = self._rng.choice(self._plan.faults)
            await faults[name]()
            await trio.sleep(self._rng.uniform(0.0, 3.0))

    async def _replace_node(self) -> None:
        name = self._rng.choice(sorted(self._system.nodes))
        domain = self._system.nodes[name].context.failure_domain
        self._system.kill_node(name)
        await trio.sleep(self._rng.uniform(0.0, 1.0))
        await self._system.start_node(name, domain)

    async def _store_outage(self) -> None:
        faults = self._system.platform.faults
        faults.down = True
        await trio.sleep(self._rng.uniform(0.5, 6.0))
        await self._replace_node()
        await trio.sleep(self._rng.uniform(0.5, 6.0))
        faults.down = False

    async def _slow_store(self) -> None:
        faults = self._system.platform.faults
        faults.delay_s = self._rng.uniform(0.1, 1.0)
        await trio.sleep(self._rng.uniform(0.5, 6.0))
        faults.delay_s = 0.0

    async def _slow_network(self) -> None:
        domain = self._rng.choice(self._system.plan.failure_domains)
        platform = cluster.PLATFORM_LOCATION
        delay_s = self._rng.uniform(0.2, 0.9)
        self._system.network.delay(domain, platform, delay_s)
        await trio.sleep(self._rng.uniform(2.0, 8.0))
        self._system.network.delay(domain, platform, 0.0)

    async def _lose_answers(self) -> None:
        self._system.platform.faults.lose_answers += 1
        await trio.sleep(self._rng.uniform(0.0, 2.0))

    async def _cut(self, locations: collections.abc.Iterable[str]) -> None:
        domains = self._system.plan.failure_domains
        domain = self._rng.choice(domains)
        others = [other for other in locations if other != domain]
        for other in others:
            self._system.network.cut(domain, other)
        await trio.sleep(self._rng.uniform(1.0, 8.0))
        for other in others:
            self._system.network.heal(domain, other)

    async def _cut_from_platform(self) -> None:
        await self._cut((cluster.PLATFORM_LOCATION,))

    async def _cut_from_others(self) -> None:
        await self._cut(self._system.plan.failure_domains)

    async def _cut_from_both(self) -> None:
        domains = self._system.plan.failure_domains
        await self._cut((*domains, cluster.PLATFORM_LOCATION))

    async def _repair(self) -> None:
        system = self._system
        system.platform.faults.down = False
        system.platform.faults.delay_s = 0.0
        domains = system.plan.failure_domains
        for one, other in itertools.combinations(
            (*domains, cluster.PLATFORM_LOCATION), 2
        ):
            system.network.heal(one, other)
            system.network.delay(one, other, 0.0)
        for domain in domains:
            for index in range(system.plan.nodes_per_domain):
                name = f"{domain}-node-{index}"
                if name not in system.nodes:
                    await system.start_node(name, domain)


async def record_run(plan: RunPlan) -> configuration.History:
    """Run operators and faults against 9 nodes in 3 failure domains.

    :param plan: parameters of the run.
    """
    cluster_plan = cluster.Plan(
        nodes_per_domain=3,
        fabrics_per_domain=1,
        vms_per_fabric=1,
        seed=plan.seed,
    )
    async with cluster.open_cluster(cluster_plan) as system:
        run = ConfigurationRun(system, plan)
        await run.run()
        return run.history
