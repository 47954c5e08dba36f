"""Steps for the simulated engine."""

import behave
import trio
import trio.testing

from wasabilanding import standins

ORDER = {
    "replica_id": "r",
    "epoch": 1,
    "members": ("vm",),
    "model": "tarifa",
    "version": "v1",
}
BLOCK_CHARS = 256


def _run(context, scenario):
    async def main():
        async def fetch(wanted):
            await trio.lowlevel.checkpoint()

        async with trio.open_nursery() as nursery:
            fleet = standins.Fleet(nursery, fetch)
            engine = fleet.add("vm", context.settings)
            await engine.load(ORDER)
            context.found = await scenario(engine)
            nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)


def _prompt(name, blocks):
    return (name * BLOCK_CHARS * blocks)[: BLOCK_CHARS * blocks]


async def _wait_parts(run, parts):
    while run.generated < parts:
        await run.changed.wait()


@behave.given(
    "an engine with steps of {step:g} ms, {slope:g} ms per request, "
    "{token:g} ms per token"
)
def engine(context, step, slope, token):
    """Set the durations."""
    context.settings = standins.EngineSettings(
        step_s=step / 1000,
        step_slope_s=slope / 1000,
        prefill_token_s=token / 1000,
        cache_blocks=8,
    )


@behave.when(
    "{requests:d} requests with prompts of {blocks:d} blocks start together"
)
def start(context, requests, blocks):
    """Start requests and record the times of their parts."""

    async def scenario(engine):
        runs = [
            engine.start(str(n), _prompt(str(n), blocks), 4)
            for n in range(requests)
        ]
        times = []
        for parts in (1, 2):
            for run in runs:
                await _wait_parts(run, parts)
            times.append(trio.current_time())
        return times

    _run(context, scenario)


@behave.then(
    "each has its first part after {first:g} ms and its second {step:g} later"
)
def check_times(context, first, step):
    """Compare the times."""
    one, two = (1000 * time for time in context.found)
    assert abs(one - first) < 1e-6, one
    assert abs(two - one - step) < 1e-6, two - one


@behave.when("a prompt of 2 blocks is repeated after {between:d} other blocks")
def repeat(context, between):
    """Send a prompt, others, and the prompt again."""

    async def scenario(engine):
        prompts = [_prompt("a", 2)]
        prompts += [_prompt(chr(98 + n), 1) for n in range(between)]
        prompts.append(_prompt("a", 2))
        for number, prompt in enumerate(prompts):
            run = engine.start(str(number), prompt, 1)
            await run.ended.wait()
        return run.cached_blocks

    _run(context, scenario)


@behave.then("{cached:d} of its blocks were cached")
def check_cached(context, cached):
    """Compare the number of cached blocks."""
    assert context.found == cached, context.found


@behave.given("an engine whose batch holds 1 request")
def small_batch(context):
    """Set the sizes of the batch and the queue."""
    context.settings = standins.EngineSettings(max_running=1, max_queued=2)


@behave.when("requests of priority {priorities} arrive in this order")
def start_in_order(context, priorities):
    """Start requests and record the order in which they end."""

    async def scenario(engine):
        order = []

        async def follow(run):
            await run.ended.wait()
            order.append(int(run.attempt_id))

        async with trio.open_nursery() as nursery:
            for number, priority in enumerate(priorities.split(", ")):
                run = engine.start(str(number), "p", 3, int(priority))
                nursery.start_soon(follow, run)
                await trio.sleep(0.001)
        return order

    _run(context, scenario)


@behave.then("they finish in the order {order}")
def check_order(context, order):
    """Compare the order."""
    assert context.found == [int(part) for part in order.split(", ")]


@behave.when("a long request is cancelled while another waits")
def cancel(context):
    """Cancel the running request."""

    async def scenario(engine):
        first = engine.start("first", "p", 1000)
        second = engine.start("second", "p", 10)
        await trio.sleep(0.1)
        assert second.generated == 0
        first.end("cancelled")
        started_at = trio.current_time()
        await _wait_parts(second, 1)
        return trio.current_time() - started_at

    _run(context, scenario)


@behave.then("the other has its first part within two steps")
def check_slot_freed(context):
    """Compare the time."""
    assert context.found <= 0.016 + 1e-9, context.found


@behave.when("it holds 3 requests and may queue 2")
def fill(context):
    """Fill the batch and the queue, then cancel one request."""

    async def scenario(engine):
        states = [engine.is_full]
        runs = [engine.start(str(n), "p", 100) for n in range(3)]
        await trio.sleep(0.01)
        states.append(engine.is_full)
        runs[2].end("cancelled")
        states.append(engine.is_full)
        return states

    _run(context, scenario)


@behave.then("it is full until one of them ends")
def check_full(context):
    """Compare whether the engine was full at each point."""
    assert context.found == [False, True, False], context.found


@behave.given("an engine that reports its load {lag:g} s late")
def late_load(context, lag):
    """Set the delay of the load reports."""
    context.settings = standins.EngineSettings(report_lag_s=lag)


@behave.when("a request starts and {passed:g} s pass")
def let_pass(context, passed):
    """Start a long request."""

    async def scenario(engine):
        await trio.sleep(1.0)
        engine.start("one", "p", 1000)
        await trio.sleep(passed)
        return engine.status()["running"]

    _run(context, scenario)


@behave.then("it reports {running:d} running")
def check_running(context, running):
    """Compare the reported number of running requests."""
    assert context.found == running, context.found


@behave.given("an engine that publishes events 1 s late and loses each 3rd")
def late_events(context):
    """Set the delay and the loss of cache events."""
    context.settings = standins.EngineSettings(
        event_lag_s=1.0, event_lost_every=3
    )


@behave.when(
    "a prompt of {blocks:d} blocks is prefilled and {passed:g} s pass"
)
def prefill(context, blocks, passed):
    """Run a request."""

    async def scenario(engine):
        text = "".join(f"{n:08d}" for n in range(blocks * BLOCK_CHARS // 8))
        run = engine.start("one", text, 1)
        await run.ended.wait()
        await trio.sleep(passed)
        return {
            after: [e.sequence for e in engine.cache_events(after).events]
            for after in (0, 2)
        }

    _run(context, scenario)


@behave.then("the events after {after:d} are {published}")
def check_events(context, after, published):
    """Compare the sequence numbers."""
    wanted = [] if published == "none" else published.split(",")
    assert context.found[after] == [int(n) for n in wanted], context.found


@behave.when("it slows down by {factor:g} and a request starts")
def slow_down(context, factor):
    """Slow the engine down and run a request."""

    async def scenario(engine):
        engine.slow_down(factor)
        run = engine.start("one", "", 2)
        await _wait_parts(run, 1)
        return trio.current_time()

    _run(context, scenario)


@behave.then("its first part comes after {first:g} ms")
def check_first_part(context, first):
    """Compare the time."""
    assert abs(1000 * context.found - first) < 1e-6, context.found
