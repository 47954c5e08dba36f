"""Steps for the choice of an endpoint."""

import collections
import dataclasses
import random

import behave

from wasabilanding import dispatch
from wasabilanding import fleet

RECENT_S = 99.95
PEER_LOAD_TTL_S = 1.5


def start_of(context, name):
    """Return the start of an endpoint that is registered now."""
    return fleet.incarnation_of(context.candidates[name].endpoint)


def _candidate(name):
    endpoint = fleet.Endpoint(name, "writer", "10.0.0.1", 80, name)
    return dispatch.Candidate(endpoint, slots=9)


@behave.given(
    "endpoints near with {near:d} and far with {far:d} requests in flight"
)
def given_endpoints(context, near, far):
    """Create two endpoints with requests in flight."""
    context.tracker = dispatch.EndpointTracker()
    context.candidates = {n: _candidate(n) for n in ("near", "far")}
    for name, count in (("near", near), ("far", far)):
        for _ in range(count):
            context.tracker.begin(start_of(context, name), RECENT_S)
        context.tracker.record_progress(start_of(context, name), RECENT_S)


@behave.given(
    "another node reported {count:d} requests in flight to near at {at:g} s"
)
def given_peer_load(context, at, count):
    """Process a load report of another node."""
    context.tracker.update_peer_load(
        "other", {"near": count} if count else {}, at
    )


@behave.given(
    "endpoints of 9 slots with {first:d}, {second:d} and {third:d} requests "
    "in flight"
)
def given_three(context, first, second, third):
    """Create three endpoints of one failure domain."""
    context.tracker = dispatch.EndpointTracker()
    context.candidates = {}
    for name, count in (("a", first), ("b", second), ("c", third)):
        endpoint = dataclasses.replace(
            _candidate(name).endpoint, failure_domain="near"
        )
        context.candidates[name] = dispatch.Candidate(endpoint, slots=9)
        for _ in range(count):
            context.tracker.begin(start_of(context, name), RECENT_S)
        context.tracker.record_progress(start_of(context, name), RECENT_S)


@behave.when(
    "{count:d} requests are sent at once by nodes that do not know of each "
    "other"
)
def send_unaware(context, count):
    """Choose an endpoint for each request, without counting the others."""
    rng = random.Random(1)
    context.received = collections.Counter(
        dispatch.choose(
            context.candidates.values(), context.tracker, "near", 100.0, rng
        ).endpoint.endpoint_id
        for _ in range(count)
    )


@behave.then(
    "the endpoints receive at least {first:d}, {second:d} and {third:d} of "
    "them"
)
def check_received(context, first, second, third):
    """Compare the requests of each endpoint."""
    least = {"a": first, "b": second, "c": third}
    for name, count in least.items():
        assert context.received[name] >= count, context.received


@behave.then("near receives at least {least:d} and at most {most:d} of them")
def check_near(context, least, most):
    """Compare the requests that stay in the failure domain."""
    assert least <= context.received["near"] <= most, context.received


@behave.given("near is avoided until {until:g} s")
def given_avoided(context, until):
    """Avoid an endpoint after a failure."""
    context.tracker.avoid(start_of(context, "near"), until - 1.0, 1.0)


@behave.given("near has been silent since {since:g} s")
def given_silent(context, since):
    """Set the time of the last progress."""
    record = context.tracker.record(start_of(context, "near"))
    record.progress_at = record.waiting_since = since


@behave.given("near lost a member and worked last at {at:g} s")
def given_incomplete(context, at):
    """Mark the replica as incomplete, without requests in flight."""
    near = context.candidates["near"]
    context.candidates["near"] = dataclasses.replace(near, is_incomplete=True)
    context.tracker.end(start_of(context, "near"))
    context.tracker.record(start_of(context, "near")).progress_at = at


@behave.given("{name} last made progress at {at:g} s")
def given_progress(context, name, at):
    """Set the time of the last progress."""
    context.tracker.record(start_of(context, name)).progress_at = at


@behave.given("another node reports progress of near at {at:g} s")
@behave.when("near makes progress at {at:g} s")
def given_progress_elsewhere(context, at):
    """Process a progress report of another node."""
    context.tracker.record_peer_progress(start_of(context, "near"), at)


@behave.when("another node reports at {at:g} s that near is silent")
def report_silent(context, at):
    """Process a silence report of another node."""
    context.is_new = context.tracker.record_silence(
        start_of(context, "near"), at
    )


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
    """Compare the chosen endpoint."""
    assert context.chosen.endpoint.endpoint_id == name, context.chosen


@behave.then("near counts as silent: {expected}")
def check_silent(context, expected):
    """Check whether a planner would probe the endpoint."""
    silent = context.tracker.silent_endpoints(100.0, 0.5)
    is_silent = start_of(context, "near") in silent
    assert is_silent is (expected == "yes")


@behave.when("near starts again")
def start_again(context):
    """Register the next start of the endpoint."""
    near = context.candidates["near"]
    context.previous = start_of(context, "near")
    endpoint = dataclasses.replace(near.endpoint, started_at_ms=1)
    context.candidates["near"] = dataclasses.replace(near, endpoint=endpoint)


@behave.then("the previous start of near counts as silent: {expected}")
def check_previous_silent(context, expected):
    """Check whether requests to the previous start wait for nothing."""
    silent = context.tracker.silent_endpoints(100.0, 0.5)
    assert (context.previous in silent) is (expected == "yes")


@behave.then(
    "at {now:g} s near is silent while another makes progress: {expected}"
)
def check_only_silent(context, now, expected):
    """Check whether the endpoint alone is silent."""
    is_silent = context.tracker.is_silent_unlike_others(
        start_of(context, "near"), now
    )
    assert is_silent is (expected == "yes")


@behave.then("the report is new: {expected}")
def check_new(context, expected):
    """Check whether the report would be passed on and logged."""
    assert context.is_new is (expected == "yes")


@behave.when(
    "{count:d} random reports of {nodes:d} nodes arrive, and the outdated "
    "ones are dropped"
)
def receive_random_reports(context, count, nodes):
    """Compare the load after each report with the sum of the latest ones."""
    rng = random.Random(count)
    names = ("e0", "e1", "e2", "e3")
    tracker = dispatch.EndpointTracker()
    latest = {}
    context.differences = []
    now = 100.0
    for _ in range(count):
        now += rng.choice((0.1, 0.1, 0.8))
        load = {n: rng.randrange(4) for n in names if rng.random() < 0.6}
        node = f"n{rng.randrange(nodes)}"
        latest[node] = (now, load)
        tracker.update_peer_load(node, load, now)
        if rng.random() < 0.3:
            tracker.drop_expired(now)
            latest = {
                n: report
                for n, report in latest.items()
                if now - report[0] <= PEER_LOAD_TTL_S
            }
        for name in names:
            expected = sum(load.get(name, 0) for _, load in latest.values())
            if tracker.load(fleet.Incarnation(name, 1)) != expected:
                context.differences.append((now, name, expected))


@behave.then(
    "the load was the sum of the latest report of each node throughout"
)
def check_random_reports(context):
    """Check that there was no difference."""
    assert not context.differences, context.differences[:3]
