"""Choice of the replicas to form, and of the weights to load."""

import collections
import collections.abc
import dataclasses

from wasabilanding import fleet
from wasabilanding import routes

# Factor in favour of models that need no load: they start ten times sooner.
# Another model is still chosen if it has far fewer VMs for its share.
WARM_START_PREFERENCE = 1.5
# Replicas are preempted only if this improves the need of the worst supplied
# model by at least this factor.
MIN_PREEMPTION_GAIN = 1.5


@dataclasses.dataclass(frozen=True)
class ReplicaPlan:
    """Replica to form.

    :param model: its model.
    :param members: its endpoints by rank.
    """

    model: routes.ModelSpec
    members: tuple[fleet.Endpoint, ...]


def _pick_members(
    free: collections.abc.Sequence[fleet.Endpoint], spec: routes.ModelSpec
) -> tuple[fleet.Endpoint, ...]:
    """Return members for a replica, preferring those with its weights."""

    def order(endpoint: fleet.Endpoint) -> tuple:
        return (
            not endpoint.has_weights(spec.name),
            endpoint.resident != spec.name,
            bool(endpoint.staged),
            endpoint.endpoint_id,
        )

    return tuple(sorted(free, key=order)[: spec.size])


def count_cold_members(
    members: collections.abc.Iterable[fleet.Endpoint], spec: routes.ModelSpec
) -> int:
    """Return how many endpoints must load a model to serve it.

    :param members: the endpoints.
    :param spec: the model.
    """
    return sum(not member.has_weights(spec.name) for member in members)


def _score(
    free: collections.abc.Sequence[fleet.Endpoint],
    spec: routes.ModelSpec,
    vms_by_model: collections.abc.Mapping[str, int],
) -> tuple[float, int]:
    """Return the sort key of a model: its need, then the smaller size."""
    lack = need(spec, vms_by_model[spec.name] + 1)
    if not count_cold_members(_pick_members(free, spec), spec):
        lack *= WARM_START_PREFERENCE
    return lack, -spec.size


def group_by_fabric_domain(
    endpoints: collections.abc.Iterable[fleet.Endpoint],
) -> dict[str, list[fleet.Endpoint]]:
    """Return endpoints by fabric domain.

    :param endpoints: the endpoints.
    """
    domains = collections.defaultdict(list)
    for endpoint in endpoints:
        domains[endpoint.fabric_domain].append(endpoint)
    return domains


def plan_replicas(
    free: collections.abc.Iterable[fleet.Endpoint],
    vms_by_model: collections.abc.Mapping[str, int],
    spec: routes.EngineSpec,
    reserved_models: collections.abc.Mapping[str, str],
    warm_only: bool = False,
) -> list[ReplicaPlan]:
    """Return the replicas to form from free endpoints.

    A replica does not span fabric domains. The model with the fewest VMs
    relative to its share of the work is chosen first.

    :param free: endpoints that belong to no replica.
    :param vms_by_model: VMs in replicas of each model.
    :param spec: the models.
    :param reserved_models: model to form next in a fabric domain; until it
        fits, no other replica is formed there.
    :param warm_only: whether to use only endpoints that need no load.
    """
    vm_counts = collections.Counter(vms_by_model)
    domains = group_by_fabric_domain(free)
    plans = []
    for name in sorted(domains):
        left = domains[name]
        first = reserved_models.get(name)
        while fitting := [m for m in spec.models if m.size <= len(left)]:
            if first:
                fitting = [m for m in fitting if m.name == first]
                first = ""
            if warm_only:
                fitting = [
                    m
                    for m in fitting
                    if not count_cold_members(_pick_members(left, m), m)
                ]
            if not fitting:
                break
            best = max(fitting, key=lambda m: _score(left, m, vm_counts))
            members = _pick_members(left, best)
            plans.append(ReplicaPlan(best, members))
            vm_counts[best.name] += best.size
            left = [endpoint for endpoint in left if endpoint not in members]
    return plans


@dataclasses.dataclass(frozen=True)
class Preemption:
    """Dissolution of replicas in favour of one of another model.

    :param model: model that lacks VMs.
    :param members: endpoints that will form its replica.
    :param victims: replicas to dissolve.
    """

    model: routes.ModelSpec
    members: tuple[fleet.Endpoint, ...]
    victims: tuple[fleet.Replica, ...]

    @property
    def is_mostly_free(self) -> bool:
        """Whether most members belong to no replica, and all have weights."""
        taken = {
            fleet.incarnation_of(member)
            for victim in self.victims
            for member in victim.members
        }
        starts = set(map(fleet.incarnation_of, self.members))
        cold = count_cold_members(self.members, self.model)
        return not cold and 2 * len(starts & taken) < len(starts)


def need(spec: routes.ModelSpec, vms: int) -> float:
    """Return how much a model lacks VMs, relative to its share of the work.

    :param spec: the model.
    :param vms: VMs in its replicas.
    """
    return (spec.share or 0.01) / max(vms, 0.5)


