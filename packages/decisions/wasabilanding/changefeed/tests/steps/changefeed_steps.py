"""Steps for the change feed."""

import behave

from wasabilanding import changefeed
from wasabilanding import fleet
from wasabilanding import model

# Number before the first one after a restart.
SECOND_RUN = 1000
ERA = 3


@behave.given("a log that was reset at revision {revision:d}")
def given_log(context, revision):
    """Create a log that knows all changes from a revision."""
    context.log = changefeed.ChangeLog()
    context.log.reset(_at(revision))


def _at(revision):
    return model.StoreRevision(ERA, revision)


@behave.step(
    "endpoint {name} is registered in state {state} at revision {revision:d}"
)
def register(context, name, state, revision):
    """Record a registration; the state stands for its content.

    After a tilde are the seconds for which the endpoint stays cold.
    """
    content, _, left_s = state.partition("~")
    endpoint = fleet.Endpoint(
        name, content, "10.0.0.1", 80, "z1", cold_left_s=float(left_s or 0)
    )
    context.log.record_endpoint(name, endpoint, _at(revision))
    context.log.advance(_at(revision))


@behave.step("endpoint {name} is removed at revision {revision:d}")
def remove(context, name, revision):
    """Record a removal."""
    context.log.record_endpoint(name, None, _at(revision))
    context.log.advance(_at(revision))


@behave.step("a segment is cut")
def cut(context):
    """Cut a segment."""
    context.segment = context.log.cut(0.1)


@behave.when("a reset happens at revision {revision:d}")
def reset(context, revision):
    """Reset the log."""
    context.log.reset(_at(revision))


@behave.when("a burst of changes happens at revision {revision:d}")
def burst(context, revision):
    """Record more changes than a segment holds."""
    for number in range(changefeed.MAX_CHANGES):
        context.log.record_item(f"own/{number}", "x", _at(revision))
    context.log.advance(_at(revision))


@behave.step(
    "endpoint {name} is registered in state {state} at revision {revision:d} "
    "of the next era"
)
def register_in_next_era(context, name, state, revision):
    """Record a registration after a restore of the store."""
    endpoint = fleet.Endpoint(name, state, "10.0.0.1", 80, "z1")
    at = model.StoreRevision(ERA + 1, revision)
    context.log.record_endpoint(name, endpoint, at)
    context.log.advance(at)


@behave.when("the store is restored and listed at revision {revision:d}")
def restore(context, revision):
    """Start the log anew from a listing of the next era."""
    context.log.replace((), model.StoreRevision(ERA + 1, revision))


@behave.then("the segment is of the next era, after {after:d} until {until:d}")
def check_segment(context, after, until):
    """Compare the revisions of the segment."""
    found = context.segment
    assert (found.era, found.after, found.until) == (ERA + 1, after, until)


@behave.then(
    "the segment covers revision {revision:d} of the {which} era: {covers}"
)
def check_covers_era(context, revision, which, covers):
    """Check whether a view of an era may apply the segment."""
    era = ERA + {"previous": -1, "same": 0, "next": 1}[which]
    found = context.segment.covers(model.StoreRevision(era, revision))
    assert found == (covers == "yes"), found


@behave.then('the segment covers "{covered}" of the revisions {revisions}')
def check_covered(context, covered, revisions):
    """Compare the revisions at which a view may apply the segment."""
    found = [
        revision
        for revision in revisions.split(", ")
        if context.segment.covers(_at(int(revision)))
    ]
    assert found == covered.split(), found


@behave.then('the segment lists "{names}"')
def check_listed(context, names):
    """Compare the endpoints added or changed."""
    found = sorted(e.endpoint_id for e in context.segment.endpoints)
    assert found == names.split(), found


@behave.then('the segment lists ""')
def check_nothing_listed(context):
    """Check that no endpoint is listed."""
    check_listed(context, "")


@behave.then('the segment removes "{names}"')
def check_removed(context, names):
    """Compare the endpoints removed."""
    found = sorted(context.segment.removed_endpoints)
    assert found == names.split(), found


@behave.then('the segment removes ""')
def check_nothing_removed(context):
    """Check that no endpoint is removed."""
    check_removed(context, "")


@behave.given("datagrams sent at 1, 2 and 3 s")
def given_datagrams(context):
    """Issue the numbers of three datagrams."""
    context.sent = changefeed.Confirmations(0)
    context.numbers = {at: context.sent.issue(at) for at in (1.0, 2.0, 3.0)}


@behave.when("the answer to the one at {sent:g} s states an age of {age:g} s")
def answer(context, sent, age):
    """Process an answer."""
    number = context.numbers[sent]
    context.as_of = context.sent.current_as_of(number, age)


@behave.then("the view was current at {as_of:g} s")
def check_as_of(context, as_of):
    """Compare the time."""
    assert context.as_of == as_of, context.as_of


@behave.when("the process starts again and sends datagrams at {first:g} s")
def restart(context, first):
    """Issue numbers as a restarted process does."""
    context.sent = changefeed.Confirmations(SECOND_RUN)
    for number in range(len(context.numbers)):
        context.sent.issue(first + number)


@behave.then("an answer to an earlier datagram confirms nothing")
def check_unknown(context):
    """Process the answers to the datagrams sent before the restart."""
    for number in context.numbers.values():
        assert context.sent.current_as_of(number, 0.0) is None
