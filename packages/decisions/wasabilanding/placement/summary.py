"""Counts of serving replicas and stranded accelerators."""

import collections.abc
import dataclasses

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding import routing


@dataclasses.dataclass(frozen=True)
class Summary:
    """Replica and accelerator counts of a failure domain at one time.

    :param wanted: replicas that the profiles in force require.
    :param serving: replicas that can serve requests.
    :param accelerators: accelerators of the listed VMs.
    :param stranded: accelerators that belong to no serving replica. A
        draining replica that still has requests counts as serving here.
    """

    wanted: int
    serving: int
    accelerators: int
    stranded: int

    @property
    def down(self) -> int:
        """Number of wanted replicas that can't serve."""
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
        and report.replica_key == replica.replica_key
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
    """Return the summary of a failure domain.

    :param record: the committed record.
    :param wanted: replicas that the profiles in force require.
    :param vms: VMs of the failure domain that the platform lists.
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
    """Return the number of replicas that each failure domain requires.

    :param config: the configuration in force.
    """
    entries = [config.profile_of(service) for service in config.services]
    return sum(
        entry.profile.replicas_per_domain
        for entry in entries
        if entry and entry.profile.kind == "replica"
    )


def service_shortfall(
    config: configuration.Configuration,
    record: model.DomainRecord,
    reports: collections.abc.Mapping[str, model.VmReport],
    now: float,
) -> dict[str, float]:
    """Return the missing replicas of each service times its downtime weight.

    :param config: the configuration in force.
    :param record: the committed record.
    :param reports: latest report of each VM.
    :param now: local monotonic time in seconds.
    """
    shortfall = {}
    for service in config.services:
        entry = config.profile_of(service)
        if entry is None or entry.profile.kind != "replica":
            continue
        serving = routing.usable_replicas(
            record.replicas, service, reports, now
        )
        down = max(0, entry.profile.replicas_per_domain - len(serving))
        shortfall[service] = entry.profile.downtime_weight * down
    return shortfall
