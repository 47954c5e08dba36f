"""Types of registered endpoints."""

import dataclasses
import enum


class MemberState(enum.Enum):
    """Where a member stands in its replica."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


Place = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class Membership:
    """An endpoint's own word on the replica that it belongs to.

    :param replica: identity of the replica.
    :param epoch: epoch at which it joined.
    :param rank: place in the replica; rank 0 takes the requests.
    :param state: where it stands.
    """

    replica: str
    epoch: int
    rank: int
    state: MemberState

    @property
    def place(self) -> Place:
        """Identity and epoch, the same for all members of one replica."""
        return self.replica, self.epoch


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An endpoint as it registered itself.

    :param endpoint_id: identity of one start of the endpoint.
    :param service: service that it belongs to.
    :param host: IP address.
    :param port: TCP port.
    :param failure_domain: failure domain.
    :param draining: whether it has announced that it leaves.
    :param slots: requests that it runs at a time.
    :param started_at_ms: Unix time in milliseconds of its start; tells two
        starts under one identity apart.
    :param fabric_domain: fabric domain; empty for a plain service.
    :param model: model that it serves; empty for none.
    :param resident: model of its last replica, which it still holds in
        memory; empty where that is not known.
    :param staged: models whose weights lie on its host.
    :param membership: its replica; None for none.
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

    def holds(self, model: str) -> bool:
        """Tell whether it can join a replica of a model without a load.

        :param model: name of the model.
        """
        return model == self.resident or model in self.staged

    @property
    def origin(self) -> str:
        """Base URL."""
        return f"http://{self.host}:{self.port}"
