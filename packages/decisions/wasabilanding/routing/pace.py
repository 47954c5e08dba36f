"""How slow each replica is against the others, from observed streams."""

import collections.abc

from wasabilanding import model
from wasabilanding.routing import located

LEARNING_RATE = 0.2
MEAN_LEARNING_RATE = 0.02
HALF_LIFE_S = 20.0
MAX_FACTOR = 20.0


class _Pace:
    def __init__(self, interval_s: float, at: float) -> None:
        self.interval_s = interval_s
        self.at = at


class PaceView:
    """Moving averages of the time between parts.

    A straggler that is avoided is no longer observed, so what was learned
    fades with a half-life and it is tried again.
    """

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}
        self._mean_s: float | None = None

    def observe(
        self, replica: model.ReplicaRecord, interval_s: float, now: float
    ) -> None:
        """Learn from a stream.

        :param replica: the replica that served it.
        :param interval_s: mean time between its parts in seconds.
        :param now: local monotonic time in seconds.
        """
        key = located.replica_key(replica)
        pace = self._paces.setdefault(key, _Pace(interval_s, now))
        pace.interval_s += LEARNING_RATE * (interval_s - pace.interval_s)
        pace.at = now
        if self._mean_s is None:
            self._mean_s = interval_s
        bounded = min(interval_s, 2 * self._mean_s)
        self._mean_s += MEAN_LEARNING_RATE * (bounded - self._mean_s)

    def factor(self, replica: model.ReplicaRecord, now: float) -> float:
        """Return how much slower than the mean a replica is.

        :param replica: the replica.
        :param now: local monotonic time in seconds.
        :returns: at least 1.
        """
        pace = self._paces.get(located.replica_key(replica))
        if pace is None or not self._mean_s:
            return 1.0
        excess = min(MAX_FACTOR, pace.interval_s / self._mean_s) - 1.0
        age = max(0.0, now - pace.at)
        return 1.0 + max(0.0, excess) * 0.5 ** (age / HALF_LIFE_S)

    def sweep(self, keys: collections.abc.Container[str]) -> None:
        """Forget replicas that are gone.

        :param keys: keys of the replicas that stand.
        """
        self._paces = {k: p for k, p in self._paces.items() if k in keys}
