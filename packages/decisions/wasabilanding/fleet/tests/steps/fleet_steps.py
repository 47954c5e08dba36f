"""Steps for registered endpoints."""

import dataclasses
import random

import behave

from wasabilanding import fleet

FLAGS = {"yes": True, "no": False}


def _endpoint(name, membership=None, draining=False):
    return fleet.Endpoint(
        endpoint_id=name,
        service="writer",
        host="10.0.0.1",
        port=80,
        failure_domain="prov",
        draining=draining,
        fabric_domain="d0",
        membership=membership,
    )


@behave.given("an endpoint registered as {state}")
def given_endpoint(context, state):
    """Register one endpoint."""
    context.endpoint = _described(state)
    context.registry = fleet.Registry()
    context.registry.put(context.endpoint)
    if state == "removed":
        context.registry.remove("e", 1.0)


def _described(state):
    membership = None
    if "epoch" in state:
        epoch = int(state.rpartition(" ")[2])
        membership = fleet.Membership("r", epoch, 0, fleet.MemberState.OPEN)
    found = _endpoint("e", membership, state.startswith("draining"))
    started_at_ms = 9 if state == "started later" else 0
    return dataclasses.replace(found, started_at_ms=started_at_ms)


@behave.when("the store is restored with the endpoint as {state}")
def restore(context, state):
    """Restore the store at 5 s."""
    restore_at(context, 5.0, state)


@behave.when("the store is restored at {at:g} s with the endpoint as {state}")
def restore_at(context, at, state):
    """Merge the registrations of a restored store."""
    listed = [] if state == "nothing" else [_described(state)]
    context.registry.restore(listed, at)


@behave.then("the endpoint is in use as {state}")
def check_used(context, state):
    """Compare the registration in use."""
    found = context.registry.get("e")
    expected = None if state == "nothing" else _described(state)
    assert found == expected, found


@behave.given("the store recovered at {at:g} s")
def given_recovery(context, at):
    """Report the recovery of the store."""
    context.registry.note_store_recovery(at)


@behave.when("its registration is missing at {at:g} s")
def drop_registration(context, at):
    """Replace the registrations by an empty list."""
    context.registry.replace([], at)


@behave.when("it is registered again")
def register_again(context):
    """Register the endpoint again."""
    context.registry.put(context.endpoint)


@behave.when("the time is {now:g} s")
def pass_time(context, now):
    """Expire entries at the given time."""
    context.registry.expire(now)


@behave.then("the endpoint is {kept}")
def check_kept(context, kept):
    """Check whether the endpoint is registered or recently removed."""
    found = context.registry.get("e") is not None
    assert found is (kept == "kept")
    assert ("e" in context.registry.recently_removed) is not found


@behave.when(
    "start {start:d} of it announces its shutdown at {at:g} s",
)
def announce_shutdown(context, start, at):
    """Record that the endpoint has announced its shutdown."""
    context.version = context.registry.version
    context.is_new = context.registry.announce_shutdown("e", start, at)


@behave.when("it is registered again as start {start:d} and {state}")
def register_start(context, start, state):
    """Register the endpoint again, perhaps another start of it."""
    context.registry.put(
        dataclasses.replace(
            context.endpoint,
            started_at_ms=start,
            draining=state == "draining",
        )
    )


@behave.then("its start {start:d} is known: {expected}")
def check_known(context, start, expected):
    """Check whether connections to a start are kept."""
    is_known = context.registry.is_known(fleet.Incarnation("e", start))
    assert is_known is (expected == "yes")


@behave.then("it drains: {expected}")
def check_drains(context, expected):
    """Compare the registered endpoint."""
    found = context.registry.get("e")
    assert found.draining is FLAGS[expected], found


@behave.then("the version of the registry has changed")
def check_version(context):
    """Check that what depends on the registry is computed again."""
    assert context.registry.version > context.version


@behave.then("the announcement is new: {expected}")
def check_new(context, expected):
    """Check whether the announcement would be passed on and logged."""
    assert context.is_new is FLAGS[expected]


