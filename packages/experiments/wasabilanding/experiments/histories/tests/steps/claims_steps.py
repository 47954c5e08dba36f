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
LONG_ANSWER_PARTS = 400
LEASE_EXPIRY_S = 20.0
CLAIM_COUNT = 60
# Each of three nodes may spend two seconds' worth of its share at once.
CLAIM_BURST = 40
REFILL_MARGIN = 5

Attempts = list[histories.Submission]
Scenario = collections.abc.Callable[
    [cluster.Cluster], collections.abc.Awaitable[Attempts]
]


async def _submit(system, node, key=KEY, prompt=PROMPT, length=8):
    return await histories.submit(system, node, prompt, key, length=length)


async def _submit_concurrently(
    system: cluster.Cluster, nodes, length=8
) -> Attempts:
    attempts: Attempts = []

    async def submit_once(node: str) -> None:
        attempts.append(await _submit(system, node, length=length))

    async with trio.open_nursery() as nursery:
        for node in nodes:
            nursery.start_soon(submit_once, node)
    return attempts


async def _submit_in_turn(system: cluster.Cluster, nodes=NODES) -> Attempts:
    attempts = []
    for node in nodes:
        attempts.append(await _submit(system, node))
        await trio.sleep(SETTLE_S)
    return attempts


async def _platform_down(system: cluster.Cluster) -> Attempts:
    system.platform.faults.down = True
    refused = await _submit(system, NODES[0])
    assert refused.ended_at - refused.sent_at < 0.1, refused
    assert refused.retry_after == "2", refused
    system.platform.faults.down = False
    await trio.sleep(SETTLE_S)
    return [refused, await _submit(system, NODES[1])]


async def _lost_write(system: cluster.Cluster) -> Attempts:
    # The first write is the claim; its lease is granted earlier.
    system.platform.faults.lose_answers = 1
    return [await _submit(system, NODES[0])]


async def _silent_answers(system: cluster.Cluster) -> Attempts:
    system.network.lose_answers(cluster.PLATFORM_ADDRESS, 5)
    refused = await _submit(system, NODES[0])
    await trio.sleep(2 * SETTLE_S)
    return [refused, await _submit(system, NODES[1])]


async def _cut_off(system: cluster.Cluster) -> Attempts:
    system.network.cut("prov", cluster.PLATFORM_LOCATION)
    refused = await _submit(system, NODES[0])
    again = await _submit(system, NODES[0])
    assert again.ended_at == again.sent_at, again
    return [refused, again, await _submit(system, NODES[1])]


