"""Steps for the delivery of parts."""

import behave
import hypothesis
from hypothesis import strategies

from wasabilanding import delivery

MS_PER_S = 1000
MAX_GAP_MS = 39
MAX_PARTS = 12
CHECKED = hypothesis.settings(
    derandomize=True, max_examples=200, database=None, deadline=None
)


@strategies.composite
def _arrivals(draw):
    length = draw(strategies.integers(1, MAX_PARTS))
    repeats = draw(strategies.lists(strategies.integers(0, length - 1)))
    order = draw(strategies.permutations([*range(length), *repeats]))
    return length, order


@behave.when("parts of answers arrive in any order with repeats")
def arrive(context):
    """Define the check of one order of arrival."""

    @CHECKED
    @hypothesis.given(_arrivals())
    def check(arrivals):
        length, offsets = arrivals
        order = delivery.PartReassembler()
        order.end(length)
        passed = []
        for offset in offsets:
            assert not order.is_complete or len(passed) == length
            passed += order.accept(offset, b"%d" % offset)
        assert passed == [b"%d" % offset for offset in range(length)]
        assert order.is_complete

    context.check = check


@behave.then(
    "each answer is passed on once, in order, and is complete at its end"
)
def check_arrivals(context):
    """Check generated orders of arrival."""
    context.check()


@behave.when("any one part of an answer is lost")
def lose(context):
    """Omit each part in turn."""
    context.seen = []
    for lost in range(MAX_PARTS):
        order = delivery.PartReassembler()
        for offset in range(MAX_PARTS):
            if offset != lost:
                order.accept(offset, b"part")
        order.end(MAX_PARTS)
        context.seen.append((lost, order))


@behave.then("the answer is not complete and resumes from the lost part")
def check_gap(context):
    """Compare the offsets from which the answers resume."""
    for lost, order in context.seen:
        assert not order.is_complete, lost
        assert order.next_offset == lost, (lost, order.next_offset)


@behave.when("a node relays {streams:d} streams with a part every {ms:d} ms")
def relay(context, streams, ms):
    """Compute the delay."""
    context.interval_ms = ms
    context.pause_ms = (
        delivery.coalescing_delay_s(streams, ms / MS_PER_S) * MS_PER_S
    )


@behave.then("each stream is read once per {parts:d} parts")
def check_parts(context, parts):
    """Count the parts that arrive by the end of the delay."""
    came = 1 + int(context.pause_ms / context.interval_ms)
    assert came == parts, (came, context.pause_ms)


@behave.then("the time between reads is below 39 ms or equals one interval")
def check_pause(context):
    """Check the time between reads, a whole number of intervals."""
    parts = 1 + int(context.pause_ms / context.interval_ms)
    gap_ms = parts * context.interval_ms
    assert gap_ms < MAX_GAP_MS or parts == 1, gap_ms
