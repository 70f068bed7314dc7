"""Blocks that the running streams hold, and what a late report says of it.

The engine's report is old when it comes. The ledger keeps what this agent's
streams held at each moment of the last seconds, so that a report can be
compared with the moment it speaks of and carried forward to now by what was
started, generated and ended since.
"""

import bisect
import collections
import typing

from gentianpoint_agent import admission_policy
from gentianpoint_core import ports

__all__ = ("MemoryLedger",)

_SAMPLE_MS: typing.Final = 20.0
_SAMPLES: typing.Final = 512
_LEAST_PROMPT_SHARE: typing.Final = 0.05
_LEARN_SHARE: typing.Final = 0.2


class MemoryLedger:
    """Own estimate of blocks in use, corrected by each report."""

    def __init__(self) -> None:
        """Hold nothing; the size of blocks comes with the first report."""
        self._block_tokens = 0
        self._held: typing.Final[dict[admission_policy.Slot, int]] = {}
        self._total = 0
        self._prompts = 0
        self._samples: typing.Final[collections.deque[tuple[float, int]]] = (
            collections.deque(maxlen=_SAMPLES)
        )
        self._correction = 0
        self.prompt_share = 1.0
        self.foreign_blocks = 0.0

    def _count_blocks(self, tokens: int) -> int:
        return -(-tokens // self._block_tokens) if self._block_tokens else 0

    def add(self, slot: admission_policy.Slot, now_ms: float) -> None:
        """Count the blocks of a stream that starts or comes back."""
        estimate = slot.estimate
        blocks = self._count_blocks(estimate.prompt_tokens + slot.tokens + 1)
        self._held[slot] = blocks
        self._total += blocks
        self._prompts += self._count_blocks(estimate.prompt_tokens)
        self._sample(now_ms)

    def grow(self, slot: admission_policy.Slot, now_ms: float) -> None:
        """Count the block that a token began, if it did."""
        if not self._block_tokens or slot not in self._held:
            return
        tokens = slot.estimate.prompt_tokens + slot.tokens
        if tokens % self._block_tokens == 0:
            self._held[slot] += 1
            self._total += 1
            self._sample(now_ms)

    def remove(self, slot: admission_policy.Slot, now_ms: float) -> None:
        """Give back the blocks of a stream that ended or was preempted."""
        blocks = self._held.pop(slot, None)
        if blocks is not None:
            self._total -= blocks
            self._prompts -= self._count_blocks(slot.estimate.prompt_tokens)
            self._sample(now_ms)

    def _sample(self, now_ms: float) -> None:
        samples = self._samples
        if samples and now_ms - samples[-1][0] < _SAMPLE_MS:
            samples[-1] = (samples[-1][0], self._total)
        else:
            samples.append((now_ms, self._total))

    def _read_total_at(self, at_ms: float) -> int:
        samples = self._samples
        place = bisect.bisect_right(samples, at_ms, key=lambda row: row[0])
        if place:
            return samples[place - 1][1]
        return samples[0][1] if samples else self._total

    def take_report(
        self,
        load: ports.EngineLoad,
        now_ms: float,
        *,
        all_admitted: bool,
    ) -> None:
        """Compare a report with what was held at its time.

        ``all_admitted`` tells that no stream waits in the engine. Streams
        that wait hold nothing, and to take that for shared prompts would
        admit more just when memory is out.
        """
        if load.block_tokens != self._block_tokens:
            self._rebuild(load.block_tokens)
            self._sample(now_ms)
        held_then = self._read_total_at(now_ms - load.age_ms)
        self._correction = load.blocks_used - held_then
        self.foreign_blocks = max(0.0, float(self._correction))
        if not self._prompts:
            return
        share = 1 + min(0, self._correction) / self._prompts
        share = min(max(share, _LEAST_PROMPT_SHARE), 1.0)
        if share > self.prompt_share:
            self.prompt_share = share
        elif all_admitted:
            self.prompt_share += _LEARN_SHARE * (share - self.prompt_share)

    def _rebuild(self, block_tokens: int) -> None:
        self._block_tokens = block_tokens
        self._total = self._prompts = 0
        for slot in self._held:
            prompt = slot.estimate.prompt_tokens
            blocks = self._count_blocks(prompt + slot.tokens + 1)
            self._held[slot] = blocks
            self._total += blocks
            self._prompts += self._count_blocks(prompt)

    def estimate_used(self) -> int:
        """Return the blocks in use now: the last report carried forward."""
        return max(0, self._total + self._correction)
