"""Traces and metrics, exported without background threads."""

import collections.abc
import contextlib
import pathlib
import typing

import opentelemetry.exporter.prometheus
import opentelemetry.metrics
import opentelemetry.sdk.metrics
import opentelemetry.sdk.resources
import opentelemetry.sdk.trace
import opentelemetry.sdk.trace.export
import opentelemetry.trace
import opentelemetry.trace.propagation.tracecontext
import prometheus_client

from wasabilanding import model

PROPAGATOR = (
    opentelemetry.trace.propagation.tracecontext
).TraceContextTextMapPropagator()

Span = opentelemetry.trace.Span
# Names and values of labels, in a fixed order.
Labels = tuple[tuple[str, str], ...]


class _FileExporter(opentelemetry.sdk.trace.export.SpanExporter):
    """Writes each span as one JSON line."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("a", encoding="utf-8", buffering=1)

    def export(
        self, spans: collections.abc.Sequence[typing.Any]
    ) -> opentelemetry.sdk.trace.export.SpanExportResult:
        """Write spans."""
        for span in spans:
            self._file.write(span.to_json(indent=None) + "\n")
        return opentelemetry.sdk.trace.export.SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._file.close()


class Telemetry:
    """Traces and metrics of one node.

    :param node: name of the node.
    :param trace_file: file to which spans are written, or empty for none.
    """

    def __init__(self, node: str, trace_file: str = "") -> None:
        resource = opentelemetry.sdk.resources.Resource.create(
            {"service.name": "wasabilandingd", "service.instance.id": node}
        )
        provider = opentelemetry.sdk.trace.TracerProvider(
            resource=resource, shutdown_on_exit=False
        )
        if trace_file:
            exporter = _FileExporter(pathlib.Path(trace_file))
            provider.add_span_processor(
                opentelemetry.sdk.trace.export.SimpleSpanProcessor(exporter)
            )
        self._tracer = provider.get_tracer("wasabilanding")
        self._registry = prometheus_client.CollectorRegistry()
        self._reader = (
            opentelemetry.exporter.prometheus.PrometheusMetricReader(
                registry=self._registry
            )
        )
        meters = opentelemetry.sdk.metrics.MeterProvider(
            resource=resource,
            metric_readers=[self._reader],
            shutdown_on_exit=False,
        )
        self._meter = meters.get_meter("wasabilanding")
        self._requests = self._meter.create_counter(
            "wasabilanding_requests", description="Requests by outcome"
        )
        self._attempts = self._meter.create_counter(
            "wasabilanding_attempts", description="Attempts by outcome"
        )
        self._claims = self._meter.create_counter(
            "wasabilanding_claims",
            description="Claims of non-idempotent requests by result",
        )
        self._store_calls = self._meter.create_counter(
            "wasabilanding_store_calls", description="Calls to the platform"
        )
        self._downtime = self._meter.create_counter(
            "wasabilanding_group_downtime", unit="s"
        )
        self._stranded = self._meter.create_counter(
            "wasabilanding_stranded_accelerators", unit="s"
        )

    def start_span(
        self,
        name: str,
        parent: Span | None = None,
        remote: collections.abc.Mapping[str, str] | None = None,
        **attributes: str | int,
    ) -> Span:
        """Start a span.

        :param name: name of the span.
        :param parent: parent span on this node.
        :param remote: W3C trace context headers of a remote parent span.
        :param attributes: attributes of the span.
        """
        if parent is not None:
            context = opentelemetry.trace.set_span_in_context(parent)
        else:
            context = PROPAGATOR.extract(dict(remote or {}))
        return self._tracer.start_span(
            name, context=context, attributes=attributes
        )

    def headers(self, span: Span) -> dict[str, str]:
        """Return the W3C trace context headers that propagate a span.

        :param span: the span.
        """
        headers: dict[str, str] = {}
        context = opentelemetry.trace.set_span_in_context(span)
        PROPAGATOR.inject(headers, context)
        return headers

    def count_request(self, service: str, outcome: model.Outcome) -> None:
        """Count the end of a request."""
        self._requests.add(1, _labels(service, outcome))

    def count_attempt(self, service: str, outcome: model.Outcome) -> None:
        """Count the end of an attempt."""
        self._attempts.add(1, _labels(service, outcome))

    def count_claim(self, result: str) -> None:
        """Count the result of a claim.

        :param result: taken, replayed, refused or unavailable.
        """
        self._claims.add(1, {"result": result})

    def count_store_call(self, operation: str, result: str) -> None:
        """Count the end of a call to the platform's service."""
        labels = {"operation": operation, "result": result}
        self._store_calls.add(1, labels)

    def add_downtime_and_stranding(
        self, failure_domain: str, downtime_s: float, stranded_s: float
    ) -> None:
        """Add to the totals of group downtime and stranded accelerators.

        :param failure_domain: the failure domain.
        :param downtime_s: group downtime in replica-seconds.
        :param stranded_s: stranded accelerators in accelerator-seconds.
        """
        labels = {"failure_domain": failure_domain}
        self._downtime.add(downtime_s, labels)
        self._stranded.add(stranded_s, labels)

    def observe_log_lines(
        self, dropped: collections.abc.Mapping[Labels, int]
    ) -> None:
        """Export the number of log lines that were not written.

        :param dropped: numbers by labels, which the log keeps up to date.
        """

        def read(
            options: opentelemetry.metrics.CallbackOptions,
        ) -> list[opentelemetry.metrics.Observation]:
            return [
                opentelemetry.metrics.Observation(number, dict(labels))
                for labels, number in dropped.items()
            ]

        self._meter.create_observable_counter(
            "wasabilanding_log_lines_dropped",
            [read],
            description="Log lines that were not written, by reason and kind",
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)


def _labels(service: str, outcome: model.Outcome) -> dict[str, str]:
    return {
        "service": service,
        "verdict": outcome.verdict.value,
        "reason": outcome.reason.value,
    }


@contextlib.contextmanager
def ending_span(span: Span) -> collections.abc.Iterator[None]:
    """End a span when the block ends.

    :param span: the span.
    """
    try:
        yield
    finally:
        span.end()
