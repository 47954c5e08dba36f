"""Routing policies that choose among usable replicas.

Explanation
===========

A policy is a function of a :class:`RoutingState`, a :class:`RoutingRequest`
and a random number generator. The policy ``cost`` compares the replicas that
are believed to have cached most of the prompt with a few that are sampled at
random, as in the power of two choices [1]_, by the expected time to the first
token. Random sampling prevents entry VMs that have the same delayed report
from all choosing the same replica. ``random``, ``least_loaded`` and
``two_choices`` are provided for comparison.

References
==========

.. [1] M. Mitzenmacher, "The power of two choices in randomized load
       balancing", IEEE Transactions on Parallel and Distributed Systems
       12(10), 2001.
"""

import collections.abc
import dataclasses
import random

from wasabilanding.routing import index as index_module
from wasabilanding.routing import load_view
from wasabilanding.routing import located as located_module
from wasabilanding.routing import prefix
from wasabilanding.routing import stream_intervals as intervals_module
from wasabilanding.routing import usability

LOCAL_CANDIDATES = 3
REMOTE_CANDIDATES = 2
PREFIX_CANDIDATES = 3
ALL_CANDIDATES = 1_000_000


@dataclasses.dataclass(frozen=True)
class Costs:
    """Contributions to the expected time to the first token.

    :param full_batch_s: added by a full batch compared with an empty one, in
        seconds.
    :param slot_s: added by each request that waits for the batch, in seconds.
    :param block_s: added by each uncached block of the prompt, in seconds.
    :param distance_s: added by another failure domain, in seconds.
    """

    full_batch_s: float = 0.08
    slot_s: float = 0.03
    block_s: float = 0.0032
    distance_s: float = 0.01


@dataclasses.dataclass(frozen=True)
class RoutingState:
    """State of a node on which a routing decision is based.

    :param index: usable replicas.
    :param reports: latest report of each VM.
    :param loads: load estimates of the replicas.
    :param stream_intervals: observed slowdown of the replicas.
    :param prefixes: blocks that each replica is believed to have cached.
    :param now: local monotonic time in seconds.
    :param entry_vms: number of live entry VMs, including this one.
    :param costs: contributions to the expected time to the first token.
    """

    index: index_module.ReplicaIndex
    reports: usability.Reports
    loads: load_view.LoadView
    stream_intervals: intervals_module.StreamIntervals
    prefixes: prefix.PrefixView
    now: float
    entry_vms: int = 1
    costs: Costs = Costs()


@dataclasses.dataclass(frozen=True)
class RoutingRequest:
    """Request to choose a replica.

    :param service: name of the service.
    :param blocks: chained hashes of the prompt's blocks.
    :param avoid: keys of replicas of earlier attempts; these are chosen only
        if there is no other.
    :param allowed: keys of the replicas to choose from; None for all.
    """

    service: str
    blocks: tuple[int, ...] = ()
    avoid: frozenset[str] = frozenset()
    allowed: frozenset[str] | None = None


LocatedReplica = located_module.LocatedReplica
Policy = collections.abc.Callable[
    [RoutingState, RoutingRequest, random.Random], LocatedReplica | None
]


def _reported_load(state: RoutingState, located: LocatedReplica) -> float:
    replica = located.replica
    report = state.reports.get(replica.leader)
    load = state.loads.latest(replica, report)
    return load / replica.max_running


def expected_wait_s(
    state: RoutingState,
    located: LocatedReplica,
    uncached_blocks: int,
) -> float:
    """Return the expected time to the first token at a replica.

    :param state: state of the node.
    :param located: the replica.
    :param uncached_blocks: number of the prompt's blocks that are not cached
        there.
    """
    costs = state.costs
    max_running = located.replica.max_running
    load = state.loads.estimate(
        located.replica,
        state.reports.get(located.replica.leader),
        state.index.service_load(located.replica.service, state.entry_vms),
        state.now,
    )
    wait_s = costs.full_batch_s * min(1.0, load / max_running)
    wait_s += costs.slot_s * max(0.0, load + 1 - max_running)
    wait_s += costs.block_s * uncached_blocks
    wait_s *= state.stream_intervals.slowdown(located.replica, state.now)
    is_local = state.index.is_local(located)
    return wait_s + (0.0 if is_local else costs.distance_s)


