"""Load of replicas, from late reports and from what this node did itself.

Explanation
===========

A batch turns over within a second or so, and a report is often as old as
that. Trusting it makes all entry VMs send to the replica that was least
loaded a second ago. A node's own requests in flight are known exactly; when
every entry VM keeps its own requests level among the replicas, all of them
together are level too. So the estimate starts from the mean load and this
node's deviation from its own mean, and the report counts for less the older
it is.
"""

import collections
import collections.abc
import dataclasses
import math

from wasabilanding import model
from wasabilanding.routing import located


# Time in which a report loses all but 1/e of its weight.
REPORT_DECAY_S = 0.3


@dataclasses.dataclass(frozen=True)
class ServiceLoad:
    """All replicas of a service and all who send to them.

    :param replicas: usable replicas.
    :param mean_load: mean load of their reports.
    :param entry_vms: live entry VMs, this one included.
    """

    replicas: int
    mean_load: float
    entry_vms: int


class _Own:
    """This node's requests at one replica."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.changes: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.change = 0


class LoadView:
    """Estimates the load of replicas."""

    def __init__(self) -> None:
        self._by_service: collections.Counter[str] = collections.Counter()
        self._own: dict[str, _Own] = {}

    def in_flight(self, replica: model.ReplicaRecord) -> int:
        """Return this node's requests at a replica.

        :param replica: the replica.
        """
        own = self._own.get(located.replica_key(replica))
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
        own = self._own.setdefault(located.replica_key(replica), _Own())
        own.in_flight += change
        own.changes.append((now, change))
        own.change += change
        self._by_service[replica.service] += change

    def latest(
        self, replica: model.ReplicaRecord, report: model.VmReport | None
    ) -> int:
        """Return the reported load and what this node changed since.

        :param replica: the replica.
        :param report: latest report of its leader.
        """
        own = self._own.get(located.replica_key(replica))
        reported = report.running + report.queued if report else 0
        if own is None:
            return reported
        if report is not None:
            self._drop_until(own, report.observed_at)
        return max(own.in_flight, reported + own.change)

    def estimate(
        self,
        replica: model.ReplicaRecord,
        report: model.VmReport | None,
        service_load: ServiceLoad,
        now: float,
    ) -> float:
        """Return the requests that a replica is believed to hold.

        :param replica: the replica.
        :param report: latest report of its leader.
        :param service_load: all replicas of the service.
        :param now: local monotonic time in seconds.

        Examples
        ========

        >>> from wasabilanding import model
        >>> from wasabilanding import routing
        >>> replica = model.ReplicaRecord(
        ...     "r", 1, "escriba", "draft", 1, "tarifa", "v1", "f", ("vm-1",)
        ... )
        >>> report = model.VmReport("vm-1", model.VmState.READY, running=20)
        >>> service_load = routing.ServiceLoad(replicas=4, mean_load=8.0, entry_vms=3)
        >>> loads = routing.LoadView()
        >>> loads.estimate(replica, report, service_load, now=0.0)
        20.0
        >>> round(loads.estimate(replica, report, service_load, now=9.0), 3)
        8.0
        """
        own = self.in_flight(replica)
        own_mean = self._by_service[replica.service] / max(
            1, service_load.replicas
        )
        level = (
            service_load.mean_load + (own - own_mean) * service_load.entry_vms
        )
        if report is None:
            return max(float(own), level)
        age_s = max(0.0, now - report.observed_at)
        trust = math.exp(-age_s / REPORT_DECAY_S)
        latest = self.latest(replica, report)
        return max(float(own), trust * latest + (1 - trust) * level)

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
