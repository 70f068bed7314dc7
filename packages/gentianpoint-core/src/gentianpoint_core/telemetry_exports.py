"""Providers that export spans and metrics.

They bring the SDK of OpenTelemetry and, with a collector, its exporters,
which a process that exports nothing does without. So
:mod:`gentianpoint_core.telemetry` imports this module only when asked to
export.
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

_EXPORTERS: typing.Final = "opentelemetry.exporter.otlp.proto.http"
_NANOSECONDS_IN_MS: typing.Final = 1_000_000


class _LogSpanExporter(trace_export.SpanExporter):
    """Writes each finished span as an event to the log."""

    def export(
        self, spans: abc.Sequence[sdk_trace.ReadableSpan]
    ) -> trace_export.SpanExportResult:
        """Write the spans."""
        for span in spans:
            began = span.start_time or 0
            ended = span.end_time or began
            logs.log_event(
                events.SPAN_FINISHED,
                span=span.name,
                trace=format(span.context.trace_id, "032x"),
                began_ns=began,
                duration_ms=round((ended - began) / _NANOSECONDS_IN_MS, 3),
                attributes=dict(span.attributes or {}),
            )
        return trace_export.SpanExportResult.SUCCESS


def _import_exporter(name: str) -> typing.Any:
    """Import an exporter, which spans that go to the log don't need."""
    return importlib.import_module(f"{_EXPORTERS}.{name}")


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
