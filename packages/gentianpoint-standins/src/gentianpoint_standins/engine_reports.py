"""Reports of an engine that come late: load figures and cache events."""

import collections
from collections import abc
import random
import typing

import trio

from gentianpoint_standins import engine_memory
from gentianpoint_standins import engine_scheduler

__all__ = ("CacheEventLog", "LoadHistory", "LoadSnapshot", "SequencedChange")

_EVENTS_KEPT: typing.Final = 2000


class LoadSnapshot(typing.NamedTuple):
    """Figures of an engine at one moment."""

    made_at: float
    """When, in seconds of trio's clock."""
    figures: engine_scheduler.SchedulerFigures
    """The figures."""


class LoadHistory:
    """Figures of the last moments, of which a lagging one is shown."""

    def __init__(self, lag_ms: int) -> None:
        """Show figures that are ``lag_ms`` milliseconds old."""
        self._lag_s: typing.Final = lag_ms / 1000
        self._snapshots: typing.Final[collections.deque[LoadSnapshot]] = (
            collections.deque()
        )

    def add(self, figures: engine_scheduler.SchedulerFigures) -> None:
        """Note the figures of this moment."""
        now = trio.current_time()
        self._snapshots.append(LoadSnapshot(now, figures))
        self._forget_before(now - self._lag_s)

    def _forget_before(self, seen_at: float) -> None:
        while len(self._snapshots) > 1 and (
            self._snapshots[1].made_at <= seen_at
        ):
            self._snapshots.popleft()

    def read(self) -> LoadSnapshot:
        """Return the newest figures that are as old as the lag.

        An engine that started less than the lag ago shows its first ones.
        """
        self._forget_before(trio.current_time() - self._lag_s)
        return self._snapshots[0]

    def measure_age_ms(self) -> int:
        """Return the age of the figures shown, in milliseconds.

        While nothing changes the figures of the lag ago are those noted at
        the last change, and only as old as the lag.
        """
        age_s = trio.current_time() - self.read().made_at
        return int(min(self._lag_s, age_s) * 1000)


class SequencedChange(typing.NamedTuple):
    """A published change of the prefix cache."""

    sequence: int
    """Number of the event."""
    change: engine_memory.CacheChange
    """What changed."""


class CacheEventLog:
    """Cache events, published late and with gaps."""

    def __init__(self, lag_ms: int, gap_share: float, seed: int) -> None:
        """Publish ``lag_ms`` late and lose ``gap_share`` of the events."""
        self._lag_s: typing.Final = lag_ms / 1000
        self._gap_share: typing.Final = gap_share
        self._source: typing.Final = random.Random(seed)
        self._made = 0
        self._due: typing.Final[
            collections.deque[tuple[float, SequencedChange]]
        ] = collections.deque()
        self._published: typing.Final[collections.deque[SequencedChange]] = (
            collections.deque(maxlen=_EVENTS_KEPT)
        )
        self._last = 0
        self._changed = trio.Event()

    def add(self, change: engine_memory.CacheChange) -> None:
        """Note a change, to be published after the lag."""
        self._made += 1
        due_at = trio.current_time() + self._lag_s
        self._due.append((due_at, SequencedChange(self._made, change)))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _publish_due(self) -> None:
        now = trio.current_time()
        while self._due and self._due[0][0] <= now:
            event = self._due.popleft()[1]
            self._last = event.sequence
            if self._source.random() >= self._gap_share:
                self._published.append(event)

    async def wait_past(self, after: int) -> None:
        """Wait until an event after ``after`` has been published."""
        self._publish_due()
        while self._last <= after:
            if self._due:
                await trio.sleep_until(self._due[0][0])
            else:
                await self._changed.wait()
            self._publish_due()

    def read(self, after: int) -> tuple[abc.Sequence[SequencedChange], int]:
        """Return the published events after ``after`` and the last number."""
        self._publish_due()
        events = [row for row in self._published if row.sequence > after]
        return events, self._last
