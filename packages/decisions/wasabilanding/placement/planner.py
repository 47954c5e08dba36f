"""The next record of a failure domain.

Explanation
===========

The planner doesn't move running replicas without need. In this order it

1. records members that were substituted while the store was unavailable,
   removes drained replicas, and drains replicas with a leaving VM,
2. repairs replicas that lost members,
3. moves replicas to a new revision that needs no change of their VMs,
4. forms missing replicas and supersedes outdated ones, one at a time,
5. assigns idle VMs as spares or to extra replicas.

The plan is deterministic: equal snapshots give equal records, and a record
with nothing to change is returned unchanged.

See Also
========

wasabilanding.placement.repair : how replicas are repaired.
wasabilanding.placement.rolling : how a new revision is rolled out.
"""

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding.placement import draft as draft_module
from wasabilanding.placement import draining
from wasabilanding.placement import repair
from wasabilanding.placement import rolling
from wasabilanding.placement import snapshot as snapshot_module
from wasabilanding.placement import spares
from wasabilanding.placement import substitution


def wanted_profiles(
    config: configuration.Configuration,
) -> dict[str, configuration.ProfileRevision]:
    """Return the profile of each service whose profile uses replicas.

    :param config: the configuration in force.
    """
    chosen = {
        service: config.profile_of(service)
        for service in sorted(config.services)
    }
    return {
        service: entry
        for service, entry in chosen.items()
        if entry and entry.profile.kind == "replica"
    }


def plan(
    snapshot: snapshot_module.DomainSnapshot,
    spare_policy: spares.SparePolicy = spares.assign_spares_and_extras,
) -> model.DomainRecord:
    """Return the next record of a failure domain.

    :param snapshot: state of the failure domain.
    :param spare_policy: assigns the VMs that no wanted replica needs.
    :returns: the record to commit; equal to the current one when there is
        nothing to change.
    """
    if snapshot.history.is_settling(snapshot.now):
        return snapshot.record
    wanted = wanted_profiles(snapshot.configuration)
    draft = draft_module.Draft(snapshot)
    substitution.adopt_variants(snapshot, draft)
    draining.drop_drained(snapshot, draft)
    draining.drain_leaving(snapshot, draft)
    repair.repair_all(snapshot, draft, wanted)
    rolling.adopt_revisions(draft, wanted)
    rolling.roll_all(snapshot, draft, wanted)
    spare_policy(draft, wanted)
    return draft.record
