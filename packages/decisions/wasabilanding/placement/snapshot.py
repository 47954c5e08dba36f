"""Input of the planner."""

import collections.abc
import dataclasses
import functools

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding.placement import history as history_module


@dataclasses.dataclass(frozen=True)
class DomainSnapshot:
    """State of a failure domain as its controller sees it at one time.

    :param record: the committed record.
    :param configuration: the configuration in force.
    :param vms: VMs of the failure domain that the platform lists.
    :param reports: latest report of each VM.
    :param now: local monotonic time in seconds.
    :param fence: fencing token of the controller.
    :param observing_since: local monotonic time from which the controller
        has received reports without a gap, in seconds.
    :param history: what the controller derived from earlier reports.
    """

    record: model.DomainRecord
    configuration: configuration.Configuration
    vms: tuple[model.Vm, ...]
    reports: collections.abc.Mapping[str, model.VmReport]
    now: float
    fence: int
    observing_since: float = 0.0
    history: history_module.History = history_module.History()

    @functools.cached_property
    def _listed_leaving(self) -> frozenset[str]:
        return frozenset(vm.vm for vm in self.vms if vm.leaving)

    def is_alive(self, vm: str) -> bool:
        """Tell whether a VM has reported within ``LOST_AFTER_S``.

        :param vm: identity of the VM.
        """
        report = self.reports.get(vm)
        seen_at = report.observed_at if report else self.observing_since
        return self.now - seen_at <= history_module.LOST_AFTER_S

    def is_leaving(self, vm: str) -> bool:
        """Tell whether the shutdown of a VM was announced.

        :param vm: identity of the VM.
        """
        report = self.reports.get(vm)
        if report and report.leaving:
            return True
        return vm in self._listed_leaving

    def is_held_down(self, vm: str) -> bool:
        """Tell whether a VM is in hold-down after repeated losses.

        :param vm: identity of the VM.
        """
        vm_history = self.history.vms.get(vm)
        return vm_history is not None and self.now < vm_history.held_until

    def is_placed_in(self, vm: str, replica: model.ReplicaRecord) -> bool:
        """Tell whether a VM's latest report names a replica and its epoch.

        :param vm: identity of the VM.
        :param replica: the replica as recorded.
        """
        report = self.reports.get(vm)
        return report is not None and report.replica_key == replica.replica_key

    def is_displaced(self, vm: str, replica: model.ReplicaRecord) -> bool:
        """Tell whether a live VM was in a replica and no longer reports it.

        Its engine has lost the state that the members had built together,
        so they must regroup under a new epoch.

        :param vm: identity of the VM.
        :param replica: the replica as recorded.
        """
        report = self.reports.get(vm)
        if report and replica.is_substitute_epoch(report.replica_key):
            return True
        vm_history = self.history.vms.get(vm)
        if vm_history is None or not self.is_alive(vm):
            return False
        return (
            vm_history.replica_key == replica.replica_key
            and not self.is_placed_in(vm, replica)
        )
