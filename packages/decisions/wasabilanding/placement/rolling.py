"""Rolling update of a service's replicas to a new profile revision.

Explanation
===========

A replica that already satisfies a new revision adopts it without a restart.
The others are superseded one by one: while one replica of the service is
being formed or drained, its other replicas stay as they are. A new replica
is formed beside the old ones if enough VMs are free (a surge); otherwise an
old one is drained first, provided that the profile's minimum keeps serving
and that the freed VMs suffice for the new replica. A revision that fails to
load stops the update; :func:`find_rollbacks` returns how to go back.
"""

import collections.abc
import dataclasses

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding.placement import draft as draft_module
from wasabilanding.placement import health
from wasabilanding.placement import snapshot as snapshot_module
from wasabilanding.placement import spares

DomainSnapshot = snapshot_module.DomainSnapshot
Wanted = collections.abc.Mapping[str, configuration.ProfileRevision]
Replicas = list[model.ReplicaRecord]


def adopt_revisions(draft: draft_module.Draft, wanted: Wanted) -> None:
    """Record the wanted revision for replicas that already satisfy it.

    :param draft: draft of the next record.
    :param wanted: profile revision in force of each service.
    """
    for service, entry in wanted.items():
        for replica in draft.active(service):
            if health.satisfies_revision(replica, entry):
                draft.adopt_revision(replica, entry)


def _drain_candidates(
    snapshot: DomainSnapshot, replicas: Replicas
) -> Replicas:
    def order(replica: model.ReplicaRecord) -> tuple:
        return health.is_serving(snapshot, replica), -replica.epoch

    return sorted(replicas, key=order)


def _drain_first(
    snapshot: DomainSnapshot,
    draft: draft_module.Draft,
    candidates: Replicas,
    active: Replicas,
    min_serving: int,
) -> None:
    serving = [r for r in active if health.is_serving(snapshot, r)]
    for replica in _drain_candidates(snapshot, candidates):
        if replica not in serving or len(serving) > min_serving:
            draft.drain(replica)
            return


def _replaceable(
    draft: draft_module.Draft,
    old: Replicas,
    profile: model.ReplicaProfile,
) -> Replicas:
    room = {
        fabric: len(vms)
        for fabric, vms in draft.free(include_spares=True).items()
    }
    for replica in old:
        usable = sum(draft.is_usable(vm) for vm in replica.members)
        fabric = replica.fabric_domain
        room[fabric] = room.get(fabric, 0) + usable
    return [r for r in old if room[r.fabric_domain] >= profile.vms_per_replica]


def _is_recovering(
    snapshot: DomainSnapshot,
    replica: model.ReplicaRecord,
    entry: configuration.ProfileRevision,
) -> bool:
    if health.is_serving(snapshot, replica):
        return False
    if not all(snapshot.is_alive(vm) for vm in replica.members):
        return False
    within_s = entry.profile.ready_within_s
    return not health.failed_members(snapshot, replica, within_s)


def _roll(
    snapshot: DomainSnapshot,
    draft: draft_module.Draft,
    service: str,
    entry: configuration.ProfileRevision,
) -> None:
    active = draft.active(service)
    current = [r for r in active if health.satisfies_revision(r, entry)]
    old = [r for r in active if r not in current]
    draining = any(
        r.service == service and r not in active for r in draft.replicas
    )
    unready = any(not health.is_serving(snapshot, r) for r in current)
    recovering = any(_is_recovering(snapshot, r, entry) for r in old)
    if draining or unready or recovering:
        return
    if health.is_bad_revision(snapshot, entry):
        return
    profile = entry.profile
    min_serving = min(
        profile.min_replicas_per_domain, profile.replicas_per_domain
    )
    if len(active) > profile.replicas_per_domain:
        _drain_first(snapshot, draft, old, active, min_serving)
    elif not draft.form_replica(service, entry):
        drain_candidates = _replaceable(draft, old, profile)
        _drain_first(snapshot, draft, drain_candidates, active, min_serving)


def _extra_replicas(draft: draft_module.Draft, wanted: Wanted) -> Replicas:
    found = []
    for service, entry in wanted.items():
        active = draft.active(service)
        surplus = len(active) - entry.profile.replicas_per_domain
        if surplus > 0 and spares.forms_extras(entry.profile):
            found += active
    return found


