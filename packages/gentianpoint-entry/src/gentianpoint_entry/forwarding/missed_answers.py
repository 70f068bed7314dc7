"""Counts the answers that agents miss, and skips those that miss several.

A question to an agent that is gone costs its whole time limit, and entries
ask before they send each generation.
"""

import typing

import trio

__all__ = ("MissedAnswers",)

_MISSES_UNTIL_SKIPPED: typing.Final = 2
"""Answers in a row that an agent has to miss to be skipped for a while."""
_SKIPPED_S: typing.Final = 2.0
"""Seconds for which an agent that does not answer is not asked."""
_MAX_SKIPPED: typing.Final = 4096
"""Agents that are remembered as not answering."""


class _Misses(typing.NamedTuple):
    """Answers that an agent has missed in a row."""

    answers: int
    last_at: float


class MissedAnswers:
    """The answers that agents have missed, by their addresses."""

    def __init__(self) -> None:
        """Start with none."""
        self._misses: typing.Final[dict[str, _Misses]] = {}

    def is_skipped(self, agent: str) -> bool:
        """Tell whether an agent is not to be asked now."""
        misses = self._misses.get(agent)
        if misses is None or misses.answers < _MISSES_UNTIL_SKIPPED:
            return False
        return trio.current_time() - misses.last_at < _SKIPPED_S

    def note(self, agent: str, *, was_missed: bool) -> None:
        """Record whether an agent has missed an answer."""
        misses = self._misses.pop(agent, _Misses(0, 0.0))
        if not was_missed:
            return
        self._misses[agent] = _Misses(misses.answers + 1, trio.current_time())
        if len(self._misses) > _MAX_SKIPPED:
            del self._misses[next(iter(self._misses))]
