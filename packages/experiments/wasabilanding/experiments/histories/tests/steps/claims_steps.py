"""Steps for non-idempotent requests."""

import collections
import collections.abc
import unittest.mock

import behave
import trio

from wasabilanding.daemon import claims as claims_module
from wasabilanding.experiments import cluster
from wasabilanding.experiments import histories
from wasabilanding import model

SERVICE = "escriba"
PROFILE = model.ReplicaProfile(
    name="sheets",
    model="tarifa",
    version="v1",
    vms_per_replica=2,
    replicas_per_domain=2,
)
PROMPT = "price sheet of the week"
KEY = "sheet-7"
NODES = ("prov-node-0", "nunoa-node-0", "maipu-node-0")
SETTLE_S = 3.0
LONG = 400
PAST_LEASES_S = 20.0
MANY = 60
# One of three nodes may take two seconds' worth of its share at once.
BURST = 40
EARNED_MEANWHILE = 5

Tries = list[histories.Submission]
Scenario = collections.abc.Callable[
    [cluster.Cluster], collections.abc.Awaitable[Tries]
]


async def _try(system, node, key=KEY, prompt=PROMPT, length=8):
    return await histories.submit(system, node, prompt, key, length=length)


async def _together(system: cluster.Cluster, nodes, length=8) -> Tries:
    tries: Tries = []

    async def one(node: str) -> None:
        tries.append(await _try(system, node, length=length))

    async with trio.open_nursery() as nursery:
        for node in nodes:
            nursery.start_soon(one, node)
    return tries


async def _one_after_another(system: cluster.Cluster, nodes=NODES) -> Tries:
    tries = []
    for node in nodes:
        tries.append(await _try(system, node))
        await trio.sleep(SETTLE_S)
    return tries


async def _platform_down(system: cluster.Cluster) -> Tries:
    system.platform.faults.down = True
    refused = await _try(system, NODES[0])
    assert refused.ended_at - refused.begun_at < 0.1, refused
    assert refused.retry_after == "2", refused
    system.platform.faults.down = False
    await trio.sleep(SETTLE_S)
    return [refused, await _try(system, NODES[1])]


async def _lost_write(system: cluster.Cluster) -> Tries:
    # The first write is the claim; the lease for it is granted before.
    system.platform.faults.lose_answers = 1
    return [await _try(system, NODES[0])]


async def _silent_answers(system: cluster.Cluster) -> Tries:
    system.network.lose_answers(cluster.PLATFORM_ADDRESS, 5)
    refused = await _try(system, NODES[0])
    await trio.sleep(2 * SETTLE_S)
    return [refused, await _try(system, NODES[1])]


async def _cut_off(system: cluster.Cluster) -> Tries:
    system.network.cut("prov", cluster.PLATFORM_LOCATION)
    refused = await _try(system, NODES[0])
    again = await _try(system, NODES[0])
    assert again.ended_at == again.begun_at, again
    return [refused, again, await _try(system, NODES[1])]


async def _entry_vm_replaced(system: cluster.Cluster) -> Tries:
    tries: Tries = []

    async def first() -> None:
        tries.append(await _try(system, NODES[0], length=LONG))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(first)
        await trio.sleep(1.0)
        system.kill_node(NODES[0])
        await trio.sleep(0.1)
        await system.start_node(NODES[0], "prov")
    await trio.sleep(SETTLE_S)
    for node in (NODES[0], NODES[1]):
        tries.append(await _try(system, node, length=LONG))
    return tries


async def _paused(system: cluster.Cluster, path: str) -> Tries:
    tries: Tries = []

    async def one(node: str) -> None:
        tries.append(await _try(system, node))

    system.nodes[NODES[0]].gate.close_before_call(path)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(one, NODES[0])
        await trio.sleep(PAST_LEASES_S)
        assert system.is_paused(NODES[0]), path
        await one(NODES[1])
        system.resume_node(NODES[0])
    await trio.sleep(SETTLE_S)
    return [*tries, await _try(system, NODES[2])]


async def _engine_dies(system: cluster.Cluster) -> Tries:
    tries: Tries = []

    async def first() -> None:
        tries.append(await _try(system, NODES[0], length=LONG))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(first)
        await trio.sleep(1.0)
        logs = [fleet.log for fleet in system.fleets.values()]
        started_at = [entry[2] for log in logs for entry in log]
        system.kill_vm(started_at[-1])
    await trio.sleep(SETTLE_S)
    for node in NODES[:2]:
        tries.append(await _try(system, node, length=LONG))
    return tries


async def _no_replica(system: cluster.Cluster) -> Tries:
    vms = [vm.vm for vm in system.plan.vms]
    for vm in vms:
        system.kill_vm(vm)
    await trio.sleep(SETTLE_S)
    refused = await _try(system, NODES[0])
    for vm in vms:
        system.restart_vm(vm)
    for domain in system.plan.failure_domains:
        await system.wait_serving(domain, 2)
    return [refused, await _try(system, NODES[1])]


