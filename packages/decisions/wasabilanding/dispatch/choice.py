"""Choice of the endpoint for a request."""

import collections.abc
import dataclasses
import random

from wasabilanding.dispatch import tracker as tracker_module
from wasabilanding import fleet
from wasabilanding import routes

# Extra load, in requests per slot, that counts for an endpoint in another
# failure domain.
REMOTE_PENALTY = 1.0
# A replica with a lapsed member is used normally if its head made progress
# within this time.
RECENT_PROGRESS_S = 1.0


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


def choose(
    candidates: collections.abc.Iterable[Candidate],
    tracker: tracker_module.EndpointTracker,
    failure_domain: str,
    now: float,
    rng: random.Random,
) -> Candidate | None:
    """Return the least loaded candidate.

    Suited to many short streams that arrive evenly at all nodes. The nodes
    of a failure domain exchange their requests in flight; other failure
    domains receive requests only when the local one is much busier.

    :param candidates: endpoints that may receive the request.
    :param tracker: this node's observations of them.
    :param failure_domain: failure domain of this node.
    :param now: local monotonic time in seconds.
    :param rng: breaks ties.
    """

    def cost(candidate: Candidate) -> tuple[bool, float, float]:
        record = tracker.record(candidate.endpoint.endpoint_id)
        load = tracker.load(candidate.endpoint.endpoint_id) / candidate.slots
        if candidate.endpoint.failure_domain != failure_domain:
            load += REMOTE_PENALTY
        unproven = (
            candidate.is_incomplete
            and now - record.progress_at > RECENT_PROGRESS_S
        )
        avoided = (
            unproven
            or now < record.avoid_until
            or record.is_silent(now, tracker_module.PROGRESS_TIMEOUT_S)
        )
        return avoided, load, rng.random()

    return min(candidates, key=cost, default=None)
