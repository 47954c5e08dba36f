"""Export of a gateway's metrics in the Prometheus text format.

OpenTelemetry reads the counters when it is asked. Histograms bypass it, as
it has no instrument that takes over counts of buckets.
"""

import collections.abc
import itertools

import opentelemetry.exporter.prometheus
import opentelemetry.metrics
import opentelemetry.sdk.metrics
import opentelemetry.sdk.resources
import prometheus_client
import prometheus_client.core

from wasabilanding.gateway import metrics as metrics_module

METER = "wasabilanding"


class _HistogramCollector:
    """Reads the histograms of a gateway for the Prometheus client.

    :param metrics: the gateway's metrics.
    """

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics

    def collect(
        self,
    ) -> collections.abc.Iterator[prometheus_client.core.Metric]:
        """Yield each histogram as a family of one metric per label set."""
        metrics = self._metrics
        by_service = ["service"]
        for name, histograms, label_names in (
            (
                metrics_module.FIRST_EVENT_METRIC,
                metrics.first_event,
                by_service,
            ),
            (metrics_module.ANSWER_METRIC, metrics.answer, by_service),
            (metrics_module.WAIT_METRIC, metrics.waits, by_service),
            (metrics_module.LAG_METRIC, metrics.loop_lag, []),
        ):
            family = prometheus_client.core.HistogramMetricFamily(
                name, name, labels=label_names
            )
            for labels, histogram in histograms.items():
                family.add_metric(
                    [value for _, value in labels],
                    _cumulative_buckets(histogram),
                    histogram.sum_s,
                )
            yield family


def _cumulative_buckets(
    histogram: metrics_module.Histogram,
) -> list[tuple[str, float]]:
    bounds = [*map(str, metrics_module.LATENCY_BUCKETS_S), "+Inf"]
    counts = itertools.accumulate(histogram.counts)
    return list(zip(bounds, counts, strict=True))


def _observe(
    numbers: collections.abc.Mapping[metrics_module.Labels, float],
) -> collections.abc.Callable[
    [opentelemetry.metrics.CallbackOptions],
    list[opentelemetry.metrics.Observation],
]:
    """Return a callback that reads one instrument's current numbers."""

    def read(
        options: opentelemetry.metrics.CallbackOptions,
    ) -> list[opentelemetry.metrics.Observation]:
        return [
            opentelemetry.metrics.Observation(number, dict(labels))
            for labels, number in numbers.items()
        ]

    return read