async def _entry_vm_replaced(system: cluster.Cluster) -> Attempts:
    attempts: Attempts = []

    async def first() -> None:
        attempts.append(
            await _submit(system, NODES[0], length=LONG_ANSWER_PARTS)
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(first)
        await trio.sleep(1.0)
        system.kill_node(NODES[0])
        await trio.sleep(0.1)
        await system.start_node(NODES[0], "prov")
    await trio.sleep(SETTLE_S)
    for node in (NODES[0], NODES[1]):
        attempts.append(await _submit(system, node, length=LONG_ANSWER_PARTS))
    return attempts


async def _paused(system: cluster.Cluster, path: str) -> Attempts:
    attempts: Attempts = []

    async def submit_once(node: str) -> None:
        attempts.append(await _submit(system, node))

    system.nodes[NODES[0]].gate.close_before_call(path)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(submit_once, NODES[0])
        await trio.sleep(LEASE_EXPIRY_S)
        assert system.is_paused(NODES[0]), path
        await submit_once(NODES[1])
        system.resume_node(NODES[0])
    await trio.sleep(SETTLE_S)
    return [*attempts, await _submit(system, NODES[2])]


async def _engine_dies(system: cluster.Cluster) -> Attempts:
    attempts: Attempts = []

    async def first() -> None:
        attempts.append(
            await _submit(system, NODES[0], length=LONG_ANSWER_PARTS)
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(first)
        await trio.sleep(1.0)
        logs = [fleet.log for fleet in system.fleets.values()]
        started_at = [entry[2] for log in logs for entry in log]
        system.kill_vm(started_at[-1])
    await trio.sleep(SETTLE_S)
    for node in NODES[:2]:
        attempts.append(await _submit(system, node, length=LONG_ANSWER_PARTS))
    return attempts


async def _no_replica(system: cluster.Cluster) -> Attempts:
    vms = [vm.vm for vm in system.plan.vms]
    for vm in vms:
        system.kill_vm(vm)
    await trio.sleep(SETTLE_S)
    refused = await _submit(system, NODES[0])
    for vm in vms:
        system.restart_vm(vm)
    for domain in system.plan.failure_domains:
        await system.wait_serving(domain, 2)
    return [refused, await _submit(system, NODES[1])]


async def _another_body(system: cluster.Cluster) -> Attempts:
    first = await _submit(system, NODES[0])
    other = await _submit(system, NODES[1], prompt="another price sheet")
    assert other.reason == "key_reused", other
    assert other.status == 422, other
    return [first, other]


async def _platform_down_before_end(system: cluster.Cluster) -> Attempts:
    attempts: Attempts = []

    async def first() -> None:
        attempts.append(await _submit(system, NODES[0]))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(first)
        while not histories.starts(system)[PROMPT]:
            await trio.sleep(0.001)
        system.platform.faults.down = True
    await trio.sleep(SETTLE_S)
    system.platform.faults.down = False
    await trio.sleep(SETTLE_S)
    return [*attempts, await _submit(system, NODES[1])]


async def _exceed_budget(system: cluster.Cluster) -> Attempts:
    attempts: Attempts = []

    async def submit_once(number: int) -> None:
        attempts.append(
            await _submit(system, NODES[0], f"k-{number}", f"sheet {number}")
        )

    async with trio.open_nursery() as nursery:
        for number in range(CLAIM_COUNT):
            nursery.start_soon(submit_once, number)
    reasons = collections.Counter(s.reason for s in attempts)
    taken = CLAIM_COUNT - reasons["claim_unavailable"]
    assert CLAIM_BURST <= taken <= CLAIM_BURST + REFILL_MARGIN, reasons
    assert all(s.retry_after for s in attempts if s.verdict == "not_run")
    return [await _submit(system, NODES[1])]


SCENARIOS: dict[str, Scenario] = {
    "none, six at the same time": lambda s: _submit_concurrently(
        s, NODES * 2, LONG_ANSWER_PARTS
    ),
    "none, repeated afterwards": _submit_in_turn,
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
    "more claims than the budget": _exceed_budget,
    "platform down at the end": _platform_down_before_end,
}


async def _run(
    scenario: Scenario, seed: int
) -> tuple[Attempts, dict[str, int]]:
    async with cluster.open_cluster(cluster.Plan(seed=seed)) as system:
        await system.configure(SERVICE, PROFILE)
        for domain in system.plan.failure_domains:
            await system.wait_serving(domain, 2)
        attempts = await scenario(system)
        return attempts, histories.starts(system)


@behave.given("a running system with seed {seed:d}")
def given_system(context, seed):
    """Set the seed of the run."""
    context.seed = seed


@behave.when('attempts with one key are made under the fault "{fault}"')
def run_scenario(context, fault):
    """Run the attempts under this fault."""
    context.attempts, context.starts = cluster.run_seeded(
        _run, SCENARIOS[fault], context.seed, seed=context.seed
    )


@behave.then("the engines started the request {count:d} times")
def check_starts(context, count):
    """Compare the number of starts in the logs of all engines."""
    assert context.starts[PROMPT] == count, (context.starts, context.attempts)


@behave.then('the attempts got the verdicts "{expected_verdicts}"')
def check_verdicts(context, expected_verdicts):
    """Compare verdicts in order, or as a set for concurrent attempts."""
    verdicts = [submission.verdict for submission in context.attempts]
    expected = expected_verdicts.split(", ")
    if len(expected) != len(verdicts):
        assert verdicts.count("completed") == 1, context.attempts
        verdicts = sorted(set(verdicts))
    assert verdicts == expected, context.attempts


@behave.then("the at-most-once property is not violated")
def check_at_most_once(context):
    """Check the history of the run."""
    violations = histories.claim_violations(context.attempts, context.starts)
    assert not violations, violations


@behave.given("that claims are disabled")
def without_claims(context):
    """Disable claims until the scenario has ended."""
    patch = unittest.mock.patch.object(
        claims_module, "subject_of", lambda request: None
    )
    patch.start()
    context.add_cleanup(patch.stop)


@behave.when("requests run under mixed faults with seed {seed:d}")
def run_mixed_faults(context, seed):
    """Run requests under mixed faults."""
    run = cluster.run_seeded(histories.run_mixed_faults, seed, seed=seed)
    context.attempts, context.starts = run.history, run.starts


@behave.then("some attempts completed and some got not_run")
def check_variety(context):
    """Check that the run has enough attempts of both verdicts."""
    verdicts = collections.Counter(s.verdict for s in context.attempts)
    assert verdicts["completed"] >= 10, verdicts
    assert verdicts["not_run"] >= 3, verdicts


@behave.then("the checker finds requests that were started more than once")
def check_duplicate_starts(context):
    """Check that the checker finds duplicate starts."""
    violations = histories.claim_violations(context.attempts, context.starts)
    assert any("was started" in violation for violation in violations), (
        violations
    )
