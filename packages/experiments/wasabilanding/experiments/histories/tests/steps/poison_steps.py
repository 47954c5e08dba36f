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
PILL = f"a menu with a {engine_module.POISON}"
COPIES = 27
ROUNDS = 3
INNOCENTS = 60
TELL_S = 2.0
STAGGERED_S = 6.0
RESTART_S = 1.0
LONG = 200


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

        def noted(vm: str) -> None:
            now = trio.current_time()
            crashes.append(histories.Crash(domain, PILL, vm, now))
            kill(vm)
            if restarter is not None:
                restarter.start_soon(restart, vm)

        fleet.kill = noted

    for domain, fleet in system.fleets.items():
        watch(domain, fleet)
    return crashes


async def _all(
    system, calls, delays_s=lambda: 0.0
) -> list[histories.Submission]:
    tries: list[histories.Submission] = []

    async def one(node: str, prompt: str, options: dict) -> None:
        await trio.sleep(delays_s())
        tries.append(await histories.submit(system, node, prompt, **options))

    async with trio.open_nursery() as nursery:
        for call in calls:
            nursery.start_soon(one, *call)
    return tries


def _copies(how: str, number: int) -> list[tuple[str, str, dict]]:
    options = {"customer": f"salon-{number}"}
    nodes = _nodes()
    if how == "non-idempotent":
        options["key"] = f"key-{number}"
    if how == "one after another":
        return [(nodes[number % len(nodes)], PILL, options)]
    return [(nodes[i % len(nodes)], PILL, options) for i in range(COPIES)]


def _innocents(how: str, number: int) -> list[tuple[str, str, dict]]:
    if how != "beside innocent requests":
        return []
    nodes = _nodes()
    return [
        (nodes[i % len(nodes)], f"menu {number} {i}", {"length": LONG})
        for i in range(INNOCENTS)
    ]


@dataclasses.dataclass
class _Run:
    crashes: list[histories.Crash]
    innocent: list[histories.Submission]
    after: list[histories.Submission]
    last: list[histories.Submission]


async def _poison_run(how: str, seed: int) -> _Run:
    plan = dataclasses.replace(PLAN, seed=seed)
    rounds = 8 if how == "one after another" else ROUNDS
    spread_s = STAGGERED_S if how.startswith("staggered") else 0.0
    rng = random.Random(seed)
    innocent = []
    async with (
        cluster.open_cluster(plan) as system,
        trio.open_nursery() as nursery,
    ):
        await system.configure(SERVICE, PROFILE)
        for domain in plan.failure_domains:
            await system.wait_serving(domain, PROFILE.replicas_per_domain)
        restarts = how.endswith("VMs restart")
        crashes = _record_crashes(system, nursery if restarts else None)
        for number in range(rounds):
            tries = await _all(
                system,
                _innocents(how, number) + _copies(how, number),
                lambda: rng.uniform(0.0, spread_s),
            )
            innocent += [x for x in tries if x.prompt != PILL]
            await trio.sleep(TELL_S)
        after = await _all(system, [(n, f"after {n}", {}) for n in _nodes()])
        last = await _all(
            system,
            [
                (n, f" {PILL}\n", {"customer": n, "key": f"new-{n}"})
                for n in _nodes()
            ],
        )
        return _Run(crashes, innocent, after, last)


async def _innocent_run():
    tries: list[histories.Submission] = []
    async with cluster.open_cluster(PLAN) as system:
        await system.configure(SERVICE, PROFILE)
        for domain in PLAN.failure_domains:
            await system.wait_serving(domain, PROFILE.replicas_per_domain)

        async def send() -> None:
            tries.extend(await _all(system, _innocents(INNOCENT, 0)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            for _ in range(2):
                await trio.sleep(0.5)
                fleet = system.fleets["prov"]
                system.kill_vm(fleet.log[-1][2])
        repeats = await _all(system, _innocents(INNOCENT, 0))
    return tries, repeats


INNOCENT = "beside innocent requests"
_CONFINE = poison_guard.PoisonGuard.confine


@behave.given('a poisonous request that is sent "{how}" with seed {seed:d}')
def send_poison(context, how, seed):
    """Send it in rounds."""
    context.run = cluster.run_seeded(_poison_run, how, seed, seed=seed)


def _refuse_only(guard, request, index, tried) -> None:
    _CONFINE(guard, request, index, tried)


@behave.given("the poison guard without {part}")
def without_part(context, part):
    """Disable a part of the mechanism until the scenario has ended."""
    patches = {
        "refusal": unittest.mock.patch.object(
            poison.SuspicionStatus, "quarantined", False
        ),
        "homes": unittest.mock.patch.object(
            poison_guard.PoisonGuard, "confine", _refuse_only
        ),
    }
    patches[part].start()
    context.add_cleanup(patches[part].stop)


@behave.then("at most 3 endpoints of each failure domain died")
def check_bound(context):
    """Check the history."""
    assert context.run.crashes, "nothing died"
    broken = histories.crash_bound_violations(context.run.crashes)
    assert not broken, (broken, context.run.crashes)


@behave.then("the checker finds more than 3 deaths")
def check_planted_crashes(context):
    """Check that the checker sees the violation."""
    broken = histories.crash_bound_violations(context.run.crashes)
    assert broken, context.run.crashes


@behave.then("later copies are refused as poisoned under any key and customer")
def check_refused(context):
    """Check what later copies were told."""
    told = {(s.verdict, s.reason, s.status) for s in context.run.last}
    assert told == {("not_run", "poisoned", 422)}, told
    assert all(s.retry_after for s in context.run.last), context.run.last


def _check_not_poisoned(tries) -> None:
    told = collections.Counter((s.verdict, s.reason) for s in tries)
    assert not any(reason == "poisoned" for _, reason in told), told


@behave.then("no innocent request is refused as poisoned")
def check_innocent(context):
    """Check what innocent callers were told."""
    _check_not_poisoned(context.run.innocent + context.run.after)


@behave.then(
    "of the innocent requests 95 in 100 completed, and all later ones"
)
def check_completed(context):
    """Check how many innocent requests completed."""
    told = [s.verdict for s in context.run.innocent]
    assert told.count("completed") >= 0.95 * len(told), told
    later = {s.verdict for s in context.run.after}
    assert later == {"completed"}, context.run.after


@behave.given("innocent requests whose replicas are killed twice")
def kill_twice(context):
    """Kill two replicas under innocent requests."""
    context.tries, context.repeats = cluster.run_seeded(_innocent_run)


@behave.then("none of them is refused as poisoned")
def check_not_quarantined(context):
    """Check what they were told."""
    _check_not_poisoned(context.tries)


@behave.then("a repeat of each completes")
def check_repeats(context):
    """Check the repeats."""
    told = {(s.verdict, s.reason) for s in context.repeats}
    assert told == {("completed", "")}, told
