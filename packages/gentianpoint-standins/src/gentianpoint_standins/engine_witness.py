"""What an engine really did, for tests."""

import collections
import typing

from gentianpoint_standins import counts
from gentianpoint_standins import engine_streams

__all__ = ("EngineWitness", "WitnessFigures")


class WitnessFigures(typing.TypedDict):
    """What was seen, besides the counts."""

    starts: dict[str, int]
    """How often each stream identifier was started."""
    prompts: dict[str, int]
    """How often each prompt was started, by its digest."""
    ends: dict[str, int]
    """Streams ended, by why; ``died`` for those without an end."""


class EngineWitness:
    """Counts of starts and ends."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.counts: typing.Final = counts.Counts(
            (
                "started",
                "ended",
                "cancels",
                "resumes",
                "tokens",
                "loading_reports",
            )
        )
        self._starts: typing.Final[collections.Counter[str]] = (
            collections.Counter()
        )
        self._prompts: typing.Final[collections.Counter[str]] = (
            collections.Counter()
        )
        self._ends: typing.Final[collections.Counter[str]] = (
            collections.Counter()
        )

    def count_start(self, start: engine_streams.StreamStart) -> None:
        """Count a stream that was started."""
        self._starts[start["id"]] += 1
        self._prompts[engine_streams.digest_prompt(start["prompt"])] += 1
        self.counts.add("started")

    def knows(self, identifier: str) -> bool:
        """Tell whether a stream of this identifier was ever started."""
        return identifier in self._starts

    def count_end(self, end: str) -> None:
        """Count a stream that ended."""
        self._ends[end] += 1
        self.counts.add("ended")

    def read(self) -> WitnessFigures:
        """Return what was seen."""
        return WitnessFigures(
            starts=dict(self._starts),
            prompts=dict(self._prompts),
            ends=dict(self._ends),
        )
