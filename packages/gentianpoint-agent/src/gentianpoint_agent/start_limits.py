"""Keeps the limit on starts that the agent's target names.

All work for the target passes through its agent, so the agent has all turns
and needs to ask nobody.
"""

import math
import typing

import trio

from gentianpoint_core import limit_table
from gentianpoint_core import named_limits
from gentianpoint_core.decisions import request_turns

__all__ = ("StartLimit",)

_TARGET: typing.Final = "target"
_AGENT: typing.Final = "agent"


class StartLimit:
    """The limit that the target names in its answers, if any."""

    def __init__(self) -> None:
        """Start without a limit."""
        self._table: typing.Final = limit_table.LimitTable()
        self._turns: typing.Final = request_turns.RequestTurns(
            _AGENT, lambda: frozenset((_AGENT,))
        )

    def note_answer(
        self, named: named_limits.NamedLimit, asked_at: float
    ) -> None:
        """Apply what an answer names to a call sent at ``asked_at``."""
        self._table.note_answer(_TARGET, named, asked_at, trio.current_time())

    def find_start_at(self, ahead: int = 0) -> float:
        """Return when a call may start after ``ahead`` others.

        That is minus infinity without a limit.
        """
        clock = self._table.find(_TARGET)
        if clock is None:
            return -math.inf
        now = trio.current_time()
        return self._turns.find_permitted_at(_TARGET, clock, now, ahead)

    def may_start(self) -> bool:
        """Tell whether a call may start now."""
        return self.find_start_at() <= trio.current_time()

    def note_start(self) -> None:
        """Count a call that starts now."""
        clock = self._table.find(_TARGET)
        if clock is not None:
            self._turns.take(_TARGET, clock, trio.current_time())

    def predict_wait_ms(self, ahead: int) -> float:
        """Return how long a call waits for its turn, in milliseconds."""
        wait_s = self.find_start_at(ahead) - trio.current_time()
        return max(0.0, wait_s * 1000)
