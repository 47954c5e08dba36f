"""Load estimates from delayed reports and this node's own requests.

Explanation
===========

The requests in a batch change completely within about a second, and a report
is often that old. Relying on reports alone makes all entry VMs send to the
replica that was least loaded a second ago. A node's own requests in flight
are known exactly; if every entry VM balances its own requests among the
replicas, the total load is balanced too. The estimate is therefore a weighted
mean of the report and of the service's mean load, which is corrected by this
node's deviation from its own mean. The weight of the report decays with age.
"""

import collections
import collections.abc
import dataclasses
import math

from wasabilanding import model
from wasabilanding.routing import located


# Age at which the weight of a report has decayed to 1/e.
REPORT_DECAY_S = 0.3


@dataclasses.dataclass(frozen=True)
class ServiceLoad:
    """Load of a service over all its replicas.

    :param replicas: number of usable replicas.
    :param mean_load: mean reported load of these replicas.
    :param entry_vms: number of live entry VMs, including this one.
    """

    replicas: int
    mean_load: float
    entry_vms: int


class _LocalRequests:
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
        self._own: dict[str, _LocalRequests] = {}

    def in_flight(self, replica: model.ReplicaRecord) -> int:
        """Return this node's requests at a replica.

        :param replica: the replica.
        """
        own = self._own.get(located.global_replica_key(replica))
        return own.in_flight if own else 0

    def send(self, replica: model.ReplicaRecord, now: float) -> None:
        """Record that a request is sent to a replica.

        :param replica: the replica.
        :param now: local monotonic time in seconds.
        """
        self._change(replica, now, 1)

    def finish(self, replica: model.ReplicaRecord, now: float) -> None:
        """Record the end of a request at a replica.

        :param replica: the replica.
        :param now: local monotonic time in seconds.
        """
        self._change(replica, now, -1)

    def _change(
        self, replica: model.ReplicaRecord, now: float, change: int
    ) -> None:
        own = self._own.setdefault(
            located.global_replica_key(replica), _LocalRequests()
        )
        own.in_flight += change
        own.changes.append((now, change))
        own.change += change
        self._by_service[replica.service] += change

    def latest(
        self, replica: model.ReplicaRecord, report: model.VmReport | None
    ) -> int:
        """Return the reported load plus this node's changes since then.

        :param replica: the replica.
        :param report: latest report of its leader.
        """
        own = self._own.get(located.global_replica_key(replica))
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
        """Return the estimated number of requests at a replica.

        :param replica: the replica.
        :param report: latest report of its leader.
        :param service_load: load of the service.
        :param now: local monotonic time in seconds.

        Examples
        ========

        >>> from wasabilanding import model
        >>> from wasabilanding import routing
        >>> replica = model.ReplicaRecord(
        ...     "r", 1, "escriba", "draft", 1, "tarifa", "v1", "f", ("vm-1",)
        ... )
        >>> report = model.VmReport("vm-1", model.VmState.READY, running=20)
        >>> load = routing.ServiceLoad(replicas=4, mean_load=8.0, entry_vms=3)
        >>> loads = routing.LoadView()
        >>> loads.estimate(replica, report, load, now=0.0)
        20.0
        >>> round(loads.estimate(replica, report, load, now=9.0), 3)
        8.0
        """
        own = self.in_flight(replica)
        own_mean = self._by_service[replica.service] / max(
            1, service_load.replicas
        )
        mean_based = (
            service_load.mean_load + (own - own_mean) * service_load.entry_vms
        )
        if report is None:
            return max(float(own), mean_based)
        age_s = max(0.0, now - report.observed_at)
        report_weight = math.exp(-age_s / REPORT_DECAY_S)
        latest = self.latest(replica, report)
        return max(
            float(own),
            report_weight * latest + (1 - report_weight) * mean_based,
        )

    def _drop_until(self, own: _LocalRequests, time: float) -> None:
        while own.changes and own.changes[0][0] <= time:
            own.change -= own.changes.popleft()[1]

    def sweep(self, keys: collections.abc.Container[str]) -> None:
        """Discard unrecorded replicas without requests of this node.

        :param keys: keys of the recorded replicas.
        """
        self._own = {
            key: own
            for key, own in self._own.items()
            if key in keys or own.in_flight
        }
