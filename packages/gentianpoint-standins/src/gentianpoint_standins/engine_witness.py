"""What an engine really did, for tests.

The counts are kept apart from everything that the system reads, so that a
mistake in the system can't hide in them.
"""

import collections
from collections import abc
import typing

import trio

from gentianpoint_standins import engine_streams

__all__ = ("COUNTS", "EngineWitness", "WitnessFigures")

COUNTS: typing.Final = frozenset(
    ("started", "ended", "cancels", "resumes", "tokens")
)
"""Names of the counts that can be waited for."""


class WitnessFigures(typing.TypedDict):
    """Answer of ``GET /witness``."""

    starts: dict[str, int]
    """How often each stream identifier was started."""
    prompts: dict[str, int]
    """How often each prompt was started, by its digest."""
    started: int
    """Streams ever started."""
    ends: dict[str, int]
    """Streams ended, by why; ``died`` for those without an end."""
    cancels: int
    """Calls to cancel a stream that was known."""
    resumes: int
    """Calls to resume a stream that was known."""
    tokens: int
    """Tokens ever generated."""


class EngineWitness:
    """Counts of starts and ends, and who waits for them to rise."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self._starts: typing.Final[collections.Counter[str]] = (
            collections.Counter()
        )
        self._prompts: typing.Final[collections.Counter[str]] = (
            collections.Counter()
        )
        self._ends: typing.Final[collections.Counter[str]] = (
            collections.Counter()
        )
        self._cancels = 0
        self._resumes = 0
        self._tokens = 0
        self._changed = trio.Event()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def count_start(self, start: engine_streams.StreamStart) -> None:
        """Count a stream that was started."""
        self._starts[start["id"]] += 1
        self._prompts[engine_streams.digest_prompt(start["prompt"])] += 1
        self._wake()

    def count_end(self, end: str) -> None:
        """Count a stream that ended."""
        self._ends[end] += 1
        self._wake()

    def count_cancel(self) -> None:
        """Count a call to cancel."""
        self._cancels += 1
        self._wake()

    def count_resume(self) -> None:
        """Count a call to resume."""
        self._resumes += 1
        self._wake()

    def set_tokens(self, tokens: int) -> None:
        """Note how many tokens were generated so far."""
        if tokens != self._tokens:
            self._tokens = tokens
            self._wake()

    def _levels(self) -> dict[str, int]:
        return {
            "started": self._starts.total(),
            "ended": self._ends.total(),
            "cancels": self._cancels,
            "resumes": self._resumes,
            "tokens": self._tokens,
        }

    async def wait_for(self, wanted: abc.Mapping[str, int]) -> None:
        """Wait until each named count is at least as wanted."""
        while any(
            self._levels()[name] < least for name, least in wanted.items()
        ):
            await self._changed.wait()

    def read(self) -> WitnessFigures:
        """Return the counts."""
        return WitnessFigures(
            starts=dict(self._starts),
            prompts=dict(self._prompts),
            started=self._starts.total(),
            ends=dict(self._ends),
            cancels=self._cancels,
            resumes=self._resumes,
            tokens=self._tokens,
        )
