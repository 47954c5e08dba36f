"""Index of usable replicas by service and failure domain.

Explanation
===========

Checking every replica for each request would cost time proportional to the
number of VMs. The index scans all replicas only when a record changes and a
few times per second, and a request checks only the replicas that it samples.
A replica that became unusable after the last scan may therefore be sampled,
but is never returned.
"""

import collections.abc
import random

from wasabilanding import model
from wasabilanding.routing import load_view
from wasabilanding.routing import located as located_module
from wasabilanding.routing import usability

SCAN_INTERVAL_S = 0.25
# Limits the cost of scanning many replicas to half a percent of a core.
SCAN_INTERVAL_PER_REPLICA_S = 0.0015

Records = collections.abc.Mapping[str, model.DomainRecord]


LocatedReplica = located_module.LocatedReplica


class ReplicaIndex:
    """Index of the recorded and of the usable replicas.

    :param failure_domain: the failure domain that counts as local.
    :param max_report_age_s: maximum age of a report in seconds.
    """

    def __init__(
        self,
        failure_domain: str,
        max_report_age_s: float = usability.MAX_REPORT_AGE_S,
    ) -> None:
        self._failure_domain = failure_domain
        self._max_report_age_s = max_report_age_s
        self._revisions: dict[str, int] = {}
        self._all: dict[str, LocatedReplica] = {}
        self._usable: dict[tuple[str, bool], list[LocatedReplica]] = {}
        self._loads: dict[str, tuple[int, int]] = {}
        self._scanned_at = float("-inf")

    @property
    def keys(self) -> collections.abc.Collection[str]:
        """Keys of all recorded replicas."""
        return self._all.keys()

    def get(self, key: str) -> LocatedReplica | None:
        """Return a replica by its key.

        :param key: the key.
        """
        return self._all.get(key)

    def refresh(
        self, records: Records, reports: usability.Reports, now: float
    ) -> bool:
        """Update the index if a record changed or a scan is due.

        :param records: latest record by failure domain.
        :param reports: latest report of each VM.
        :param now: local monotonic time in seconds.
        :returns: whether all replicas were scanned.
        """
        revisions = {d: r.revision for d, r in records.items()}
        changed = revisions != self._revisions
        if changed:
            self._revisions = revisions
            self._all = {
                located_module.global_replica_key(variant): LocatedReplica(
                    variant, domain
                )
                for domain, record in records.items()
                for replica in record.replicas
                for variant in replica.variants
            }
        interval_s = max(
            SCAN_INTERVAL_S, SCAN_INTERVAL_PER_REPLICA_S * len(self._all)
        )
        if changed or now - self._scanned_at >= interval_s:
            self._scan(reports, now)
            return True
        return False

    def _scan(self, reports: usability.Reports, now: float) -> None:
        self._scanned_at = now
        self._usable = {}
        self._loads = {}
        for located in self._all.values():
            if self.is_usable(located, reports, now):
                group = (located.replica.service, self.is_local(located))
                self._usable.setdefault(group, []).append(located)
                self._add_load(located, reports)

    def _add_load(
        self, located: LocatedReplica, reports: usability.Reports
    ) -> None:
        report = reports[located.replica.leader]
        service = located.replica.service
        count, load = self._loads.get(service, (0, 0))
        load += report.running + report.queued
        self._loads[service] = (count + 1, load)

    def service_load(
        self, service: str, entry_vms: int
    ) -> load_view.ServiceLoad:
        """Return the load of a service as of the last scan.

        :param service: name of the service.
        :param entry_vms: number of live entry VMs, including this one.
        """
        count, load = self._loads.get(service, (0, 0))
        return load_view.ServiceLoad(count, load / max(1, count), entry_vms)

    def is_local(self, located: LocatedReplica) -> bool:
        """Tell whether a replica is in the local failure domain.

        :param located: the replica.
        """
        return located.failure_domain == self._failure_domain

    def is_usable(
        self, located: LocatedReplica, reports: usability.Reports, now: float
    ) -> bool:
        """Tell whether a replica may currently receive new work.

        :param located: the replica.
        :param reports: latest report of each VM.
        :param now: local monotonic time in seconds.
        """
        return usability.is_usable(
            located.replica, reports, now, self._max_report_age_s
        )

    def usable_at_scan(
        self, service: str, local: bool
    ) -> list[LocatedReplica]:
        """Return the replicas that were usable at the last scan.

        :param service: name of the service.
        :param local: whether they are in the local failure domain.
        """
        return self._usable.get((service, local), [])

    @property
    def all_usable_at_scan(self) -> collections.abc.Iterator[LocatedReplica]:
        """All replicas that were usable at the last scan."""
        for group in self._usable.values():
            yield from group

    def slots(self, service: str) -> int:
        """Return the batch slots of the replicas usable at the last scan.

        :param service: name of the service.
        """
        return sum(
            located.replica.max_running
            for local in (True, False)
            for located in self.usable_at_scan(service, local)
        )

    def sample(
        self,
        service: str,
        local: bool,
        count: int,
        reports: usability.Reports,
        now: float,
        rng: random.Random,
    ) -> list[LocatedReplica]:
        """Sample replicas that are currently usable.

        :param service: name of the service.
        :param local: whether they are in the local failure domain.
        :param count: maximum number of replicas.
        :param reports: latest report of each VM.
        :param now: local monotonic time in seconds.
        :param rng: random number generator.
        """
        group = self.usable_at_scan(service, local)
        sampled = rng.sample(group, min(count, len(group)))
        usable = [x for x in sampled if self.is_usable(x, reports, now)]
        if usable or len(sampled) == len(group):
            return usable
        # All sampled replicas became unusable: check the whole group.
        usable = [x for x in group if self.is_usable(x, reports, now)]
        return rng.sample(usable, min(count, len(usable)))
