"""Steps for the forwarding of a request."""

import dataclasses
import re

import behave
import trio
import trio.testing

from wasabilanding import fleet
from wasabilanding.gateway.tests import fakes
from wasabilanding import routes

ANSWERING = "answer"
NEVER_S = 3600.0
SILENT_AFTER_S = 0.35


def _scripts(text):
    parts = [part.strip() for part in text.split(",")]
    return {f"e{i}": part for i, part in enumerate(parts)}


@behave.given("{kind} requests of up to {attempts:d} attempts")
def given_requests(context, kind, attempts):
    """Make a routing table of one route."""
    resumable = kind.startswith("resumable ")
    name = kind.removeprefix("resumable ")
    context.routing = fakes.table(name, resumable, attempts)


@behave.given('endpoints that "{scripts}"')
def given_endpoints(context, scripts):
    """Make endpoints; the first attempt goes to the first one."""
    context.system = fakes.System(_scripts(scripts), context.routing)


@behave.given(
    'endpoints that "{scripts}" and are connected to in {seconds:g} s'
)
def given_distant_endpoints(context, scripts, seconds):
    """Make endpoints whose connections take a time."""
    given_endpoints(context, scripts)
    context.system.endpoints.connect_s = seconds


@behave.given("a route timeout of {seconds:g} s")
def given_timeout(context, seconds):
    """Change the route's timeout."""
    found = context.system.view.table
    route = dataclasses.replace(found.routes[0], timeout_s=seconds)
    changed = dataclasses.replace(found, routes=(route,))
    context.system.view.table = changed


@behave.given('requests that need the key "{key}"')
def given_key(context, key):
    """Make a routing table whose route needs a key."""
    holders = (routes.KeyHolder("c", frozenset((key,))),)
    found = fakes.table("unsafe", False, 1, holders=holders)
    context.system = fakes.System(_scripts(ANSWERING), found)


@behave.given("a node without a configuration")
def given_no_configuration(context):
    """Make a node that has no routing table yet."""
    context.system = fakes.System(_scripts(ANSWERING), None)


@behave.given("no retries are allowed")
def given_no_retries(context):
    """Set a retry budget of nothing."""
    context.system.settings = dataclasses.replace(
        context.system.settings, retry_ratio=0.0, retry_slack=0
    )


@behave.given("the silent endpoints are looked up at {at:g} s")
def given_look_up(context, at):
    """Set the time at which the tracker is asked."""
    context.look_up_at = at


async def _look_up_silent(context):
    """Record the endpoints that the node counts as silent."""
    await trio.sleep(getattr(context, "look_up_at", NEVER_S))
    context.silent = context.system.tracker.silent_endpoints(
        trio.current_time(), SILENT_AFTER_S
    )


@behave.then("no endpoint was silent")
def check_none_silent(context):
    """Check what the tracker has answered."""
    assert context.silent == frozenset(), context.silent


@behave.then(
    "the request to {name} ends {least:g} s or more before the answer"
)
def check_ended_early(context, name, least):
    """Compare the time at which the request to an endpoint was closed."""
    closed_at = context.system.endpoints.closed_at[name]
    assert context.caller.ended_at - closed_at >= least, closed_at


@behave.given("a caller that takes {seconds:g} s to read each part")
def given_slow_caller(context, seconds):
    """Set the time that the caller takes to read."""
    context.system.caller_read_s = seconds


@behave.given("the node stands still from {start:g} s on for {seconds:g} s")
def given_node_pause(context, start, seconds):
    """Set a pause in which none of the node's tasks run."""
    context.node_pause = (start, seconds)


async def _pause_node(clock, start_s, seconds):
    """Let all timers of a time span expire at the same moment."""
    await trio.sleep(start_s)
    clock.jump(seconds)


async def _report_progress(tracker, period_s):
    """Record progress of the first endpoint periodically."""
    while True:
        await trio.sleep(period_s)
        endpoint = fleet.Incarnation("e0", 0)
        tracker.record_progress(endpoint, trio.current_time())


@behave.given(
    "other nodes report progress of the first endpoint every {period:g} s"
)
def given_progress(context, period):
    """Set the interval of the reports."""
    context.progress_interval_s = period


def _ask(context, headers=(), wait_s=0.0):
    period_s = getattr(context, "progress_interval_s", NEVER_S)
    pause_at_s, pause_s = getattr(context, "node_pause", (NEVER_S, 0.0))
    clock = trio.testing.MockClock(autojump_threshold=0)

    async def run():
        context.system.view.mark_current(0.0)
        await trio.sleep(wait_s)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _report_progress, context.system.tracker, period_s
            )
            nursery.start_soon(_pause_node, clock, pause_at_s, pause_s)
            nursery.start_soon(_look_up_silent, context)
            caller = await context.system.ask(headers)
            nursery.cancel_scope.cancel()
        return caller

    context.caller = trio.run(run, clock=clock)


@behave.when("a request is sent")
def send(context):
    """Send a request and wait for its answer."""
    _ask(context)


@behave.when("a request is sent whose caller closes after {seconds:g} s")
def send_and_close(context, seconds):
    """Send a request; no task is told of its caller's close."""
    context.system.callers_close_at = seconds
    _ask(context)


