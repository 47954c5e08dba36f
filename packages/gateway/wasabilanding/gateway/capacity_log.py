"""Metric and log lines on the capacity of each model in a failure domain."""

import collections
import collections.abc
import dataclasses
import logging
import typing

from wasabilanding import assembly
from wasabilanding import fleet
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding import routes

# A line is repeated after this time without a change, so that logs of some
# seconds show the state, and the lack of lines that nobody plans.
REPEAT_INTERVAL_S = 10.0
# Label of endpoints that belong to no replica.
NO_MODEL = ""

_LOG = logging.getLogger(__name__)


def domain_capacity(
    endpoints: collections.abc.Iterable[fleet.Endpoint],
    services: collections.abc.Iterable[routes.RoutedService],
    failure_domain: str,
) -> list[assembly.Capacity]:
    """Return the capacity of each model service in a failure domain.

    :param endpoints: all registered endpoints.
    :param services: all services, with the shares of their models to
        compare with.
    :param failure_domain: the failure domain.
    """
    by_service = collections.defaultdict(list)
    for endpoint in endpoints:
        if endpoint.failure_domain == failure_domain:
            by_service[endpoint.service].append(endpoint)
    return [
        assembly.capacity_of(by_service[service.name], service.engine)
        for service in services
        if service.engine is not None
    ]


def _count_states(
    capacities: collections.abc.Iterable[assembly.Capacity],
) -> collections.Counter[tuple[str, str]]:
    """Return the number of endpoints by model and state."""
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for capacity in capacities:
        counts[NO_MODEL, "free"] += capacity.free
        counts[NO_MODEL, "stranded"] += capacity.stranded
        for found in capacity.models:
            counts[found.model, "open"] += found.open_vms
            counts[found.model, "forming"] += found.forming_vms
            counts[found.model, "broken"] += found.broken_vms
    return counts


def _fields(found: assembly.ModelCapacity) -> dict[str, typing.Any]:
    """Return the fields of the log line on one model."""
    fields = dataclasses.asdict(found)
    fields["cause"] = found.cause.value if found.cause else ""
    return fields


class CapacityLog:
    """Reports the capacity of the failure domain that a node plans.

    :param failure_domain: the failure domain.
    :param metrics: metrics of the node.
    """

    def __init__(
        self, failure_domain: str, metrics: metrics_module.Metrics
    ) -> None:
        self._domain = failure_domain
        self._metrics = metrics
        self._last: list[assembly.Capacity] | None = None
        self._logged_at = float("-inf")

    def observe(self, capacities: list[assembly.Capacity], now: float) -> None:
        """Set the metrics; log a line if the capacity changed, or is old.

        :param capacities: current capacity of each model service.
        :param now: local monotonic time in seconds.
        """
        is_repeated = now - self._logged_at >= REPEAT_INTERVAL_S
        if capacities == self._last and not is_repeated:
            return
        if capacities != self._last:
            self._update_metrics(capacities)
        self._last = capacities
        self._logged_at = now
        self._log(capacities)

    def clear(self) -> None:
        """Forget the capacity: the node does not plan any more."""
        self._last = None
        self._logged_at = float("-inf")
        self._metrics.set_capacity(self._domain, {})

    def _update_metrics(self, capacities: list[assembly.Capacity]) -> None:
        counts = _count_states(capacities)
        serving = sum(
            count for (_, state), count in counts.items() if state == "open"
        )
        vms = sum(capacity.vms for capacity in capacities)
        self._metrics.set_stranded(self._domain, vms - serving)
        self._metrics.set_capacity(self._domain, counts)

    def _log(self, capacities: list[assembly.Capacity]) -> None:
        models = [found for each in capacities for found in each.models]
        _LOG.info(
            "%d of %d endpoints serve",
            sum(found.open_vms for found in models),
            sum(capacity.vms for capacity in capacities),
            extra={
                "domain": self._domain,
                "endpoints": sum(capacity.vms for capacity in capacities),
                "serving": {found.model: found.open_vms for found in models},
                "free": sum(capacity.free for capacity in capacities),
                "stranded": sum(each.stranded for each in capacities),
                "models": [_fields(found) for found in models],
            },
        )
