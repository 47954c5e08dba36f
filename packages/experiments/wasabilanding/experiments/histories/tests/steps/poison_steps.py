"""Steps for poisonous requests."""

import collections
import dataclasses
import random
import unittest.mock

import behave
import trio

from wasabilanding.daemon import poison_guard
from wasabilanding.experiments import cluster
from wasabilanding.experiments import histories
from wasabilanding import model
from wasabilanding import poison
from wasabilanding.standins import engine as engine_module

SERVICE = "escriba"
PROFILE = model.ReplicaProfile(
    name="poisoned",
    model="tarifa",
    version="v1",
    vms_per_replica=1,
    replicas_per_domain=6,
)
PLAN = cluster.Plan(nodes_per_domain=3, fabrics_per_domain=2, vms_per_fabric=4)
POISONOUS_PROMPT = f"a menu with a {engine_module.POISON_MARKER}"
COPIES = 27
ROUNDS = 3
INNOCENTS = 60
NOTICE_DELAY_S = 2.0
STAGGER_S = 6.0
RESTART_S = 1.0
LONG_ANSWER_PARTS = 200


def _nodes() -> list[str]:
    return [
        f"{domain}-node-{index}"
        for index in range(PLAN.nodes_per_domain)
        for domain in PLAN.failure_domains
    ]


def _record_crashes(
    system: cluster.Cluster, restarter: trio.Nursery | None
) -> list[histories.Crash]:
    crashes: list[histories.Crash] = []

    async def restart(vm: str) -> None:
        await trio.sleep(RESTART_S)
        system.restart_vm(vm)

    def watch(domain: str, fleet) -> None:
        kill = fleet.kill

        def kill_and_record(vm: str) -> None:
            now = trio.current_time()
            crashes.append(histories.Crash(domain, POISONOUS_PROMPT, vm, now))
            kill(vm)
            if restarter is not None:
                restarter.start_soon(restart, vm)

        fleet.kill = kill_and_record

    for domain, fleet in system.fleets.items():
        watch(domain, fleet)
    return crashes


async def _submit_all(
    system, calls, delays_s=lambda: 0.0
) -> list[histories.Submission]:
    attempts: list[histories.Submission] = []

    async def submit_later(node: str, prompt: str, options: dict) -> None:
        await trio.sleep(delays_s())
        attempts.append(
            await histories.submit(system, node, prompt, **options)
        )

    async with trio.open_nursery() as nursery:
        for call in calls:
            nursery.start_soon(submit_later, *call)
    return attempts


def _copies(pattern: str, number: int) -> list[tuple[str, str, dict]]:
    options = {"customer": f"salon-{number}"}
    nodes = _nodes()
    if pattern == "non-idempotent":
        options["key"] = f"key-{number}"
    if pattern == "one after another":
        return [(nodes[number % len(nodes)], POISONOUS_PROMPT, options)]
    return [
        (nodes[i % len(nodes)], POISONOUS_PROMPT, options)
        for i in range(COPIES)
    ]


def _innocents(pattern: str, number: int) -> list[tuple[str, str, dict]]:
    if pattern != "beside innocent requests":
        return []
    nodes = _nodes()
    return [
        (
            nodes[i % len(nodes)],
            f"menu {number} {i}",
            {"length": LONG_ANSWER_PARTS},
        )
        for i in range(INNOCENTS)
    ]


@dataclasses.dataclass
class _Run:
    crashes: list[histories.Crash]
    innocent: list[histories.Submission]
    after_rounds: list[histories.Submission]
    final_copies: list[histories.Submission]


async def _poison_run(pattern: str, seed: int) -> _Run:
    plan = dataclasses.replace(PLAN, seed=seed)
    rounds = 8 if pattern == "one after another" else ROUNDS
    spread_s = STAGGER_S if pattern.startswith("staggered") else 0.0
    rng = random.Random(seed)
    innocent = []
    async with (
        cluster.open_cluster(plan) as system,
        trio.open_nursery() as nursery,
    ):
        await system.configure(SERVICE, PROFILE)
        for domain in plan.failure_domains:
            await system.wait_serving(domain, PROFILE.replicas_per_domain)
        restarts = pattern.endswith("VMs restart")
        crashes = _record_crashes(system, nursery if restarts else None)
        for number in range(rounds):
            attempts = await _submit_all(
                system,
                _innocents(pattern, number) + _copies(pattern, number),
                lambda: rng.uniform(0.0, spread_s),
            )
            innocent += [x for x in attempts if x.prompt != POISONOUS_PROMPT]
            await trio.sleep(NOTICE_DELAY_S)
        after_rounds = await _submit_all(
            system, [(n, f"after {n}", {}) for n in _nodes()]
        )
        final_copies = await _submit_all(
            system,
            [
                (
                    n,
                    f" {POISONOUS_PROMPT}\n",
                    {"customer": n, "key": f"new-{n}"},
                )
                for n in _nodes()
            ],
        )
        return _Run(crashes, innocent, after_rounds, final_copies)


