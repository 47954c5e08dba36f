"""Choice of the endpoint for a request.

Explanation
===========

Load pattern: many nodes, each with few requests, share endpoints of a few
slots, and learn of each other's requests only some tenths of a second later.
If all of them chose the endpoint that seems least loaded, it would receive
all requests until the next report [1]_. So an endpoint is drawn at random,
with its free slots as weight.

Requests leave the failure domain when few slots are free there: then those of
other failure domains are drawn as well. When no slot is free anywhere, the
shorter one of two random queues is taken [2]_.

References
==========

.. [1] M. Mitzenmacher, "How useful is old information?", IEEE Transactions
       on Parallel and Distributed Systems, 2000.
.. [2] M. Mitzenmacher, "The power of two choices in randomized load
       balancing", IEEE Transactions on Parallel and Distributed Systems,
       2001.
"""

import collections.abc
import dataclasses
import random

from wasabilanding.dispatch import tracker as tracker_module
from wasabilanding import fleet
from wasabilanding import routes

# Extra load, in requests per slot, that counts for an endpoint in another
# failure domain when all endpoints are full.
REMOTE_PENALTY = 1.0
# A replica with a lapsed member is used normally if its head made progress
# within this time.
RECENT_PROGRESS_S = 1.0
# Share of free slots below which requests leave the failure domain.
MIN_FREE_SHARE = 0.2
QUEUES_COMPARED = 2


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An endpoint that may receive requests.

    :param endpoint: the endpoint; for a replica, its head.
    :param slots: requests that it runs concurrently.
    :param is_incomplete: whether its replica lacks a ready member.
    """

    endpoint: fleet.Endpoint
    slots: int
    is_incomplete: bool = False


def _replica_candidates(
    endpoints: collections.abc.Collection[fleet.Endpoint],
    spec: routes.EngineSpec,
) -> dict[str, list[Candidate]]:
    found: dict[str, list[Candidate]] = {}
    for replica in fleet.replicas_of(endpoints).values():
        model = spec.model(replica.model)
        if model is None or not replica.is_open or replica.is_leaving:
            continue
        candidate = Candidate(
            replica.head, spec.slots, not replica.is_whole(model.size)
        )
        found.setdefault(model.name, []).append(candidate)
    return found


def candidates_of(
    endpoints: collections.abc.Iterable[fleet.Endpoint],
    service: routes.RoutedService,
) -> dict[str, list[Candidate]]:
    """Return the endpoints for a service's requests, by model.

    :param endpoints: registered endpoints.
    :param service: the service; the model of a plain service is empty.
    """
    own = [e for e in endpoints if e.service == service.name]
    if service.engine is not None:
        return _replica_candidates(own, service.engine)
    return {"": [Candidate(e, max(e.slots, 1)) for e in own if not e.draining]}


@dataclasses.dataclass(frozen=True)
class _Option:
    """A candidate with this node's estimate of its free slots.

    :param free_slots: slots without a request; negative if requests queue.
    """

    candidate: Candidate
    is_remote: bool
    free_slots: int

    @property
    def queue_cost(self) -> float:
        """Requests in flight, relative to the slots, with any penalty."""
        load = 1.0 - self.free_slots / self.candidate.slots
        return load + (REMOTE_PENALTY if self.is_remote else 0.0)


def choose(
    candidates: collections.abc.Iterable[Candidate],
    tracker: tracker_module.EndpointTracker,
    failure_domain: str,
    now: float,
    rng: random.Random,
    silent_after_s: float = tracker_module.PROGRESS_TIMEOUT_S,
) -> Candidate | None:
    """Return a candidate with little load.

    An endpoint that wants no requests now is never chosen. The candidates of
    other failure domains, which are most of them, are examined only if they
    may be needed.

    :param candidates: endpoints that may receive the request.
    :param tracker: this node's observations of them.
    :param failure_domain: failure domain of this node.
    :param now: local monotonic time in seconds.
    :param rng: draws candidates.
    :param silent_after_s: longest usual time in seconds without progress of
        an endpoint with requests in flight.
    """
    local: list[Candidate] = []
    remote: list[Candidate] = []
    closed = tracker.holds.closed(now)
    for candidate in candidates:
        if candidate.endpoint.endpoint_id in closed:
            continue
        is_local = candidate.endpoint.failure_domain == failure_domain
        (local if is_local else remote).append(candidate)
    usable_local = _not_avoided(local, tracker, now, silent_after_s)
    options = _options(usable_local, tracker, False)
    if not _has_enough_slots(options):
        usable_remote = _not_avoided(remote, tracker, now, silent_after_s)
        options += _options(usable_remote, tracker, True)
    if not options:
        options = _options(local, tracker, False)
        if not _has_enough_slots(options):
            options += _options(remote, tracker, True)
    if not options:
        return None
    free = [option for option in options if option.free_slots > 0]
    if not free:
        return _shortest_queue(options, rng).candidate
    weights = [option.free_slots for option in free]
    return rng.choices(free, weights)[0].candidate


def usable(
    candidates: collections.abc.Iterable[Candidate],
    tracker: tracker_module.EndpointTracker,
    now: float,
    silent_after_s: float = tracker_module.PROGRESS_TIMEOUT_S,
) -> list[Candidate]:
    """Return the candidates among which :func:`choose` chooses.

    Those that are avoided are used only if there are no others.

    :param candidates: endpoints that may receive requests.
    :param tracker: this node's observations of them.
    :param now: local monotonic time in seconds.
    :param silent_after_s: longest usual time in seconds without progress of
        an endpoint with requests in flight.
    """
    closed = tracker.holds.closed(now)
    open_now = [c for c in candidates if c.endpoint.endpoint_id not in closed]
    return _not_avoided(open_now, tracker, now, silent_after_s) or open_now


def _not_avoided(
    candidates: collections.abc.Iterable[Candidate],
    tracker: tracker_module.EndpointTracker,
    now: float,
    silent_after_s: float,
) -> list[Candidate]:
    return [
        c
        for c in candidates
        if not _is_avoided(c, tracker, now, silent_after_s)
    ]


def _is_avoided(
    candidate: Candidate,
    tracker: tracker_module.EndpointTracker,
    now: float,
    silent_after_s: float,
) -> bool:
    record = tracker.record(candidate.endpoint.incarnation)
    unproven = (
        candidate.is_incomplete
        and now - record.progress_at > RECENT_PROGRESS_S
    )
    return (
        unproven
        or now < record.avoid_until
        or record.is_silent(now, silent_after_s)
    )


def _options(
    candidates: collections.abc.Iterable[Candidate],
    tracker: tracker_module.EndpointTracker,
    is_remote: bool,
) -> list[_Option]:
    return [
        _Option(
            c,
            is_remote,
            c.slots - tracker.load(c.endpoint.incarnation),
        )
        for c in candidates
    ]


def _has_enough_slots(local: collections.abc.Iterable[_Option]) -> bool:
    """Tell whether requests need not leave the failure domain."""
    slots = sum(option.candidate.slots for option in local)
    free_slots = sum(max(option.free_slots, 0) for option in local)
    return free_slots > 0 and free_slots >= MIN_FREE_SHARE * slots


def _shortest_queue(
    options: collections.abc.Sequence[_Option], rng: random.Random
) -> _Option:
    drawn: list[_Option] = []
    for is_remote in (False, True):
        group = [o for o in options if o.is_remote is is_remote]
        drawn += rng.sample(group, min(QUEUES_COMPARED, len(group)))
    return min(drawn, key=lambda option: option.queue_cost)
