"""Estimates the blocks in use, from streams and delayed engine reports.

An engine's report is out of date when it arrives. The ledger records how
many blocks this agent's streams held at each moment of the last seconds. So
it can compare a report with the moment that the report describes, and add
what has been started, generated and ended since then.
"""

import bisect
import collections
import typing

from gentianpoint_agent import admission_policy
from gentianpoint_core import ports

__all__ = ("MemoryLedger",)

_SAMPLE_MS: typing.Final = 20.0
"""Minimum time between two samples, milliseconds."""
_MAX_SAMPLES: typing.Final = 512
"""Number of samples kept."""
_MIN_PROMPT_SHARE: typing.Final = 0.05
"""Lowest estimated share of prompt blocks that use memory of their own."""
_SMOOTHING: typing.Final = 0.2
"""Weight of a report in the estimate of that share when it falls."""


class MemoryLedger:
    """Estimate of the blocks in use, corrected by each report.

    ``prompt_share`` is the estimated share of prompt blocks that use memory
    of their own, since prompts may share a prefix. ``foreign_blocks`` counts
    the blocks in use that no stream of this agent holds.
    """

    def __init__(self) -> None:
        """Start empty; the first report sets the size of blocks."""
        self._block_tokens = 0
        self._held: typing.Final[dict[admission_policy.Slot, int]] = {}
        self._total_blocks = 0
        self._prompt_blocks = 0
        self._samples: typing.Final[collections.deque[tuple[float, int]]] = (
            collections.deque(maxlen=_MAX_SAMPLES)
        )
        self._correction = 0
        self.prompt_share = 1.0
        self.foreign_blocks = 0.0

    def _count_blocks(self, tokens: int) -> int:
        return -(-tokens // self._block_tokens) if self._block_tokens else 0

    def add(self, slot: admission_policy.Slot, now_ms: float) -> None:
        """Add the blocks of a stream that starts or resumes."""
        estimate = slot.estimate
        blocks = self._count_blocks(estimate.prompt_tokens + slot.tokens + 1)
        self._held[slot] = blocks
        self._total_blocks += blocks
        self._prompt_blocks += self._count_blocks(estimate.prompt_tokens)
        self._sample(now_ms)

    def add_token(self, slot: admission_policy.Slot, now_ms: float) -> None:
        """Add a block if a stream's new token begins one."""
        if not self._block_tokens or slot not in self._held:
            return
        tokens = slot.estimate.prompt_tokens + slot.tokens
        if tokens % self._block_tokens == 0:
            self._held[slot] += 1
            self._total_blocks += 1
            self._sample(now_ms)

    def remove(self, slot: admission_policy.Slot, now_ms: float) -> None:
        """Subtract the blocks of a stream that ended or was preempted."""
        blocks = self._held.pop(slot, None)
        if blocks is not None:
            self._total_blocks -= blocks
            self._prompt_blocks -= self._count_blocks(
                slot.estimate.prompt_tokens
            )
            self._sample(now_ms)

    def _sample(self, now_ms: float) -> None:
        samples = self._samples
        if samples and now_ms - samples[-1][0] < _SAMPLE_MS:
            samples[-1] = (samples[-1][0], self._total_blocks)
        else:
            samples.append((now_ms, self._total_blocks))

    def _find_total_at(self, at_ms: float) -> int:
        samples = self._samples
        index = bisect.bisect_right(
            samples, at_ms, key=lambda sample: sample[0]
        )
        if index:
            return samples[index - 1][1]
        return samples[0][1] if samples else self._total_blocks

    def apply_report(
        self,
        load: ports.EngineLoad,
        now_ms: float,
        *,
        none_waiting: bool,
    ) -> None:
        """Compare a report with the blocks held at its time.

        ``none_waiting`` tells that no stream waits in the engine. A waiting
        stream holds no blocks, but the ledger has counted some for it. If
        that difference were taken for prompts that share a prefix,
        ``prompt_share`` would fall, and more calls would be admitted just
        when memory is short.
        """
        if load.block_tokens != self._block_tokens:
            self._rebuild(load.block_tokens)
            self._sample(now_ms)
        held_then = self._find_total_at(now_ms - load.age_ms)
        self._correction = load.blocks_used - held_then
        self.foreign_blocks = max(0.0, float(self._correction))
        if not self._prompt_blocks:
            return
        share = 1 + min(0, self._correction) / self._prompt_blocks
        share = min(max(share, _MIN_PROMPT_SHARE), 1.0)
        if share > self.prompt_share:
            self.prompt_share = share
        elif none_waiting:
            self.prompt_share += _SMOOTHING * (share - self.prompt_share)

    def _rebuild(self, block_tokens: int) -> None:
        self._block_tokens = block_tokens
        self._total_blocks = self._prompt_blocks = 0
        for slot in self._held:
            prompt_tokens = slot.estimate.prompt_tokens
            blocks = self._count_blocks(prompt_tokens + slot.tokens + 1)
            self._held[slot] = blocks
            self._total_blocks += blocks
            self._prompt_blocks += self._count_blocks(prompt_tokens)

    def estimate_used(self) -> int:
        """Return the blocks in use now: the last report, updated."""
        return max(0, self._total_blocks + self._correction)
