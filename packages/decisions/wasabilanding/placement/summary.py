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
    :param stranded: accelerators without a place in a serving replica. A
        draining replica that still runs requests counts as serving here.
    """

    wanted: int
    serving: int
    accelerators: int
    stranded: int

    @property
    def down(self) -> int:
        """Wanted replicas that cannot serve; each adds group downtime."""
        return max(0, self.wanted - self.serving)


def _is_busy(
    replica: model.ReplicaRecord,
    reports: collections.abc.Mapping[str, model.VmReport],
    now: float,
) -> bool:
    if replica.state is not model.ReplicaState.DRAINING:
        return False
    held = [reports.get(vm) for vm in replica.members]
    return all(
        report is not None
        and report.replica_epoch == replica.replica_epoch
        and now - report.observed_at <= routing.MAX_REPORT_AGE_S
        for report in held
    ) and bool(held[0].running or held[0].queued)


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
    variants = [
        routing.usable_variant(r, reports, now) for r in record.replicas
    ]
    usable = [variant for variant in variants if variant is not None]
    draining = [r for r in record.replicas if _is_busy(r, reports, now)]
    placed = {vm for r in (*usable, *draining) for vm in r.members}
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


def service_lack(
    config: configuration.Configuration,
    record: model.DomainRecord,
    reports: collections.abc.Mapping[str, model.VmReport],
    now: float,
) -> dict[str, float]:
    """Return how much each service lacks replicas, by downtime weight.

    :param config: the configuration in force.
    :param record: the agreed record.
    :param reports: latest report of each VM.
    :param now: local monotonic time in seconds.
    """
    lack = {}
    for service in config.services:
        entry = config.profile_of(service)
        if entry is None or entry.profile.kind != "replica":
            continue
        serving = routing.usable_replicas(
            record.replicas, service, reports, now
        )
        down = max(0, entry.profile.replicas_per_domain - len(serving))
        lack[service] = entry.profile.downtime_weight * down
    return lack
