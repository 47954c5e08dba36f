"""Steps for connections that go silent."""

import dataclasses

import behave
import trio

from wasabilanding.experiments import cluster
from wasabilanding.experiments import submissions
from wasabilanding import standins

PROMPT = "list of the week"
BETWEEN_FAULTS_S = 0.7
CUT_S = 2.0
PREFER_OTHER_S = 1.5
DEADLINE = {"X-Deadline-Ms": "600000"}


def _address(system, domain):
    return f"{submissions.leader(system, domain)}:{cluster.ENGINE_PORT}"


def _silence(system, domain):
    system.network.silence(_address(system, domain))


def _break(system, domain):
    system.network.break_streams(_address(system, domain))


async def _cut(system):
    system.network.cut("prov", "nunoa")
    await trio.sleep(CUT_S)
    system.network.heal("prov", "nunoa")


async def _fault(what, system, domain):
    if "silence and cut" in what:
        _silence(system, domain)
        await _cut(system)
    elif "cut off" in what:
        await _cut(system)
    elif "silent" in what:
        _silence(system, domain)
    else:
        _break(system, domain)


async def _disturbed(what, times, parts):
    async with submissions.open_system() as system:
        domain = "nunoa" if "cut" in what else "prov"
        if domain == "nunoa":
            # The request has to go to the other failure domain.
            system.engine(submissions.leader(system)).leaving = True
            await trio.sleep(PREFER_OTHER_S)
        seen = []
        async with trio.open_nursery() as nursery:

            async def ask():
                seen.append(
                    await submissions.send(system, PROMPT, DEADLINE, parts)
                )

            nursery.start_soon(ask)
            for _ in range(times):
                await trio.sleep(BETWEEN_FAULTS_S)
                await _fault(what, system, domain)
                await trio.sleep(BETWEEN_FAULTS_S)
        return seen[0]


async def _slow(step_s, parts):
    plan = dataclasses.replace(
        submissions.PLAN, engine=standins.EngineSettings(step_s=step_s)
    )
    async with submissions.open_system(plan) as system:
        return await submissions.send(system, PROMPT, DEADLINE, parts)


async def _paused(parts):
    async with submissions.open_system() as system:
        engine = system.engine(submissions.leader(system))
        seen = []

        async def ask():
            seen.append(
                await submissions.send(system, PROMPT, DEADLINE, parts)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(BETWEEN_FAULTS_S)
            engine.paused = trio.Event()
        return seen[0]


@behave.given("engines that take {step_s:d} s for a step")
def plan_steps(context, step_s):
    """Plan slow engines."""
    context.step_s = step_s


@behave.when("{what} {times:d} times during a stream of {parts:d} parts")
def disturb(context, what, times, parts):
    """Disturb a stream."""
    context.parts = parts
    context.seen = cluster.run_seeded(_disturbed, what, times, parts)


@behave.when("a request for {parts:d} parts is sent")
def send_short(context, parts):
    """Send a request to slow engines."""
    context.parts = parts
    context.seen = cluster.run_seeded(_slow, context.step_s, parts)


@behave.when("the engine pauses for good during a stream of {parts:d} parts")
def pause(context, parts):
    """Pause the engine in the middle of a stream."""
    context.seen = cluster.run_seeded(_paused, parts)


@behave.then("its answer is whole and ran once")
def check_whole(context):
    """Compare with the engines' own logs and the whole text."""
    due = submissions.expected_answer(PROMPT, context.parts)
    assert context.seen.verdict == "completed", context.seen
    assert context.seen.text == due, context.seen
    assert context.seen.runs == 1, context.seen


@behave.then("it took at most {bound:g} s")
def check_elapsed(context, bound):
    """Compare the time of the whole answer."""
    assert context.seen.elapsed_s <= bound, context.seen.elapsed_s


@behave.then('its caller is told "{verdict}" within {bound:g} s')
def check_given_up(context, verdict, bound):
    """Compare the verdict and its time."""
    assert context.seen.verdict == verdict, context.seen
    assert context.seen.elapsed_s <= bound, context.seen
