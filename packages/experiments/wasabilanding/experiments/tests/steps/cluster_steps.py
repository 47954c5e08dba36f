"""Steps for the system inside one process."""

import behave
import trio

from wasabilanding.experiments import cluster
from wasabilanding import model

PROFILE = model.ReplicaProfile(
    name="draft",
    model="tarifa",
    version="v1",
    vms_per_replica=2,
    replicas_per_domain=2,
)
REPAIR_S = 5.0


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
