"""Rate limit of calls, by whole seconds."""

import collections
import collections.abc

import trio


class RateLimit:
    """Counts calls by second and tells when there are too many.

    :param calls_per_s: calls that one second takes.
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
        """Count a call and tell whether it is within the limit."""
        second = int(self._clock())
        self.calls_by_second[second] += 1
        return self.calls_by_second[second] <= self.calls_per_s

    def max_calls_per_s(self, since: float = 0.0) -> int:
        """Return the calls in the busiest second.

        :param since: only seconds from this time on.
        """
        counts = [
            n for s, n in self.calls_by_second.items() if s >= int(since)
        ]
        return max(counts, default=0)
