"""Weights to keep on endpoints that belong to no replica.

Explanation
===========

Load pattern: replicas lose members one after the other, and a load from the
weight store takes longer than the time between two losses. A replica whose
survivors find a spare endpoint with its model's weights is formed again
without a load.

The spares of a fabric domain are apportioned to its models by the method of
Sainte-Laguë [1]_. A model's votes are its VMs in that domain, each weighted
by how much the model lacks VMs. The method serves a small model before a
large one gets its second spare, so that any first loss is covered.

References
==========

.. [1] A. Sainte-Laguë, "La représentation proportionnelle et la méthode des
       moindres carrés", Annales scientifiques de l'École Normale Supérieure,
       1910.
"""

import collections
import collections.abc

from wasabilanding.assembly import choice
from wasabilanding import fleet
from wasabilanding import routes

VmsByDomain = collections.abc.Mapping[str, collections.abc.Mapping[str, int]]


def apportion(
    votes: collections.abc.Mapping[str, float], seats: int
) -> collections.Counter[str]:
    """Distribute seats by the method of Sainte-Laguë.

    :param votes: weight of each party; parties without votes get no seat.
    :param seats: number of seats.
    :returns: seats by party.

    Examples
    ========

    >>> from wasabilanding import assembly
    >>> sorted(assembly.apportion({"large": 6.0, "small": 3.0}, 2).items())
    [('large', 1), ('small', 1)]
    """
    given: collections.Counter[str] = collections.Counter()
    parties = sorted(name for name in votes if votes[name] > 0)
    if not parties:
        return given
    for _ in range(seats):
        winner = max(
            parties, key=lambda name: votes[name] / _divisor(given[name])
        )
        given[winner] += 1
    return given


def _divisor(seats: int) -> int:
    return 2 * seats + 1


def choose_spare_loads(
    spares: collections.abc.Iterable[fleet.Endpoint],
    vms_by_domain: VmsByDomain,
    vms_by_model: collections.abc.Mapping[str, int],
    spec: routes.EngineSpec,
) -> list[tuple[fleet.Endpoint, routes.ModelSpec]]:
    """Return which weights spare endpoints should load.

    :param spares: endpoints that belong to no replica.
    :param vms_by_domain: VMs in replicas of each model, by fabric domain.
    :param vms_by_model: VMs in replicas of each model, in total.
    :param spec: the models.
    :returns: endpoints, each with the model to load.
    """
    chosen = []
    for domain, own in choice.group_by_fabric_domain(spares).items():
        vms = vms_by_domain.get(domain, {})
        votes = {
            model.name: vms.get(model.name, 0)
            * choice.need(model, vms_by_model.get(model.name, 0))
            for model in spec.models
        }
        if any(votes.values()):
            seats = apportion(votes, len(own))
            chosen += _fill_seats(own, seats, spec)
        else:
            chosen += _load_smallest(own, spec)
    return chosen


def _load_smallest(
    spares: collections.abc.Iterable[fleet.Endpoint], spec: routes.EngineSpec
) -> list[tuple[fleet.Endpoint, routes.ModelSpec]]:
    """Prepare a domain without replicas for the first one that will fit."""
    smallest = min(spec.models, key=lambda m: (m.size, m.name))
    return [
        (endpoint, smallest)
        for endpoint in spares
        if not endpoint.resident and not endpoint.staged
    ]


def _fill_seats(
    spares: collections.abc.Sequence[fleet.Endpoint],
    seats: collections.Counter[str],
    spec: routes.EngineSpec,
) -> list[tuple[fleet.Endpoint, routes.ModelSpec]]:
    """Match spares with seats; return the loads that the others need."""
    unmatched = []
    for endpoint in sorted(spares, key=lambda e: e.endpoint_id):
        held = [m for m in spec.models if endpoint.has_weights(m.name)]
        seat = next((m.name for m in held if seats[m.name] > 0), None)
        if seat is None:
            unmatched.append(endpoint)
        else:
            seats[seat] -= 1
    open_seats = [m for m in spec.models for _ in range(seats[m.name])]
    return list(zip(unmatched, open_seats, strict=False))
