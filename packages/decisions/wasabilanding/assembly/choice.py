"""Which replicas to form of free endpoints."""

import collections
import collections.abc
import dataclasses

from wasabilanding import fleet
from wasabilanding import routes

# A model whose weights lie on the hosts is up ten times sooner; another one
# is taken all the same when it has far fewer VMs for its share.
STAGED_PREFERENCE = 1.5
# Replicas of one model give way to another when the worst supplied model is
# so many times better off after it.
EXCHANGE_GAIN = 1.5
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
            not endpoint.holds(spec.name),
            endpoint.resident != spec.name,
            bool(endpoint.staged),
            endpoint.endpoint_id,
        )

    return tuple(sorted(free, key=order)[: spec.size])


def cold_members(
    members: collections.abc.Iterable[fleet.Endpoint], spec: routes.ModelSpec
) -> int:
    """Return how many endpoints have to load a model to serve it.

    :param members: the endpoints.
    :param spec: the model.
    """
    return sum(not member.holds(spec.name) for member in members)


def _score(
    free: collections.abc.Sequence[fleet.Endpoint],
    spec: routes.ModelSpec,
    assigned: collections.abc.Mapping[str, int],
) -> tuple[float, int]:
    """Rank a model by the VMs it lacks; at equal need the small one wins."""
    need = (spec.share or 0.01) / (assigned[spec.name] + 1)
    if not cold_members(_pick(free, spec), spec):
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
    warm_only: bool = False,
) -> list[Formation]:
    """Return the replicas to form of free endpoints.

    Each fabric domain is filled for itself. The model goes first that has
    the fewest VMs for its share of the work.

    :param free: endpoints that belong to no replica.
    :param assigned: VMs that replicas of each model hold already.
    :param spec: the models.
    :param promised: model that goes first in a fabric domain; until it fits,
        nothing else is formed there.
    :param warm_only: whether only endpoints that need no load take part.
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
            if warm_only:
                fitting = [
                    m for m in fitting if not cold_members(_pick(left, m), m)
                ]
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
    after = max(
        _need(wanted, held[wanted.name] + wanted.size),
        _need(given, held[given.name] - count * given.size),
    )
    if _need(wanted, held[wanted.name]) < EXCHANGE_GAIN * after:
        return None

    victims = tuple(
        sorted(
            replicas, key=lambda r: (cold_members(r.members, wanted), r.place)
        )[:count]
    )
    pool = [*free, *(one for v in victims for one in v.members)]
    return Exchange(wanted, _pick(pool, wanted), victims)


def choose_exchange(
    free: collections.abc.Iterable[fleet.Endpoint],
    replicas: collections.abc.Iterable[fleet.Replica],
    assigned: collections.abc.Mapping[str, int],
    spec: routes.EngineSpec,
    skipped: collections.abc.Container[str] = (),
) -> Exchange | None:
    """Return an exchange that gives VMs to the model that lacks them most.

    The load pattern it answers: members are lost one after the other, and
    the survivors of a large replica suffice for small ones only, until the
    large model has next to nothing.

    :param free: endpoints that belong to no replica.
    :param replicas: whole replicas that take requests.
    :param assigned: VMs that replicas of each model hold.
    :param spec: the models.
    :param skipped: fabric domains that are left as they are.
    """
    held = collections.Counter(assigned)
    wanted = max(spec.models, key=lambda m: _need(m, held[m.name]))
    domains = by_domain(free)
    serving = collections.defaultdict(list)
    for replica in replicas:
        serving[replica.head.fabric_domain].append(replica)
    found = []
    for name, standing in serving.items():
        if name in skipped or len(domains[name]) >= wanted.size:
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
    cold = cold_members(exchange.members, exchange.model)
    return len(exchange.victims), cold


def weights_to_form(
    free: collections.abc.Iterable[fleet.Endpoint],
    assigned: collections.abc.Mapping[str, int],
    spec: routes.EngineSpec,
) -> list[tuple[fleet.Endpoint, routes.ModelSpec]]:
    """Return what free endpoints should load to form replicas.

    In each fabric domain the model is chosen that brings most VMs into
    service for each load; at equal gain the one that lacks VMs most. An
    endpoint that holds nothing and has too few others beside it prepares
    for the smallest model.

    :param free: endpoints that belong to no replica.
    :param assigned: VMs that replicas of each model hold.
    :param spec: the models.
    :returns: endpoints, each with the model to load.
    """
    smallest = min(spec.models, key=lambda m: (m.size, m.name))
    chosen = []
    for left in by_domain(free).values():
        fitting = [m for m in spec.models if m.size <= len(left)]
        if fitting:
            best = max(fitting, key=lambda m: _gain(left, m, assigned))
            members = _pick(left, best)
            chosen += [(m, best) for m in members if not m.holds(best.name)]
        else:
            chosen += [
                (one, smallest)
                for one in left
                if not one.resident and not one.staged
            ]
    return chosen


def _gain(
    free: collections.abc.Sequence[fleet.Endpoint],
    spec: routes.ModelSpec,
    assigned: collections.abc.Mapping[str, int],
) -> tuple[float, float]:
    loads = cold_members(_pick(free, spec), spec)
    return spec.size / max(loads, 1), _need(spec, assigned.get(spec.name, 0))


def weights_to_stage(
    replicas: collections.abc.Iterable[fleet.Replica],
    assigned: collections.abc.Mapping[str, int],
    spec: routes.EngineSpec,
) -> list[tuple[fleet.Endpoint, routes.ModelSpec]]:
    """Return hosts that should hold the weights of a second model.

    A member keeps the model of its replica in memory, so its host is free
    to hold another one: then it can take part in replicas of either without
    a load.

    :param replicas: whole replicas that take requests.
    :param assigned: VMs that replicas of each model hold.
    :param spec: the models.
    :returns: endpoints, each with the model to load; the one that lacks VMs
        most comes first.
    """
    ranked = sorted(
        spec.models, key=lambda m: (-_need(m, assigned.get(m.name, 0)), m.name)
    )
    wanted = []
    for replica in sorted(replicas, key=lambda r: r.place):
        others = [m for m in ranked if m.name != replica.model]
        for member in replica.members:
            held = any(member.holds(m.name) for m in others)
            if others and not held:
                wanted.append((member, others[0]))
    return sorted(wanted, key=lambda pair: ranked.index(pair[1]))
