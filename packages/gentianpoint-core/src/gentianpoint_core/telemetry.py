"""Metrics and traces by OpenTelemetry.

One span stands for each hop of a request: the entry's handling, the offer to
an agent, the agent's handling, the wait for admission and the engine's
stream. The trace context travels in the ``trace`` field of an offer. Without
a collector nothing is exported and the instruments cost next to nothing.
"""

from collections import abc
import importlib
import typing

from opentelemetry import metrics
from opentelemetry import propagate
from opentelemetry import trace
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources as sdk_resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.metrics import export as metrics_export
from opentelemetry.sdk.trace import export as trace_export

from gentianpoint_core import logs
from gentianpoint_core.generated import events

__all__ = (
    "GenerationInstruments",
    "configure_telemetry",
    "get_tracer",
    "read_trace_parent",
    "use_trace_parent",
)

_SCOPE: typing.Final = "gentianpoint"
_EXPORTERS: typing.Final = "opentelemetry.exporter.otlp.proto.http"
_TRACE_PARENT: typing.Final = "traceparent"
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
    """Import an exporter, which no process without a collector has to hold.

    They bring some 6 MB of libraries, a tenth of what a node may spend.
    """
    return importlib.import_module(f"{_EXPORTERS}.{name}")


def configure_telemetry(
    host: str, service: str, otlp_url: str, trace_log: bool
) -> None:
    """Export to the collector at ``otlp_url``; spans to the log besides.

    An empty ``otlp_url`` and a false ``trace_log`` leave everything off.
    """
    resource = sdk_resources.Resource.create(
        {"service.name": service, "host.name": host}
    )
    if otlp_url or trace_log:
        provider = sdk_trace.TracerProvider(resource=resource)
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
    if otlp_url:
        reader = metrics_export.PeriodicExportingMetricReader(
            _import_exporter("metric_exporter").OTLPMetricExporter(
                f"{otlp_url}/v1/metrics"
            )
        )
        metrics.set_meter_provider(
            sdk_metrics.MeterProvider([reader], resource=resource)
        )


def get_tracer() -> trace.Tracer:
    """Return the tracer of this process."""
    return trace.get_tracer(_SCOPE)


def read_trace_parent() -> str:
    """Return the current span's context for a message; empty for none."""
    carrier: dict[str, str] = {}
    propagate.inject(carrier)
    return carrier.get(_TRACE_PARENT, "")


def use_trace_parent(parent: str) -> typing.Any:
    """Return the context of a ``trace`` field, for a span's ``context``."""
    return propagate.extract({_TRACE_PARENT: parent} if parent else {})


class GenerationInstruments:
    """The users' three measures, as this process sees them."""

    def __init__(self) -> None:
        """Make the instruments."""
        meter = metrics.get_meter(_SCOPE)
        self._gap: typing.Final = meter.create_histogram(
            "gentianpoint.time_between_tokens", "ms"
        )
        self._stall: typing.Final = meter.create_counter(
            "gentianpoint.stall_time", "ms"
        )
        self._preemptions: typing.Final = meter.create_counter(
            "gentianpoint.preemptions"
        )

    def record_gap(self, service: str, gap_ms: float) -> None:
        """Record the time between two tokens of a generation."""
        self._gap.record(gap_ms, {"service": service})

    def record_stall(self, service: str, stall_ms: float) -> None:
        """Record time that a stream waited beyond its expected pace."""
        self._stall.add(stall_ms, {"service": service})

    def record_preemption(self, service: str) -> None:
        """Record that an engine preempted a generation."""
        self._preemptions.add(1, {"service": service})
