"""Time from the send of a request to its end, by kind of request.

Explanation
===========

The mean and the mean deviation are exponential averages, as for round-trip
times in TCP [1]_. A kind of request that is refused because of its estimate
is not observed any more. So its estimate is moved towards that of all kinds,
at a rate per time that does not depend on the number of refusals.

References
==========

.. [1] V. Jacobson, "Congestion avoidance and control", SIGCOMM 1988.
"""

import collections.abc
import dataclasses

LEARNING_RATE = 0.05
DEVIATIONS = 3.0
# Assumed deviation of a single observation, relative to it.
FIRST_DEVIATION = 0.5


@dataclasses.dataclass
class _Estimate:
    """Mean and mean deviation in seconds of some observations."""

    count: int = 0
    mean_s: float = 0.0
    deviation_s: float = 0.0

    def observe(self, seconds: float) -> None:
        self.count += 1
        if self.count == 1:
            self.mean_s = seconds
            self.deviation_s = seconds * FIRST_DEVIATION
            return
        rate = max(LEARNING_RATE, 1 / self.count)
        error_s = seconds - self.mean_s
        self.deviation_s += rate * (abs(error_s) - self.deviation_s)
        self.mean_s += rate * error_s

    def move_towards(self, other: "_Estimate", share: float) -> None:
        self.mean_s += share * (other.mean_s - self.mean_s)
        self.deviation_s += share * (other.deviation_s - self.deviation_s)


class RunTime:
    """Run times of all kinds of requests of a pool."""

    def __init__(self) -> None:
        self._all = _Estimate()
        self._kinds: dict[collections.abc.Hashable, _Estimate] = {}

    def observe(self, kind: collections.abc.Hashable, seconds: float) -> None:
        """Add the observation of a completed request.

        :param kind: its kind.
        :param seconds: time in seconds from its send to its end.
        """
        self._all.observe(seconds)
        self._kinds.setdefault(kind, _Estimate()).observe(seconds)

    def needed_s(self, kind: collections.abc.Hashable) -> float:
        """Return the time that nearly all requests of a kind take.

        :param kind: the kind; one without observations counts as all.
        :returns: time in seconds; 0 without any observations.

        Examples
        ========

        >>> from wasabilanding import limits
        >>> times = limits.RunTime()
        >>> times.observe("pages", 1.0)
        >>> times.needed_s("pages"), times.needed_s("sheets")
        (2.5, 2.5)
        >>> for seconds in (1.0, 1.0, 1.0):
        ...     times.observe("pages", seconds)
        >>> times.needed_s("pages")
        1.375
        """
        found = self._kinds.get(kind, self._all)
        return found.mean_s + DEVIATIONS * found.deviation_s

    def relax(self, kind: collections.abc.Hashable, share: float) -> None:
        """Move the estimate of a refused kind towards that of all kinds.

        :param kind: the kind.
        :param share: part of the difference that is removed.
        """
        if kind in self._kinds:
            self._kinds[kind].move_towards(self._all, share)