def exporter(
    metrics: metrics_module.Metrics,
) -> collections.abc.Callable[[], bytes]:
    """Return a function that returns the current metrics as text.

    :param metrics: the gateway's metrics.
    """
    registry = prometheus_client.CollectorRegistry()
    registry.register(_HistogramCollector(metrics))
    reader = opentelemetry.exporter.prometheus.PrometheusMetricReader(
        registry=registry
    )
    resource = opentelemetry.sdk.resources.Resource(
        {"service.name": METER, "service.instance.id": metrics.node}
    )
    provider = opentelemetry.sdk.metrics.MeterProvider(
        resource=resource, metric_readers=[reader], shutdown_on_exit=False
    )
    meter = provider.get_meter(METER)
    for name, numbers, description in (
        ("requests", metrics.requests, "Requests by service and status"),
        (
            "attempts",
            metrics.attempts,
            "Attempts by service, verdict and reason",
        ),
        (
            "silent_attempts",
            metrics.silences,
            "Attempts whose endpoint became silent, by service",
        ),
        (
            "store_calls",
            metrics.store_calls,
            "Calls to the platform's store by result",
        ),
        ("orders", metrics.orders, "Orders to endpoints by kind"),
        (
            "endpoint_notices",
            metrics.notices,
            "What endpoints asked for in heads of replies, by kind",
        ),
        (
            "send_grants",
            metrics.grants,
            "Permissions to send to endpoints with limits, by result",
        ),
        (
            "endpoint_crashes",
            metrics.crashes,
            "Endpoints that ended under requests, and rejections",
        ),
        (
            "relayed_requests",
            metrics.relayed,
            "Requests that one node hands to another, by role and result",
        ),
        (
            "overload_refusals",
            metrics.refusals,
            "Requests refused as slots are in use, by service and cause",
        ),
        (
            "memory_refusals",
            metrics.memory_refusals,
            "Requests refused for lack of memory, by cause",
        ),
        (
            "evacuation_refusals",
            metrics.evacuation_refusals,
            "Requests kept from evacuated failure domains, by kind",
        ),
        (
            "region_refusals",
            metrics.region_refusals,
            "Requests kept from regions that they may not use, by kind",
        ),
        (
            "retry_deposits",
            metrics.retry_deposits,
            "Requests that add to the retry budget, by service and origin",
        ),
        (
            "repeats",
            metrics.repeats,
            "Decisions on further attempts, by service, cause and result",
        ),
        (
            "loop_failures",
            metrics.loop_failures,
            "Failures of background loops by loop",
        ),
        (
            "connection_closes",
            metrics.connection_closes,
            "Connections that ended, by listener, cause and open request",
        ),
        (
            "closes_at_send",
            metrics.closes_at_send,
            "Callers found to have left as their request is sent, by target",
        ),
        (
            "log_lines_dropped",
            metrics.log_lines_dropped,
            "Log lines that were not written, by reason and kind",
        ),
        (
            "store_restores",
            metrics.store_restores,
            "Restores of the platform's store seen",
        ),
    ):
        meter.create_observable_counter(
            f"wasabilanding_{name}", [_observe(numbers)], "1", description
        )
    for name, numbers, description in (
        (
            "stranded_endpoints",
            metrics.stranded,
            "Endpoints of a failure domain that do not serve",
        ),
        (
            "capacity_endpoints",
            metrics.capacity,
            "Endpoints of model services by model and state",
        ),
        (
            "retry_tokens",
            metrics.retry_tokens,
            "Tokens of the retry budget, by service",
        ),
        (
            "retry_capacity",
            metrics.retry_capacity,
            "Most tokens that the retry budget saves for a service",
        ),
        (
            "retry_nodes",
            metrics.retry_nodes,
            "Nodes that are known to share the retry allowance",
        ),
        (
            "store_era",
            metrics.store_era,
            "Newest known era of the platform's store",
        ),
        (
            "rejected_registrations",
            metrics.rejected_registrations,
            "Registrations that name no endpoint, as this node has read",
        ),
        (
            "held_endpoints",
            metrics.held,
            "Endpoints that asked to receive nothing for a time, by state",
        ),
        (
            "memory_held_bytes",
            metrics.memory_held,
            "Bytes held for callers, endpoints and other nodes, by kind",
        ),
        (
            "limited_endpoints",
            metrics.limited,
            "Endpoints that name a limit in their replies",
        ),
        (
            "waiting_requests",
            metrics.waiting,
            "Requests that wait at this node, by pool",
        ),
        (
            "evacuated_failure_domains",
            metrics.evacuated,
            "Failure domains to which no requests are sent",
        ),
        (
            "cold_endpoints",
            metrics.cold,
            "Endpoints that are cold",
        ),
        (
            "suspected_requests",
            metrics.suspected,
            "Requests under which endpoints have ended, by state",
        ),
        (
            "cut_off",
            {(): int(metrics.is_cut_off)},
            "Whether the node reaches no endpoint",
        ),
        (
            "leaving_endpoints",
            metrics.leaving,
            "Registered endpoints that announced their shutdown",
        ),
        (
            "longest_leaving_seconds",
            metrics.longest_leaving_s,
            "Time since the first of these announcements",
        ),
    ):
        meter.create_observable_gauge(
            f"wasabilanding_{name}",
            [_observe(numbers)],
            description=description,
        )
    return lambda: prometheus_client.generate_latest(registry)
