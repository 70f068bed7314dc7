"""Builds the statuses of an engine whose pace is known."""

import random
import typing

from gentianpoint_core import ports
from gentianpoint_core.decisions import engine_pace

__all__ = ("POLL_S", "SteppingEngine", "make_status")

POLL_S: typing.Final = 0.1
"""Time between two statuses, in seconds."""
_STEP_MS: typing.Final = 7.0
_SLOT_MS: typing.Final = 0.12
_CHUNK_TOKENS: typing.Final = 112
_TOKENS_PER_MS: typing.Final = 14.0
_EVENT_TOKENS: typing.Final = 4
_PROMPT_TOKENS: typing.Final = 2550
_RUNNING: typing.Final = 8


def make_status(
    tokens: typing.Mapping[str, int], in_prefill: int = 0, born_ms: int = 1
) -> ports.EngineStatus:
    """Return a status with the memory of each running generation."""
    runs = tuple(
        ports.EngineRun(name, held, 0, 5) for name, held in tokens.items()
    )
    used = sum(tokens.values())
    return ports.EngineStatus(
        running=len(runs) + (in_prefill > 0),
        waiting=0,
        used_tokens=used + in_prefill,
        total_tokens=27_000,
        copy_tokens=0,
        next_prompt_tokens=0,
        generating=len(runs),
        generating_tokens=used,
        born_ms=born_ms,
        is_leaving=False,
        leaves_in_ms=None,
        runs=runs,
    )


class SteppingEngine:
    """Steps with a number of generations, and prefills prompts at times.

    Each prompt that is prefilled takes the place of the oldest generation.
    As in reports of engines, a generation runs once it has an event; until
    then its prompt counts as being in prefill.
    """

    def __init__(self, speed: float, prefill_share: float) -> None:
        """Take ``speed`` times as long as usual for all work.

        Prompts are in prefill for ``prefill_share`` of the time.
        """
        self.speed = speed
        self.now = 0.0
        self.born_ms = 1
        self.pace: typing.Final = engine_pace.EnginePace()
        self._share: typing.Final = prefill_share
        self._tokens = {f"run-{number}": 3000 for number in range(_RUNNING)}
        self._born = _RUNNING
        # The prompt in prefill, and the steps left to its first event.
        self._prompt = 0
        self._unread = 0
        self._steps_left = 0
        self._source: typing.Final = random.Random(5)
        self._idle_until = self._source.uniform(0.1, 0.4)
        self._began = 0.0
        self._polled_at = 0.0

    @property
    def step_us(self) -> float:
        """Time of a step without a prompt."""
        return (_STEP_MS + _SLOT_MS * _RUNNING) * 1000 * self.speed

    @property
    def prefill_us_per_k(self) -> float:
        """Time to prefill a thousand tokens, with the steps in between."""
        chunk_us = _CHUNK_TOKENS / _TOKENS_PER_MS * 1000 * self.speed
        return (self.step_us + chunk_us) * 1000 / _CHUNK_TOKENS

    def restart(self) -> None:
        """Start again without generations."""
        self.born_ms += 1
        self._tokens = {}
        self._prompt = 0
        self._unread = 0

    def read_status(self) -> ports.EngineStatus:
        """Return the present status."""
        return make_status(self._tokens, self._prompt, self.born_ms)

    def run(self, for_s: float) -> None:
        """Work for a time, with a status each 100 ms."""
        until = self.now + for_s
        while self.now < until:
            self._step()
            if self.now - self._polled_at >= POLL_S:
                self._polled_at = self.now
                self.pace.note_status(self.read_status(), self.now)

    def _step(self) -> None:
        if not self._prompt and self._share and self.now >= self._idle_until:
            self._prompt = round(
                _PROMPT_TOKENS * self._source.uniform(0.6, 1.4)
            )
            self._unread = self._prompt
            self._steps_left = _EVENT_TOKENS
            self._began = self.now
        chunk = min(_CHUNK_TOKENS, self._unread)
        prefill_us = chunk / _TOKENS_PER_MS * 1000 * self.speed
        self.now += (self.step_us + prefill_us) / 1e6
        for name in self._tokens:
            self._tokens[name] += 1
        if chunk:
            self._unread -= chunk
        elif self._prompt:
            self._steps_left -= 1
            if not self._steps_left:
                self._finish_prompt()

    def _finish_prompt(self) -> None:
        if len(self._tokens) >= _RUNNING:
            del self._tokens[next(iter(self._tokens))]
        self._tokens[f"run-{self._born}"] = self._prompt + _EVENT_TOKENS
        self._born += 1
        self._prompt = 0
        taken_s = self.now - self._began
        self._idle_until = self.now + taken_s * (1 / self._share - 1)
