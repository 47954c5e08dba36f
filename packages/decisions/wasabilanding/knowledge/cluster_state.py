"""Latest documents and reports that a node knows."""

import collections.abc
import dataclasses

from wasabilanding.configuration import document
from wasabilanding.knowledge import whole_replicas
from wasabilanding import model
from wasabilanding import poison


@dataclasses.dataclass(frozen=True)
class VmListing:
    """The platform's list of VMs of one failure domain.

    :param failure_domain: the failure domain.
    :param revision: number that grows with each change of the list.
    :param vms: the VMs.
    """

    failure_domain: str
    revision: int = 0
    vms: tuple[model.Vm, ...] = ()


@dataclasses.dataclass(frozen=True)
class _JournalEntry:
    position: int
    source: str


class ClusterState:
    """Latest documents and reports of the cluster."""

    def __init__(self) -> None:
        self._configuration = document.Configuration()
        self._records: dict[str, model.DomainRecord] = {}
        self._listings: dict[str, VmListing] = {}
        self._reports: dict[str, model.VmReport] = {}
        self._journal: dict[str, _JournalEntry] = {}
        self._position = 0
        self._leaving: frozenset[str] = frozenset()
        self._by_hash: dict[str, dict[int, model.ReplicaRecord]] = {}
        self._last_store_contact: float | None = None
        self._informed = False
        self._suspicions = poison.Suspicions()

    @property
    def configuration(self) -> document.Configuration:
        """The configuration in force on this node."""
        return self._configuration

    @property
    def suspicions(self) -> poison.Suspicions:
        """Requests that are suspected of crashing endpoints."""
        return self._suspicions

    @property
    def records(self) -> collections.abc.Mapping[str, model.DomainRecord]:
        """Latest record by failure domain."""
        return self._records

    @property
    def listings(self) -> collections.abc.Mapping[str, VmListing]:
        """Latest VM list by failure domain."""
        return self._listings

    @property
    def reports(self) -> collections.abc.Mapping[str, model.VmReport]:
        """Latest report by VM."""
        return self._reports

    @property
    def position(self) -> int:
        """Position of the last report in the journal."""
        return self._position

    @property
    def last_store_contact(self) -> float | None:
        """Local monotonic time of the last store contact, own or a peer's."""
        return self._last_store_contact

    @property
    def informed(self) -> bool:
        """Whether this node got the current state since it started."""
        return self._informed

    @property
    def replicas(self) -> tuple[model.ReplicaRecord, ...]:
        """Recorded replicas of all failure domains."""
        return tuple(r for d in self._records.values() for r in d.replicas)

    def record(self, failure_domain: str) -> model.DomainRecord:
        """Return the latest record of a failure domain.

        :param failure_domain: the failure domain.
        """
        found = self._records.get(failure_domain)
        return found or model.DomainRecord(failure_domain)

    def listing(self, failure_domain: str) -> VmListing:
        """Return the latest VM list of a failure domain.

        :param failure_domain: the failure domain.
        """
        found = self._listings.get(failure_domain)
        return found or VmListing(failure_domain)

    def vm(self, name: str) -> model.Vm | None:
        """Return a listed VM.

        :param name: identity of the VM.
        """
        for listing in self._listings.values():
            for vm in listing.vms:
                if vm.vm == name:
                    return vm
        return None

    def learn_configuration(self, candidate: document.Configuration) -> bool:
        """Apply a configuration if it is newer.

        :param candidate: the configuration.
        :returns: whether it was applied.
        """
        if not document.supersedes(candidate, self._configuration):
            return False
        self._configuration = candidate
        return True

    def learn_record(self, candidate: model.DomainRecord) -> bool:
        """Apply a record if it is newer.

        :param candidate: the record.
        :returns: whether it was applied.
        """
        known = self.record(candidate.failure_domain)
        if candidate.revision <= known.revision:
            return False
        domain = candidate.failure_domain
        self._records[domain] = candidate
        self._by_hash[domain] = {
            whole_replicas.replica_hash(domain, replica): replica
            for replica in candidate.replicas
        }
        return True

    def learn_listing(self, candidate: VmListing) -> bool:
        """Apply a VM list if it is newer.

        :param candidate: the list.
        :returns: whether it was applied.
        """
        known = self.listing(candidate.failure_domain)
        if candidate.revision <= known.revision:
            return False
        self._listings[candidate.failure_domain] = candidate
        self._leaving = frozenset(
            vm.vm
            for listing in self._listings.values()
            for vm in listing.vms
            if vm.leaving
        )
        for vm in self._leaving & self._reports.keys():
            self._store_report(self._reports[vm], "")
        return True

    def learn_report(
        self, candidate: model.VmReport, source: str = ""
    ) -> bool:
        """Apply a VM's report if it is newer.

        :param candidate: the report, stamped with local time.
        :param source: peer that sent it; empty for an own observation.
        :returns: whether it was applied.
        """
        known = self._reports.get(candidate.vm)
        if known and known.observed_at >= candidate.observed_at:
            return False
        self._store_report(candidate, source)
        return True

    def _store_report(self, report: model.VmReport, source: str) -> None:
        # A VM is leaving as soon as its report or the VM list says so.
        if report.vm in self._leaving and not report.leaving:
            report = dataclasses.replace(report, leaving=True)
        self._reports[report.vm] = report
        self._position += 1
        self._journal[report.vm] = _JournalEntry(self._position, source)

    def replica_by_hash(self, key: int) -> model.ReplicaRecord | None:
        """Return the recorded replica with a hash.

        :param key: hash from ``replica_hash``.
        """
        for replicas in self._by_hash.values():
            if key in replicas:
                return replicas[key]
        return None

    def may_be_new_to(self, vm: str, peer: str, since: int) -> bool:
        """Tell whether a peer may lack the latest report of a VM.

        :param vm: identity of the VM.
        :param peer: name of the peer.
        :param since: journal position up to which the peer is up to date.
        """
        learned = self._journal.get(vm)
        if learned is None:
            return False
        return learned.position > since and learned.source != peer

    def forget_reports(self, before: float) -> None:
        """Remove reports that were observed before a time.

        :param before: local monotonic time in seconds.
        """
        old = [
            vm
            for vm, report in self._reports.items()
            if report.observed_at < before
        ]
        for vm in old:
            del self._reports[vm]
            del self._journal[vm]

    def record_store_contact(self, at: float) -> None:
        """Record that the store answered this node or a peer.

        :param at: local monotonic time in seconds.
        """
        known = self._last_store_contact
        self._last_store_contact = at if known is None else max(known, at)

    def mark_informed(self) -> None:
        """Record that this node has the current state."""
        self._informed = True
