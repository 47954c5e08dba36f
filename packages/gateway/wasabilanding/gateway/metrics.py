"""Counters and latency histograms in the Prometheus text format.

They are exported on request only, without pushes or an export thread.
"""

import opentelemetry.exporter.prometheus
import opentelemetry.sdk.metrics
import opentelemetry.sdk.metrics.view
import opentelemetry.sdk.resources
import prometheus_client

from wasabilanding import model

# The latency goals of requests lie between 0.2 and 0.5 s.
LATENCY_BUCKETS_S = (
    0.05,
    0.1,
    0.15,
    0.2,
    0.3,
    0.4,
    0.5,
    0.75,
    1.0,
    2.0,
    4.0,
    8.0,
)
FIRST_EVENT_METRIC = "wasabilanding_first_event_seconds"
ANSWER_METRIC = "wasabilanding_answer_seconds"


class Metrics:
    """Metrics of one gateway.

    :param node: name of the node.
    """

    def __init__(self, node: str) -> None:
        resource = opentelemetry.sdk.resources.Resource(
            {"service.name": "wasabilanding", "service.instance.id": node}
        )
        buckets = (
            opentelemetry.sdk.metrics.view.ExplicitBucketHistogramAggregation
        )(LATENCY_BUCKETS_S)
        self._registry = prometheus_client.CollectorRegistry()
        reader = opentelemetry.exporter.prometheus.PrometheusMetricReader(
            registry=self._registry
        )
        provider = opentelemetry.sdk.metrics.MeterProvider(
            resource=resource,
            metric_readers=[reader],
            views=[
                opentelemetry.sdk.metrics.view.View(
                    instrument_name=name, aggregation=buckets
                )
                for name in (FIRST_EVENT_METRIC, ANSWER_METRIC)
            ],
            shutdown_on_exit=False,
        )
        meter = provider.get_meter("wasabilanding")
        self._requests = meter.create_counter(
            "wasabilanding_requests",
            description="Requests by service and status",
        )
        self._attempts = meter.create_counter(
            "wasabilanding_attempts",
            description="Attempts by service, verdict and reason",
        )
        self._store_calls = meter.create_counter(
            "wasabilanding_store_calls",
            description="Calls to the platform's store by result",
        )
        self._orders = meter.create_counter(
            "wasabilanding_orders", description="Orders to endpoints by kind"
        )
        self._first_event = meter.create_histogram(
            FIRST_EVENT_METRIC, unit="s"
        )
        self._answer = meter.create_histogram(ANSWER_METRIC, unit="s")
        self._stranded = meter.create_gauge(
            "wasabilanding_stranded_endpoints",
            description="Endpoints of a failure domain that do not serve",
        )

    def count_request(
        self,
        service: str,
        status: int,
        first_s: float | None,
        whole_s: float,
    ) -> None:
        """Count a request that has ended.

        :param service: its service; empty if none was found.
        :param status: HTTP status sent to the caller; 0 for none.
        :param first_s: seconds until its answer began; None if it did not.
        :param whole_s: seconds until it ended.
        """
        labels = {"service": service}
        self._requests.add(1, {**labels, "status": str(status)})
        if first_s is not None:
            self._first_event.record(first_s, labels)
        self._answer.record(whole_s, labels)

    def count_attempt(self, service: str, outcome: model.Outcome) -> None:
        """Count an attempt that has ended.

        :param service: its service.
        :param outcome: its outcome.
        """
        self._attempts.add(
            1,
            {
                "service": service,
                "verdict": outcome.verdict.value,
                "reason": outcome.reason.value,
            },
        )

    def count_store_call(self, operation: str, result: str) -> None:
        """Count a call to the platform's store.

        :param operation: name of the call.
        :param result: result of the call.
        """
        self._store_calls.add(1, {"operation": operation, "result": result})

    def count_order(self, kind: str, result: str) -> None:
        """Count an order to an endpoint.

        :param kind: kind of the order.
        :param result: HTTP status, or the reason why there is none.
        """
        self._orders.add(1, {"kind": kind, "result": result})

    def set_stranded(self, failure_domain: str, count: int) -> None:
        """Set the number of endpoints of model services that do not serve.

        :param failure_domain: failure domain that this node plans.
        :param count: number of endpoints.
        """
        self._stranded.set(count, {"failure_domain": failure_domain})

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
