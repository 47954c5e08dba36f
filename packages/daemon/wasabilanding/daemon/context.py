"""State shared by the daemon's loops."""

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
    """State shared by the daemon's loops.

    :param settings: settings of the node.
    :param known: latest documents and reports that the node has learned.
    :param members: table of the nodes in the cluster.
    :param platform: client of the platform's service.
    :param endpoints: client of the endpoints.
    :param telemetry: traces and metrics.
    :param connect_peer: opens the connection to a peer at host:port.
    :param rng: random number generator for decisions and identifiers.
    :param joining: progress of learning the current state after the start.
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
        """Return a random identifier for a request, attempt or claim."""
        return f"{self.rng.getrandbits(ID_BITS):032x}"

    def update_informed(self) -> None:
        """Mark the node as informed once it has learned the current state."""
        if self.known.informed:
            return
        if self.joining.is_complete(self.members, self.now()):
            self.known.mark_informed()
