"""Steps for held and returning endpoints."""

import behave
import holds_machine

NOW_S = 100.0
MANY = 50
ACCEPTED = {"accepted": True, "refused": False, "lost": None}


@behave.given("{name} is held at {at:g} s for {seconds:g} s")
def given_held(context, name, at, seconds):
    """Hold an endpoint."""
    context.tracker.holds.hold(name, at, seconds)


@behave.given("a request was admitted to near at {at:g} s")
def given_admitted(context, at):
    """Admit a request that is not sent yet."""
    context.ticket = context.tracker.holds.admit("near", at)


@behave.when('near returns at 100 s and its requests are "{replies}"')
def reply(context, replies):
    """Send requests one by one, each with its reply."""
    holds = context.tracker.holds
    for word in replies.split():
        ticket = holds.admit("near", NOW_S)
        holds.settle(ticket, ACCEPTED[word])


@behave.when("{which} start of near is seen at {at:g} s")
def see_start(context, which, at):
    """Look at the registered start, as a node does each second."""
    started_at_ms = {"the same": 0, "another": 1, "no": None}[which]
    context.tracker.holds.end_with_starts(lambda name: started_at_ms, at)


@behave.when('near returns at 100 s and its requests are ""')
def reply_nothing(context):
    """Send no requests."""


@behave.when("near returns at 100 s and accepts {count:d} requests")
def accept(context, count):
    """Accept requests one by one."""
    reply(context, "accepted " * count)


@behave.when("the earlier request is accepted")
def accept_earlier(context):
    """Reply to the request that was sent before the hold."""
    context.tracker.holds.settle(context.ticket, True)


@behave.then("the earlier request may still be sent: {expected}")
def check_valid(context, expected):
    """Check whether the ticket is still valid."""
    is_valid = context.tracker.holds.is_valid(context.ticket)
    assert is_valid is (expected == "yes")


@behave.then("a request is admitted to near at {at:g} s: {expected}")
def check_admitted(context, at, expected):
    """Compare the decision on one request."""
    holds = context.tracker.holds
    may_send = "near" not in holds.closed(at)
    assert may_send is (holds.admit("near", at) is not None)
    assert may_send is (expected == "yes")


@behave.then("near receives {count:d} more requests at once")
def check_window(context, count):
    """Count the requests that are admitted without a reply."""
    holds = context.tracker.holds
    tickets = [holds.admit("near", NOW_S) for _ in range(MANY)]
    admitted = sum(ticket is not None for ticket in tickets)
    assert admitted == count, admitted


@behave.then("it goes nowhere")
def check_nowhere(context):
    """Check that no endpoint is chosen."""
    assert context.chosen is None, context.chosen


@behave.then("the first endpoint returns {seconds:g} s later")
def check_wait(context, seconds):
    """Compare the shortest wait."""
    holds = context.tracker.holds
    assert holds.wait_s(context.candidates, NOW_S) == seconds


@behave.when("requests and holds come in any order to a node {kind}")
def search(context, kind):
    """Search for an order of events that violates a property."""
    context.violation = holds_machine.search(holds_machine.HOLDS[kind])


@behave.then("the violation found is {violation}")
def check_violation(context, violation):
    """Compare the violation."""
    assert context.violation == violation, context.violation
