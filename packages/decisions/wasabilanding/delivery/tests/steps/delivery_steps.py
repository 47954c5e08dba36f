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
    """Feed any order of parts."""

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
    "each answer is passed on once, in order, and is whole at its end"
)
def check_arrivals(context):
    """Run the examples."""
    context.check()


@behave.when("any one part of an answer is lost")
def lose(context):
    """Leave one part out."""
    context.seen = []
    for lost in range(MAX_PARTS):
        order = delivery.PartReassembler()
        for offset in range(MAX_PARTS):
            if offset != lost:
                order.accept(offset, b"part")
        order.end(MAX_PARTS)
        context.seen.append((lost, order))


@behave.then("the answer is not whole and goes on from the lost part")
def check_gap(context):
    """Compare where each answer goes on."""
    for lost, order in context.seen:
        assert not order.is_complete, lost
        assert order.next_offset == lost, (lost, order.next_offset)


@behave.when("a node relays {streams:d} streams with a part each {ms:d} ms")
def relay(context, streams, ms):
    """Ask for the pause."""
    context.interval_ms = ms
    context.pause_ms = (
        delivery.coalescing_delay_s(streams, ms / MS_PER_S) * MS_PER_S
    )


@behave.then("each is read once per {parts:d} parts")
def check_parts(context, parts):
    """Count the parts that came by the end of the pause, with the first."""
    came = 1 + int(context.pause_ms / context.interval_ms)
    assert came == parts, (came, context.pause_ms)


@behave.then("the gap between reads stays under 39 ms beyond one interval")
def check_pause(context):
    """Compare the time between reads, which is a whole number of parts."""
    parts = 1 + int(context.pause_ms / context.interval_ms)
    gap_ms = parts * context.interval_ms
    assert gap_ms < MAX_GAP_MS or parts == 1, gap_ms
