"""Load of replicas: the last report and what this node did since."""

import collections
import collections.abc

from wasabilanding import model
from wasabilanding.routing import index


class _Own:
    """This node's requests at one replica."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.changes: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.change = 0


class LoadView:
    """Estimates the load of replicas.

    :param report_lag_s: age of the load in a fresh report, in seconds.
    """

    def __init__(self, report_lag_s: float = 0.0) -> None:
        self._report_lag_s = report_lag_s
        self._own: dict[str, _Own] = {}

    def in_flight(self, replica: model.ReplicaRecord) -> int:
        """Return this node's requests at a replica.

        :param replica: the replica.
        """
        own = self._own.get(index.replica_key(replica))
        return own.in_flight if own else 0

    def send(self, replica: model.ReplicaRecord, now: float) -> None:
        """Note a request that is sent to a replica.

        :param replica: the replica.
        :param now: local monotonic time in seconds.
        """
        self._change(replica, now, 1)

    def finish(self, replica: model.ReplicaRecord, now: float) -> None:
        """Note the end of a request at a replica.

        :param replica: the replica.
        :param now: local monotonic time in seconds.
        """
        self._change(replica, now, -1)

    def _change(
        self, replica: model.ReplicaRecord, now: float, change: int
    ) -> None:
        own = self._own.setdefault(index.replica_key(replica), _Own())
        own.in_flight += change
        own.changes.append((now, change))
        own.change += change

    def estimate(
        self, replica: model.ReplicaRecord, report: model.VmReport | None
    ) -> int:
        """Return the requests that a replica is believed to hold.

        :param replica: the replica.
        :param report: latest report of its leader.
        """
        own = self._own.get(index.replica_key(replica))
        reported = report.running + report.queued if report else 0
        if own is None:
            return reported
        if report is not None:
            self._drop_until(own, report.observed_at - self._report_lag_s)
        return max(own.in_flight, reported + own.change)

    def _drop_until(self, own: _Own, time: float) -> None:
        while own.changes and own.changes[0][0] <= time:
            own.change -= own.changes.popleft()[1]

    def sweep(self, keys: collections.abc.Container[str]) -> None:
        """Forget replicas that are gone and hold nothing of this node.

        :param keys: keys of the replicas that stand.
        """
        self._own = {
            key: own
            for key, own in self._own.items()
            if key in keys or own.in_flight
        }
