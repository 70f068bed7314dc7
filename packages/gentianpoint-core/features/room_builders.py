"""Builders of claims and reports, and a small engine, for features on room."""

import typing

from gentianpoint_core import ports
from gentianpoint_core.decisions import room_book

TOTAL_TOKENS: typing.Final = 27_000
"""Memory of an engine, in tokens."""
EVENT_TOKENS: typing.Final = 4
"""Tokens of an event."""
TICK_S: typing.Final = 0.01
"""Time of a decoding step, in seconds."""
_SLOTS: typing.Final = 24
_PREFILL_TOKENS: typing.Final = 140
"""Prompt tokens that are prefilled in a step."""


def make_claim(request_id: str, **more: typing.Any) -> room_book.RoomClaim:
    """Return a claim for a generation of usual size."""
    claim = room_book.RoomClaim(request_id, 3000, 0, EVENT_TOKENS, _SLOTS, 5)
    return claim._replace(**more)


def make_run(
    request_id: str, events: int, prompt_tokens: int = 3000, urgency: int = 5
) -> ports.EngineRun:
    """Return a running generation."""
    tokens = prompt_tokens + events * EVENT_TOKENS
    return ports.EngineRun(request_id, tokens, events, urgency)


def make_status(
    runs: typing.Sequence[ports.EngineRun] = (), **more: typing.Any
) -> ports.EngineStatus:
    """Return the status of an engine that only generates."""
    tokens = sum(run.tokens for run in runs)
    status = ports.EngineStatus(
        running=len(runs),
        waiting=0,
        used_tokens=tokens,
        total_tokens=TOTAL_TOKENS,
        copy_tokens=0,
        next_prompt_tokens=0,
        generating=len(runs),
        generating_tokens=tokens,
        born_ms=1,
        is_leaving=False,
        leaves_in_ms=None,
        runs=tuple(runs),
    )
    return status._replace(**more)


class Generation:
    """A generation at the small engine."""

    def __init__(
        self, request_id: str, prompt_tokens: int, events: int, urgency: int
    ) -> None:
        """Describe one that ends after ``events`` events."""
        self.request_id: typing.Final = request_id
        self.prompt_tokens: typing.Final = prompt_tokens
        self.events: typing.Final = events
        self.urgency: typing.Final = urgency
        self.made = 0
        self.unread = prompt_tokens

    def count_tokens(self) -> int:
        """Return its size in the engine's memory, in tokens."""
        return self.prompt_tokens + self.made * EVENT_TOKENS


class SmallEngine:
    """An engine with a step of constant time that preempts when full.

    More urgent generations are admitted first. The newest of the least urgent
    is preempted, and is prefilled again with what it has made.
    """

    def __init__(self) -> None:
        """Start without generations."""
        self.running: list[Generation] = []
        self.waiting: list[Generation] = []
        self.preemptions = 0
        self.complete = 0

    def count_used(self) -> int:
        """Return the memory in use, in tokens."""
        return sum(item.count_tokens() for item in self.running)

    def advance(self) -> None:
        """Run one step."""
        self.waiting.sort(key=lambda item: item.urgency)
        while self.waiting and len(self.running) < _SLOTS:
            first = self.waiting[0]
            if self.count_used() + first.count_tokens() > TOTAL_TOKENS:
                break
            self.running.append(self.waiting.pop(0))
        left = _PREFILL_TOKENS
        for item in self.running:
            read = min(left, item.unread)
            item.unread -= read
            left -= read
        for item in [item for item in self.running if not item.unread]:
            if item in self.running:
                self._make_event(item)

    def _make_event(self, item: Generation) -> None:
        while self.count_used() + EVENT_TOKENS > TOTAL_TOKENS:
            least = max(other.urgency for other in self.running)
            victim = [
                other for other in self.running if other.urgency == least
            ][-1]
            self.running.remove(victim)
            victim.unread = victim.count_tokens()
            self.waiting.insert(0, victim)
            self.preemptions += 1
            if victim is item:
                return
        item.made += 1
        if item.made >= item.events:
            self.running.remove(item)
            self.complete += 1

    def make_status(self) -> ports.EngineStatus:
        """Return the engine's report."""
        runs = [
            make_run(
                item.request_id, item.made, item.prompt_tokens, item.urgency
            )
            for item in self.running
            if item.made
        ]
        return make_status(
            runs,
            running=len(self.running),
            waiting=len(self.waiting),
            used_tokens=self.count_used(),
            next_prompt_tokens=(
                self.waiting[0].count_tokens() if self.waiting else 0
            ),
        )
