"""Steps for requests that end endpoints."""

import dataclasses
import functools
import json

import behave
import trio

from wasabilanding import fleet
from wasabilanding.gateway import plain_wire
from wasabilanding.gateway.tests.steps import notices_steps

OBSERVE_INTERVAL_S = 1.0
# A time after the end of each run, on its mock clock.
AFTER_RUN_S = 20.0
# Times at which ended endpoints start again, a second apart.
RESTARTS = 20


@behave.given('requests for "{target}" end endpoints')
def given_ending(context, target):
    """Let a request end each endpoint that runs it."""
    context.system.endpoints.ending_paths.add(target.encode())


@behave.given("e0 makes progress at {at:g} s")
def given_progress(context, at):
    """Let another node report progress of the endpoint."""

    async def progress():
        endpoint = fleet.Incarnation("e0", 0)
        context.system.tracker.record_progress(endpoint, trio.current_time())

    notices_steps.timeline_of(context).add(at, progress)


@behave.given("e0 is removed, and {state} at {at:g} s")
def given_removal(context, state, at):
    """Remove the registration of the endpoint."""

    async def remove():
        context.system.view.registry.remove("e0", trio.current_time())
        if state == "is dead":
            context.system.endpoints.scripts["e0"] = "unreachable"

    notices_steps.timeline_of(context).add(at, remove)


@behave.given("the node looks after broken connections for {seconds:d} s")
def given_clean_up(context, seconds):
    """Let the node observe, as its clean-up does."""

    async def observe():
        for _ in range(seconds + 2):
            await trio.sleep(OBSERVE_INTERVAL_S)
            await context.system.crash_guard.observe()

    notices_steps.timeline_of(context).add(0.0, observe)


def _ask(context, target, body, at, headers=()):
    timeline = notices_steps.timeline_of(context)
    asked = functools.partial(
        timeline.ask, target.encode(), body.encode(), headers
    )
    if not hasattr(context, "answers"):
        context.answers = {}

    async def ask():
        number = len(timeline.callers)
        await asked()
        context.answers[at] = timeline.callers[number]

    timeline.add(at, ask)


@behave.given(
    'a request for "{target}" with body "{body}" is sent at {at:g} s'
)
def given_request(context, target, body, at):
    """Send one request later."""
    _ask(context, target, body, at)


def _ask_with_parts(context, parts, times):
    """Send requests that have nothing but some parts in common."""
    headers = ((plain_wire.PARTS, parts.encode()),)
    for at in times.split():
        target = f"/{parts}/{at}"
        _ask(context, target, f"body at {at}", float(at), headers)


@behave.given('part "{part}" of a prompt ends endpoints')
def given_ending_part(context, part):
    """Let an answer on a part end each endpoint."""
    context.system.endpoints.ending_parts.add(part)


@behave.given(
    'part "{part}" of a prompt ends endpoints from {begin:g} s to {end:g} s'
)
def given_ending_part_for_a_while(context, part, begin, end):
    """Let an answer on a part end each endpoint, which starts again."""
    timeline = notices_steps.timeline_of(context)
    endpoints = context.system.endpoints

    async def turn_bad():
        endpoints.ending_parts.add(part)

    async def mend():
        endpoints.ending_parts.discard(part)

    async def start_again():
        for name, script in endpoints.scripts.items():
            if script == "unreachable":
                endpoints.scripts[name] = "answer"
                registration = dataclasses.replace(
                    endpoints.endpoint(name),
                    started_at_ms=int(trio.current_time()),
                )
                context.system.view.registry.put(registration)

    timeline.add(begin, turn_bad)
    timeline.add(end, mend)
    for number in range(RESTARTS):
        timeline.add(begin + number, start_again)


@behave.given('requests with parts "{parts}" are sent at {times} s')
def given_parts(context, parts, times):
    """Send requests later."""
    _ask_with_parts(context, parts, times)


@behave.when('requests with parts "{parts}" are sent at {times} s')
def send_parts(context, parts, times):
    """Send requests and run the timeline."""
    _ask_with_parts(context, parts, times)
    context.timeline.run()


@behave.when('requests for "{target}" are sent at {times} s')
def send(context, target, times):
    """Send requests and run the timeline."""
    for at in times.split():
        _ask(context, target, "body", float(at))
    context.timeline.run()


@behave.then("{count:d} requests are suspected")
def check_suspected(context, count):
    """Compare the number of suspected requests, which no one has cleared."""
    found = context.system.crash_guard.suspected_count(AFTER_RUN_S)
    assert found == count, found


@behave.then("{count:d} endpoints have ended")
def check_all_ended(context, count):
    """Compare the number of endpoints that have ended."""
    found = context.system.endpoints.ended
    assert found.total() == count, found


@behave.then(
    '{count:d} endpoints have ended under "{target}" with body "{body}"'
)
def check_ended(context, count, target, body):
    """Compare the number of endpoints that a request has ended."""
    found = context.system.endpoints.ended
    assert found[target.encode(), body.encode()] == count, found


@behave.then(
    'the request at {at:g} s gets {status:d} "{reason}" within {bound:g} s, '
    "to return in {least:g} to {most:g} s"
)
def check_rejection(context, at, status, reason, bound, least, most):
    """Compare a rejection."""
    answer = context.answers[at]
    assert answer.status == status, (answer.status, answer.body)
    assert json.loads(answer.body)["error"]["reason"] == reason, answer.body
    assert answer.took_s <= bound, answer.took_s
    assert least <= float(answer.headers[b"retry-after"]) <= most


@behave.then("its answer has {count:d} events and {end}")
def check_events(context, count, end):
    """Compare the events that the first caller has got."""
    (answer,) = context.answers.values()
    assert answer.body.count(b"data: ") == count, answer.body
    assert answer.is_whole == (end == "is complete"), answer.is_whole


@behave.then("the request at {at:g} s gets {status:d}")
def check_status(context, at, status):
    """Compare the status of an answer."""
    answer = context.answers[at]
    assert answer.status == status, (answer.status, answer.body)