def _preemption_in(
    free: collections.abc.Sequence[fleet.Endpoint],
    replicas: collections.abc.Sequence[fleet.Replica],
    vm_counts: collections.abc.Mapping[str, int],
    wanted: routes.ModelSpec,
    donor: routes.ModelSpec,
) -> Preemption | None:
    lacking = wanted.size - len(free)
    count = -(-lacking // donor.size)
    if not 1 <= count <= len(replicas):
        return None
    after = max(
        need(wanted, vm_counts[wanted.name] + wanted.size),
        need(donor, vm_counts[donor.name] - count * donor.size),
    )
    if need(wanted, vm_counts[wanted.name]) < MIN_PREEMPTION_GAIN * after:
        return None

    victims = tuple(
        sorted(
            replicas,
            key=lambda r: (
                count_cold_members(r.members, wanted),
                r.replica_key,
            ),
        )[:count]
    )
    pool = [*free, *(endpoint for v in victims for endpoint in v.members)]
    return Preemption(wanted, _pick_members(pool, wanted), victims)


def choose_preemption(
    free: collections.abc.Iterable[fleet.Endpoint],
    replicas: collections.abc.Iterable[fleet.Replica],
    vms_by_model: collections.abc.Mapping[str, int],
    spec: routes.EngineSpec,
    skipped: collections.abc.Container[str] = (),
) -> Preemption | None:
    """Return a preemption for the model that lacks VMs most.

    When members are lost one after the other, the survivors of a large
    replica suffice only for replicas of small models. Without preemption,
    the large model would end up with almost no VMs.

    :param free: endpoints that belong to no replica.
    :param replicas: whole replicas that accept requests.
    :param vms_by_model: VMs in replicas of each model.
    :param spec: the models.
    :param skipped: fabric domains to leave unchanged.
    """
    vm_counts = collections.Counter(vms_by_model)
    wanted = max(spec.models, key=lambda m: need(m, vm_counts[m.name]))
    domains = group_by_fabric_domain(free)
    serving_by_domain = collections.defaultdict(list)
    for replica in replicas:
        serving_by_domain[replica.head.fabric_domain].append(replica)
    candidates = []
    for name, serving in serving_by_domain.items():
        if name in skipped or len(domains[name]) >= wanted.size:
            continue
        for donor in spec.models:
            own = [r for r in serving if r.model == donor.name]
            if donor.name != wanted.name:
                candidates.append(
                    _preemption_in(
                        domains[name], own, vm_counts, wanted, donor
                    )
                )
    options = [option for option in candidates if option is not None]
    return min(options, key=_preemption_cost, default=None)


def _preemption_cost(preemption: Preemption) -> tuple[int, int]:
    cold = count_cold_members(preemption.members, preemption.model)
    return len(preemption.victims), cold


def choose_loads_to_form(
    free: collections.abc.Iterable[fleet.Endpoint],
    vms_by_model: collections.abc.Mapping[str, int],
    spec: routes.EngineSpec,
) -> list[tuple[fleet.Endpoint, routes.ModelSpec]]:
    """Return what free endpoints should load to form replicas.

    In each fabric domain, the model that brings most VMs into service per
    load is chosen; among equals, the one that lacks VMs most.

    :param free: endpoints that belong to no replica.
    :param vms_by_model: VMs in replicas of each model.
    :param spec: the models.
    :returns: endpoints, each with the model to load.
    """
    chosen = []
    for left in group_by_fabric_domain(free).values():
        fitting = [m for m in spec.models if m.size <= len(left)]
        if not fitting:
            continue
        best = max(fitting, key=lambda m: _vms_per_load(left, m, vms_by_model))
        members = _pick_members(left, best)
        chosen += [(m, best) for m in members if not m.has_weights(best.name)]
    return chosen


def _vms_per_load(
    free: collections.abc.Sequence[fleet.Endpoint],
    spec: routes.ModelSpec,
    vms_by_model: collections.abc.Mapping[str, int],
) -> tuple[float, float]:
    loads = count_cold_members(_pick_members(free, spec), spec)
    return spec.size / max(loads, 1), need(
        spec, vms_by_model.get(spec.name, 0)
    )


def choose_loads_to_stage(
    replicas: collections.abc.Iterable[fleet.Replica],
    vms_by_model: collections.abc.Mapping[str, int],
    spec: routes.EngineSpec,
) -> list[tuple[fleet.Endpoint, routes.ModelSpec]]:
    """Return hosts that should stage the weights of a second model.

    A member keeps the model of its replica in memory, so its host can stage
    another one. The endpoint can then join replicas of either model without
    a load.

    :param replicas: whole replicas that accept requests.
    :param vms_by_model: VMs in replicas of each model.
    :param spec: the models.
    :returns: endpoints, each with the model to load; models that lack VMs
        most come first.
    """
    ranked = sorted(
        spec.models,
        key=lambda m: (-need(m, vms_by_model.get(m.name, 0)), m.name),
    )
    wanted = []
    for replica in sorted(replicas, key=lambda r: r.replica_key):
        others = [m for m in ranked if m.name != replica.model]
        for member in replica.members:
            has_other = any(member.has_weights(m.name) for m in others)
            if others and not has_other:
                wanted.append((member, others[0]))
    return sorted(wanted, key=lambda pair: ranked.index(pair[1]))
