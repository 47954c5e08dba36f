"""Steps for the shares of endpoints in a node's reading."""

import behave

from wasabilanding import limits

TURN_PARTS = 50
# Bursts and the first moments are no part of the rate.
SETTLED_S = 5.0
TOLERANCE = 0.15


def _read(share, state, rate, now):
    """Read what an endpoint has sent, unless its reader waits."""
    if state["resumes_at"] > now:
        return
    available = min(TURN_PARTS, int(rate * now) - state["sent"])
    if available <= 0:
        return
    state["sent"] += available
    state["resumes_at"] = now + share.spend(available, now)
    if now >= SETTLED_S:
        state["read"] += available


@behave.when("{count:d} endpoints send {parts:d} parts a second for 10 s")
def send(context, count, parts):
    """Read in simulated time, in steps of a millisecond."""
    context.shares = limits.ReadShares()
    shares = [context.shares.endpoint() for _ in range(count)]
    states = [{"resumes_at": 0.0, "sent": 0, "read": 0} for _ in shares]
    for step in range(10_000):
        for share, state in zip(shares, states, strict=True):
            _read(share, state, parts, step / 1000)
    context.rates = [state["read"] / (10.0 - SETTLED_S) for state in states]


@behave.then("each of them is read at {rate:d} parts a second")
def check_rates(context, rate):
    """Compare the rates."""
    low, high = rate * (1 - TOLERANCE), rate * (1 + TOLERANCE)
    assert all(low <= r <= high for r in context.rates), context.rates


@behave.then("another endpoint with {parts:d} parts a second does not wait")
def check_other(context, parts):
    """Read one endpoint more, beside the others."""
    share = context.shares.endpoint()
    waits = [
        share.spend(1, 10.0 + number / parts) for number in range(2 * parts)
    ]
    assert max(waits) == 0.0, max(waits)
