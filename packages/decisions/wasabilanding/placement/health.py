"""Health of replicas and profile revisions, judged by VM reports."""

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding.placement import snapshot as snapshot_module
from wasabilanding import routing

MIN_FAILED_VMS = 2

DomainSnapshot = snapshot_module.DomainSnapshot


def satisfies_revision(
    replica: model.ReplicaRecord, entry: configuration.ProfileRevision
) -> bool:
    """Tell whether a replica has the weights and size of a revision.

    :param replica: the replica.
    :param entry: the revision.
    """
    profile = entry.profile
    return (
        replica.weights == (profile.model, profile.version, *profile.adapters)
        and len(replica.members) == profile.vms_per_replica
    )


def is_serving(snapshot: DomainSnapshot, replica: model.ReplicaRecord) -> bool:
    """Tell whether all members of a replica report that it can serve.

    :param snapshot: state of the failure domain.
    :param replica: the replica.
    """
    variant = routing.usable_variant(replica, snapshot.reports, snapshot.now)
    return variant is not None


def failed_members(
    snapshot: DomainSnapshot, replica: model.ReplicaRecord, within_s: float
) -> list[str]:
    """Return the members that failed to load or exceeded a time limit.

    :param snapshot: state of the failure domain.
    :param replica: the replica.
    :param within_s: time to become ready after joining, in seconds.
    """
    return [
        vm
        for vm in replica.members
        if snapshot.is_placed_in(vm, replica)
        and _has_failed(snapshot, vm, within_s)
    ]


def _has_failed(snapshot: DomainSnapshot, vm: str, within_s: float) -> bool:
    if snapshot.reports[vm].state is model.VmState.FAILED:
        return True
    vm_history = snapshot.history.vms.get(vm)
    if vm_history is None or vm_history.was_ready:
        return False
    if vm_history.replica_key != snapshot.reports[vm].replica_key:
        return False
    return snapshot.now - vm_history.placed_at > within_s


def is_bad_revision(
    snapshot: DomainSnapshot,
    entry: configuration.ProfileRevision,
) -> bool:
    """Tell whether a profile revision itself fails to load.

    A single failure may be due to the VM. A revision is bad if it was never
    seen serving and most members of one replica, or ``MIN_FAILED_VMS`` VMs
    over time, failed to load it.

    :param snapshot: state of the failure domain.
    :param entry: the revision.
    """
    key = (entry.profile.name, entry.revision)
    if key in snapshot.history.known_good:
        return False
    failed = {
        vm for *which, vm in snapshot.history.failed if tuple(which) == key
    }
    for replica in snapshot.record.replicas:
        if (replica.profile, replica.profile_revision) != key:
            continue
        now_failed = failed_members(
            snapshot, replica, entry.profile.ready_within_s
        )
        if 2 * len(now_failed) > len(replica.members):
            return True
        failed.update(now_failed)
    return len(failed) >= MIN_FAILED_VMS
