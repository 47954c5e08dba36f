"""Choice among usable replicas, by named policies.

Explanation
===========

A policy is a function of a :class:`Situation`, the prompt's blocks and a
source of randomness. The policy ``cost`` compares the replicas that are
believed to hold most of the prompt with a few that are drawn at random, as
in the power of two choices [1]_, by the expected time to the first token.
Random draws keep entry VMs with the same late report from all choosing the
same replica. ``random``, ``least_loaded`` and ``two_choices`` stand beside
it for comparison.

References
==========

.. [1] M. Mitzenmacher, "The power of two choices in randomized load
       balancing", IEEE Transactions on Parallel and Distributed Systems
       12(10), 2001.
"""

import collections.abc
import dataclasses
import random

from wasabilanding.routing import evidence
from wasabilanding.routing import index as index_module
from wasabilanding.routing import load_view
from wasabilanding.routing import located as located_module
from wasabilanding.routing import pace as pace_module
from wasabilanding.routing import prefix

DRAWN_LOCAL = 3
DRAWN_REMOTE = 2
PREFIX_CANDIDATES = 3
EVERY_REPLICA = 1_000_000


@dataclasses.dataclass(frozen=True)
class Costs:
    """What parts of the expected time to the first token cost.

    :param full_batch_s: a full batch against an empty one, in seconds.
    :param slot_s: each request that waits for the batch, in seconds.
    :param block_s: each block of the prompt that is not cached, in seconds.
    :param distance_s: another failure domain, in seconds.
    """

    full_batch_s: float = 0.08
    slot_s: float = 0.03
    block_s: float = 0.0032
    distance_s: float = 0.01


@dataclasses.dataclass(frozen=True)
class Situation:
    """What a node knows when it chooses.

    :param index: usable replicas.
    :param reports: latest report of each VM.
    :param loads: own requests by replica.
    :param paces: how slow each replica is.
    :param prefixes: what each replica has cached.
    :param now: local monotonic time in seconds.
    :param entry_vms: live entry VMs, this one included.
    :param costs: what parts of the expected time cost.
    """

    index: index_module.ReplicaIndex
    reports: evidence.Reports
    loads: load_view.LoadView
    paces: pace_module.PaceView
    prefixes: prefix.PrefixView
    now: float
    entry_vms: int = 1
    costs: Costs = Costs()


@dataclasses.dataclass(frozen=True)
class Wish:
    """What is to be routed.

    :param service: name of the service.
    :param blocks: chained hashes of the prompt.
    :param avoid: keys of replicas that earlier attempts used.
    :param allowed: keys of the only replicas to choose from; None for all.
    """

    service: str
    blocks: tuple[int, ...] = ()
    avoid: frozenset[str] = frozenset()
    allowed: frozenset[str] | None = None


Located = located_module.Located
Policy = collections.abc.Callable[
    [Situation, Wish, random.Random], Located | None
]


def _reported_load(situation: Situation, located: Located) -> float:
    replica = located.replica
    report = situation.reports.get(replica.leader)
    load = situation.loads.latest(replica, report)
    return load / replica.max_running


def expected_wait_s(
    situation: Situation,
    located: Located,
    uncached_blocks: int,
) -> float:
    """Return the expected time to the first token at a replica.

    :param situation: what the node knows.
    :param located: the replica.
    :param uncached_blocks: blocks of the prompt that it lacks.
    """
    costs = situation.costs
    room = located.replica.max_running
    load = situation.loads.estimate(
        located.replica,
        situation.reports.get(located.replica.leader),
        situation.index.crowd(located.replica.service, situation.entry_vms),
        situation.now,
    )
    wait_s = costs.full_batch_s * min(1.0, load / room)
    wait_s += costs.slot_s * max(0.0, load + 1 - room)
    wait_s += costs.block_s * uncached_blocks
    wait_s *= situation.paces.factor(located.replica, situation.now)
    is_local = situation.index.is_local(located)
    return wait_s + (0.0 if is_local else costs.distance_s)


def _allowed(situation: Situation, wish: Wish) -> list[Located]:
    located = [situation.index.get(key) for key in sorted(wish.allowed or ())]
    return [
        x
        for x in located
        if x is not None
        and situation.index.is_usable(x, situation.reports, situation.now)
    ]


def _draw(
    situation: Situation,
    wish: Wish,
    rng: random.Random,
    local_count: int,
    remote_count: int,
) -> list[Located]:
    found = _allowed(situation, wish)
    counts = ((True, local_count), (False, remote_count))
    for local, count in counts if wish.allowed is None else ():
        found += situation.index.draw(
            wish.service,
            local,
            count + len(wish.avoid),
            situation.reports,
            situation.now,
            rng,
        )
    fresh = [
        x
        for x in found
        if located_module.replica_key(x.replica) not in wish.avoid
    ]
    return fresh or found


def _cached(
    situation: Situation, wish: Wish, matches: dict[str, int]
) -> list[Located]:
    candidates = []
    if wish.allowed is not None:
        # All that are allowed are drawn.
        return candidates
    for key in matches:
        located = situation.index.get(key)
        if (
            located is not None
            and key not in wish.avoid
            and located.replica.service == wish.service
            and situation.index.is_usable(
                located, situation.reports, situation.now
            )
        ):
            candidates.append(located)
        if len(candidates) == PREFIX_CANDIDATES:
            break
    return candidates


def choose_by_cost(
    situation: Situation, wish: Wish, rng: random.Random
) -> Located | None:
    """Choose the replica with the least expected time to the first token.

    :param situation: what the node knows.
    :param wish: what is to be routed.
    :param rng: source of randomness.
    :returns: the choice, or None when no replica is usable.
    """
    matches = situation.prefixes.match(wish.blocks)
    drawn = _draw(situation, wish, rng, DRAWN_LOCAL, DRAWN_REMOTE)
    candidates = _cached(situation, wish, matches) + drawn
    if not candidates:
        return None

    def cost(located: Located) -> float:
        key = located_module.replica_key(located.replica)
        uncached = len(wish.blocks) - matches.get(key, 0)
        return expected_wait_s(situation, located, uncached)

    return min(candidates, key=cost)


def choose_at_random(
    situation: Situation, wish: Wish, rng: random.Random
) -> Located | None:
    """Choose any usable replica.

    :param situation: what the node knows.
    :param wish: what is to be routed.
    :param rng: source of randomness.
    """
    found = _draw(situation, wish, rng, EVERY_REPLICA, EVERY_REPLICA)
    return rng.choice(found) if found else None


def choose_least_loaded(
    situation: Situation, wish: Wish, rng: random.Random
) -> Located | None:
    """Choose the usable replica with the least estimated load.

    :param situation: what the node knows.
    :param wish: what is to be routed.
    :param rng: source of randomness.
    """
    found = _draw(situation, wish, rng, EVERY_REPLICA, EVERY_REPLICA)
    return min(found, key=lambda x: _reported_load(situation, x), default=None)


def choose_of_two(
    situation: Situation, wish: Wish, rng: random.Random
) -> Located | None:
    """Choose the less loaded of two usable replicas drawn at random.

    :param situation: what the node knows.
    :param wish: what is to be routed.
    :param rng: source of randomness.
    """
    found = _draw(situation, wish, rng, EVERY_REPLICA, EVERY_REPLICA)
    drawn = rng.sample(found, min(2, len(found)))
    return min(drawn, key=lambda x: _reported_load(situation, x), default=None)


POLICIES: dict[str, Policy] = {
    "cost": choose_by_cost,
    "least_loaded": choose_least_loaded,
    "random": choose_at_random,
    "two_choices": choose_of_two,
}
