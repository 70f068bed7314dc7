"""How evenly one stream reached its caller.

A caller reads along, so a stream that arrives whole may still be a bad one:
its first event late, or with a pause in the middle. The figures of one stream
stand in the line that ends it, so that a complaint about one answer can be
traced to the moment at which it stood still.
"""

import typing

from gentianpoint_entry.forwarding import entry_metrics
from gentianpoint_entry.forwarding import routes

__all__ = ("StreamPace",)


class StreamPace:
    """Times of one stream's events, as they are given to its caller."""

    def __init__(
        self,
        route: routes.Route,
        figures: entry_metrics.EntryMetrics,
        now: float,
    ) -> None:
        """Count from ``now``, on trio's clock, when the request was read."""
        self._route: typing.Final = route
        self._metrics: typing.Final = figures
        self._last_at = now
        self.events = 0
        self._first_ms = -1.0
        self._longest_ms = 0.0
        self._longest_before = 0

    def note_event(self, now: float) -> None:
        """Note an event that is given to the caller at ``now``."""
        waited_ms = (now - self._last_at) * 1000
        self._last_at = now
        self.events += 1
        if self.events == 1:
            self._first_ms = waited_ms
            self._metrics.record_first_event(self._route.name, waited_ms)
            return
        if waited_ms > self._longest_ms:
            self._longest_ms = waited_ms
            self._longest_before = self.events
        self._metrics.record_gap(
            self._route.name, waited_ms, self._route.gap_objective_ms
        )

    def describe(self) -> dict[str, typing.Any]:
        """Return the figures for a log line; times in milliseconds."""
        if not self.events:
            return {"events": 0}
        return {
            "events": self.events,
            "first_event_ms": round(self._first_ms),
            "longest_pause_ms": round(self._longest_ms),
            "pause_before_event": self._longest_before,
            "late": self._name_lateness(),
        }

    def _name_lateness(self) -> str:
        """Return which objective was missed first, empty for none."""
        objective_ms = self._route.objective_ms
        if objective_ms and self._first_ms > objective_ms:
            return "start"
        gap_ms = self._route.gap_objective_ms
        return "pause" if gap_ms and self._longest_ms > gap_ms else ""
