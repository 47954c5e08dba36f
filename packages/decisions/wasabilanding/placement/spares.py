"""Assignment of idle VMs as spares or to extra replicas.

Explanation
===========

When all wanted replicas are formed, the remaining VMs are idle, and their
accelerators are stranded. An idle VM can preload the weights of a replica as
its spare, so that the loss of a member needs no load of weights, or it can
join an extra replica, so that it is no longer stranded. The cost weights of
each profile decide:

- A profile whose ``downtime_weight`` is at least its ``stranding_weight``
  gets one spare for each replica and no extra replicas. Profiles with a
  higher downtime weight go first.
- A profile whose ``stranding_weight`` is higher forms extra replicas from the
  idle VMs, and gets spares from those that no replica fits into.

Wanted replicas take precedence over both: they may use spares, and extra
replicas are drained to free VMs for them.
"""

import collections.abc

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding.placement import draft as draft_module

SPARES_PER_REPLICA = 1

Wanted = collections.abc.Mapping[str, configuration.ProfileRevision]
Services = collections.abc.Sequence[str]
SparePolicy = collections.abc.Callable[[draft_module.Draft, Wanted], None]


def forms_extras(profile: model.ReplicaProfile) -> bool:
    """Tell whether a profile forms extra replicas from idle VMs.

    :param profile: the profile.

    Examples
    ========

    >>> from wasabilanding import model
    >>> from wasabilanding.placement import spares
    >>> council = model.ReplicaProfile(
    ...     "draft", "m", "v1", 2, 1, downtime_weight=1, stranding_weight=4
    ... )
    >>> spares.forms_extras(council)
    True
    """
    return profile.stranding_weight > profile.downtime_weight


def _by_weight(wanted: Wanted) -> list[str]:
    def order(service: str) -> tuple:
        return -wanted[service].profile.downtime_weight, service

    return sorted(wanted, key=order)


def _assign(draft: draft_module.Draft, services: Services) -> None:
    room = draft.free()
    for service in services:
        for replica in draft.active(service):
            if len(replica.spares) >= SPARES_PER_REPLICA:
                continue
            if not room[replica.fabric_domain]:
                continue
            free = draft.substitutes(replica, include_foreign_spares=False)
            draft.set_spares(replica, (*replica.spares, free[0]))
            room = draft.free()


def _withdraw_lost(draft: draft_module.Draft) -> None:
    for replica in list(draft.replicas):
        usable = (vm for vm in replica.spares if draft.is_usable(vm))
        draft.set_spares(replica, tuple(usable))


def _form_extras(draft: draft_module.Draft, service: str, entry) -> None:
    lacking = entry.profile.replicas_per_domain - len(draft.active(service))
    if lacking > 0 or draft.is_rolling(service, entry):
        return
    while draft.form_replica(service, entry, take_spares=False):
        continue


def assign_spares_and_extras(
    draft: draft_module.Draft, wanted: Wanted
) -> None:
    """Assign spares and form extra replicas by the profiles' cost weights.

    :param draft: draft of the next record.
    :param wanted: profile revision in force of each service.
    """
    _withdraw_lost(draft)
    services = _by_weight(wanted)
    extra = [s for s in services if forms_extras(wanted[s].profile)]
    _assign(draft, [s for s in services if s not in extra])
    for service in extra:
        _form_extras(draft, service, wanted[service])
    _assign(draft, extra)


def assign_nothing(draft: draft_module.Draft, wanted: Wanted) -> None:
    """Assign no spares and form no extra replicas; used as a baseline.

    :param draft: draft of the next record.
    :param wanted: profile revision in force of each service.
    """


def assign_spares_only(draft: draft_module.Draft, wanted: Wanted) -> None:
    """Assign a spare to each replica, whatever its profile's cost weights.

    Used as a baseline with a fixed number of spares.

    :param draft: draft of the next record.
    :param wanted: profile revision in force of each service.
    """
    _withdraw_lost(draft)
    _assign(draft, _by_weight(wanted))
