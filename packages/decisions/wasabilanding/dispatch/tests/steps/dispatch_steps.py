"""Steps for the choice of an endpoint."""

import dataclasses
import random

import behave

from wasabilanding import dispatch
from wasabilanding import fleet

RECENT_S = 99.95


def _candidate(name):
    endpoint = fleet.Endpoint(name, "writer", "10.0.0.1", 80, name)
    return dispatch.Candidate(endpoint, slots=9)


@behave.given(
    "endpoints near with {near:d} and far with {far:d} requests in flight"
)
def given_endpoints(context, near, far):
    """Make two endpoints with work."""
    context.tracker = dispatch.EndpointTracker()
    context.candidates = {n: _candidate(n) for n in ("near", "far")}
    for name, count in (("near", near), ("far", far)):
        for _ in range(count):
            context.tracker.begin(name, RECENT_S)
        context.tracker.record_progress(name, RECENT_S)


@behave.given(
    "another node told at {at:g} s that it has {count:d} in flight at near"
)
def given_told_load(context, at, count):
    """Learn what another node has in flight."""
    context.tracker.update_peer_load(
        "other", {"near": count} if count else {}, at
    )


@behave.given("near is avoided until {until:g} s")
def given_avoided(context, until):
    """Note a failure."""
    context.tracker.avoid("near", until - 1.0, 1.0)


@behave.given("near has been silent since {since:g} s")
def given_silent(context, since):
    """Note the last sign of work."""
    record = context.tracker.record("near")
    record.progress_at = record.waiting_since = since


@behave.given("near lost a member and worked last at {at:g} s")
def given_doubtful(context, at):
    """Let a member's registration lapse."""
    near = context.candidates["near"]
    context.candidates["near"] = dataclasses.replace(near, is_incomplete=True)
    context.tracker.end("near")
    context.tracker.record("near").progress_at = at


@behave.given("{name} worked last at {at:g} s")
def given_worked(context, name, at):
    """Note the last sign of work."""
    context.tracker.record(name).progress_at = at


@behave.given("another node tells that near worked at {at:g} s")
def given_worked_elsewhere(context, at):
    """Learn of a sign of work at another node."""
    context.tracker.record_progress("near", at)


@behave.when("another node tells at {at:g} s that near is silent")
def tell_silent(context, at):
    """Learn what another node has found."""
    context.is_news = context.tracker.record_silence("near", at)


@behave.when("a request is sent at {now:g} s")
def send(context, now):
    """Choose an endpoint."""
    context.tracker.drop_expired(now)
    context.chosen = dispatch.choose(
        context.candidates.values(),
        context.tracker,
        "near",
        now,
        random.Random(1),
    )


@behave.then("it goes to {name}")
def check_chosen(context, name):
    """Compare the endpoint."""
    assert context.chosen.endpoint.endpoint_id == name, context.chosen


@behave.then("near counts as silent: {expected}")
def check_silent(context, expected):
    """Look at the endpoints that a planner asks."""
    is_silent = "near" in context.tracker.silent_endpoints(100.0, 0.5)
    assert is_silent is (expected == "yes")


@behave.then("at {now:g} s others are told that near is silent: {expected}")
def check_told(context, now, expected):
    """Decide whether the silence is the endpoint's own."""
    told = context.tracker.is_silent_unlike_others("near", now)
    assert told is (expected == "yes")


@behave.then("it is news: {expected}")
def check_news(context, expected):
    """Tell whether others should be told, and a line be logged."""
    assert context.is_news is (expected == "yes")
