"""What the daemon's loops share."""

import dataclasses
import random

import trio

from wasabilanding.daemon import settings as settings_module
from wasabilanding.daemon import telemetry as telemetry_module
from wasabilanding import endpoints
from wasabilanding import knowledge
from wasabilanding import membership
from wasabilanding import platform


@dataclasses.dataclass(frozen=True)
class Context:
    """What the daemon's loops share.

    :param settings: settings of the node.
    :param known: knowledge of the node.
    :param members: the nodes that it knows of.
    :param platform: client of the platform's service.
    :param endpoints: client of the endpoints.
    :param telemetry: traces and metrics.
    :param rng: source of randomness for decisions.
    """

    settings: settings_module.Settings
    known: knowledge.Knowledge
    members: membership.MemberTable
    platform: platform.PlatformClient
    endpoints: endpoints.EndpointClient
    telemetry: telemetry_module.Telemetry
    rng: random.Random

    @property
    def failure_domain(self) -> str:
        """Failure domain of this node."""
        return self.settings.failure_domain

    def now(self) -> float:
        """Return the local monotonic time in seconds."""
        return trio.current_time()
