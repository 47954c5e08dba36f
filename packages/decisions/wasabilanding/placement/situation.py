"""What the holder of control knows when it decides."""

import collections.abc
import dataclasses
import functools

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding.placement import history as history_module


@dataclasses.dataclass(frozen=True)
class Situation:
    """What the holder of control knows.

    :param record: the agreed record.
    :param configuration: the configuration in force.
    :param vms: the platform's list of the failure domain.
    :param reports: latest report of each VM.
    :param now: local monotonic time in seconds.
    :param fence: fencing number of the holder.
    :param since: time from which the holder has observed the VMs.
    :param history: what the holder remembers of earlier reports.
    """

    record: model.DomainRecord
    configuration: configuration.Configuration
    vms: tuple[model.Vm, ...]
    reports: collections.abc.Mapping[str, model.VmReport]
    now: float
    fence: int
    since: float = 0.0
    history: history_module.History = history_module.History()

    @functools.cached_property
    def _listed_leaving(self) -> frozenset[str]:
        return frozenset(vm.vm for vm in self.vms if vm.leaving)

    def is_alive(self, vm: str) -> bool:
        """Tell whether a VM has reported lately.

        :param vm: identity of the VM.
        """
        report = self.reports.get(vm)
        seen_at = report.observed_at if report else self.since
        return self.now - seen_at <= history_module.LOST_AFTER_S

    def is_leaving(self, vm: str) -> bool:
        """Tell whether the end of a VM was announced.

        :param vm: identity of the VM.
        """
        report = self.reports.get(vm)
        if report and report.leaving:
            return True
        return vm in self._listed_leaving

    def is_held_down(self, vm: str) -> bool:
        """Tell whether a VM is kept unused because it was lost lately.

        :param vm: identity of the VM.
        """
        track = self.history.vms.get(vm)
        return track is not None and self.now < track.held_until

    def is_at(self, vm: str, replica: model.ReplicaRecord) -> bool:
        """Tell whether a VM's latest report names its place in a replica.

        :param vm: identity of the VM.
        :param replica: the replica as recorded.
        """
        report = self.reports.get(vm)
        return (
            report is not None
            and report.replica_epoch == replica.replica_epoch
        )

    def is_displaced(self, vm: str, replica: model.ReplicaRecord) -> bool:
        """Tell whether a VM had its place in a replica and left it.

        Its engine has lost what the group had built with it, so the others
        must regroup under a new epoch.

        :param vm: identity of the VM.
        :param replica: the replica as recorded.
        """
        report = self.reports.get(vm)
        if report and replica.is_substitute_epoch(report.replica_epoch):
            return True
        track = self.history.vms.get(vm)
        if track is None or not self.is_alive(vm):
            return False
        return track.replica_epoch == replica.replica_epoch and not self.is_at(
            vm, replica
        )
