"""Metrics of the answers that callers get, and their text for scrapers.

The most important ones are those that callers notice: the time between events
of a stream, the time by which streams' pauses exceed what their route allows,
and the number of generations that had to move.
"""

from collections import abc
import typing

from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
import prometheus_client

from gentianpoint_core import caller_resources

__all__ = ("EntryMetrics", "make_entry_metrics", "render_metrics")

_SCOPE: typing.Final = "gentianpoint"


class EntryMetrics:
    """The metric instruments of one entry."""

    def __init__(self, provider: metrics.MeterProvider) -> None:
        """Create the instruments with ``provider``."""
        meter = provider.get_meter(_SCOPE)
        self._meter: typing.Final = meter
        self._requests: typing.Final = meter.create_counter(
            "gentianpoint.requests",
            description="Requests by outcome and status.",
        )
        self._failed_attempts: typing.Final = meter.create_counter(
            "gentianpoint.failed_attempts",
            description="Attempts that got no answer, by step.",
        )
        self._moves: typing.Final = meter.create_counter(
            "gentianpoint.moved_generations",
            description="Generations that went on elsewhere, by way.",
        )
        self._stall_time: typing.Final = meter.create_counter(
            "gentianpoint.stall_time",
            "ms",
            "Time that streams stood still beyond what their route allows.",
        )
        self._answer_time: typing.Final = meter.create_histogram(
            "gentianpoint.answer_time", "ms", "Time to the end of an answer."
        )
        self._first_event_time: typing.Final = meter.create_histogram(
            "gentianpoint.first_event_time", "ms", "Time to the first event."
        )
        self._gap: typing.Final = meter.create_histogram(
            "gentianpoint.time_between_events",
            "ms",
            "Time between two events of a stream.",
        )
        self._waiting_for_room: typing.Final = meter.create_up_down_counter(
            "gentianpoint.waiting_for_room",
            description="Requests that wait for room at targets, by route.",
        )
        self._room_wait: typing.Final = meter.create_histogram(
            "gentianpoint.room_wait_time",
            "ms",
            "Time that requests waited for room at targets.",
        )
        self._room_refusals: typing.Final = meter.create_counter(
            "gentianpoint.room_refusals",
            description="Requests refused for want of room, by route.",
        )

        self._caller_limits: typing.Final = meter.create_counter(
            "gentianpoint.caller_limits",
            description="Refusals and closed connections of callers that met"
            " a limit, by reason.",
        )

    def watch_callers(
        self, resources: caller_resources.CallerResources
    ) -> None:
        """Show what callers use of ``resources``, and their sizes."""

        def observe_memory(
            options: metrics.CallbackOptions,
        ) -> abc.Iterator[metrics.Observation]:
            account = resources.account
            yield metrics.Observation(account.held_bytes, {"state": "held"})
            yield metrics.Observation(
                account.large_held_bytes, {"state": "held by long bodies"}
            )
            yield metrics.Observation(
                account.size.total_bytes, {"state": "limit"}
            )

        def observe_connections(
            options: metrics.CallbackOptions,
        ) -> abc.Iterator[metrics.Observation]:
            yield metrics.Observation(resources.connections, {"state": "open"})
            yield metrics.Observation(
                resources.max_connections, {"state": "limit"}
            )

        self._meter.create_observable_gauge(
            "gentianpoint.caller_memory",
            [observe_memory],
            "By",
            "Memory that callers hold, and may hold.",
        )
        self._meter.create_observable_gauge(
            "gentianpoint.caller_connections",
            [observe_connections],
            description="Connections of callers, and most of them.",
        )

    def record_caller_limit(self, reason: str) -> None:
        """Record a caller that met a limit."""
        self._caller_limits.add(1, {"reason": reason})

    def record_request(
        self, route: str, outcome: str, status: int, took_ms: float
    ) -> None:
        """Record the end of a request."""
        labels = {"route": route, "outcome": outcome, "status": str(status)}
        self._requests.add(1, labels)
        self._answer_time.record(took_ms, {"route": route})

    def record_failed_attempt(self, step: str) -> None:
        """Record an attempt without an answer, by the step that failed."""
        self._failed_attempts.add(1, {"step": step})

    def record_move(self, way: str) -> None:
        """Record a generation that continues at another target."""
        self._moves.add(1, {"way": way})

    def record_first_event(self, route: str, took_ms: float) -> None:
        """Record the time to the first event of a stream."""
        self._first_event_time.record(took_ms, {"route": route})

    def record_gap(self, route: str, gap_ms: float, allowed_ms: float) -> None:
        """Record the time between two events, and its excess as a stall."""
        self._gap.record(gap_ms, {"route": route})
        if gap_ms > allowed_ms > 0:
            self._stall_time.add(gap_ms - allowed_ms, {"route": route})

    def count_waiting_for_room(self, route: str, change: int) -> None:
        """Count a request that begins to wait for room, or has ended to."""
        self._waiting_for_room.add(change, {"route": route})

    def record_room_wait(self, route: str, took_ms: float) -> None:
        """Record how long a request has waited for room."""
        self._room_wait.record(took_ms, {"route": route})

    def record_room_refusal(self, route: str) -> None:
        """Record a request that is refused for want of room."""
        self._room_refusals.add(1, {"route": route})


def make_entry_metrics() -> EntryMetrics:
    """Return metrics that :func:`render_metrics` renders."""
    reader = prometheus.PrometheusMetricReader()
    return EntryMetrics(sdk_metrics.MeterProvider(metric_readers=[reader]))


def render_metrics() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest(prometheus_client.REGISTRY)
