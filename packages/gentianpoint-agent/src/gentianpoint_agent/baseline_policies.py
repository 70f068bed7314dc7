"""Plain ways to admit, which our policy is measured against."""

from collections import abc
import typing

from gentianpoint_agent import admission_policy
from gentianpoint_core import ports

__all__ = (
    "FixedPolicy",
    "ReserveMaximumPolicy",
    "ReserveMeanPolicy",
    "UnlimitedPolicy",
)

_UNLIMITED_TOKENS: typing.Final = 8192
_SHARE: typing.Final = 0.02


class _PlainPolicy(admission_policy.AdmissionPolicy):
    """Takes note of nothing and predicts nothing."""

    def note_start(self, slot: admission_policy.Slot) -> None:
        """Do nothing."""

    def note_token(
        self, slot: admission_policy.Slot, gap_ms: typing.Optional[float]
    ) -> None:
        """Do nothing."""

    def note_preemption(self, slot: admission_policy.Slot) -> None:
        """Do nothing."""

    def note_release(self, slot: admission_policy.Slot) -> None:
        """Do nothing."""

    def note_load(
        self,
        load: ports.EngineLoad,
        running: abc.Collection[admission_policy.Slot],
    ) -> None:
        """Do nothing."""

    def predict_memory(
        self, running: abc.Collection[admission_policy.Slot]
    ) -> typing.Optional[float]:
        """Return None."""
        return None


class UnlimitedPolicy(_PlainPolicy):
    """Lets every call start; the engine queues and preempts."""

    def may_start(
        self,
        estimate: admission_policy.CallEstimate,
        running: abc.Collection[admission_policy.Slot],
    ) -> bool:
        """Return True."""
        return True


class FixedPolicy(_PlainPolicy):
    """Lets a fixed number of calls run."""

    def __init__(self, limit: int) -> None:
        """Let ``limit`` calls run."""
        self._limit: typing.Final = limit

    def may_start(
        self,
        estimate: admission_policy.CallEstimate,
        running: abc.Collection[admission_policy.Slot],
    ) -> bool:
        """Tell whether fewer calls run than may."""
        return len(running) < self._limit


class _ReservePolicy(_PlainPolicy):
    """Reserves blocks for each call while it runs."""

    def __init__(self) -> None:
        self._load: typing.Optional[ports.EngineLoad] = None

    def _reserve_tokens(
        self, estimate: admission_policy.CallEstimate
    ) -> float:
        raise NotImplementedError

    def _reserve_blocks(
        self, estimate: admission_policy.CallEstimate, block_tokens: int
    ) -> float:
        tokens = estimate.prompt_tokens + self._reserve_tokens(estimate)
        return -(-tokens // block_tokens)

    def may_start(
        self,
        estimate: admission_policy.CallEstimate,
        running: abc.Collection[admission_policy.Slot],
    ) -> bool:
        """Tell whether all reservations fit the memory."""
        load = self._load
        if load is None or not running:
            return not running
        reserved = sum(
            self._reserve_blocks(slot.estimate, load.block_tokens)
            for slot in running
        )
        wanted = self._reserve_blocks(estimate, load.block_tokens)
        return reserved + wanted <= load.blocks

    def note_load(
        self,
        load: ports.EngineLoad,
        running: abc.Collection[admission_policy.Slot],
    ) -> None:
        """Learn the size of the memory."""
        self._load = load


class ReserveMaximumPolicy(_ReservePolicy):
    """Reserves the most tokens that a call may bring."""

    def _reserve_tokens(
        self, estimate: admission_policy.CallEstimate
    ) -> float:
        return estimate.max_tokens or _UNLIMITED_TOKENS


class ReserveMeanPolicy(_ReservePolicy):
    """Reserves the mean length of the service's answers so far."""

    def __init__(self) -> None:
        """Begin with the length that calls without a limit may have."""
        super().__init__()
        self._mean = float(_UNLIMITED_TOKENS)
        self._calls = 0

    def _reserve_tokens(
        self, estimate: admission_policy.CallEstimate
    ) -> float:
        return self._mean

    def note_release(self, slot: admission_policy.Slot) -> None:
        """Follow the mean."""
        self._calls += 1
        share = max(_SHARE, 1 / self._calls)
        self._mean += share * (slot.tokens - self._mean)
