"""The two measures: group downtime and stranded accelerators."""

import collections.abc
import dataclasses

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding import routing


@dataclasses.dataclass(frozen=True)
class Summary:
    """State of a failure domain at one time.

    :param wanted: replicas that the profiles in force ask for.
    :param serving: replicas that are usable.
    :param accelerators: accelerators of the listed VMs.
    :param stranded: accelerators without a place in a usable replica.
    """

    wanted: int
    serving: int
    accelerators: int
    stranded: int

    @property
    def down(self) -> int:
        """Wanted replicas that cannot serve; each adds group downtime."""
        return max(0, self.wanted - self.serving)


def summarise(
    record: model.DomainRecord,
    wanted: int,
    vms: collections.abc.Iterable[model.Vm],
    reports: collections.abc.Mapping[str, model.VmReport],
    now: float,
) -> Summary:
    """Return the measures of a failure domain.

    :param record: the agreed record.
    :param wanted: replicas that the profiles in force ask for.
    :param vms: the platform's list of the failure domain.
    :param reports: latest report of each VM.
    :param now: local monotonic time in seconds.
    """
    active = [
        r for r in record.replicas if r.state is model.ReplicaState.ACTIVE
    ]
    usable = [r for r in active if routing.is_usable(r, reports, now)]
    placed = {vm for r in usable for vm in r.members}
    accelerators = {vm.vm: vm.accelerators for vm in vms}
    total = sum(accelerators.values())
    held = sum(accelerators.get(vm, 0) for vm in placed)
    return Summary(wanted, len(usable), total, total - held)


def wanted_replicas(config: configuration.Configuration) -> int:
    """Return how many replicas each failure domain is to hold.

    :param config: the configuration in force.
    """
    entries = [config.profile_of(service) for service in config.services]
    return sum(
        entry.profile.replicas_per_domain
        for entry in entries
        if entry and entry.profile.kind == "replica"
    )
