"""When a replica drains, and when it has drained.

Explanation
===========

A draining replica takes no new request. Nodes that know an older record may
still send some, so an idle report alone proves nothing. The holder orders
the leader to drain; from then on the engine refuses new requests. Load is
reported with a lag, so a report that shows it idle counts only once it is
younger than :data:`LOAD_LAG_S` after the order was confirmed.

Where an engine does not confirm the order, the replica counts as drained
when a report that is :data:`UNCONFIRMED_SETTLE_S` younger than the record's
change shows it idle.
"""

from wasabilanding import model
from wasabilanding.placement import draft as draft_module
from wasabilanding.placement import situation as situation_module

LOAD_LAG_S = 2.5
UNCONFIRMED_SETTLE_S = 30.0

Situation = situation_module.Situation


def is_drained(situation: Situation, replica: model.ReplicaRecord) -> bool:
    """Tell whether a draining replica runs nothing and never will.

    :param situation: what the holder of control knows.
    :param replica: the replica.
    """
    report = situation.reports.get(replica.leader)
    since = situation.history.draining_since.get(replica.replica_id)
    if report is None or since is None or report.observed_at < since:
        return False
    if report.replica_epoch != replica.replica_epoch:
        return True
    if report.running or report.queued:
        return False
    track = situation.history.vms.get(replica.leader)
    if report.state is model.VmState.DRAINING and track is not None:
        return report.observed_at >= track.refuses_from + LOAD_LAG_S
    return report.observed_at >= since + UNCONFIRMED_SETTLE_S


def _is_broken(situation: Situation, replica: model.ReplicaRecord) -> bool:
    return any(not situation.is_alive(vm) for vm in replica.members)


def drop_drained(situation: Situation, draft: draft_module.Draft) -> None:
    """Remove draining replicas that have drained or lost a member.

    :param situation: what the holder of control knows.
    :param draft: the record under construction.
    """
    for replica in list(draft.replicas):
        if replica.state is not model.ReplicaState.DRAINING:
            continue
        if _is_broken(situation, replica) or is_drained(situation, replica):
            draft.dissolve(replica)


def drain_leaving(situation: Situation, draft: draft_module.Draft) -> None:
    """Drain whole replicas with a member whose end was announced.

    Replacing the member at once would cut the requests in flight.

    :param situation: what the holder of control knows.
    :param draft: the record under construction.
    """
    for replica in list(draft.replicas):
        if replica.state is not model.ReplicaState.ACTIVE:
            continue
        if any(situation.is_leaving(vm) for vm in replica.members):
            draft.drain(replica)
