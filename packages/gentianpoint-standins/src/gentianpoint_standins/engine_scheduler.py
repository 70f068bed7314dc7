"""Continuous batching: which streams run in each step of an engine.

A step computes a bounded number of prompt tokens and one token for each
stream whose prompt is done. When a stream needs a block and none is left,
the stream of lowest priority that came last is preempted: its blocks are
free, and when it comes back its prompt and the tokens so far are computed
again.
"""

import bisect
from collections import abc
import typing

from gentianpoint_standins import engine_memory
from gentianpoint_standins import engine_streams

__all__ = ("Scheduler", "SchedulerFigures", "SchedulerLimits")


class SchedulerLimits(typing.NamedTuple):
    """Sizes and costs of an engine."""

    blocks: int = 4096
    """Blocks of cache memory."""
    block_tokens: int = 16
    """Tokens that a block holds."""
    max_running: int = 64
    """Most streams in the batch."""
    max_waiting: int = 256
    """Most streams that wait."""
    step_ms: float = 10.0
    """Time of a step without streams, milliseconds."""
    stream_ms: float = 0.15
    """Time that each running stream adds to a step, milliseconds."""
    prefill_ms: float = 0.02
    """Time that each prompt token computed adds to a step, milliseconds."""
    prefill_tokens: int = 512
    """Most prompt tokens computed in a step."""


class SchedulerFigures(typing.NamedTuple):
    """What an engine reports of its batch."""

    blocks_used: int
    """Blocks held by streams."""
    running: int
    """Streams in the batch."""
    waiting: int
    """Streams that wait."""
    preemptions: int
    """Preemptions since the start."""
    redone_tokens: int
    """Tokens computed again after preemptions."""


class Scheduler:
    """The batch, the queue and the memory of one engine."""

    def __init__(self, limits: SchedulerLimits) -> None:
        """Schedule within ``limits``."""
        self._limits: typing.Final = limits
        self.memory: typing.Final = engine_memory.BlockMemory(
            limits.blocks, limits.block_tokens
        )
        self._running: list[engine_streams.EngineStream] = []
        self._waiting: typing.Final[list[engine_streams.EngineStream]] = []
        self._preemptions = 0
        self._redone_tokens = 0
        self._decoding: list[engine_streams.EngineStream] = []
        self._ended: list[engine_streams.EngineStream] = []
        self.tokens = 0

    def figures(self) -> SchedulerFigures:
        """Return the figures of this moment."""
        return SchedulerFigures(
            self.memory.count_used(),
            len(self._running),
            len(self._waiting),
            self._preemptions,
            self._redone_tokens,
        )

    def has_work(self) -> bool:
        """Tell whether there is a stream to run."""
        return bool(self._running or self._waiting)

    def is_full(self) -> bool:
        """Tell whether the queue takes no more."""
        return len(self._waiting) >= self._limits.max_waiting

    def fits(self, stream: engine_streams.EngineStream) -> bool:
        """Tell whether an empty engine could run the stream's next token."""
        needed = self.memory.count_prompt_blocks(
            len(stream.digests), stream.own_tokens() + 1
        )
        return needed <= self.memory.blocks

    def add(self, stream: engine_streams.EngineStream) -> None:
        """Queue a new stream."""
        self._queue(stream)

    def _queue(self, stream: engine_streams.EngineStream) -> None:
        bisect.insort(
            self._waiting, stream, key=engine_streams.EngineStream.rank
        )

    def streams(self) -> abc.Sequence[engine_streams.EngineStream]:
        """Return the streams that run or wait."""
        return [*self._running, *self._waiting]

    def remove(self, stream: engine_streams.EngineStream) -> None:
        """Take a stream out, wherever it is."""
        if stream in self._running:
            self._running.remove(stream)
            self._release(stream)
        elif stream in self._waiting:
            self._waiting.remove(stream)

    def begin_step(self) -> float:
        """Choose what the next step computes; return its milliseconds."""
        self._admit_waiting()
        prefilled = self._prefill()
        self._decoding = self._reserve_blocks()
        return (
            self._limits.step_ms
            + self._limits.stream_ms * len(self._running)
            + self._limits.prefill_ms * prefilled
        )

    def finish_step(self) -> list[engine_streams.EngineStream]:
        """Generate the step's tokens; return the streams that ended."""
        for stream in self._decoding:
            # A stream that was cancelled during the step is over already.
            if stream.is_over():
                continue
            stream.add_token()
            self.tokens += 1
            if stream.generated >= stream.limit:
                self._end(stream, stream.limit_end)
        self._decoding = []
        ended = self._ended
        self._ended = []
        return ended

    def _end(self, stream: engine_streams.EngineStream, end: str) -> None:
        self.remove(stream)
        stream.add_end(end)
        self._ended.append(stream)

    def _release(self, stream: engine_streams.EngineStream) -> None:
        self.memory.free_blocks(stream.own_blocks)
        self.memory.release_chunks(stream.digests)
        stream.own_blocks = 0

    def _admit_waiting(self) -> None:
        while self._waiting and len(self._running) < self._limits.max_running:
            stream = self._waiting[0]
            if not self.fits(stream):
                self._end(stream, "length")
                continue
            # Room for the next token too: without it the stream would be
            # preempted again in the same step, over and over, and the
            # batch would compute nothing but its prompt.
            held = self.memory.take_chunks(
                stream.digests, stream.own_tokens() + 1
            )
            if held is None:
                return
            del self._waiting[0]
            self._running.append(stream)
            self._begin_prefill(stream, held)

    def _begin_prefill(
        self, stream: engine_streams.EngineStream, held: int
    ) -> None:
        stream.own_blocks = self.memory.count_blocks(stream.own_tokens() + 1)
        stream.prefill_left = (
            stream.prompt_tokens
            + stream.generated
            - held * engine_memory.CHUNK_TOKENS
        )
        if stream.preempted_before:
            self._redone_tokens += stream.prefill_left

    def _prefill(self) -> int:
        budget = self._limits.prefill_tokens
        for stream in self._running:
            computed = min(budget, stream.prefill_left)
            stream.prefill_left -= computed
            budget -= computed
        return self._limits.prefill_tokens - budget

    def _reserve_blocks(self) -> list[engine_streams.EngineStream]:
        decoding = []
        for stream in sorted(
            self._running, key=engine_streams.EngineStream.rank
        ):
            # A stream that an earlier one of this loop preempted is out.
            if stream.prefill_left or stream not in self._running:
                continue
            if self._reserve_block(stream):
                decoding.append(stream)
        return [stream for stream in decoding if stream in self._running]

    def _reserve_block(self, stream: engine_streams.EngineStream) -> bool:
        """Make room for the next token; False if the stream had to go."""
        needed = self.memory.count_blocks(stream.own_tokens() + 1)
        while needed > stream.own_blocks:
            if self.memory.take_blocks(1):
                stream.own_blocks += 1
                continue
            if len(self._running) == 1:
                self._end(stream, "length")
                return False
            victim = max(self._running, key=engine_streams.EngineStream.rank)
            self._preempt(victim)
            if victim is stream:
                return False
        return True

    def _preempt(self, victim: engine_streams.EngineStream) -> None:
        self._running.remove(victim)
        self._release(victim)
        self._queue(victim)
        self._preemptions += 1
        victim.add_preemption()