@behave.then(
    "it has been registered since its announcement for {seconds:g} s at "
    "{now:g} s"
)
def check_since(context, seconds, now):
    """Compare the time of the first announcement."""
    assert now - context.registry.announced_since()["e"] == seconds


@behave.then("no registered endpoint has announced its shutdown")
def check_none_announced(context):
    """Check that nothing is left to observe."""
    assert not context.registry.announced_since()


@behave.given("members {members}")
def given_members(context, members):
    """Register members of one replica."""
    found = []
    for index, text in enumerate(members.split(",")):
        rank, _, state = text.partition(":")
        membership = fleet.Membership(
            "r", 7, int(rank), fleet.MemberState(state)
        )
        found.append(_endpoint(f"e{index}", membership))
    context.replica = fleet.replicas_of(found)["r", 7]


@behave.then(
    "the replica of size {size:d} is whole: {whole} and open: {opened}"
)
def check_replica(context, size, whole, opened):
    """Compare the properties of the replica."""
    assert context.replica.is_whole(size) is FLAGS[whole]
    assert context.replica.is_open is FLAGS[opened]


def _random_endpoint(rng, name):
    membership = None
    if rng.random() < 0.7:
        membership = fleet.Membership(
            f"r{rng.randrange(2)}", 1, rng.randrange(3), fleet.MemberState.OPEN
        )
    return dataclasses.replace(
        _endpoint(name, membership, rng.random() < 0.2),
        model=rng.choice(("", "large")),
        started_at_ms=rng.randrange(2),
    )


def _apply_random_event(rng, pool, registries, now):
    """Apply an event to a registry, and to another one with a copy."""
    endpoint = rng.choice(pool)
    copy = dataclasses.replace(endpoint)
    kind = rng.random()
    for registry, given in zip(registries, (endpoint, copy), strict=True):
        if kind < 0.8:
            registry.put(given)
        elif kind < 0.88:
            registry.remove(given.endpoint_id, now)
        elif kind < 0.94:
            registry.announce_shutdown(
                given.endpoint_id, given.started_at_ms, now
            )
        else:
            registry.note_store_recovery(now)
            registry.expire(now + 1.0)


@behave.when(
    "{count:d} random events reach a registry, and another one with copies"
)
def apply_random_events(context, count):
    """Compare the registries after each event."""
    rng = random.Random(count)
    context.differences = []
    for start in range(0, count, 50):
        pool = [_random_endpoint(rng, f"e{n % 3}") for n in range(9)]
        registries = (fleet.Registry(), fleet.Registry())
        for number in range(start, start + 50):
            _apply_random_event(rng, pool, registries, 0.7 * number)
            first, second = (
                (list(registry.endpoints), registry.version)
                for registry in registries
            )
            if first != second:
                context.differences.append((first, second))


@behave.then("both had the same endpoints and versions throughout")
def check_random_registries(context):
    """Check that there was no difference."""
    assert not context.differences, context.differences[0]


@behave.when("{count:d} random sets of endpoints are grouped into replicas")
def group_random_endpoints(context, count):
    """Group random endpoints."""
    rng = random.Random(count)
    context.groups = []
    for _ in range(count):
        endpoints = [_random_endpoint(rng, f"e{n}") for n in range(8)]
        rng.shuffle(endpoints)
        context.groups.append((endpoints, fleet.replicas_of(endpoints)))


@behave.then("the members of each are sorted by rank and identity")
def check_random_groups(context):
    """Compare the members with those found one by one."""
    for endpoints, replicas in context.groups:
        members = [e for e in endpoints if e.membership is not None]
        assert set(replicas) == {e.membership.replica_key for e in members}
        for replica_key, replica in replicas.items():
            own = [
                e for e in members if e.membership.replica_key == replica_key
            ]
            own.sort(key=lambda e: (e.membership.rank, e.endpoint_id))
            assert replica.members == tuple(own), replica
