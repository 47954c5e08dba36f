"""Repair of replicas that lost members.

Explanation
===========

A broken replica is repaired in the first of these ways that is possible:

1. lost members are replaced by VMs of the same fabric domain, the replica's
   own spares first;
2. if no member is lost but some left the replica, the same members regroup
   under a new epoch;
3. a new replica is formed in another fabric domain;
4. lost members are replaced by members of another broken replica of the same
   fabric domain, which is removed.

A member that fails to load, or takes too long, is replaced in the first way
only. If no way is possible, the replica stays recorded until the lost VMs
return: its other VMs are stranded whether it is removed or not, and it can
serve again as soon as a paused VM resumes.
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
    """Return the members that can't serve in the replica.

    :param snapshot: state of the failure domain.
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
    """Repair broken replicas in order of downtime weight.

    :param snapshot: state of the failure domain.
    :param draft: draft of the next record.
    :param wanted: profile revision in force of each service.
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
