"""State holder of what a node knows."""

import collections.abc
import dataclasses

from wasabilanding.configuration import document
from wasabilanding import model


@dataclasses.dataclass(frozen=True)
class VmListing:
    """The platform's list of VMs of one failure domain, as it was read.

    :param failure_domain: the failure domain.
    :param revision: grows with each reading that differs.
    :param vms: the VMs.
    """

    failure_domain: str
    revision: int = 0
    vms: tuple[model.Vm, ...] = ()


class Knowledge:
    """Latest documents and reports."""

    def __init__(self) -> None:
        self._configuration = document.Configuration()
        self._records: dict[str, model.DomainRecord] = {}
        self._listings: dict[str, VmListing] = {}
        self._reports: dict[str, model.VmReport] = {}

    @property
    def configuration(self) -> document.Configuration:
        """The configuration in force on this node."""
        return self._configuration

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
        """Youngest report by VM."""
        return self._reports

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
        self._records[candidate.failure_domain] = candidate
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
        return True

    def learn_report(self, candidate: model.VmReport) -> bool:
        """Apply a VM's report if it is younger.

        :param candidate: the report, stamped with local time.
        :returns: whether it was applied.
        """
        known = self._reports.get(candidate.vm)
        if known and known.observed_at >= candidate.observed_at:
            return False
        self._reports[candidate.vm] = candidate
        return True

    def forget_reports(self, before: float) -> None:
        """Drop reports that were observed before a time.

        :param before: local monotonic time in seconds.
        """
        self._reports = {
            vm: report
            for vm, report in self._reports.items()
            if report.observed_at >= before
        }