@behave.then("{count:d} endpoints have got it")
def check_arrivals(context, count):
    """Compare the number of requests that have reached endpoints."""
    arrivals = context.system.endpoints.arrivals
    assert len(arrivals) == count, arrivals


@behave.then("the request ends within {most:g} s without an answer")
def check_ended(context, most):
    """Check that nothing more is done for a caller that has left."""
    caller = context.caller
    assert caller.took_s <= most, caller.took_s
    assert not caller.is_whole, caller.body


@behave.when("a request with a deadline of {deadline} s is sent")
def send_with_deadline(context, deadline):
    """Send a request of a caller that waits for a limited time."""
    _ask(context, ((b"x-deadline-s", deadline.encode()),))


@behave.when(
    "a request with key {key} arrives {age:g} s after the last confirmation"
)
def send_with_key(context, key, age):
    """Send a request with a key."""
    headers = () if key == "none" else ((b"x-key", key.encode()),)
    _ask(context, headers, age)


@behave.when(
    "a request for an unknown {what} arrives {age:g} s after the last "
    "confirmation"
)
def send_unknown(context, what, age):
    """Send a request with an unknown key, or for an unknown route."""
    if what == "route":
        found = context.system.view.table
        context.system.view.table = dataclasses.replace(found, routes=())
    _ask(context, ((b"x-key", b"k9"),), age)


@behave.then("it gets {status:d} and {runs:d} endpoints have run it")
def check_status(context, status, runs):
    """Compare the status and the runs."""
    caller = context.caller
    assert caller.status == status, (caller.status, caller.body)
    assert caller.is_whole, caller.body
    assert context.system.endpoints.runs.total() == runs


@behave.then(
    "it gets {status:d}, whole or not, and {runs:d} endpoints have run it"
)
def check_status_and_runs(context, status, runs):
    """Compare the status, also of a broken answer, and the runs."""
    caller = context.caller
    assert caller.status == status, (caller.status, caller.body)
    assert context.system.endpoints.runs.total() == runs, (
        context.system.endpoints.runs
    )


@behave.then("its caller got events {events}")
def check_delivered(context, events):
    """Compare the events that were delivered."""
    found = re.findall(rb"^id: (\d+)$", context.caller.body, re.MULTILINE)
    expected = []
    if events != "none":
        first, last = map(int, events.split("-"))
        expected = [b"%d" % number for number in range(first, last + 1)]
    assert found == expected, found


@behave.then("it gets {status:d}")
def check_status_alone(context, status):
    """Compare the status."""
    assert context.caller.status == status, context.caller.body


@behave.when("a request is sent {count:d} times")
def send_often(context, count):
    """Send a request repeatedly and keep the distinct answers."""
    context.answers = set()
    context.all_reported = set()
    for _ in range(count):
        context.system = fakes.System(
            context.system.endpoints.scripts, context.routing
        )
        _ask(context)
        context.answers.add((context.caller.is_whole, context.caller.body))
        context.all_reported.update(context.system.reported)


@behave.then("all answers are whole with events {first:d}-{last:d}")
def check_all_events(context, first, last):
    """Compare all answers byte for byte."""
    assert context.answers == {(True, _events(first, last))}, context.answers


@behave.then("no endpoint is ever reported to other nodes")
def check_never_reported(context):
    """Check the reports of all repetitions."""
    assert not context.all_reported, context.all_reported


def _events(first, last):
    return b"".join(
        f"id: {i}\ndata: {i}\n\n".encode() for i in range(first, last + 1)
    )


@behave.then("its answer is {whole} with events {first:d}-{last:d}")
def check_events(context, whole, first, last):
    """Compare the events byte for byte."""
    caller = context.caller
    assert caller.body == _events(first, last), caller.body
    assert caller.is_whole is (whole == "whole")


@behave.then('its answer is whole with the events "{numbers}"')
def check_numbers(context, numbers):
    """Compare the numbers of the events."""
    expected = b"".join(_events(int(n), int(n)) for n in numbers.split())
    assert context.caller.body == expected, context.caller.body
    assert context.caller.is_whole


@behave.then("its answer is broken and holds no events")
def check_no_events(context):
    """Look for events behind the beginning of another answer."""
    assert b"id:" not in context.caller.body, context.caller.body[-100:]
    assert not context.caller.is_whole


@behave.then("it takes at most {bound:g} s")
def check_time(context, bound):
    """Compare the time until the answer ended."""
    assert context.caller.took_s <= bound, context.caller.took_s


@behave.then("it takes at least {bound:g} s")
def check_least_time(context, bound):
    """Compare the time until the answer ended."""
    assert context.caller.took_s >= bound, context.caller.took_s


@behave.then("its answer has a Retry-After header: {comeback}")
def check_retry_after(context, comeback):
    """Look for the header."""
    has_header = b"retry-after" in context.caller.headers
    assert has_header is (comeback == "yes"), context.caller.headers


@behave.then('the endpoints reported to other nodes are "{names}"')
def check_reported(context, names):
    """Compare the endpoints reported as silent."""
    found = [endpoint.endpoint_id for endpoint in context.system.reported]
    assert found == names.split(), found


@behave.then('the endpoints reported to other nodes are ""')
def check_nothing_reported(context):
    """Check that no endpoint is reported."""
    check_reported(context, "")
