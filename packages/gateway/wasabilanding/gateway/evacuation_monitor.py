"""Reports services that evacuations leave without a usable endpoint."""

import logging

from wasabilanding import dispatch
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import metrics as metrics_module

_LOG = logging.getLogger(__name__)


class EvacuationMonitor:
    """Logs when a service loses all its endpoints to evacuations.

    :param view: the node's view of the cluster.
    :param metrics: receives the number of evacuated failure domains.
    """

    def __init__(
        self,
        view: cluster_view_module.ClusterView,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._view = view
        self._metrics = metrics
        # Names of services with a model, empty for a plain service.
        self._unserved: frozenset[tuple[str, str]] = frozenset()

    def observe(self) -> None:
        """Log which services are unserved, or served again; set the metric."""
        self._metrics.set_evacuated(len(self._view.evacuations.names))
        unserved = self._find_unserved()
        for service, model_name in sorted(unserved - self._unserved):
            _LOG.warning(
                "requests for %s are rejected: all its endpoints are in "
                "evacuated failure domains",
                _label(service, model_name),
            )
        for service, model_name in sorted(self._unserved - unserved):
            _LOG.warning(
                "requests for %s are no longer rejected because of evacuated "
                "failure domains",
                _label(service, model_name),
            )
        self._unserved = unserved

    def _find_unserved(self) -> frozenset[tuple[str, str]]:
        evacuated = self._view.evacuations.names
        table = self._view.table
        if not evacuated or table is None:
            return frozenset()
        found: set[tuple[str, str]] = set()
        for service in table.services:
            usable, excluded = dispatch.split_evacuated(
                dispatch.candidates_of(self._view.registry.endpoints, service),
                evacuated,
            )
            found.update(
                (service.name, name)
                for name in excluded.keys() - usable.keys()
            )
        return frozenset(found)


def _label(service: str, model_name: str) -> str:
    return f"model {model_name} of {service}" if model_name else service