async def _innocent_run():
    attempts: list[histories.Submission] = []
    async with cluster.open_cluster(PLAN) as system:
        await system.configure(SERVICE, PROFILE)
        for domain in PLAN.failure_domains:
            await system.wait_serving(domain, PROFILE.replicas_per_domain)

        async def send() -> None:
            attempts.extend(
                await _submit_all(system, _innocents(BESIDE_INNOCENTS, 0))
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            for _ in range(2):
                await trio.sleep(0.5)
                fleet = system.fleets["prov"]
                system.kill_vm(fleet.log[-1][2])
        repeats = await _submit_all(system, _innocents(BESIDE_INNOCENTS, 0))
    return attempts, repeats


BESIDE_INNOCENTS = "beside innocent requests"
_CONFINE = poison_guard.PoisonGuard.confine


@behave.given(
    'a poisonous request that is sent "{pattern}" with seed {seed:d}'
)
def send_poison(context, pattern, seed):
    """Send copies of the request in several rounds."""
    context.run = cluster.run_seeded(_poison_run, pattern, seed, seed=seed)


def _confine_without_homes(guard, request, index, tried) -> None:
    _CONFINE(guard, request, index, tried)


@behave.given("the poison guard without {part}")
def without_part(context, part):
    """Disable a part of the guard until the scenario has ended."""
    patches = {
        "refusal": unittest.mock.patch.object(
            poison.SuspicionStatus, "quarantined", False
        ),
        "homes": unittest.mock.patch.object(
            poison_guard.PoisonGuard, "confine", _confine_without_homes
        ),
    }
    patches[part].start()
    context.add_cleanup(patches[part].stop)


@behave.then("at most 3 endpoints of each failure domain crashed")
def check_bound(context):
    """Check the crashes of the run."""
    assert context.run.crashes, "no endpoint crashed"
    violations = histories.crash_bound_violations(context.run.crashes)
    assert not violations, (violations, context.run.crashes)


@behave.then("the checker finds more than 3 crashes")
def check_planted_crashes(context):
    """Check that the checker finds the violation."""
    violations = histories.crash_bound_violations(context.run.crashes)
    assert violations, context.run.crashes


@behave.then("later copies are refused as poisoned under any key and customer")
def check_refused(context):
    """Compare the results of the last copies."""
    results = {
        (s.verdict, s.reason, s.status) for s in context.run.final_copies
    }
    assert results == {("not_run", "poisoned", 422)}, results
    assert all(s.retry_after for s in context.run.final_copies), (
        context.run.final_copies
    )


def _check_not_poisoned(attempts) -> None:
    results = collections.Counter((s.verdict, s.reason) for s in attempts)
    assert not any(reason == "poisoned" for _, reason in results), results


@behave.then("no innocent request is refused as poisoned")
def check_innocent(context):
    """Check that no innocent request got the reason poisoned."""
    _check_not_poisoned(context.run.innocent + context.run.after_rounds)


@behave.then(
    "of the innocent requests 95 in 100 completed, and all later ones"
)
def check_completed(context):
    """Check the share of innocent requests that completed."""
    results = [s.verdict for s in context.run.innocent]
    assert results.count("completed") >= 0.95 * len(results), results
    later = {s.verdict for s in context.run.after_rounds}
    assert later == {"completed"}, context.run.after_rounds


@behave.given("innocent requests two of whose replicas are killed")
def kill_twice(context):
    """Kill two replicas that run innocent requests."""
    context.attempts, context.repeats = cluster.run_seeded(_innocent_run)


@behave.then("none of them is refused as poisoned")
def check_not_quarantined(context):
    """Check that no request got the reason poisoned."""
    _check_not_poisoned(context.attempts)


@behave.then("a repeat of each completes")
def check_repeats(context):
    """Compare the results of the repeats."""
    results = {(s.verdict, s.reason) for s in context.repeats}
    assert results == {("completed", "")}, results