def _allowed(
    state: RoutingState, request: RoutingRequest
) -> list[LocatedReplica]:
    located = [state.index.get(key) for key in sorted(request.allowed or ())]
    return [
        x
        for x in located
        if x is not None and state.index.is_usable(x, state.reports, state.now)
    ]


def _sample(
    state: RoutingState,
    request: RoutingRequest,
    rng: random.Random,
    local_count: int,
    remote_count: int,
) -> list[LocatedReplica]:
    found = _allowed(state, request)
    counts = ((True, local_count), (False, remote_count))
    for local, count in counts if request.allowed is None else ():
        found += state.index.sample(
            request.service,
            local,
            count + len(request.avoid),
            state.reports,
            state.now,
            rng,
        )
    untried = [
        x
        for x in found
        if located_module.global_replica_key(x.replica) not in request.avoid
    ]
    return untried or found


def _cached(
    state: RoutingState, request: RoutingRequest, matches: dict[str, int]
) -> list[LocatedReplica]:
    candidates = []
    if request.allowed is not None:
        # All allowed replicas are candidates already.
        return candidates
    for key in matches:
        located = state.index.get(key)
        if (
            located is not None
            and key not in request.avoid
            and located.replica.service == request.service
            and state.index.is_usable(located, state.reports, state.now)
        ):
            candidates.append(located)
        if len(candidates) == PREFIX_CANDIDATES:
            break
    return candidates


def choose_by_cost(
    state: RoutingState, request: RoutingRequest, rng: random.Random
) -> LocatedReplica | None:
    """Choose the replica with the least expected time to the first token.

    :param state: state of the node.
    :param request: the request.
    :param rng: random number generator.
    :returns: the chosen replica, or None when none is usable.
    """
    matches = state.prefixes.match(request.blocks)
    sampled = _sample(state, request, rng, LOCAL_CANDIDATES, REMOTE_CANDIDATES)
    candidates = _cached(state, request, matches) + sampled
    if not candidates:
        return None

    def cost(located: LocatedReplica) -> float:
        key = located_module.global_replica_key(located.replica)
        uncached = len(request.blocks) - matches.get(key, 0)
        return expected_wait_s(state, located, uncached)

    return min(candidates, key=cost)


def choose_at_random(
    state: RoutingState, request: RoutingRequest, rng: random.Random
) -> LocatedReplica | None:
    """Choose a usable replica at random.

    :param state: state of the node.
    :param request: the request.
    :param rng: random number generator.
    """
    found = _sample(state, request, rng, ALL_CANDIDATES, ALL_CANDIDATES)
    return rng.choice(found) if found else None


def choose_least_loaded(
    state: RoutingState, request: RoutingRequest, rng: random.Random
) -> LocatedReplica | None:
    """Choose the usable replica with the lowest reported load.

    :param state: state of the node.
    :param request: the request.
    :param rng: random number generator.
    """
    found = _sample(state, request, rng, ALL_CANDIDATES, ALL_CANDIDATES)
    return min(found, key=lambda x: _reported_load(state, x), default=None)


def choose_of_two(
    state: RoutingState, request: RoutingRequest, rng: random.Random
) -> LocatedReplica | None:
    """Choose the less loaded of two randomly sampled usable replicas.

    :param state: state of the node.
    :param request: the request.
    :param rng: random number generator.
    """
    found = _sample(state, request, rng, ALL_CANDIDATES, ALL_CANDIDATES)
    sampled = rng.sample(found, min(2, len(found)))
    return min(sampled, key=lambda x: _reported_load(state, x), default=None)


POLICIES: dict[str, Policy] = {
    "cost": choose_by_cost,
    "least_loaded": choose_least_loaded,
    "random": choose_at_random,
    "two_choices": choose_of_two,
}
