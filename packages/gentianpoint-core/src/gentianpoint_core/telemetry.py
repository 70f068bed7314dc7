"""Metrics and traces by OpenTelemetry.

One span stands for each hop of a request: the entry's handling, the offer to
an agent, the agent's handling, the wait for admission and the engine's
stream. The trace context travels in the ``trace`` field of an offer. Without
a collector nothing is exported and the instruments cost next to nothing.
"""

import importlib
import typing

from opentelemetry import metrics
from opentelemetry import propagate
from opentelemetry import trace

__all__ = (
    "GenerationInstruments",
    "configure_telemetry",
    "get_tracer",
    "get_trace_parent",
    "extract_trace_context",
)

_SCOPE: typing.Final = "gentianpoint"
_EXPORTS: typing.Final = "gentianpoint_core.telemetry_exports"
_TRACE_PARENT: typing.Final = "traceparent"


def configure_telemetry(
    host: str, service: str, otlp_url: str, trace_log: bool
) -> None:
    """Export to the collector at ``otlp_url``; spans to the log besides.

    An empty ``otlp_url`` and a false ``trace_log`` leave everything off.
    """
    if not otlp_url and not trace_log:
        return
    # The SDK takes memory and a part of each start, which a process that
    # exports nothing would pay for without use.
    exports = importlib.import_module(_EXPORTS)
    exports.export_spans(host, service, otlp_url, trace_log)
    if otlp_url:
        exports.export_metrics(host, service, otlp_url)


def get_tracer() -> trace.Tracer:
    """Return the tracer of this process."""
    return trace.get_tracer(_SCOPE)


def get_trace_parent() -> str:
    """Return the current span's context for a message; empty for none."""
    carrier: dict[str, str] = {}
    propagate.inject(carrier)
    return carrier.get(_TRACE_PARENT, "")


def extract_trace_context(parent: str) -> typing.Any:
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
