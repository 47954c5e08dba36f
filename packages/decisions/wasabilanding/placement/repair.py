"""Repair of replicas that lost members.

Explanation
===========

A broken replica is repaired in the first of these ways that is open:

1. substitutes from its own fabric domain, its recorded spares first;
2. where all members are there but some lost their place, the same members
   regroup under a new epoch;
3. a whole new replica in another fabric domain;
4. members of another broken replica of the same fabric domain, which is
   given up.

A member that fails to load, or takes too long, is replaced in the first way
only. Where none is open, the replica waits as it is for the VM's return: its
other VMs are stranded whether it is dissolved or not, and a paused VM that
returns makes it whole at once.
"""

import collections.abc

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding.placement import draft as draft_module
from wasabilanding.placement import health
from wasabilanding.placement import snapshot as snapshot_module

DomainSnapshot = snapshot_module.DomainSnapshot
Wanted = collections.abc.Mapping[str, configuration.ProfileRevision]


def lost_members(
    snapshot: DomainSnapshot, replica: model.ReplicaRecord
) -> list[str]:
    """Return the members that cannot serve in their place.

    :param snapshot: what the holder of control knows.
    :param replica: the replica.
    """
    return [
        vm
        for vm in replica.members
        if not snapshot.is_alive(vm)
        or (
            snapshot.is_held_down(vm)
            and not snapshot.is_placed_in(vm, replica)
        )
    ]


def _displaced(
    snapshot: DomainSnapshot, replica: model.ReplicaRecord
) -> list[str]:
    return [vm for vm in replica.members if snapshot.is_displaced(vm, replica)]


def _broken(
    snapshot: DomainSnapshot, draft: draft_module.Draft, wanted: Wanted
) -> list[model.ReplicaRecord]:
    def order(replica: model.ReplicaRecord) -> tuple:
        entry = wanted.get(replica.service)
        weight = entry.profile.downtime_weight if entry else 0.0
        lost = len(lost_members(snapshot, replica))
        return -weight, lost, replica.replica_id

    found = [
        replica
        for replica in draft.replicas
        if replica.state is model.ReplicaState.ACTIVE
        and (lost_members(snapshot, replica) or _displaced(snapshot, replica))
    ]
    return sorted(found, key=order)


def _repair_in_place(
    snapshot: DomainSnapshot,
    draft: draft_module.Draft,
    replica: model.ReplicaRecord,
) -> bool:
    lost = lost_members(snapshot, replica)
    substitutes = draft.substitutes(replica)
    if len(substitutes) < len(lost):
        return False
    draft.regroup(replica, dict(zip(lost, substitutes)))
    return True


def _relocate(
    draft: draft_module.Draft,
    replica: model.ReplicaRecord,
    wanted: Wanted,
) -> bool:
    entry = wanted.get(replica.service)
    if entry is None or not health.satisfies_revision(replica, entry):
        return False
    if not draft.form_replica(
        replica.service, entry, avoid=replica.fabric_domain
    ):
        return False
    draft.remove_replica(replica)
    return True


def _take_from_donor(
    snapshot: DomainSnapshot,
    draft: draft_module.Draft,
    replica: model.ReplicaRecord,
    donors: list[model.ReplicaRecord],
) -> bool:
    needed = len(lost_members(snapshot, replica))
    have = len(draft.substitutes(replica))
    for donor in reversed(donors):
        if donor.fabric_domain != replica.fabric_domain:
            continue
        survivors = [vm for vm in donor.members if draft.is_usable(vm)]
        if have + len(survivors) >= needed:
            draft.remove_replica(donor)
            donors.remove(donor)
            return _repair_in_place(snapshot, draft, replica)
    return False


def repair_all(
    snapshot: DomainSnapshot, draft: draft_module.Draft, wanted: Wanted
) -> None:
    """Repair what can be repaired, the weightiest first.

    :param snapshot: what the holder of control knows.
    :param draft: the record under construction.
    :param wanted: profile in force of each service.
    """
    waiting = [
        replica
        for replica in _broken(snapshot, draft, wanted)
        if not _repair_in_place(snapshot, draft, replica)
        and not _relocate(draft, replica, wanted)
    ]
    while waiting:
        replica = waiting.pop(0)
        _take_from_donor(snapshot, draft, replica, waiting)
    for service, entry in wanted.items():
        if health.is_bad_revision(snapshot, entry):
            continue
        for replica in draft.active(service):
            _replace_failed(snapshot, draft, replica, entry)


def _replace_failed(
    snapshot: DomainSnapshot,
    draft: draft_module.Draft,
    replica: model.ReplicaRecord,
    entry: configuration.ProfileRevision,
) -> None:
    failed = health.failed_members(
        snapshot, replica, entry.profile.ready_within_s
    )
    if not failed:
        return
    substitutes = draft.substitutes(replica)
    if len(substitutes) >= len(failed):
        draft.regroup(replica, dict(zip(failed, substitutes)))
