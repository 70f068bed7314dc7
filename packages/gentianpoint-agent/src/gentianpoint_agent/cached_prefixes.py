"""Tracks the prompt prefixes that the engine's cache holds.

The engine publishes events of its cache, late and with gaps. The content of a
lost event can't be known: it may have removed any prefix. So a gap clears
the set, which grows again with the following events. A wrong entry only
reduces reuse of the cache and never affects an answer.
"""

import collections
from collections import abc
import itertools
import typing

import trio

from gentianpoint_core import ports

__all__ = ("CachedPrefixes", "watch_cache_events")

_MAX_PREFIXES: typing.Final = 4096
"""Maximum number of prefixes tracked."""
_WAIT_MS: typing.Final = 2000
"""Longest time that the engine waits for a new event, milliseconds."""
_PAUSE_S: typing.Final = 0.2
"""Pause before the next request for events, seconds."""


class CachedPrefixes:
    """Digests of cached prefixes, most recent first, bounded in number."""

    def __init__(self) -> None:
        """Start empty."""
        self._digests: typing.Final[collections.OrderedDict[int, None]] = (
            collections.OrderedDict()
        )
        self._last_sequence = 0

    def get_last_sequence(self) -> int:
        """Return the sequence number of the last applied event."""
        return self._last_sequence

    def list_recent(self, limit: int) -> abc.Sequence[int]:
        """Return up to ``limit`` digests, the most recent first."""
        return tuple(itertools.islice(reversed(self._digests), limit))

    def clear(self) -> None:
        """Drop all prefixes, and expect events from the first one on."""
        self._digests.clear()
        self._last_sequence = 0

    def apply(self, events: ports.CacheEvents) -> None:
        """Apply what the engine published after the last applied event."""
        if events.last < self._last_sequence:
            # The numbers start over: the engine restarted, its cache is
            # empty.
            self.clear()
        for event in events.events:
            if event.sequence <= self._last_sequence:
                continue
            if event.sequence != self._last_sequence + 1:
                self._digests.clear()
            self._apply_event(event)
        if events.last > self._last_sequence:
            # The last events are missing and won't be sent again.
            self._digests.clear()
            self._last_sequence = events.last

    def _apply_event(self, event: ports.CacheEvent) -> None:
        self._last_sequence = event.sequence
        for digest in event.removed:
            self._digests.pop(digest, None)
        for digest in event.added:
            self._digests[digest] = None
            self._digests.move_to_end(digest)
        while len(self._digests) > _MAX_PREFIXES:
            self._digests.popitem(last=False)


async def watch_cache_events(
    engine: ports.Engine, prefixes: CachedPrefixes
) -> None:
    """Apply the engine's cache events until cancelled."""
    while True:
        try:
            events = await engine.read_cache_events(
                prefixes.get_last_sequence(), _WAIT_MS
            )
        except ports.PortError:
            # The load watch reports that the engine is unavailable. Its
            # cache may be empty when it comes back.
            prefixes.clear()
            await trio.sleep(_PAUSE_S)
            continue
        prefixes.apply(events)
        # A busy engine always has a new event. A request for each one would
        # cost more than the prefixes save.
        await trio.sleep(_PAUSE_S)
