"""Times of the events that a caller receives from one stream.

A caller reads along, so a stream that arrives whole may still be a bad one:
its first event is late, or it pauses in the middle. The log line that ends a
stream tells its times, so that a complaint about one answer can be traced to
the moment of the pause.
"""

import typing

from gentianpoint_entry.forwarding import entry_metrics
from gentianpoint_entry.forwarding import routes

__all__ = ("StreamTiming",)


class StreamTiming:
    """Times of one stream's events, as they are sent to its caller."""

    def __init__(
        self,
        route: routes.Route,
        metrics: entry_metrics.EntryMetrics,
        now: float,
    ) -> None:
        """Count from ``now``, on trio's clock, when the request was read."""
        self._route: typing.Final = route
        self._metrics: typing.Final = metrics
        self._last_at = now
        self.events = 0
        self._first_ms = -1.0
        self._longest_ms = 0.0
        self._event_after_longest = 0

    def note_event(self, now: float) -> None:
        """Record an event that is sent to the caller at ``now``."""
        waited_ms = (now - self._last_at) * 1000
        self._last_at = now
        self.events += 1
        if self.events == 1:
            self._first_ms = waited_ms
            self._metrics.record_first_event(self._route.name, waited_ms)
            return
        if waited_ms > self._longest_ms:
            self._longest_ms = waited_ms
            self._event_after_longest = self.events
        self._metrics.record_gap(
            self._route.name, waited_ms, self._route.gap_objective_ms
        )

    def describe(self) -> dict[str, typing.Any]:
        """Return the fields for a log line, with times in milliseconds."""
        if not self.events:
            return {"events": 0}
        return {
            "events": self.events,
            "first_event_ms": round(self._first_ms),
            "longest_pause_ms": round(self._longest_ms),
            "pause_before_event": self._event_after_longest,
            "late": self._classify_lateness(),
        }

    def _classify_lateness(self) -> str:
        """Return which objective was missed first, empty for none."""
        objective_ms = self._route.objective_ms
        if objective_ms and self._first_ms > objective_ms:
            return "start"
        gap_ms = self._route.gap_objective_ms
        return "pause" if gap_ms and self._longest_ms > gap_ms else ""
