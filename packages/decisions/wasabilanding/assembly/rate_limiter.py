"""Bound on loads from the weight store that start in a time."""

WINDOW_S = 5.0


class LoadRateLimiter:
    """Counts load starts in a sliding window.

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
        """Take the right to start loads.

        :param loads: loads that would start.
        :param per_s: loads that may start in a second; 0 for no bound.
        :param now: local monotonic time in seconds.
        :returns: whether they may start.
        """
        if not loads or not per_s:
            return True
        self._starts = [s for s in self._starts if now - s[0] < WINDOW_S]
        started = sum(count for _, count in self._starts)
        if started + loads > max(per_s * WINDOW_S, loads):
            return False
        self._starts.append((now, loads))
        return True
