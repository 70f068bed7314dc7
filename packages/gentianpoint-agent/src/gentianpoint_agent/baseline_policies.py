"""Simple admission policies, used as baselines for the predictive one."""

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

_DEFAULT_MAX_TOKENS: typing.Final = 8192
"""Assumed maximum length of an answer without a limit, in tokens."""
_MIN_SMOOTHING: typing.Final = 0.02
"""Minimum weight of a new length in the mean of lengths."""


class _BaselinePolicy(admission_policy.AdmissionPolicy):
    """Base of the baselines: ignores all events and predicts nothing."""

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


class UnlimitedPolicy(_BaselinePolicy):
    """Lets every call start; the engine itself queues and preempts."""

    def may_start(
        self,
        estimate: admission_policy.CallEstimate,
        running: abc.Collection[admission_policy.Slot],
    ) -> bool:
        """Return True."""
        return True


class FixedPolicy(_BaselinePolicy):
    """Lets a fixed number of calls run."""

    def __init__(self, limit: int) -> None:
        """Let ``limit`` calls run."""
        self._limit: typing.Final = limit

    def may_start(
        self,
        estimate: admission_policy.CallEstimate,
        running: abc.Collection[admission_policy.Slot],
    ) -> bool:
        """Return whether fewer calls run than the limit."""
        return len(running) < self._limit


class _ReservePolicy(_BaselinePolicy):
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
        """Return whether all reservations fit into the engine's memory."""
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
        """Record the size of the engine's memory."""
        self._load = load


class ReserveMaximumPolicy(_ReservePolicy):
    """Reserves the maximum number of tokens that a call may generate."""

    def _reserve_tokens(
        self, estimate: admission_policy.CallEstimate
    ) -> float:
        return estimate.max_tokens or _DEFAULT_MAX_TOKENS


class ReserveMeanPolicy(_ReservePolicy):
    """Reserves the moving average of the lengths of ended answers."""

    def __init__(self) -> None:
        """Start with the assumed maximum length as the mean."""
        super().__init__()
        self._mean = float(_DEFAULT_MAX_TOKENS)
        self._calls = 0

    def _reserve_tokens(
        self, estimate: admission_policy.CallEstimate
    ) -> float:
        return self._mean

    def note_release(self, slot: admission_policy.Slot) -> None:
        """Update the mean with the call's length."""
        self._calls += 1
        share = max(_MIN_SMOOTHING, 1 / self._calls)
        self._mean += share * (slot.tokens - self._mean)
