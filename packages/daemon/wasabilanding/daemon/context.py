"""What the daemon's loops share."""

import collections.abc
import dataclasses
import random

import trio

from wasabilanding.daemon import settings as settings_module
from wasabilanding.daemon import telemetry as telemetry_module
from wasabilanding import endpoints
from wasabilanding import knowledge
from wasabilanding import membership
from wasabilanding import metadata
from wasabilanding import peers

ID_BITS = 128


@dataclasses.dataclass(frozen=True)
class Context:
    """What the daemon's loops share.

    :param settings: settings of the node.
    :param known: knowledge of the node.
    :param members: the nodes that it knows of.
    :param platform: client of the platform's service.
    :param endpoints: client of the endpoints.
    :param telemetry: traces and metrics.
    :param connect_peer: opens the connection to a peer at host:port.
    :param rng: source of randomness for decisions and identities.
    :param joining: what the node has heard since it started.
    """

    settings: settings_module.Settings
    known: knowledge.ClusterState
    members: membership.MemberTable
    platform: metadata.PlatformClient
    endpoints: endpoints.EndpointClient
    telemetry: telemetry_module.Telemetry
    connect_peer: collections.abc.Callable[[str], peers.Channel]
    rng: random.Random
    joining: membership.JoinProgress = dataclasses.field(
        default_factory=membership.JoinProgress
    )

    @property
    def failure_domain(self) -> str:
        """Failure domain of this node."""
        return self.settings.failure_domain

    def now(self) -> float:
        """Return the local monotonic time in seconds."""
        return trio.current_time()

    def new_id(self) -> str:
        """Return an identity that no other request or attempt has."""
        return f"{self.rng.getrandbits(ID_BITS):032x}"

    def update_informed(self) -> None:
        """Note when this node has heard what stands since it started."""
        if self.known.informed:
            return
        if self.joining.is_complete(self.members, self.now()):
            self.known.mark_informed()
