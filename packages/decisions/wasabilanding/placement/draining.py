"""Start and completion of draining.

Explanation
===========

A draining replica gets no new requests from nodes that know the current
record. Nodes with an older record may still send some, so an idle report
alone doesn't prove that the replica has drained. The controller therefore
orders the leader to drain, and from then on its engine refuses new requests.
Load is reported with a lag, so an idle report counts only if it was made at
least :data:`LOAD_LAG_S` after the order was confirmed.

If an engine does not confirm the order, the replica counts as drained when a
report made at least :data:`UNCONFIRMED_SETTLE_S` after the change of the
record shows it idle.
"""

from wasabilanding import model
from wasabilanding.placement import draft as draft_module
from wasabilanding.placement import snapshot as snapshot_module

LOAD_LAG_S = 2.5
UNCONFIRMED_SETTLE_S = 30.0

DomainSnapshot = snapshot_module.DomainSnapshot


def is_drained(snapshot: DomainSnapshot, replica: model.ReplicaRecord) -> bool:
    """Tell whether a draining replica is idle and gets no more requests.

    :param snapshot: state of the failure domain.
    :param replica: the replica.
    """
    report = snapshot.reports.get(replica.leader)
    since = snapshot.history.draining_since.get(replica.replica_id)
    if report is None or since is None or report.observed_at < since:
        return False
    if report.replica_key != replica.replica_key:
        return True
    if report.running or report.queued:
        return False
    vm_history = snapshot.history.vms.get(replica.leader)
    if report.state is model.VmState.DRAINING and vm_history is not None:
        return report.observed_at >= vm_history.refuses_from + LOAD_LAG_S
    return report.observed_at >= since + UNCONFIRMED_SETTLE_S


def _is_broken(snapshot: DomainSnapshot, replica: model.ReplicaRecord) -> bool:
    return any(not snapshot.is_alive(vm) for vm in replica.members)


def drop_drained(snapshot: DomainSnapshot, draft: draft_module.Draft) -> None:
    """Remove draining replicas that have drained or lost a member.

    :param snapshot: state of the failure domain.
    :param draft: draft of the next record.
    """
    for replica in list(draft.replicas):
        if replica.state is not model.ReplicaState.DRAINING:
            continue
        if _is_broken(snapshot, replica) or is_drained(snapshot, replica):
            draft.remove_replica(replica)


def drain_leaving(snapshot: DomainSnapshot, draft: draft_module.Draft) -> None:
    """Drain active replicas with a member whose shutdown was announced.

    Replacing the member at once would abort the requests in flight.

    :param snapshot: state of the failure domain.
    :param draft: draft of the next record.
    """
    for replica in list(draft.replicas):
        if replica.state is not model.ReplicaState.ACTIVE:
            continue
        if any(snapshot.is_leaving(vm) for vm in replica.members):
            draft.drain(replica)
