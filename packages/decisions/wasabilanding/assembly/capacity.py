"""Capacity of each model in one failure domain, and why it is short.

Explanation
===========

A VM is *open* in a replica that is whole and accepts requests, *forming* in
one that is on its way there, *broken* in any other replica. Without a replica
it is *free* if its fabric domain has enough such VMs for the smallest model,
and *stranded* otherwise, also while it is draining. A model lacks replicas if
fewer are open than its share of the failure domain's VMs provides for. VMs of
a fabric domain that are left over with replicas of the smallest model are not
shared out.
"""

import collections
import collections.abc
import dataclasses
import enum

from wasabilanding.assembly import choice
from wasabilanding import fleet
from wasabilanding import routes

# Shares are decimal fractions, whose products may lie just below an integer.
ROUNDING_TOLERANCE = 1e-9
FORMING_STATES = (fleet.MemberState.JOINING, fleet.MemberState.READY)


class Cause(enum.Enum):
    """Why a model has fewer open replicas than wanted."""

    FORMING = "a replica is being formed"
    BROKEN = "a replica has lost a member or closes"
    NO_WEIGHTS = "free VMs lack the weights"
    UNUSED = "free VMs are not ordered to join yet"
    SCATTERED = "free VMs are spread over fabric domains"
    OTHER_MODEL = "its VMs are in replicas of another model"
    NO_VMS = "no VMs are free"


@dataclasses.dataclass(frozen=True)
class ModelCapacity:
    """Capacity of one model in one failure domain.

    :param model: name of the model.
    :param open_replicas: whole replicas that accept requests.
    :param wanted_replicas: replicas by the model's share, rounded down.
    :param open_vms: VMs in open replicas.
    :param forming_vms: VMs in replicas that do not accept requests yet.
    :param broken_vms: VMs in other replicas.
    :param cause: why it lacks replicas; None if it does not.
    """

    model: str
    open_replicas: int
    wanted_replicas: int
    open_vms: int
    forming_vms: int
    broken_vms: int
    cause: Cause | None = None


@dataclasses.dataclass(frozen=True)
class Capacity:
    """VMs of one service in one failure domain.

    :param vms: all of them.
    :param free: VMs without a replica that suffice for one.
    :param stranded: other VMs without a replica.
    :param models: capacity of each model.
    """

    vms: int
    free: int
    stranded: int
    models: tuple[ModelCapacity, ...]


class _State(enum.Enum):
    OPEN = "open"
    FORMING = "forming"
    BROKEN = "broken"


# Replicas of a model by state.
_Replicas = dict[_State, list[fleet.Replica]]


def _model_of(
    replica: fleet.Replica, spec: routes.EngineSpec
) -> routes.ModelSpec | None:
    """Return a replica's model.

    Members report none while they load it; it then follows from their number
    where one model alone has that size.
    """
    if replica.model:
        return spec.model(replica.model)
    fitting = [m for m in spec.models if m.size == len(replica.members)]
    return fitting[0] if len(fitting) == 1 else None


def _state_of(replica: fleet.Replica, size: int) -> _State:
    if replica.is_open and replica.is_whole(size):
        return _State.OPEN
    states = {member.membership.state for member in replica.members}
    if states.issubset(FORMING_STATES) and not replica.is_leaving:
        return _State.FORMING
    return _State.BROKEN


def _replicas_by_model(
    endpoints: collections.abc.Iterable[fleet.Endpoint],
    spec: routes.EngineSpec,
) -> dict[str, _Replicas]:
    found: dict[str, _Replicas] = {
        model.name: {state: [] for state in _State} for model in spec.models
    }
    for replica in fleet.replicas_of(endpoints).values():
        model = _model_of(replica, spec)
        if model is not None:
            found[model.name][_state_of(replica, model.size)].append(replica)
    return found


def _count_vms(replicas: collections.abc.Iterable[fleet.Replica]) -> int:
    return sum(len(replica.members) for replica in replicas)


