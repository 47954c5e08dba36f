"""Runs in which one member of a replica dies and the replica is repaired."""

import collections.abc
import dataclasses

import trio

from wasabilanding.experiments import cluster as cluster_module
from wasabilanding.experiments.faults import record_history
from wasabilanding.experiments.faults import runs

DOMAIN = runs.DOMAIN
SETTLE_S = 6.0
REPAIR_S = 12.0
SAMPLE_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True)
class RepairResult:
    """Result of the repair.

    :param violations: violations of the invariants.
    :param writes: number of writes of the record.
    :param downtime_s: time in which the replica did not serve, in seconds.
    :param later_downtime_s: downtime after the store is up again, in seconds.
    """

    violations: tuple[record_history.Violation, ...]
    writes: int
    downtime_s: float
    later_downtime_s: float


async def _run(
    seed: int, lose_answers: int, store_down: bool, vms: int
) -> RepairResult:
    plan = cluster_module.Plan(
        failure_domains=(DOMAIN,),
        nodes_per_domain=2,
        fabrics_per_domain=1,
        vms_per_fabric=vms,
        seed=seed,
    )
    profile = dataclasses.replace(runs.PROFILE, replicas_per_domain=1)
    async with cluster_module.open_cluster(plan) as system:
        await system.configure(runs.SERVICE, profile)
        await system.wait_serving(DOMAIN, 1)
        await trio.sleep(SETTLE_S)
        system.platform.faults.lose_answers = lose_answers
        system.platform.faults.down = store_down
        return await _kill_member(system)


async def _kill_member(system: cluster_module.Cluster) -> RepairResult:
    history = record_history.RecordHistory(system, DOMAIN)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(history.watch)
        await trio.sleep(SAMPLE_INTERVAL_S)
        system.kill_vm(history.records[-1].replicas[0].members[1])
        downtime_s = await _downtime(system)
        system.platform.faults.down = False
        later_downtime_s = await _downtime(system)
        nursery.cancel_scope.cancel()
    writes = len(history.records) - 1
    return RepairResult(
        tuple(history.violations), writes, downtime_s, later_downtime_s
    )


async def _downtime(system: cluster_module.Cluster) -> float:
    downtime_s = 0.0
    until = trio.current_time() + REPAIR_S
    while trio.current_time() < until:
        await trio.sleep(SAMPLE_INTERVAL_S)
        downtime_s += SAMPLE_INTERVAL_S * _is_down(system)
    return round(downtime_s, 2)


def _is_down(system: cluster_module.Cluster) -> bool:
    serving = [
        running.node.status.summary(DOMAIN).serving
        for running in system.nodes.values()
    ]
    return min(serving) < 1


def run_seeded(
    seed: int = 1,
    lose_answers: int = 0,
    store_down: bool = False,
    vms: int = 3,
) -> RepairResult:
    """Run on the mock clock.

    :param seed: seed of the run.
    :param lose_answers: number of writes whose answers are lost.
    :param store_down: whether the store is down when the member dies.
    :param vms: number of VMs of the fabric domain; two form the replica.
    """
    arguments: collections.abc.Sequence = (seed, lose_answers, store_down, vms)
    return cluster_module.run_seeded(_run, *arguments, seed=seed)
