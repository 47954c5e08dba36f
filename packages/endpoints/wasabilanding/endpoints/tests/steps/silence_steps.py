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


async def _inject_fault(what, system, domain):
    if "silence and cut" in what:
        _silence(system, domain)
        await _cut(system)
    elif "cut off" in what:
        await _cut(system)
    elif "silent" in what:
        _silence(system, domain)
    else:
        _break(system, domain)


async def _send_with_faults(what, times, parts):
    async with submissions.open_system() as system:
        domain = "nunoa" if "cut" in what else "prov"
        if domain == "nunoa":
            # The request must be routed to the other failure domain.
            system.engine(submissions.leader(system)).leaving = True
            await trio.sleep(PREFER_OTHER_S)
        seen = []
        async with trio.open_nursery() as nursery:

            async def send_request():
                seen.append(
                    await submissions.send(system, PROMPT, DEADLINE, parts)
                )

            nursery.start_soon(send_request)
            for _ in range(times):
                await trio.sleep(BETWEEN_FAULTS_S)
                await _inject_fault(what, system, domain)
                await trio.sleep(BETWEEN_FAULTS_S)
        return seen[0]


async def _send_to_slow_engine(step_s, parts):
    plan = dataclasses.replace(
        submissions.PLAN, engine=standins.EngineSettings(step_s=step_s)
    )
    async with submissions.open_system(plan) as system:
        return await submissions.send(system, PROMPT, DEADLINE, parts)


async def _send_to_paused_engine(parts):
    async with submissions.open_system() as system:
        engine = system.engine(submissions.leader(system))
        seen = []

        async def send_request():
            seen.append(
                await submissions.send(system, PROMPT, DEADLINE, parts)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_request)
            await trio.sleep(BETWEEN_FAULTS_S)
            engine.paused = trio.Event()
        return seen[0]


@behave.given("engines that take {step_s:d} s per step")
def plan_steps(context, step_s):
    """Store the step duration of the engines."""
    context.step_s = step_s


@behave.when("{what} {times:d} times during a stream of {parts:d} parts")
def send_with_faults(context, what, times, parts):
    """Inject faults during a stream."""
    context.parts = parts
    context.seen = cluster.run_seeded(_send_with_faults, what, times, parts)


@behave.when("a request for {parts:d} parts is sent")
def send_short(context, parts):
    """Send a request to slow engines."""
    context.parts = parts
    context.seen = cluster.run_seeded(
        _send_to_slow_engine, context.step_s, parts
    )


@behave.when(
    "the engine pauses indefinitely during a stream of {parts:d} parts"
)
def pause(context, parts):
    """Pause the engine during a stream."""
    context.seen = cluster.run_seeded(_send_to_paused_engine, parts)


@behave.then("its answer is complete and the request ran once")
def check_complete(context):
    """Compare with the engines' own logs and the complete text."""
    expected = submissions.expected_answer(PROMPT, context.parts)
    assert context.seen.verdict == "completed", context.seen
    assert context.seen.text == expected, context.seen
    assert context.seen.runs == 1, context.seen


@behave.then("it took at most {bound:g} s")
def check_elapsed(context, bound):
    """Compare the time until the answer was complete."""
    assert context.seen.elapsed_s <= bound, context.seen.elapsed_s


@behave.then('its caller gets the verdict "{verdict}" within {bound:g} s')
def check_verdict_in_time(context, verdict, bound):
    """Compare the verdict and its time."""
    assert context.seen.verdict == verdict, context.seen
    assert context.seen.elapsed_s <= bound, context.seen
