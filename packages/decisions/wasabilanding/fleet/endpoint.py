"""Types of registered endpoints."""

import dataclasses
import enum
import functools
import typing

from wasabilanding import model as model_module


class MemberState(enum.Enum):
    """State of a member in its replica."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


ReplicaKey = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class Membership:
    """Membership in a replica, as reported by the endpoint.

    :param replica: identity of the replica.
    :param epoch: epoch at which it joined.
    :param rank: rank in the replica; rank 0 is the head, which accepts the
        requests.
    :param state: state of the member.
    """

    replica: str
    epoch: int
    rank: int
    state: MemberState

    @property
    def replica_key(self) -> ReplicaKey:
        """Identity and epoch, the same for all members of one replica."""
        return self.replica, self.epoch


class Incarnation(typing.NamedTuple):
    """One start of an endpoint.

    An endpoint that starts again under its identity knows nothing of the time
    before, so that what is known of one start does not apply to the next.

    :param endpoint_id: identity of the endpoint.
    :param started_at_ms: Unix time in milliseconds of its start.
    """

    endpoint_id: str
    started_at_ms: int


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """Registration of an endpoint.

    :param endpoint_id: identity of one start of the endpoint.
    :param service: service that it belongs to.
    :param host: IP address.
    :param port: TCP port.
    :param failure_domain: failure domain.
    :param draining: whether it has announced its shutdown.
    :param slots: requests that it runs concurrently.
    :param started_at_ms: Unix time in milliseconds of its start;
        distinguishes restarts under the same identity.
    :param fabric_domain: fabric domain; empty for a plain service.
    :param model: model that it serves; empty for none.
    :param resident: model of its last replica, which is still in memory;
        empty if unknown.
    :param staged: models whose weights are stored on its host.
    :param membership: membership in a replica; None for none.
    :param cold_left_s: seconds for which it stays cold, from when the
        registration is read. It differs with each heartbeat, so it is no
        part of what makes two registrations equal.
    """

    endpoint_id: str
    service: str
    host: str
    port: int
    failure_domain: str
    draining: bool = False
    slots: int = 1
    started_at_ms: int = 0
    fabric_domain: str = ""
    model: str = ""
    resident: str = ""
    staged: tuple[str, ...] = ()
    membership: Membership | None = None
    cold_left_s: model_module.Quantity = dataclasses.field(
        default=0.0, compare=False
    )

    @functools.cached_property
    def incarnation(self) -> Incarnation:
        """Its identity and start; kept, as each choice of an endpoint asks."""
        return Incarnation(self.endpoint_id, self.started_at_ms)

    def has_weights(self, model: str) -> bool:
        """Tell whether it can join a replica of a model without a load.

        :param model: name of the model.
        """
        return model == self.resident or model in self.staged

    @property
    def base_url(self) -> str:
        """Base URL."""
        return f"http://{self.host}:{self.port}"