def _drain_extra(
    snapshot: DomainSnapshot,
    draft: draft_module.Draft,
    profile: model.ReplicaProfile,
    wanted: Wanted,
) -> None:
    if any(r.state is model.ReplicaState.DRAINING for r in draft.replicas):
        return
    extras = _replaceable(draft, _extra_replicas(draft, wanted), profile)
    for replica in _drain_candidates(snapshot, extras)[:1]:
        draft.drain(replica)


def _scale(
    snapshot: DomainSnapshot,
    draft: draft_module.Draft,
    service: str,
    wanted: Wanted,
) -> None:
    entry = wanted[service]
    active = draft.active(service)
    target = entry.profile.replicas_per_domain
    for _ in range(target - len(active)):
        if not draft.form_replica(service, entry):
            _drain_extra(snapshot, draft, entry.profile, wanted)
            return
    if spares.forms_extras(entry.profile):
        return
    surplus = max(0, len(active) - target)
    for replica in _drain_candidates(snapshot, active)[:surplus]:
        draft.drain(replica)


def roll_all(
    snapshot: DomainSnapshot, draft: draft_module.Draft, wanted: Wanted
) -> None:
    """Form missing replicas and supersede outdated ones.

    Services are handled in order of downtime weight.

    :param snapshot: state of the failure domain.
    :param draft: draft of the next record.
    :param wanted: profile revision in force of each service.
    """

    def order(service: str) -> tuple:
        return -wanted[service].profile.downtime_weight, service

    for service in sorted(wanted, key=order):
        entry = wanted[service]
        active = draft.active(service)
        if all(health.satisfies_revision(r, entry) for r in active):
            _scale(snapshot, draft, service, wanted)
        else:
            _roll(snapshot, draft, service, entry)
    for replica in list(draft.replicas):
        active = replica.state is model.ReplicaState.ACTIVE
        if active and replica.service not in wanted:
            draft.drain(replica)


@dataclasses.dataclass(frozen=True)
class Rollback:
    """Rollback of a bad profile revision.

    :param service: service that runs under the bad revision.
    :param profile: name of the bad profile.
    :param revision: the bad revision.
    :param choice_revision: revision of the service's profile choice.
    :param good_profile: name of the profile that served before.
    :param good_revision: revision that served before.
    """

    service: str
    profile: str
    revision: int
    choice_revision: int
    good_profile: str
    good_revision: int

    def apply(
        self, document: configuration.Configuration
    ) -> configuration.Configuration:
        """Return the configuration with the rollback applied.

        :param document: the current configuration.
        :raises wasabilanding.configuration.ChangeRefused: when another
            change was accepted first.
        """
        if self.profile == self.good_profile:
            return configuration.roll_back(
                document, self.profile, self.good_revision, self.revision
            )
        return configuration.choose_profile(
            document, self.service, self.good_profile, self.choice_revision
        )


def _last_good_revision(
    snapshot: DomainSnapshot, service: str, bad: configuration.ProfileRevision
) -> tuple[str, int] | None:
    known_good = [
        key
        for key in snapshot.history.known_good
        if key[0] == bad.profile.name and key[1] < bad.revision
    ]
    if known_good:
        return max(known_good, key=lambda key: key[1])
    serving = [
        (r.profile, r.profile_revision)
        for r in snapshot.record.replicas
        if r.service == service and health.is_serving(snapshot, r)
    ]
    return max(serving, default=None)


def find_rollbacks(snapshot: DomainSnapshot) -> tuple[Rollback, ...]:
    """Return the rollbacks of bad revisions.

    Only a revision that was seen serving is restored, so two bad revisions
    never alternate.

    :param snapshot: state of the failure domain.
    """
    found = []
    document = snapshot.configuration
    for service, choice in sorted(document.services.items()):
        entry = document.profile_of(service)
        if entry.profile.kind != "replica":
            continue
        if not health.is_bad_revision(snapshot, entry):
            continue
        good = _last_good_revision(snapshot, service, entry)
        if good is not None:
            found.append(
                Rollback(
                    service,
                    entry.profile.name,
                    entry.revision,
                    choice.revision,
                    *good,
                )
            )
    return tuple(found)
