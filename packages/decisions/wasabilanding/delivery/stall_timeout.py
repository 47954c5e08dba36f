"""Timeout of a stream's connection that makes no progress."""

FIRST_PART_TIMEOUT_S = 2.0
MIN_TIMEOUT_S = 1.0
MAX_TIMEOUT_S = 15.0
TIMEOUT_INTERVALS = 25
# Avoids overflow of the float.
MAX_DOUBLINGS = 10


def stall_timeout_s(interval_s: float, confirmations: int) -> float:
    """Return how long a connection may make no progress.

    :param interval_s: time between parts of the stream in seconds; 0 while
        unknown.
    :param confirmations: number of times since the last part that the engine
        has confirmed that it still has the stream.
    :returns: timeout in seconds.

    Examples
    ========

    >>> from wasabilanding import delivery
    >>> [delivery.stall_timeout_s(0.0, n) for n in (0, 1, 5)]
    [2.0, 4.0, 15.0]
    >>> delivery.stall_timeout_s(0.008, 0), delivery.stall_timeout_s(0.1, 0)
    (1.0, 2.5)
    """
    timeout_s = FIRST_PART_TIMEOUT_S
    if interval_s > 0.0:
        timeout_s = max(MIN_TIMEOUT_S, TIMEOUT_INTERVALS * interval_s)
    doublings = min(confirmations, MAX_DOUBLINGS)
    return min(timeout_s * 2**doublings, MAX_TIMEOUT_S)
