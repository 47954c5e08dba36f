"""Orders to endpoints, and the input of the planner."""

import collections.abc
import dataclasses

from wasabilanding import fleet
from wasabilanding import model as model_module
from wasabilanding import routes


@dataclasses.dataclass(frozen=True)
class Join:
    """Make endpoints the members of a new replica.

    :param replica: identity of the replica.
    :param epoch: epoch of the replica.
    :param model: model that it loads.
    :param members: its members by rank.
    :param to: members that receive the order.
    """

    replica: str
    epoch: int
    model: str
    members: tuple[fleet.Endpoint, ...]
    to: tuple[fleet.Endpoint, ...]


@dataclasses.dataclass(frozen=True)
class Open:
    """Make the head of a whole replica accept requests.

    :param head: the head.
    """

    head: fleet.Endpoint


@dataclasses.dataclass(frozen=True)
class Close:
    """Make the head of a replica stop accepting requests.

    :param head: the head.
    :param at_once: whether running requests are aborted; if not, the replica
        closes when they have ended.
    """

    head: fleet.Endpoint
    at_once: bool


@dataclasses.dataclass(frozen=True)
class Leave:
    """Make an endpoint leave its replica.

    :param endpoint: the endpoint.
    """

    endpoint: fleet.Endpoint


@dataclasses.dataclass(frozen=True)
class Probe:
    """Check whether an endpoint is alive and still in its replica.

    :param endpoint: its last registration.
    """

    endpoint: fleet.Endpoint


@dataclasses.dataclass(frozen=True)
class Stage:
    """Load a model's weights onto an endpoint's host ahead of need.

    :param endpoint: the endpoint.
    :param model: the model.
    """

    endpoint: fleet.Endpoint
    model: str


Order = Join | Open | Close | Leave | Probe | Stage


@dataclasses.dataclass(frozen=True)
class PlannerInput:
    """State of the cluster that the planner works from.

    :param service: service whose replicas are planned.
    :param spec: its models.
    :param endpoints: registered endpoints that the planner manages.
    :param recently_removed: endpoints no longer registered, by identity.
    :param revision: newest known revision of the store.
    :param loads_are_unlimited: whether any number of loads may start now.
    :param loading: known running loads from the weight store, over all
        endpoints.
    :param silent_endpoints: starts of heads on which this node's requests
        make no progress.
    :param held_endpoints: endpoints that want no requests for a time; they
        keep their replicas, but join no other one.
    :param pending_epochs: highest epoch of the joins that any planner has
        recently ordered, by endpoint; they may still take effect.
    """

    service: str
    spec: routes.EngineSpec
    endpoints: tuple[fleet.Endpoint, ...]
    recently_removed: dict[str, fleet.RemovedEndpoint]
    revision: model_module.StoreRevision
    loads_are_unlimited: bool
    loading: int = 0
    silent_endpoints: frozenset[fleet.Incarnation] = frozenset()
    held_endpoints: frozenset[str] = frozenset()
    pending_epochs: collections.abc.Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )

    def may_load(self, loads: int) -> bool:
        """Tell whether further loads would run at full speed.

        :param loads: number of loads to start.
        """
        if (
            self.loads_are_unlimited
            or not loads
            or not self.spec.loads_at_once
        ):
            return True
        return self.loading + loads <= self.spec.loads_at_once

    def has_later_join(self, replica: fleet.Replica) -> bool:
        """Tell whether a member has a pending join to a newer replica.

        :param replica: the replica.
        """
        epoch = replica.replica_key[1]
        return any(
            self.pending_epochs.get(member.endpoint_id, 0) > epoch
            for member in replica.members
        )


def order_key(order: Order) -> tuple:
    """Return what identifies repetitions of the same order.

    :param order: the order.
    """
    match order:
        case Join():
            return "join", order.replica
        case Open():
            return "open", order.head.membership.replica_key
        case Close():
            return "close", order.head.membership.replica_key, order.at_once
        case Leave():
            member = order.endpoint
            start = fleet.incarnation_of(member)
            return "leave", start, member.membership.replica_key
        case Probe():
            return "probe", fleet.incarnation_of(order.endpoint)
        case Stage():
            return "stage", fleet.incarnation_of(order.endpoint), order.model
