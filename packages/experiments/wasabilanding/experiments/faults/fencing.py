"""Runs in which a paused holder of control resumes in the middle of a call.

Explanation
===========

The holder is paused just before it sends an order or a write. Meanwhile its
lease expires, and another node takes over and makes new decisions. Then the
former holder resumes and sends its call.
"""

import dataclasses

import trio

from wasabilanding.experiments import cluster as cluster_module
from wasabilanding.experiments.faults import record_history
from wasabilanding.experiments.faults import runs
from wasabilanding import model
from wasabilanding import standins

DOMAIN = runs.DOMAIN
TAKEOVER_S = 9.0
REPAIR_S = 6.0
SAMPLE_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True)
class FencingResult:
    """What was observed after the former holder resumed.

    :param violations: violations of the invariants.
    :param downtime_s: time in which the replica did not serve, in seconds.
    :param epochs: number of new epochs of the replica.
    :param still_holds_control: whether the former holder still holds control.
    :param records: records of the whole run, oldest first.
    """

    violations: tuple[record_history.Violation, ...]
    downtime_s: float
    epochs: int
    still_holds_control: bool
    records: tuple[model.DomainRecord, ...]


def _holder(system: cluster_module.Cluster) -> cluster_module.RunningNode:
    holders = [
        running
        for running in system.nodes.values()
        if running.node.controller.is_holder and not running.gate.is_closed
    ]
    return holders[0]


def _replica(history: record_history.RecordHistory) -> model.ReplicaRecord:
    return history.records[-1].replicas[0]


async def _downtime(
    system: cluster_module.Cluster,
    observer: cluster_module.RunningNode,
    seconds: float,
) -> float:
    downtime_s = 0.0
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        await trio.sleep(SAMPLE_INTERVAL_S)
        down = observer.node.status.summary(DOMAIN).down
        downtime_s += SAMPLE_INTERVAL_S * down
    return round(downtime_s, 2)


async def _run_late_call(
    system: cluster_module.Cluster, path: str
) -> FencingResult:
    history = record_history.RecordHistory(system, DOMAIN)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(history.watch)
        await trio.sleep(SAMPLE_INTERVAL_S)
        former = _holder(system)
        former.gate.close_before_call(path)
        system.kill_vm(_replica(history).members[1])
        await trio.sleep(TAKEOVER_S)
        assert former.gate.is_closed, "the holder sent no call to this path"
        system.kill_vm(_replica(history).members[1])
        await trio.sleep(REPAIR_S)
        epoch = _replica(history).epoch
        former.gate.open()
        downtime_s = await _downtime(system, _holder(system), REPAIR_S)
        epochs = {
            r.replicas[0].epoch
            for r in history.records
            if r.replicas[0].epoch > epoch
        }
        nursery.cancel_scope.cancel()
    return FencingResult(
        violations=tuple(history.violations),
        downtime_s=downtime_s,
        epochs=len(epochs),
        still_holds_control=former.node.controller.is_holder,
        records=tuple(history.records),
    )


async def _run(
    path: str, checks_fence: bool, seed: int, lose_answers: int
) -> FencingResult:
    plan = cluster_module.Plan(
        failure_domains=(DOMAIN,),
        nodes_per_domain=3,
        fabrics_per_domain=1,
        vms_per_fabric=6,
        engine=standins.EngineSettings(checks_fence=checks_fence),
        seed=seed,
    )
    profile = dataclasses.replace(runs.PROFILE, replicas_per_domain=1)
    async with cluster_module.open_cluster(plan) as system:
        await system.configure(runs.SERVICE, profile)
        await system.wait_serving(DOMAIN, 1)
        await trio.sleep(REPAIR_S)
        system.platform.faults.lose_answers = lose_answers
        return await _run_late_call(system, path)


def run_seeded(
    path: str, checks_fence: bool, seed: int = 1, lose_answers: int = 0
) -> FencingResult:
    """Run on the mock clock.

    :param path: start of the path of the call before which the holder is
        paused.
    :param checks_fence: whether engines reject stale fencing tokens.
    :param seed: seed of the run.
    :param lose_answers: number of the first writes whose answers are lost.
    """
    return cluster_module.run_seeded(
        _run, path, checks_fence, seed, lose_answers, seed=seed
    )
