"""Export of spans and metrics with the OpenTelemetry SDK.

This module imports the SDK and, for a collector, its exporters. To save their
memory in processes that export nothing, :mod:`gentianpoint_core.telemetry`
imports it only if exporting is enabled.
"""

from collections import abc
import importlib
import typing

from opentelemetry import metrics
from opentelemetry import trace
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources as sdk_resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.metrics import export as metrics_export
from opentelemetry.sdk.trace import export as trace_export

from gentianpoint_core import logs
from gentianpoint_core.generated import events

__all__ = ("export_metrics", "export_spans")

_EXPORTERS_PACKAGE: typing.Final = "opentelemetry.exporter.otlp.proto.http"
_NS_PER_MS: typing.Final = 1_000_000


class _LogSpanExporter(trace_export.SpanExporter):
    """Logs each finished span as an event."""

    def export(
        self, spans: abc.Sequence[sdk_trace.ReadableSpan]
    ) -> trace_export.SpanExportResult:
        """Log the spans."""
        for span in spans:
            began = span.start_time or 0
            ended = span.end_time or began
            logs.log_event(
                events.SPAN_FINISHED,
                span=span.name,
                trace=format(span.context.trace_id, "032x"),
                began_ns=began,
                duration_ms=round((ended - began) / _NS_PER_MS, 3),
                attributes=dict(span.attributes or {}),
            )
        return trace_export.SpanExportResult.SUCCESS


def _import_exporter(name: str) -> typing.Any:
    """Import an exporter, which is not needed to log spans."""
    return importlib.import_module(f"{_EXPORTERS_PACKAGE}.{name}")


def _describe_process(host: str, service: str) -> sdk_resources.Resource:
    return sdk_resources.Resource.create(
        {"service.name": service, "host.name": host}
    )


def export_spans(
    host: str, service: str, otlp_url: str, trace_log: bool
) -> None:
    """Export spans to the collector at ``otlp_url``, to the log, or both."""
    provider = sdk_trace.TracerProvider(
        resource=_describe_process(host, service)
    )
    if trace_log:
        provider.add_span_processor(
            trace_export.SimpleSpanProcessor(_LogSpanExporter())
        )
    if otlp_url:
        provider.add_span_processor(
            trace_export.BatchSpanProcessor(
                _import_exporter("trace_exporter").OTLPSpanExporter(
                    f"{otlp_url}/v1/traces"
                )
            )
        )
    trace.set_tracer_provider(provider)


def export_metrics(host: str, service: str, otlp_url: str) -> None:
    """Export metrics to the collector at ``otlp_url``."""
    reader = metrics_export.PeriodicExportingMetricReader(
        _import_exporter("metric_exporter").OTLPMetricExporter(
            f"{otlp_url}/v1/metrics"
        )
    )
    metrics.set_meter_provider(
        sdk_metrics.MeterProvider(
            [reader], resource=_describe_process(host, service)
        )
    )
