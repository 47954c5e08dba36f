"""Replacement of a lost member while the store is unavailable.

Explanation
===========

A record assigns a spare to each replica in advance, with a reserved epoch
for each member that the spare may replace. The recorded replica and these
alternatives are its variants. While the platform's store is down, the last
controller orders the VMs of a broken replica to join the variant without the
lost member. The record stays the only authority on which VM belongs to which
replica, and only the VMs' reports decide which variant serves. Any two
variants share a VM, and a VM reports one epoch, so two nodes that see
different losses can at worst prevent a replica from serving; two variants
never serve at once. When the store is available again, the variant that was
formed is recorded.

Only VMs that report no replica, or another variant of the same replica, are
moved, so that a former controller that was partitioned doesn't disturb a
newer record.
"""

import collections.abc

from wasabilanding import model
from wasabilanding.placement import draft as draft_module
from wasabilanding.placement import orders
from wasabilanding.placement import snapshot as snapshot_module
from wasabilanding import routing

DomainSnapshot = snapshot_module.DomainSnapshot


def adopt_variants(
    snapshot: DomainSnapshot, draft: draft_module.Draft
) -> None:
    """Record the variants that were formed during a store outage.

    :param snapshot: state of the failure domain.
    :param draft: draft of the next record.
    """
    for replica in list(draft.replicas):
        if not any(
            map(_reports_other_variant(snapshot, replica), replica.spares)
        ):
            continue
        for variant in replica.variants[1:]:
            if _is_taken(snapshot, variant):
                draft.adopt_variant(replica, variant)


def _reports_other_variant(
    snapshot: DomainSnapshot, replica: model.ReplicaRecord
) -> collections.abc.Callable[[str], bool]:
    def reports_other_variant(vm: str) -> bool:
        report = snapshot.reports.get(vm)
        return bool(report) and replica.is_substitute_epoch(report.replica_key)

    return reports_other_variant


def _is_taken(snapshot: DomainSnapshot, variant: model.ReplicaRecord) -> bool:
    return all(
        snapshot.is_alive(vm) and snapshot.is_placed_in(vm, variant)
        for vm in variant.members
    )


def _variant_without_lost(
    snapshot: DomainSnapshot, replica: model.ReplicaRecord
) -> model.ReplicaRecord | None:
    lost = [
        rank
        for rank, vm in enumerate(replica.members)
        if not snapshot.is_alive(vm)
        or snapshot.reports[vm].replica_key == model.NO_REPLICA_KEY
    ]
    if len(lost) != 1 or len(replica.variants) == 1:
        return None
    variant = replica.variants[1 + lost[0]]
    replica_keys = {
        model.NO_REPLICA_KEY,
        *(v.replica_key for v in replica.variants),
    }
    for vm in variant.members:
        if not snapshot.is_alive(vm) or vm not in snapshot.reports:
            return None
        if snapshot.reports[vm].replica_key not in replica_keys:
            return None
    return variant


def substitution_orders(snapshot: DomainSnapshot) -> tuple[orders.Load, ...]:
    """Return the orders that replace lost members by recorded spares.

    :param snapshot: state of the failure domain as the last controller
        sees it.
    """
    if snapshot.history.is_settling(snapshot.now):
        return ()
    found = []
    for replica in snapshot.record.replicas:
        if replica.state is not model.ReplicaState.ACTIVE:
            continue
        if routing.usable_variant(replica, snapshot.reports, snapshot.now):
            continue
        variant = _variant_without_lost(snapshot, replica)
        if variant is None:
            continue
        found += [
            orders.Load(vm, variant, snapshot.record.fence)
            for vm in variant.members
            if not snapshot.is_placed_in(vm, variant)
        ]
    return tuple(found)
