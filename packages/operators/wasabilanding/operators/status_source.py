"""What the administration API needs from the daemon."""

import collections.abc
import typing

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding import placement


class StatusSource(typing.Protocol):
    """What one node knows, for operators."""

    def configuration(self) -> configuration.Configuration:
        """Return the configuration in force on this node."""

    def vms(self) -> collections.abc.Collection[model.Vm]:
        """Return the listed VMs of all failure domains."""

    def explain(self, service: str) -> tuple[placement.Explanation, ...]:
        """Explain the replicas of a service by failure domain."""

    def status(self) -> dict:
        """Return the status of failure domains, replicas and VMs."""

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text form."""
