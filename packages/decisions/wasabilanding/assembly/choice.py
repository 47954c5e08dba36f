"""Which replicas to form of free endpoints."""

import collections
import collections.abc
import dataclasses

from wasabilanding import fleet
from wasabilanding import routes

# A model whose weights lie on the hosts is up ten times sooner; another one
# is taken all the same when it has far fewer VMs for its share.
STAGED_PREFERENCE = 1.5
# Replicas of one model give way to another that has so many times fewer VMs
# for its share.
EXCHANGE_RATIO = 2.2
MAX_EXCHANGED = 2


@dataclasses.dataclass(frozen=True)
class Formation:
    """Endpoints that are to form a replica.

    :param model: model that they load.
    :param members: the endpoints by rank.
    """

    model: routes.ModelSpec
    members: tuple[fleet.Endpoint, ...]


def _pick(
    free: collections.abc.Sequence[fleet.Endpoint], spec: routes.ModelSpec
) -> tuple[fleet.Endpoint, ...]:
    """Return members for a replica, those that hold its weights first."""

    def order(endpoint: fleet.Endpoint) -> tuple:
        return (
            endpoint.model != spec.name,
            spec.name not in endpoint.staged,
            bool(endpoint.staged),
            endpoint.endpoint_id,
        )

    return tuple(sorted(free, key=order)[: spec.size])


def _cold_members(
    members: tuple[fleet.Endpoint, ...], spec: routes.ModelSpec
) -> int:
    return sum(spec.name not in member.staged for member in members)


def _score(
    free: collections.abc.Sequence[fleet.Endpoint],
    spec: routes.ModelSpec,
    assigned: collections.abc.Mapping[str, int],
) -> tuple[float, int]:
    """Rank a model by the VMs it lacks; at equal need the small one wins."""
    need = (spec.share or 0.01) / (assigned[spec.name] + 1)
    if not _cold_members(_pick(free, spec), spec):
        need *= STAGED_PREFERENCE
    return need, -spec.size


def by_domain(
    endpoints: collections.abc.Iterable[fleet.Endpoint],
) -> dict[str, list[fleet.Endpoint]]:
    """Return endpoints by their fabric domain.

    :param endpoints: the endpoints.
    """
    domains = collections.defaultdict(list)
    for endpoint in endpoints:
        domains[endpoint.fabric_domain].append(endpoint)
    return domains


def choose_formations(
    free: collections.abc.Iterable[fleet.Endpoint],
    assigned: collections.abc.Mapping[str, int],
    spec: routes.EngineSpec,
    promised: collections.abc.Mapping[str, str],
) -> list[Formation]:
    """Return the replicas to form of free endpoints.

    Each fabric domain is filled for itself. The model goes first that has
    the fewest VMs for its share of the work.

    :param free: endpoints that belong to no replica.
    :param assigned: VMs that replicas of each model hold already.
    :param spec: the models.
    :param promised: model that goes first in a fabric domain; until it fits,
        nothing else is formed there.
    """
    held = collections.Counter(assigned)
    domains = by_domain(free)
    formations = []
    for name in sorted(domains):
        left = domains[name]
        first = promised.get(name)
        while fitting := [m for m in spec.models if m.size <= len(left)]:
            if first:
                fitting = [m for m in fitting if m.name == first]
                first = ""
            if not fitting:
                break
            best = max(fitting, key=lambda m: _score(left, m, held))
            members = _pick(left, best)
            formations.append(Formation(best, members))
            held[best.name] += best.size
            left = [one for one in left if one not in members]
    return formations


@dataclasses.dataclass(frozen=True)
class Exchange:
    """Replicas that give way to one of another model.

    :param model: model that lacks VMs.
    :param members: endpoints that are to form its replica.
    :param victims: replicas that are taken apart for it.
    """

    model: routes.ModelSpec
    members: tuple[fleet.Endpoint, ...]
    victims: tuple[fleet.Replica, ...]


def _need(spec: routes.ModelSpec, vms: int) -> float:
    return (spec.share or 0.01) / max(vms, 0.5)


def _staged(replica: fleet.Replica, spec: routes.ModelSpec) -> int:
    return sum(spec.name in member.staged for member in replica.members)


def _exchange_in(
    free: collections.abc.Sequence[fleet.Endpoint],
    replicas: collections.abc.Sequence[fleet.Replica],
    held: collections.abc.Mapping[str, int],
    wanted: routes.ModelSpec,
    given: routes.ModelSpec,
) -> Exchange | None:
    lacking = wanted.size - len(free)
    count = -(-lacking // given.size)
    if not 1 <= count <= MAX_EXCHANGED or count > len(replicas):
        return None
    left = held[given.name] - count * given.size
    if _need(wanted, held[wanted.name]) < EXCHANGE_RATIO * _need(given, left):
        return None

    victims = tuple(
        sorted(replicas, key=lambda r: (-_staged(r, wanted), r.place))[:count]
    )
    pool = [*free, *(one for v in victims for one in v.members)]
    return Exchange(wanted, _pick(pool, wanted), victims)


def choose_exchange(
    free: collections.abc.Iterable[fleet.Endpoint],
    replicas: collections.abc.Iterable[fleet.Replica],
    assigned: collections.abc.Mapping[str, int],
    spec: routes.EngineSpec,
) -> Exchange | None:
    """Return an exchange that gives VMs to the model that lacks them most.

    The load pattern it answers: members are lost one after the other, and
    the survivors of a large replica suffice for small ones only, until the
    large model has next to nothing.

    :param free: endpoints that belong to no replica.
    :param replicas: whole replicas that take requests.
    :param assigned: VMs that replicas of each model hold.
    :param spec: the models.
    """
    held = collections.Counter(assigned)
    wanted = max(spec.models, key=lambda m: _need(m, held[m.name]))
    domains = by_domain(free)
    serving = collections.defaultdict(list)
    for replica in replicas:
        serving[replica.head.fabric_domain].append(replica)
    found = []
    for name, standing in serving.items():
        if len(domains[name]) >= wanted.size:
            continue
        for given in spec.models:
            own = [r for r in standing if r.model == given.name]
            if given.name != wanted.name:
                found.append(
                    _exchange_in(domains[name], own, held, wanted, given)
                )
    options = [exchange for exchange in found if exchange is not None]
    return min(options, key=_exchange_cost, default=None)


def _exchange_cost(exchange: Exchange) -> tuple[int, int]:
    cold = _cold_members(exchange.members, exchange.model)
    return len(exchange.victims), cold


def spares_to_stage(
    replicas: collections.abc.Iterable[fleet.Replica],
    spec: routes.EngineSpec,
) -> list[tuple[fleet.Endpoint, routes.ModelSpec]]:
    """Return hosts that should hold the weights of another model as well.

    In each fabric domain the members of one replica of the smallest model
    hold the weights of the largest one, so that they can replace its members
    without a load.

    :param replicas: whole replicas that take requests.
    :param spec: the models.
    :returns: endpoints, each with the model to load.
    """
    sizes = sorted(spec.models, key=lambda m: (m.size, m.name))
    small, large = sizes[0], sizes[-1]
    if small.size == large.size:
        return []
    domains = collections.defaultdict(list)
    for replica in replicas:
        domains[replica.head.fabric_domain].append(replica)
    wanted = []
    for standing in domains.values():
        own = [r for r in standing if r.model == small.name]
        if len(own) > 1:
            chosen = max(own, key=lambda r: (_staged(r, large), r.place))
            wanted += [
                (member, large)
                for member in chosen.members
                if large.name not in member.staged
            ]
    return wanted
