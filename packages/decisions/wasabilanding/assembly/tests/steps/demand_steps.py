"""Steps for shares that follow demand."""

import math

import behave

from wasabilanding import assembly
from wasabilanding import fleet
from wasabilanding import routes

VMS = 160
SLOTS = 10
LARGE = routes.ModelSpec("large", 8, 0.5, 1.0, 16.0, 1.6)
SMALL = routes.ModelSpec("small", 2, 0.5, 0.6, 12.0, 1.1)
TOLERANCE = 0.005
# Requests at a head without a limit.
USUAL_LOAD = 8


class _Replay:
    """Feeds an estimate once a second."""

    def __init__(self):
        spec = routes.EngineSpec(SLOTS, (LARGE, SMALL), 7.0)
        self.estimate = assembly.DemandEstimate(spec)
        self.now = 0.0
        self.changes = 0
        # VMs of the large model in open replicas; its share by default.
        self.open_vms = None

    def observe(self, large, small):
        """Observe VMs that are kept busy."""
        requests = {
            "large": large * SLOTS / LARGE.size,
            "small": small * SLOTS / SMALL.size,
        }
        shares = {m.name: m.share for m in self.estimate.spec.models}
        open_vms = {name: share * VMS for name, share in shares.items()}
        if self.open_vms is not None:
            open_vms["large"] = self.open_vms
        self.changes += self.estimate.update(requests, open_vms, VMS, self.now)
        self.now += 1.0


@behave.given("the large model has {count:d} VMs in open replicas")
def given_open(context, count):
    """Set the VMs that serve the large model from now on."""
    _replay(context).open_vms = count


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


@behave.when(
    "{count:d} of the {heads:d} large heads are limited for {seconds:d} s and "
    "then have no limit for {after:d} s"
)
def limit_heads(context, count, heads, seconds, after):
    """Replay heads that take nothing; the others carry 8 requests each."""
    replay = _replay(context)
    limited = assembly.LimitedHeads()
    spec = replay.estimate.spec
    context.shares = []
    for second in range(seconds + after):
        found = []
        for number in range(heads):
            is_limited = number < count and second < seconds
            start = fleet.Incarnation(f"e{number}", 1)
            requests = 0 if is_limited else USUAL_LOAD
            found.append(assembly.Head(start, "large", requests, is_limited))
        missing = limited.observe(found, spec, replay.now)
        busy = sum(head.requests for head in found) + missing.get("large", 0)
        # Demand for the other model stays in proportion to what is served.
        served = sum(head.requests for head in found) * LARGE.size / SLOTS
        replay.observe(busy * LARGE.size / SLOTS, served)
        context.shares.append(replay.estimate.spec.model("large").share)


@behave.then("the share of the large model was {share} at most")
def check_largest(context, share):
    """Compare the largest share."""
    low, _, high = share.partition(" to ")
    found = max(context.shares)
    low, high = float(low) - TOLERANCE, float(high or low) + TOLERANCE
    assert low <= found <= high, found
