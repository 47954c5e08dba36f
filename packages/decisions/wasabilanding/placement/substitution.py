"""Replacing a lost member while nothing can be written.

Explanation
===========

A record agrees beforehand on one spare for each replica and on an epoch for
each member that the spare may replace: the replica's forms. While the
platform's service is down, the last holder of control orders the VMs of a
broken replica into the form without the lost member. The record stays the
only authority on which VM belongs to which replica, and the VMs' reports
alone decide which form serves: any two forms share a VM, which reports one
epoch, so two nodes that see different losses can at worst keep a replica
from being whole. Once the service is back, the form that was taken is
recorded.

Only VMs without a place or in another form of the same replica are moved, so
that a former holder that was cut off does not disturb a newer record.
"""

import collections.abc

from wasabilanding import model
from wasabilanding.placement import draft as draft_module
from wasabilanding.placement import orders
from wasabilanding.placement import situation as situation_module
from wasabilanding import routing

Situation = situation_module.Situation


def adopt_forms(situation: Situation, draft: draft_module.Draft) -> None:
    """Record the forms that replicas have taken.

    :param situation: what the holder of control knows.
    :param draft: the record under construction.
    """
    for replica in list(draft.replicas):
        if not any(map(_in_form_of(situation, replica), replica.spares)):
            continue
        for variant in replica.variants[1:]:
            if _is_taken(situation, variant):
                draft.adopt_variant(replica, variant)


def _in_form_of(
    situation: Situation, replica: model.ReplicaRecord
) -> collections.abc.Callable[[str], bool]:
    def is_in_form(vm: str) -> bool:
        report = situation.reports.get(vm)
        return bool(report) and replica.is_substitute_epoch(
            report.replica_epoch
        )

    return is_in_form


def _is_taken(situation: Situation, variant: model.ReplicaRecord) -> bool:
    return all(
        situation.is_alive(vm) and situation.is_at(vm, variant)
        for vm in variant.members
    )


def _variant_without_lost(
    situation: Situation, replica: model.ReplicaRecord
) -> model.ReplicaRecord | None:
    lost = [
        rank
        for rank, vm in enumerate(replica.members)
        if not situation.is_alive(vm)
        or situation.reports[vm].replica_epoch == model.NO_REPLICA_EPOCH
    ]
    if len(lost) != 1 or len(replica.variants) == 1:
        return None
    variant = replica.variants[1 + lost[0]]
    replica_epochs = {
        model.NO_REPLICA_EPOCH,
        *(f.replica_epoch for f in replica.variants),
    }
    for vm in variant.members:
        if not situation.is_alive(vm) or vm not in situation.reports:
            return None
        if situation.reports[vm].replica_epoch not in replica_epochs:
            return None
    return variant


def substitution_orders(situation: Situation) -> tuple[orders.Load, ...]:
    """Return the orders that replace lost members as agreed beforehand.

    :param situation: what the last holder of control knows.
    """
    if situation.history.is_settling(situation.now):
        return ()
    found = []
    for replica in situation.record.replicas:
        if replica.state is not model.ReplicaState.ACTIVE:
            continue
        if routing.usable_variant(replica, situation.reports, situation.now):
            continue
        variant = _variant_without_lost(situation, replica)
        if variant is None:
            continue
        found += [
            orders.Load(vm, variant, situation.record.fence)
            for vm in variant.members
            if not situation.is_at(vm, variant)
        ]
    return tuple(found)
