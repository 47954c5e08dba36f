"""Steps for the system inside one process."""

import unittest.mock

import behave
import trio

from wasabilanding.experiments import cluster
from wasabilanding import model
from wasabilanding import placement

PROFILE = model.ReplicaProfile(
    name="draft",
    model="tarifa",
    version="v1",
    vms_per_replica=2,
    replicas_per_domain=2,
)
REPAIR_S = 5.0
PLANNER_FAILS_S = 10.0
LOST_AFTER_REQUESTS = 3


async def _scenario(seed: int) -> list[tuple]:
    events = []
    async with cluster.open_cluster(cluster.Plan(seed=seed)) as system:
        await system.configure("escriba", PROFILE)
        await system.wait_serving("prov", 2)
        events.append(("serving", trio.current_time()))
        node = system.nodes["prov-node-0"]
        before = node.context.known.record("prov")
        system.kill_vm(before.replicas[0].members[1])
        await trio.sleep(REPAIR_S)
        after = node.context.known.record("prov")
        events.append((after.replicas, dict(system.platform.store.calls)))
    return events


@behave.when("the same scenario runs twice with seed {seed:d}")
def run_twice(context, seed):
    """Run the scenario twice."""
    context.runs = [
        cluster.run_seeded(_scenario, seed, seed=seed) for _ in range(2)
    ]


@behave.then("both runs saw the same events at the same times")
def compare(context):
    """Compare the runs."""
    first, second = context.runs
    assert first == second, (first, second)


async def _failing_planner() -> tuple[list[int], float]:
    statuses = []
    async with cluster.open_cluster(cluster.Plan()) as system:
        await system.configure("escriba", PROFILE)
        await system.wait_serving("prov", 2)
        with unittest.mock.patch.object(
            placement, "plan", side_effect=ValueError("planned to fail")
        ):
            await _ask_for(system, statuses, PLANNER_FAILS_S)
        return statuses, await system.wait_serving("prov", 2)


async def _ask_for(system, statuses: list[int], seconds: float) -> None:
    node = system.nodes["prov-node-0"]
    url = f"http://{node.context.settings.callers.address}"
    body = {
        "model": "escriba",
        "messages": [{"role": "user", "content": "menu"}],
    }
    record = node.context.known.record("prov")
    until = trio.current_time() + seconds
    async with system.client("prov") as http:
        while trio.current_time() < until:
            path = f"{url}/v1/chat/completions"
            response = await http.post(path, json=body, timeout=None)
            statuses.append(response.status_code)
            if len(statuses) == LOST_AFTER_REQUESTS:
                system.kill_vm(record.replicas[0].members[1])
            await trio.sleep(0.5)


@behave.when("the planner fails for 10 seconds while requests run")
def fail_planner(context):
    """Run with a planner that raises."""
    context.statuses, context.waited = cluster.run_seeded(_failing_planner)


@behave.then("all requests completed")
def check_statuses(context):
    """Compare the statuses."""
    assert set(context.statuses) == {200}, context.statuses


@behave.then("a replica that lost a VM meanwhile serves again afterwards")
def check_repair(context):
    """Compare the wait with a repair."""
    assert 0 < context.waited < REPAIR_S * 2, context.waited
