"""Steps for the system in a single process."""

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
REPAIR_TIME_S = 5.0
PLANNER_FAILURE_S = 10.0
REQUESTS_BEFORE_VM_LOSS = 3


async def _scenario(seed: int) -> list[tuple]:
    events = []
    async with cluster.open_cluster(cluster.Plan(seed=seed)) as system:
        await system.configure("escriba", PROFILE)
        await system.wait_serving("prov", 2)
        events.append(("serving", trio.current_time()))
        node = system.nodes["prov-node-0"]
        before = node.context.known.record("prov")
        system.kill_vm(before.replicas[0].members[1])
        await trio.sleep(REPAIR_TIME_S)
        after = node.context.known.record("prov")
        events.append((after.replicas, dict(system.platform.store.calls)))
    return events


@behave.when("the same scenario runs twice with seed {seed:d}")
def run_twice(context, seed):
    """Run the scenario twice."""
    context.runs = [
        cluster.run_seeded(_scenario, seed, seed=seed) for _ in range(2)
    ]


@behave.then("both runs recorded the same events at the same times")
def compare(context):
    """Check that the recorded events are equal."""
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
            await _send_requests(system, statuses, PLANNER_FAILURE_S)
        return statuses, await system.wait_serving("prov", 2)


async def _send_requests(
    system, statuses: list[int], duration_s: float
) -> None:
    node = system.nodes["prov-node-0"]
    url = f"http://{node.context.settings.callers.address}"
    body = {
        "model": "escriba",
        "messages": [{"role": "user", "content": "menu"}],
    }
    record = node.context.known.record("prov")
    end_s = trio.current_time() + duration_s
    async with system.client("prov") as http:
        while trio.current_time() < end_s:
            path = f"{url}/v1/chat/completions"
            response = await http.post(path, json=body, timeout=None)
            statuses.append(response.status_code)
            if len(statuses) == REQUESTS_BEFORE_VM_LOSS:
                system.kill_vm(record.replicas[0].members[1])
            await trio.sleep(0.5)


@behave.when("the planner fails for 10 seconds while requests run")
def fail_planner(context):
    """Send requests while the planner raises an exception."""
    context.statuses, context.repair_wait_s = cluster.run_seeded(
        _failing_planner
    )


@behave.then("all requests completed")
def check_statuses(context):
    """Check that all requests returned status 200."""
    assert set(context.statuses) == {200}, context.statuses


@behave.then("a replica that lost a VM in the meantime serves again")
def check_repair(context):
    """Check that the repair ended within its time limit."""
    assert 0 < context.repair_wait_s < REPAIR_TIME_S * 2, context.repair_wait_s
