"""OpenTelemetry metrics and traces.

Each stage of a request has a span: handling at the entry, the offer to an
agent, handling at the agent, the wait for admission and the engine's stream.
The ``trace`` field of an offer carries the trace context. Without a collector
nothing is exported and the instruments cost almost nothing.
"""

import importlib
import typing

from opentelemetry import metrics
from opentelemetry import propagate
from opentelemetry import trace

__all__ = (
    "CallerInstruments",
    "GenerationInstruments",
    "configure_telemetry",
    "get_tracer",
    "get_trace_parent",
    "extract_trace_context",
)

_SCOPE: typing.Final = "gentianpoint"
_EXPORTS_MODULE: typing.Final = "gentianpoint_core.telemetry_exports"
_TRACE_PARENT: typing.Final = "traceparent"


def configure_telemetry(
    host: str, service: str, otlp_url: str, trace_log: bool
) -> None:
    """Export metrics and spans to the collector at ``otlp_url``.

    With ``trace_log`` spans are logged too. An empty ``otlp_url`` disables
    the collector; without either, nothing is exported.
    """
    if not otlp_url and not trace_log:
        return
    # Importing the SDK takes memory and start-up time, which a process that
    # exports nothing should not pay for.
    exports = importlib.import_module(_EXPORTS_MODULE)
    exports.export_spans(host, service, otlp_url, trace_log)
    if otlp_url:
        exports.export_metrics(host, service, otlp_url)


def get_tracer() -> trace.Tracer:
    """Return the tracer of this process."""
    return trace.get_tracer(_SCOPE)


def get_trace_parent() -> str:
    """Return the current span's ``traceparent``; empty if there is no span."""
    carrier: dict[str, str] = {}
    propagate.inject(carrier)
    return carrier.get(_TRACE_PARENT, "")


def extract_trace_context(parent: str) -> typing.Any:
    """Return the trace context of a ``trace`` field."""
    return propagate.extract({_TRACE_PARENT: parent} if parent else {})


class GenerationInstruments:
    """Metrics of streams, as measured by this process."""

    def __init__(self) -> None:
        """Create the instruments."""
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
        """Record the milliseconds between two tokens of a generation."""
        self._gap.record(gap_ms, {"service": service})

    def record_stall(self, service: str, stall_ms: float) -> None:
        """Record the milliseconds that a token came later than expected."""
        self._stall.add(stall_ms, {"service": service})

    def record_preemption(self, service: str) -> None:
        """Record that an engine preempted a generation."""
        self._preemptions.add(1, {"service": service})


class CallerInstruments:
    """Metrics of callers that meet limits of this process."""

    def __init__(self) -> None:
        """Create the instruments."""
        self._limits: typing.Final = metrics.get_meter(_SCOPE).create_counter(
            "gentianpoint.caller_limits"
        )

    def record_limit(self, reason: str) -> None:
        """Record a refusal or a closed connection, by its reason."""
        self._limits.add(1, {"reason": reason})
