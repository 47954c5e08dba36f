"""Rate limit for loads from the weight store."""

WINDOW_S = 5.0


class LoadRateLimiter:
    """Limits the rate of load starts over a sliding window.

    Examples
    ========

    >>> from wasabilanding import assembly
    >>> limiter = assembly.LoadRateLimiter()
    >>> [limiter.try_start(4, 1.0, now) for now in (0.0, 1.0, 6.0)]
    [True, False, True]
    """

    def __init__(self) -> None:
        self._starts: list[tuple[float, int]] = []

    def try_start(self, loads: int, per_s: float, now: float) -> bool:
        """Start loads if the rate limit allows it.

        A request for more loads than the limit is granted when no others
        started within the window.

        :param loads: number of loads to start.
        :param per_s: loads that may start per second; 0 for no limit.
        :param now: local monotonic time in seconds.
        :returns: whether the loads may start.
        """
        if not loads or not per_s:
            return True
        self._starts = [s for s in self._starts if now - s[0] < WINDOW_S]
        started = sum(count for _, count in self._starts)
        if started + loads > max(per_s * WINDOW_S, loads):
            return False
        self._starts.append((now, loads))
        return True
