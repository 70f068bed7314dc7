"""Which prompt prefixes the engine's cache is believed to hold.

The engine publishes events of its cache, late and with gaps. What a lost
event said can't be known: it may have removed anything. So a gap empties the
belief, and it grows again with the events that follow. A wrong belief only
costs a little reuse, never an answer.
"""

import collections
from collections import abc
import itertools
import typing

import trio

from gentianpoint_core import ports

__all__ = ("CachedPrefixes", "watch_cache_events")

_MOST_BELIEVED: typing.Final = 4096
_WAIT_MS: typing.Final = 2000
_PAUSE_S: typing.Final = 0.2


class CachedPrefixes:
    """Digests of prefixes, the most recent first, bounded in number."""

    def __init__(self) -> None:
        """Believe nothing."""
        self._held: typing.Final[collections.OrderedDict[int, None]] = (
            collections.OrderedDict()
        )
        self._last = 0

    def get_last_sequence(self) -> int:
        """Return the number of the last event taken."""
        return self._last

    def list_recent(self, most: int) -> abc.Sequence[int]:
        """Return up to ``most`` digests, the most recent first."""
        return tuple(itertools.islice(reversed(self._held), most))

    def clear(self) -> None:
        """Believe nothing, and take events from the first on."""
        self._held.clear()
        self._last = 0

    def apply(self, events: ports.CacheEvents) -> None:
        """Follow what the engine published after the last event taken."""
        if events.last < self._last:
            # The engine counts anew, so it was restarted with an empty cache.
            self.clear()
        for event in events.events:
            if event.sequence <= self._last:
                continue
            if event.sequence != self._last + 1:
                self._held.clear()
            self._take_event(event)
        if events.last > self._last:
            # Events at the end are missing and will not come.
            self._held.clear()
            self._last = events.last

    def _take_event(self, event: ports.CacheEvent) -> None:
        self._last = event.sequence
        for digest in event.removed:
            self._held.pop(digest, None)
        for digest in event.added:
            self._held[digest] = None
            self._held.move_to_end(digest)
        while len(self._held) > _MOST_BELIEVED:
            self._held.popitem(last=False)


async def watch_cache_events(
    engine: ports.Engine, belief: CachedPrefixes
) -> None:
    """Follow the engine's cache for ever."""
    while True:
        try:
            events = await engine.read_cache_events(
                belief.get_last_sequence(), _WAIT_MS
            )
        except ports.PortError:
            # The watch of the load tells of an engine that is away. What was
            # held may be gone when it comes back.
            belief.clear()
            await trio.sleep(_PAUSE_S)
            continue
        belief.apply(events)
        # A busy engine always has a new event; one reading for each would
        # cost more than the prefixes save.
        await trio.sleep(_PAUSE_S)
