"""Steps for the outcome of a request."""

import json
import math

import behave
import trio

from wasabilanding.experiments import cluster
from wasabilanding.experiments import submissions

PROMPT = "promotion of the week"
NON_IDEMPOTENT = {"X-Non-Idempotent": "true"}
TOLERANCE_S = 0.02
BURST = 60


def _engine_address(system):
    return f"{submissions.leader(system)}:{cluster.ENGINE_PORT}"


def _inject_fault(system, fault):
    if fault == "refused connections":
        system.network.refuse(_engine_address(system))
    elif fault == "break in the send":
        system.network.break_sends(_engine_address(system))
    elif fault != "nothing":
        submissions.inject_faults(system, "prov", fault)


async def _run(prepare, action):
    async with submissions.open_system() as system:
        prepare(system)
        return await action(system)


def _send(context, headers):
    async def action(system):
        return await submissions.send(system, PROMPT, headers)

    context.seen = cluster.run_seeded(_run, context.prepare, action)


@behave.given('the next request encounters "{fault}" at its engine')
def plan_fault(context, fault):
    """Prepare a fault."""
    context.prepare = lambda system: _inject_fault(system, fault)


@behave.given('all engines refuse after "{first}"')
def plan_refusals(context, first):
    """Prepare a fault followed by refusals."""

    def prepare(system):
        refusals = ["refuse before the start"] * 3
        submissions.inject_faults(system, "prov", first, *refusals)
        submissions.inject_faults(system, "nunoa", *refusals)

    context.prepare = prepare


@behave.given("the request must wait for {wait}")
def plan_wait(context, wait):
    """Prepare what the request waits for."""
    context.headers = {}
    if wait == "its claim":
        context.headers = {**NON_IDEMPOTENT, "Idempotency-Key": "sheet-7"}
        context.prepare = lambda system: system.network.cut("prov", "platform")
        return

    def prepare(system):
        system.engine(submissions.leader(system)).paused = trio.Event()

    context.prepare = prepare


@behave.given("every engine fails each request after its start")
def plan_failures(context):
    """Prepare more failures than there are attempts."""

    def prepare(system):
        for domain in submissions.PLAN.failure_domains:
            kinds = ["fail after the start"] * (3 * BURST)
            submissions.inject_faults(system, domain, *kinds)

    context.prepare = prepare


@behave.when("a non-idempotent request is sent")
def send_non_idempotent(context):
    """Send a request that must run at most once."""
    _send(context, NON_IDEMPOTENT)


@behave.when("an idempotent request is sent")
@behave.when("a idempotent request is sent")
def send_idempotent(context):
    """Send a request that may run again."""
    _send(context, {})


@behave.when("a request with a deadline of {deadline:d} ms is sent")
def send_with_deadline(context, deadline):
    """Send a request with a deadline."""
    _send(context, {**context.headers, "X-Deadline-Ms": str(deadline)})


@behave.when("a caller disconnects after {count:d} parts")
def disconnect(context, count):
    """Close the caller's connection during a stream."""

    async def action(system):
        body = {
            "model": submissions.SERVICE,
            "stream": True,
            "max_tokens": 1000,
            "messages": [{"role": "user", "content": PROMPT}],
        }
        async with system.client("prov") as http:
            async with http.stream(
                "POST", submissions.URL, json=body
            ) as answer:
                lines = 0
                async for line in answer.aiter_lines():
                    lines += line.startswith("data: ")
                    if lines == count:
                        break
        await trio.sleep(1.0)
        runs = system.engine(submissions.leader(system)).runs.values()
        return [run.state for run in runs]

    context.states = cluster.run_seeded(_run, lambda system: None, action)


@behave.when("{count:d} idempotent requests are sent")
def send_many(context, count):
    """Send many requests sequentially."""

    async def action(system):
        seen = []
        for index in range(count):
            seen.append(await submissions.send(system, f"{PROMPT} {index}"))
        return seen

    context.all_seen = cluster.run_seeded(_run, context.prepare, action)


@behave.then('its caller gets the verdict "{verdict}"')
def check_verdict(context, verdict):
    """Compare the verdict."""
    assert context.seen.verdict == verdict, context.seen


@behave.then("engines ran it {runs:d} times")
def check_runs(context, runs):
    """Compare with the engines' own logs."""
    assert context.seen.runs == runs, context.seen


@behave.then("the answer is complete if the verdict is completed")
def check_answer(context):
    """Compare with the complete text for the prompt."""
    expected = submissions.expected_answer(PROMPT)
    if context.seen.verdict == "completed":
        assert context.seen.text == expected, context.seen
    assert expected.startswith(context.seen.text), context.seen


@behave.then("a retry is {advice}")
def check_retry_advice(context, advice):
    """Check whether a retry is advised."""
    advised = context.seen.retry_after is not None
    assert advised == (advice == "advised"), context.seen


@behave.then("the answer came after {deadline:d} ms")
def check_time(context, deadline):
    """Compare the time of the answer."""
    late_s = context.seen.elapsed_s - deadline / 1000
    assert math.isclose(late_s, 0.0, abs_tol=TOLERANCE_S), context.seen


@behave.then("the engine stops its run within 1 second")
def check_cancelled(context):
    """Compare the states of the runs."""
    assert context.states == ["cancelled"], json.dumps(context.states)


@behave.then("at most {count:d} of them were retried")
def check_budget(context, count):
    """Count the runs after the first ones."""
    again = sum(seen.runs - 1 for seen in context.all_seen)
    assert 0 < again <= count, again