def _wanted_replicas(
    model: routes.ModelSpec,
    spec: routes.EngineSpec,
    group_sizes: collections.abc.Sequence[int],
) -> int:
    """Return a model's number of replicas by its share, rounded down.

    A model with work has one replica or more where its VMs suffice.

    :param group_sizes: number of VMs in each fabric domain.
    """
    total = sum(other.share for other in spec.models)
    share = model.share / total if total else 1 / len(spec.models)
    smallest = min(other.size for other in spec.models)
    shared_vms = sum(size - size % smallest for size in group_sizes)
    by_share = int(share * shared_vms / model.size + ROUNDING_TOLERANCE)
    is_possible = share and max(group_sizes, default=0) >= model.size
    return max(by_share, 1 if is_possible else 0)


def _cause(
    model: routes.ModelSpec,
    replicas: _Replicas,
    unassigned: collections.abc.Mapping[str, list[fleet.Endpoint]],
    has_surplus_elsewhere: bool,
) -> Cause:
    if replicas[_State.FORMING]:
        return Cause.FORMING
    if replicas[_State.BROKEN]:
        return Cause.BROKEN
    fitting = [g for g in unassigned.values() if len(g) >= model.size]
    if any(_warm(group, model) >= model.size for group in fitting):
        return Cause.UNUSED
    if fitting:
        return Cause.NO_WEIGHTS
    if sum(map(len, unassigned.values())) >= model.size:
        return Cause.SCATTERED
    return Cause.OTHER_MODEL if has_surplus_elsewhere else Cause.NO_VMS


def _warm(
    endpoints: collections.abc.Iterable[fleet.Endpoint],
    model: routes.ModelSpec,
) -> int:
    return sum(endpoint.has_weights(model.name) for endpoint in endpoints)


def capacity_of(
    endpoints: collections.abc.Sequence[fleet.Endpoint],
    spec: routes.EngineSpec,
) -> Capacity:
    """Return the capacity of a service's models in one failure domain.

    :param endpoints: the service's endpoints there.
    :param spec: the service's models.
    """
    unassigned = choice.group_by_fabric_domain(
        endpoint
        for endpoint in endpoints
        if endpoint.membership is None and not endpoint.draining
    )
    smallest = min((model.size for model in spec.models), default=1)
    free = sum(len(g) for g in unassigned.values() if len(g) >= smallest)
    without_replica = sum(e.membership is None for e in endpoints)
    by_model = _replicas_by_model(endpoints, spec)
    groups = choice.group_by_fabric_domain(endpoints).values()
    group_sizes = [len(group) for group in groups]
    models = tuple(
        _model_capacity(model, by_model[model.name], spec, group_sizes)
        for model in spec.models
    )
    surplus = {
        found.model
        for found in models
        if found.open_replicas > found.wanted_replicas
    }
    return Capacity(
        vms=len(endpoints),
        free=free,
        stranded=without_replica - free,
        models=tuple(
            dataclasses.replace(
                found,
                cause=_cause(
                    model,
                    by_model[model.name],
                    unassigned,
                    bool(surplus - {model.name}),
                ),
            )
            if found.open_replicas < found.wanted_replicas
            else found
            for model, found in zip(spec.models, models, strict=True)
        ),
    )


def _model_capacity(
    model: routes.ModelSpec,
    replicas: _Replicas,
    spec: routes.EngineSpec,
    group_sizes: collections.abc.Sequence[int],
) -> ModelCapacity:
    return ModelCapacity(
        model=model.name,
        open_replicas=len(replicas[_State.OPEN]),
        wanted_replicas=_wanted_replicas(model, spec, group_sizes),
        open_vms=_count_vms(replicas[_State.OPEN]),
        forming_vms=_count_vms(replicas[_State.FORMING]),
        broken_vms=_count_vms(replicas[_State.BROKEN]),
    )
