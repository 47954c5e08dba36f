"""Steps for shares that follow demand."""

import math

import behave

from wasabilanding import assembly
from wasabilanding import routes

VMS = 160
SLOTS = 10
LARGE = routes.ModelSpec("large", 8, 0.5, 1.0, 16.0, 1.6)
SMALL = routes.ModelSpec("small", 2, 0.5, 0.6, 12.0, 1.1)
TOLERANCE = 0.005


class _Replay:
    """Feeds an estimate once a second."""

    def __init__(self):
        spec = routes.EngineSpec(SLOTS, (LARGE, SMALL), 7.0)
        self.estimate = assembly.DemandEstimate(spec)
        self.now = 0.0
        self.changes = 0

    def observe(self, large, small):
        """Observe VMs that are kept busy."""
        requests = {
            "large": large * SLOTS / LARGE.size,
            "small": small * SLOTS / SMALL.size,
        }
        self.changes += self.estimate.update(requests, VMS, self.now)
        self.now += 1.0


def _replay(context):
    if not hasattr(context, "replay"):
        context.replay = _Replay()
    return context.replay


@behave.given(
    "demand keeps {large:d} and {small:d} VMs busy for {seconds:d} s"
)
def keep_busy(context, large, small, seconds):
    """Replay a constant load."""
    for _ in range(seconds):
        _replay(context).observe(large, small)


@behave.given(
    "demand of {share:g} of the VMs swings by {swing:g} with a period of "
    "{period:d} s for {seconds:d} s"
)
def swing(context, share, swing, period, seconds):
    """Replay a periodic load."""
    for second in range(seconds):
        factor = 1 + swing * math.sin(2 * math.pi * second / period)
        busy = VMS * share * factor / 2
        _replay(context).observe(busy, busy)


@behave.then("the share of the large model is {share}")
def check_share(context, share):
    """Compare the share in force."""
    low, _, high = share.partition(" to ")
    found = context.replay.estimate.spec.model("large").share
    low, high = float(low) - TOLERANCE, float(high or low) + TOLERANCE
    assert low <= found <= high, found


@behave.then("the shares have changed {count:d} times")
def check_changes(context, count):
    """Compare how often the shares have changed."""
    assert context.replay.changes == count, context.replay.changes
