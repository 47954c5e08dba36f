"""Rate limit of calls in windows of one second."""

import collections
import collections.abc

import trio


class RateLimit:
    """Counts calls per second and limits their number.

    :param calls_per_s: calls allowed in each second.
    :param clock: returns the time in seconds.
    """

    def __init__(
        self,
        calls_per_s: int,
        clock: collections.abc.Callable[[], float] = trio.current_time,
    ) -> None:
        self._clock = clock
        self.calls_per_s = calls_per_s
        self.calls_by_second: collections.Counter[int] = collections.Counter()

    def allow(self) -> bool:
        """Count a call and return whether it is within the limit."""
        second = int(self._clock())
        self.calls_by_second[second] += 1
        return self.calls_by_second[second] <= self.calls_per_s

    def max_calls_per_s(self, since: float = 0.0) -> int:
        """Return the number of calls in the busiest second.

        :param since: time in seconds; earlier seconds are ignored.
        """
        counts = [
            n for s, n in self.calls_by_second.items() if s >= int(since)
        ]
        return max(counts, default=0)
