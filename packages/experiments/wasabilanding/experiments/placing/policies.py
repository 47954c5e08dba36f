"""Ways to choose an endpoint that are compared."""

import collections.abc
import random

from wasabilanding import dispatch
from wasabilanding import fleet

Policy = collections.abc.Callable[
    [
        collections.abc.Sequence[dispatch.Candidate],
        dispatch.EndpointTracker,
        str,
        float,
        random.Random,
    ],
    dispatch.Candidate,
]


def least_loaded(
    candidates: collections.abc.Sequence[dispatch.Candidate],
    tracker: dispatch.EndpointTracker,
    failure_domain: str,
    now: float,
    rng: random.Random,
) -> dispatch.Candidate:
    """Return the endpoint that seems least loaded.

    Another failure domain counts as one request per slot more.
    """

    def cost(candidate: dispatch.Candidate) -> tuple[float, float]:
        endpoint = fleet.incarnation_of(candidate.endpoint)
        load = tracker.load(endpoint) / candidate.slots
        is_remote = candidate.endpoint.failure_domain != failure_domain
        return load + is_remote, rng.random()

    return min(candidates, key=cost)


def at_random(
    candidates: collections.abc.Sequence[dispatch.Candidate],
    tracker: dispatch.EndpointTracker,
    failure_domain: str,
    now: float,
    rng: random.Random,
) -> dispatch.Candidate:
    """Return a random endpoint of the failure domain."""
    local = [
        candidate
        for candidate in candidates
        if candidate.endpoint.failure_domain == failure_domain
    ]
    return rng.choice(local)


POLICIES: dict[str, Policy] = {
    "random": at_random,
    "least loaded": least_loaded,
    "free slots": dispatch.choose,
}
