"""Times in which an engine is cold, and whether it is overloaded then."""

import collections

WINDOW_S = 1.0


class ColdPhase:
    """Cold times of one engine.

    :param rate_per_s: requests a second that the engine takes while cold; 0
        if it is never overloaded.
    :param overshoot: multiple of the rate up to which it is not overloaded.
    :param slack: requests beyond that in one second up to which it is not.

    ``largest`` is the greatest number of requests in one second so far.
    """

    def __init__(
        self, rate_per_s: float, overshoot: float, slack: float
    ) -> None:
        self._rate_per_s = rate_per_s
        self._allowed = rate_per_s * overshoot + slack
        self._until = float("-inf")
        self._arrivals: collections.deque[float] = collections.deque()
        self.largest = 0

    def begin(self, now: float, seconds: float) -> None:
        """Become cold for a time, or warm.

        :param now: time in seconds.
        :param seconds: seconds; 0 to become warm.
        """
        self._until = now + seconds
        self._arrivals.clear()

    def left_s(self, now: float) -> float:
        """Return the seconds for which the engine stays cold.

        :param now: time in seconds.
        """
        return max(self._until - now, 0.0)

    def is_overloaded_by_one(self, now: float) -> bool:
        """Count a request; return whether it is one too many.

        :param now: time in seconds at which it arrives.

        Examples
        ========

        >>> from wasabilanding.standins import cold_phase
        >>> phase = cold_phase.ColdPhase(1.0, 1.5, 0.5)
        >>> phase.begin(10.0, 3.0)
        >>> [phase.is_overloaded_by_one(at) for at in (10.0, 10.5, 11.1, 11.2)]
        [False, False, False, True]
        >>> phase.is_overloaded_by_one(13.0)
        False
        """
        if not self._rate_per_s or now >= self._until:
            return False
        self._arrivals.append(now)
        while now - self._arrivals[0] >= WINDOW_S:
            self._arrivals.popleft()
        self.largest = max(self.largest, len(self._arrivals))
        return len(self._arrivals) > self._allowed
