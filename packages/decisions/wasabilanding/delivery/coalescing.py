"""Delay that coalesces several parts of a stream into one read."""

MAX_GAP_S = 0.036
MAX_WAKE_UPS_PER_S = 500.0


def coalescing_delay_s(streams: int, interval_s: float) -> float:
    """Return how long to wait for further parts before reading a stream.

    The delay ends half an interval before a part is due, so that the time
    between two reads is a whole number of intervals.

    :param streams: number of streams that the node relays.
    :param interval_s: time between parts of this stream in seconds; 0
        while unknown.
    :returns: delay in seconds; 0 to pass on each part immediately.

    Examples
    ========

    >>> from wasabilanding import delivery
    >>> delivery.coalescing_delay_s(1, 0.008)
    0.0
    >>> delivery.coalescing_delay_s(100, 0.008)
    0.028
    >>> delivery.coalescing_delay_s(100, 0.030)
    0.0
    """
    if interval_s <= 0.0:
        return 0.0
    gap_s = min(MAX_GAP_S, streams / MAX_WAKE_UPS_PER_S)
    parts = int(gap_s / interval_s)
    if parts < 2:
        return 0.0
    return (parts - 0.5) * interval_s