async def _another_body(system: cluster.Cluster) -> Tries:
    first = await _try(system, NODES[0])
    other = await _try(system, NODES[1], prompt="another price sheet")
    assert other.reason == "key_reused", other
    assert other.status == 422, other
    return [first, other]


async def _down_at_the_end(system: cluster.Cluster) -> Tries:
    tries: Tries = []

    async def first() -> None:
        tries.append(await _try(system, NODES[0]))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(first)
        while not histories.starts(system)[PROMPT]:
            await trio.sleep(0.001)
        system.platform.faults.down = True
    await trio.sleep(SETTLE_S)
    system.platform.faults.down = False
    await trio.sleep(SETTLE_S)
    return [*tries, await _try(system, NODES[1])]


async def _too_many(system: cluster.Cluster) -> Tries:
    tries: Tries = []

    async def one(number: int) -> None:
        tries.append(
            await _try(system, NODES[0], f"k-{number}", f"sheet {number}")
        )

    async with trio.open_nursery() as nursery:
        for number in range(MANY):
            nursery.start_soon(one, number)
    reasons = collections.Counter(s.reason for s in tries)
    taken = MANY - reasons["claim_unavailable"]
    assert BURST <= taken <= BURST + EARNED_MEANWHILE, reasons
    assert all(s.retry_after for s in tries if s.verdict == "not_run")
    return [await _try(system, NODES[1])]


SCENARIOS: dict[str, Scenario] = {
    "none, six at the same time": lambda s: _together(s, NODES * 2, LONG),
    "none, repeated afterwards": _one_after_another,
    "platform down": _platform_down,
    "answer of the write lost": _lost_write,
    "answers silent": _silent_answers,
    "domain cut off from platform": _cut_off,
    "entry VM replaced": _entry_vm_replaced,
    "paused before its claim": lambda s: _paused(s, "/v1/kv/claims"),
    "paused after its claim": lambda s: _paused(s, "/v1/chat"),
    "engine dies in the middle": _engine_dies,
    "no replica at first": _no_replica,
    "another body": _another_body,
    "more claims than the budget": _too_many,
    "platform down at the end": _down_at_the_end,
}


async def _run(scenario: Scenario, seed: int) -> tuple[Tries, dict[str, int]]:
    async with cluster.open_cluster(cluster.Plan(seed=seed)) as system:
        await system.configure(SERVICE, PROFILE)
        for domain in system.plan.failure_domains:
            await system.wait_serving(domain, 2)
        tries = await scenario(system)
        return tries, histories.starts(system)


@behave.given("a running system with seed {seed:d}")
def given_system(context, seed):
    """Note the seed."""
    context.seed = seed


@behave.when('tries of one key meet the fault "{fault}"')
def run_scenario(context, fault):
    """Run the scenario."""
    context.tries, context.starts = cluster.run_seeded(
        _run, SCENARIOS[fault], context.seed, seed=context.seed
    )


@behave.then("the engines started the request {count:d} times")
def check_starts(context, count):
    """Compare the starts in all engines' logs."""
    assert context.starts[PROMPT] == count, (context.starts, context.tries)


@behave.then('the tries were told "{told}"')
def check_told(context, told):
    """Compare the verdicts in order, or as a set where they ran together."""
    verdicts = [submission.verdict for submission in context.tries]
    expected = told.split(", ")
    if len(expected) != len(verdicts):
        assert verdicts.count("completed") == 1, context.tries
        verdicts = sorted(set(verdicts))
    assert verdicts == expected, context.tries


@behave.then("no promise to non-idempotent requests is broken")
def check_promises(context):
    """Check the history."""
    broken = histories.broken_claims(context.tries, context.starts)
    assert not broken, broken


@behave.given("that no claims are taken")
def without_claims(context):
    """Disable the mechanism until the scenario has ended."""
    patch = unittest.mock.patch.object(
        claims_module, "subject_of", lambda request: None
    )
    patch.start()
    context.add_cleanup(patch.stop)


@behave.when("requests run under mixed faults with seed {seed:d}")
def run_mixed(context, seed):
    """Run requests under mixed faults."""
    run = cluster.run_seeded(histories.run_mixed, seed, seed=seed)
    context.tries, context.starts = run.history, run.starts


@behave.then("some tries completed and some were told not_run")
def check_variety(context):
    """Make sure that the run is worth checking."""
    verdicts = collections.Counter(s.verdict for s in context.tries)
    assert verdicts["completed"] >= 10, verdicts
    assert verdicts["not_run"] >= 3, verdicts


@behave.then("the checker finds requests that were started more than once")
def check_planted(context):
    """Check that the checker sees the violation."""
    broken = histories.broken_claims(context.tries, context.starts)
    assert any("was started" in promise for promise in broken), broken
