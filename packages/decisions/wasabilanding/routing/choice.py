"""Choice among usable replicas."""

import collections.abc
import random

from wasabilanding import model
from wasabilanding.routing import evidence


def _load(
    replica: model.ReplicaRecord,
    reports: evidence.Reports,
    in_flight: collections.abc.Mapping[str, int],
) -> float:
    report = reports[replica.leader]
    reported = report.running + report.queued
    own = in_flight.get(replica.replica_id, 0)
    return max(reported, own) / replica.max_running


def choose_replica(
    replicas: collections.abc.Sequence[model.ReplicaRecord],
    reports: evidence.Reports,
    in_flight: collections.abc.Mapping[str, int],
    rng: random.Random,
    avoid: frozenset[str] = frozenset(),
) -> model.ReplicaRecord | None:
    """Choose the less loaded of two replicas drawn at random.

    :param replicas: usable replicas.
    :param reports: latest report of each VM.
    :param in_flight: own requests in flight by replica.
    :param rng: source of randomness.
    :param avoid: replicas that earlier attempts of the request used.
    :returns: the choice, or None when there is none.
    """
    fresh = [r for r in replicas if r.replica_id not in avoid]
    candidates = fresh or list(replicas)
    if not candidates:
        return None
    drawn = rng.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=lambda r: _load(r, reports, in_flight))
