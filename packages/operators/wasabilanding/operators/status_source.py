"""Interface through which the administration API reads a node's state."""

import collections.abc
import typing

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding import placement


class StatusSource(typing.Protocol):
    """One node's view of the system."""

    def configuration(self) -> configuration.Configuration:
        """Return the configuration in force on this node."""

    def vms(self) -> collections.abc.Collection[model.Vm]:
        """Return the VMs in the platform's lists for all failure domains."""

    def explain(self, service: str) -> tuple[placement.Explanation, ...]:
        """Explain a service's replica count in each failure domain."""

    def status(self) -> dict:
        """Return the status of failure domains, replicas and VMs."""

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
