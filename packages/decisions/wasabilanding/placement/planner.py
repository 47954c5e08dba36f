"""The next record of a failure domain.

Explanation
===========

The planner keeps what runs where it is. In this order it

1. removes drained replicas of superseded profiles,
2. replaces missing members by free VMs of the same fabric domain, or
   dissolves the replica where there are none,
3. forms missing replicas, each in the fabric domain that it fills best,
4. drains replicas that are no longer wanted.
"""

import collections
import collections.abc
import dataclasses

from wasabilanding import configuration
from wasabilanding import model

LOST_AFTER_S = 2.0


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
    """

    record: model.DomainRecord
    configuration: configuration.Configuration
    vms: tuple[model.Vm, ...]
    reports: collections.abc.Mapping[str, model.VmReport]
    now: float
    fence: int
    since: float = 0.0


def _is_alive(situation: Situation, vm: str) -> bool:
    report = situation.reports.get(vm)
    seen = report.observed_at if report else situation.since
    return situation.now - seen <= LOST_AFTER_S


def _usable_vms(situation: Situation) -> dict[str, model.Vm]:
    return {
        vm.vm: vm
        for vm in situation.vms
        if not vm.leaving
        and vm.vm in situation.reports
        and not situation.reports[vm.vm].leaving
        and _is_alive(situation, vm.vm)
    }


class _Draft:
    """The record under construction: replicas, free VMs and next epoch."""

    def __init__(self, situation: Situation) -> None:
        self._situation = situation
        self._usable = _usable_vms(situation)
        self._next_epoch = situation.record.next_epoch
        self.replicas = list(situation.record.replicas)

    @property
    def record(self) -> model.DomainRecord:
        """The finished record."""
        return dataclasses.replace(
            self._situation.record,
            fence=self._situation.fence,
            next_epoch=self._next_epoch,
            replicas=tuple(self.replicas),
        )

    def _epoch(self) -> int:
        epoch = self._next_epoch
        self._next_epoch += 1
        return epoch

    def _free(self) -> dict[str, list[str]]:
        placed = {vm for r in self.replicas for vm in r.members}
        free: dict[str, list[str]] = collections.defaultdict(list)
        for vm in sorted(self._usable):
            if vm not in placed:
                free[self._usable[vm].fabric_domain].append(vm)
        return free

    def missing(self, replica: model.ReplicaRecord) -> list[str]:
        """Return the members of a replica that are gone or leaving."""
        return [
            vm
            for vm in replica.members
            if vm not in self._usable
            and (not _is_alive(self._situation, vm) or self._is_leaving(vm))
        ]

    def _is_leaving(self, vm: str) -> bool:
        report = self._situation.reports.get(vm)
        if report and report.leaving:
            return True
        listed = {v.vm: v for v in self._situation.vms}
        return vm in listed and listed[vm].leaving

    def repair(self, index: int) -> None:
        """Replace the missing members of a replica or dissolve it."""
        replica = self.replicas[index]
        missing = self.missing(replica)
        free = self._free()[replica.fabric_domain]
        if len(free) < len(missing):
            del self.replicas[index]
            return
        substitute = dict(zip(missing, free))
        members = tuple(substitute.get(vm, vm) for vm in replica.members)
        self.replicas[index] = dataclasses.replace(
            replica, members=members, epoch=self._epoch()
        )

    def form(self, service: str, entry: configuration.ProfileRevision) -> bool:
        """Form one replica; return False when no fabric domain holds it."""
        profile = entry.profile
        fitting = {
            fabric: vms
            for fabric, vms in self._free().items()
            if len(vms) >= profile.vms_per_replica
        }
        if not fitting:
            return False
        fabric = min(fitting, key=lambda f: (len(fitting[f]), f))
        epoch = self._epoch()
        self.replicas.append(
            model.ReplicaRecord(
                replica_id=f"{service}-{epoch}",
                epoch=epoch,
                service=service,
                profile=profile.name,
                profile_revision=entry.revision,
                model=profile.model,
                version=profile.version,
                fabric_domain=fabric,
                members=tuple(fitting[fabric][: profile.vms_per_replica]),
                max_running=profile.max_running,
            )
        )
        return True


def _wanted(
    config: configuration.Configuration,
) -> dict[str, configuration.ProfileRevision]:
    chosen = {
        service: config.profile_of(service) for service in config.services
    }
    return {
        service: entry
        for service, entry in chosen.items()
        if entry and entry.profile.kind == "replica"
    }


def _is_idle(situation: Situation, replica: model.ReplicaRecord) -> bool:
    report = situation.reports.get(replica.leader)
    if report is None:
        return True
    return report.running == 0 and report.queued == 0


def _matches(
    replica: model.ReplicaRecord,
    wanted: dict[str, configuration.ProfileRevision],
) -> bool:
    entry = wanted.get(replica.service)
    if entry is None or replica.state is not model.ReplicaState.ACTIVE:
        return False
    return (replica.profile, replica.profile_revision) == (
        entry.profile.name,
        entry.revision,
    )


def _drop_drained(situation: Situation, draft: _Draft) -> None:
    draft.replicas = [
        replica
        for replica in draft.replicas
        if replica.state is model.ReplicaState.ACTIVE
        or not _is_idle(situation, replica)
    ]


def _repair_all(draft: _Draft) -> None:
    for index in reversed(range(len(draft.replicas))):
        if draft.missing(draft.replicas[index]):
            draft.repair(index)


def _form_missing(
    draft: _Draft, wanted: dict[str, configuration.ProfileRevision]
) -> None:
    for service, entry in sorted(wanted.items()):
        own = [
            r
            for r in draft.replicas
            if r.service == service and _matches(r, wanted)
        ]
        lacking = entry.profile.replicas_per_domain - len(own)
        for _ in range(lacking):
            if not draft.form(service, entry):
                break


def _drain_unwanted(
    draft: _Draft, wanted: dict[str, configuration.ProfileRevision]
) -> None:
    for index, replica in enumerate(draft.replicas):
        if not _matches(replica, wanted):
            draft.replicas[index] = dataclasses.replace(
                replica, state=model.ReplicaState.DRAINING
            )


def plan(situation: Situation) -> model.DomainRecord:
    """Return the next record of a failure domain.

    :param situation: what the holder of control knows.
    :returns: the record to agree on; equal to the current one when there is
        nothing to change.
    """
    wanted = _wanted(situation.configuration)
    draft = _Draft(situation)
    _drop_drained(situation, draft)
    _repair_all(draft)
    _form_missing(draft, wanted)
    _drain_unwanted(draft, wanted)
    return draft.record
