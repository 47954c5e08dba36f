"""Orders that assemble replicas, and what the planner knows."""

import collections.abc
import dataclasses

from wasabilanding import fleet
from wasabilanding import routes


@dataclasses.dataclass(frozen=True)
class Join:
    """Make endpoints the members of a new replica.

    :param replica: identity of the replica.
    :param epoch: epoch of the replica.
    :param model: model that it loads.
    :param members: its members by rank.
    :param to: members that the order goes to.
    """

    replica: str
    epoch: int
    model: str
    members: tuple[fleet.Endpoint, ...]
    to: tuple[fleet.Endpoint, ...]


@dataclasses.dataclass(frozen=True)
class Open:
    """Let the head of a whole replica take requests.

    :param head: the head.
    """

    head: fleet.Endpoint


@dataclasses.dataclass(frozen=True)
class Close:
    """Let the head of a replica take no more requests.

    :param head: the head.
    :param at_once: whether running requests are cut; they end first if not.
    """

    head: fleet.Endpoint
    at_once: bool


@dataclasses.dataclass(frozen=True)
class Leave:
    """Let an endpoint leave its replica.

    :param endpoint: the endpoint.
    """

    endpoint: fleet.Endpoint


@dataclasses.dataclass(frozen=True)
class Ask:
    """Ask an endpoint whose registration lapsed whether it lives.

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


Order = Join | Open | Close | Leave | Ask | Stage


@dataclasses.dataclass(frozen=True)
class Situation:
    """What the planner decides on.

    :param service: service whose replicas are planned.
    :param spec: its models.
    :param endpoints: registered endpoints in the planner's care.
    :param departed: endpoints that have lapsed, by identity.
    :param revision: newest revision of the store that is known.
    :param loads_are_free: whether loads start without a bound now.
    :param loading: loads from the weight store under way, as far as is
        known, over all endpoints.
    :param silent: heads from which this node's requests get no sign of work.
    :param pending: highest epoch of the joins that any planner has ordered
        not long ago, by endpoint; such an order may still be carried out.
    """

    service: str
    spec: routes.EngineSpec
    endpoints: tuple[fleet.Endpoint, ...]
    departed: dict[str, fleet.Departure]
    revision: int
    loads_are_free: bool
    loading: int = 0
    silent: frozenset[str] = frozenset()
    pending: collections.abc.Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )

    def may_load(self, loads: int) -> bool:
        """Tell whether loads would run at full speed.

        :param loads: loads that would start.
        """
        if self.loads_are_free or not loads or not self.spec.loads_at_once:
            return True
        return self.loading + loads <= self.spec.loads_at_once

    def is_claimed_beyond(self, replica: fleet.Replica) -> bool:
        """Tell whether a member was told to join a later replica.

        :param replica: the replica.
        """
        epoch = replica.place[1]
        return any(
            self.pending.get(member.endpoint_id, 0) > epoch
            for member in replica.members
        )
