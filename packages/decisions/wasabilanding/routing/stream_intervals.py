"""Slowdown of each replica compared with the others."""

import collections.abc

from wasabilanding import model
from wasabilanding.routing import located

LEARNING_RATE = 0.2
MEAN_LEARNING_RATE = 0.02
SLOWDOWN_HALF_LIFE_S = 20.0
MAX_SLOWDOWN = 20.0


class _Average:
    def __init__(self, interval_s: float, updated_at: float) -> None:
        self.interval_s = interval_s
        self.updated_at = updated_at


class StreamIntervals:
    """Moving averages of the time between parts of observed streams.

    A slow replica that is avoided yields no new observations. Its slowdown
    therefore decays with a half-life, so that it is tried again.
    """

    def __init__(self) -> None:
        self._averages: dict[str, _Average] = {}
        self._mean_s: float | None = None

    def observe(
        self, replica: model.ReplicaRecord, interval_s: float, now: float
    ) -> None:
        """Add the observation of a stream.

        :param replica: the replica that served it.
        :param interval_s: mean time between its parts in seconds.
        :param now: local monotonic time in seconds.
        """
        key = located.global_replica_key(replica)
        average = self._averages.setdefault(key, _Average(interval_s, now))
        average.interval_s += LEARNING_RATE * (interval_s - average.interval_s)
        average.updated_at = now
        if self._mean_s is None:
            self._mean_s = interval_s
        bounded = min(interval_s, 2 * self._mean_s)
        self._mean_s += MEAN_LEARNING_RATE * (bounded - self._mean_s)

    def slowdown(self, replica: model.ReplicaRecord, now: float) -> float:
        """Return the factor by which a replica is slower than the mean.

        :param replica: the replica.
        :param now: local monotonic time in seconds.
        :returns: at least 1.
        """
        average = self._averages.get(located.global_replica_key(replica))
        if average is None or not self._mean_s:
            return 1.0
        slowdown_excess = (
            min(MAX_SLOWDOWN, average.interval_s / self._mean_s) - 1.0
        )
        age = max(0.0, now - average.updated_at)
        return 1.0 + max(0.0, slowdown_excess) * 0.5 ** (
            age / SLOWDOWN_HALF_LIFE_S
        )

    def sweep(self, keys: collections.abc.Container[str]) -> None:
        """Discard replicas that are no longer recorded.

        :param keys: keys of the recorded replicas.
        """
        self._averages = {k: a for k, a in self._averages.items() if k in keys}
