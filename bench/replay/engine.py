"""An engine on a virtual clock: a batch that steps, and its memory.

All that run gain a token in each step; one prompt at a time is read in chunks
between the steps, which makes those steps longer. When memory runs out, the
newest generation gives its memory up and is read again.
"""

import math
import typing

import trio

from bench.replay import links
from bench.replay import shapes
from gentianpoint_core.decisions import engine_pace

__all__ = ("Copy", "Engine", "Work")


class Work:
    """One generation at one engine."""

    def __init__(
        self, generation: shapes.Generation, made_tokens: int, has_read: int
    ) -> None:
        """Start with what is made and read already."""
        self.generation: typing.Final = generation
        self.made_tokens = made_tokens
        self.unread = generation.prompt_tokens + made_tokens - has_read
        self.is_stopped = False
        send, receive = trio.open_memory_channel[int](math.inf)
        self.events: typing.Final = send
        self.received: typing.Final = receive

    @property
    def tokens(self) -> int:
        """Memory that it takes."""
        read = self.generation.prompt_tokens + self.made_tokens - self.unread
        return max(0, read)

    @property
    def all_tokens(self) -> int:
        """Memory that it takes once it is read."""
        return self.generation.prompt_tokens + self.made_tokens

    @property
    def is_running(self) -> bool:
        """True when it makes tokens."""
        return self.unread <= 0


class Copy:
    """A generation's memory at an engine that does not run it."""

    def __init__(self) -> None:
        """Hold nothing yet."""
        self.tokens = 0


class Engine:
    """One start of an engine."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        costs: shapes.EngineCosts,
        slowness: float = 1.0,
    ) -> None:
        """Start empty."""
        self.name: typing.Final = name
        self.data_centre: typing.Final = data_centre
        self.costs: typing.Final = costs
        self.link: typing.Final = links.Link()
        self.batch: typing.Final[list[Work]] = []
        self.waiting: typing.Final[list[Work]] = []
        self.copies: typing.Final[dict[str, Copy]] = {}
        self.leaves_at = math.inf
        self.is_gone = False
        self.ended: typing.Final = trio.Event()
        self.preemptions = 0
        self.reread_tokens = 0
        self.slowness = slowness
        self.pace: typing.Final = engine_pace.EnginePace()
        self._has_work = trio.Event()

    @property
    def used_tokens(self) -> int:
        """Memory that can't yield."""
        running = sum(work.tokens for work in self.batch)
        return running + sum(copy.tokens for copy in self.copies.values())

    def has_room(self, tokens: int) -> bool:
        """Tell whether so much more fits."""
        fits = self.used_tokens + tokens <= self.costs.memory_tokens
        return fits and len(self.batch) + len(self.copies) < self.costs.slots

    def add(self, work: Work, *, is_first: bool) -> None:
        """Take a generation; one that goes on from a copy goes first."""
        if is_first:
            self.batch.append(work)
        else:
            self.waiting.append(work)
        self._has_work.set()

    def remove(self, work: Work) -> None:
        """Stop working on a generation."""
        work.is_stopped = True
        if work in self.batch:
            self.batch.remove(work)
        if work in self.waiting:
            self.waiting.remove(work)

    def go(self) -> None:
        """Be gone, with all streams broken off."""
        self.is_gone = True
        self.ended.set()
        for work in [*self.batch, *self.waiting]:
            work.events.close()
        self.batch.clear()
        self.waiting.clear()
        self.copies.clear()
        self._has_work.set()

    async def run(self) -> None:
        """Step until the engine is gone."""
        while not self.is_gone:
            if not self.batch and not self.waiting:
                self._has_work = trio.Event()
                await self._has_work.wait()
                continue
            self._admit()
            reading = next(
                (work for work in self.batch if not work.is_running), None
            )
            chunk = 0
            if reading is not None:
                chunk = min(self.costs.chunk_tokens, reading.unread)
            await trio.sleep(self._find_step_s(chunk))
            if self.is_gone:
                return
            self._make_tokens()
            if self.is_gone:
                return
            if reading is not None:
                reading.unread -= chunk
            self._make_room()

    def _find_step_s(self, chunk: int) -> float:
        costs = self.costs
        step_ms = costs.step_ms + costs.slot_ms * len(self.batch)
        step_ms += chunk / costs.read_tokens_per_ms
        return step_ms * self.slowness / 1000

    def _admit(self) -> None:
        planned = sum(work.all_tokens for work in self.batch)
        planned += sum(copy.tokens for copy in self.copies.values())
        while self.waiting and len(self.batch) < self.costs.slots:
            tokens = self.waiting[0].all_tokens
            if planned + tokens > self.costs.memory_tokens:
                return
            planned += tokens
            self.batch.append(self.waiting.pop(0))

    def _make_tokens(self) -> None:
        for work in list(self.batch):
            if not work.is_running:
                continue
            if work.generation.fatal_content:
                self.go()
                return
            work.made_tokens += 1
            number, rest = divmod(work.made_tokens, self.costs.event_tokens)
            if rest:
                continue
            work.events.send_nowait(number)
            if number >= work.generation.answer_events:
                self.remove(work)
                work.events.close()

    def _make_room(self) -> None:
        while self.used_tokens > self.costs.memory_tokens:
            newest = self.batch[-1]
            self.batch.remove(newest)
            self.preemptions += 1
            self.reread_tokens += newest.tokens
            newest.unread = newest.all_tokens
            self.waiting.insert(0, newest)
