"""An engine on a virtual clock: a batch that steps, and its memory.

All that run gain a token in each step; one prompt at a time is read in chunks
between the steps, which makes those steps longer. More urgent generations are
admitted first, and take the memory of the newest of the least urgent ones if
there is no room. When memory runs out, the newest of the least urgent gives
its memory up. What gives its memory up is read again.
"""

from collections import abc
import math
import typing

import trio

from bench.replay import links
from bench.replay import shapes
from bench.replay import slowness
from gentianpoint_core.decisions import engine_pace
from gentianpoint_core.decisions import engine_urgency
from gentianpoint_core.decisions import room_book

__all__ = ("Copy", "Engine", "Work")


class Work:
    """One generation at one engine."""

    def __init__(
        self,
        generation: shapes.Generation,
        made_tokens: int,
        has_read: int,
        urgency: int = engine_urgency.DEFAULT_URGENCY,
    ) -> None:
        """Start with what is made and read already."""
        self.generation: typing.Final = generation
        self.urgency: typing.Final = urgency
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
        slow: slowness.Slowness = slowness.EVEN,
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
        # What the agent beside it learns from its status.
        self.pace: typing.Final = engine_pace.EnginePace()
        self.room: typing.Final = room_book.RoomBook()
        self._slowness: typing.Final = slow
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
            self._queue(work, is_first=False)
        self._has_work.set()

    def _queue(self, work: Work, *, is_first: bool) -> None:
        """Queue a generation, first or last among the equally urgent.

        One that has lost its memory must not go before a more urgent one that
        waits for it: it would take the memory back at once.
        """
        place = sum(
            other.urgency < work.urgency
            or (not is_first and other.urgency == work.urgency)
            for other in self.waiting
        )
        self.waiting.insert(place, work)

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
        factor = self._slowness.find_factor(
            trio.current_time(), self.used_tokens / costs.memory_tokens
        )
        return step_ms * factor / 1000

    def _admit(self) -> None:
        while self.waiting:
            first = self.waiting[0]
            if not self._fits(first, self.batch):
                staying = [
                    work
                    for work in self.batch
                    if work.urgency <= first.urgency
                ]
                if not self._fits(first, staying):
                    return
                while not self._fits(first, self.batch):
                    self._preempt(self._find_victim())
            self.waiting.remove(first)
            self.batch.append(first)

    def _fits(self, work: Work, batch: abc.Sequence[Work]) -> bool:
        """Tell whether a generation can be admitted beside ``batch``."""
        planned = sum(other.all_tokens for other in batch)
        planned += sum(copy.tokens for copy in self.copies.values())
        has_memory = planned + work.all_tokens <= self.costs.memory_tokens
        return has_memory and len(batch) < self.costs.slots

    def _find_victim(self) -> Work:
        """Return the newest of the least urgent generations."""
        least = max(work.urgency for work in self.batch)
        return next(
            work for work in reversed(self.batch) if work.urgency == least
        )

    def _preempt(self, work: Work) -> None:
        self.batch.remove(work)
        self.preemptions += 1
        self.reread_tokens += work.tokens
        work.unread = work.all_tokens
        self._queue(work, is_first=True)

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
            self._preempt(self._find_victim())
