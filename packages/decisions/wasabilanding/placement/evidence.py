"""What the VMs' reports say of a replica and of a profile's revision."""

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding.placement import situation as situation_module
from wasabilanding import routing

BLAMED_AFTER_VMS = 2

Situation = situation_module.Situation


def has_content(
    replica: model.ReplicaRecord, entry: configuration.ProfileRevision
) -> bool:
    """Tell whether a replica has all that a revision asks of its VMs.

    :param replica: the replica.
    :param entry: the revision.
    """
    profile = entry.profile
    return (
        replica.weights == (profile.model, profile.version, *profile.adapters)
        and len(replica.members) == profile.vms_per_replica
    )


def is_serving(situation: Situation, replica: model.ReplicaRecord) -> bool:
    """Tell whether a replica is whole on the evidence of its VMs.

    :param situation: what the holder of control knows.
    :param replica: the replica.
    """
    form = routing.usable_variant(replica, situation.reports, situation.now)
    return form is not None


def failed_members(
    situation: Situation, replica: model.ReplicaRecord, within_s: float
) -> list[str]:
    """Return the members that failed to load, or not within a bound.

    :param situation: what the holder of control knows.
    :param replica: the replica.
    :param within_s: bound in seconds, from taking the place.
    """
    return [
        vm
        for vm in replica.members
        if situation.is_at(vm, replica)
        and _has_failed(situation, vm, within_s)
    ]


def _has_failed(situation: Situation, vm: str, within_s: float) -> bool:
    if situation.reports[vm].state is model.VmState.FAILED:
        return True
    track = situation.history.vms.get(vm)
    if track is None or track.was_ready:
        return False
    if track.replica_epoch != situation.reports[vm].replica_epoch:
        return False
    return situation.now - track.placed_at > within_s


def is_bad(
    situation: Situation,
    entry: configuration.ProfileRevision,
) -> bool:
    """Tell whether the VMs' reports condemn a revision of a profile.

    One VM that fails may be to blame itself. A revision is bad when it was
    never seen to serve and most members of one replica, or several VMs over
    time, failed to load it.

    :param situation: what the holder of control knows.
    :param entry: the revision.
    """
    key = (entry.profile.name, entry.revision)
    if key in situation.history.proved:
        return False
    failed = {
        vm for *which, vm in situation.history.failed if tuple(which) == key
    }
    for replica in situation.record.replicas:
        if (replica.profile, replica.profile_revision) != key:
            continue
        now_failed = failed_members(
            situation, replica, entry.profile.ready_within_s
        )
        if 2 * len(now_failed) > len(replica.members):
            return True
        failed.update(now_failed)
    return len(failed) >= BLAMED_AFTER_VMS
