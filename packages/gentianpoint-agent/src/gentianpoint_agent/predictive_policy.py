"""Our policy: memory forecast at a quantile, and a limit by pace.

A call may start when the forecast peak of all running streams with it stays
under the engine's memory, when the pace allows one more, and when nothing
tells that the engine is short of memory right now. The service's objective
says how sure the forecast must be and how much slower than the empty engine
the pace may get.
"""

from collections import abc
import typing

from gentianpoint_agent import admission_policy
from gentianpoint_agent import applied_service
from gentianpoint_agent import memory_forecasts
from gentianpoint_agent import memory_ledger
from gentianpoint_agent import pace_limits
from gentianpoint_core import deadlines
from gentianpoint_core import ports

__all__ = ("PredictivePolicy",)

_BLIND_RUNNING: typing.Final = 4
_NEARLY_OUT: typing.Final = 0.97
_RENEWED_EACH_MS: typing.Final = 100.0
_WINDOW_MS: typing.Final = 500.0
_MOST_CAUTION: typing.Final = 3.0
_UNLEARNED_DEVIATIONS: typing.Final = 1.0
_LEARNING_STREAMS: typing.Final = 32
_CAUTION_KEPT: typing.Final = 0.99
_SHORTAGE_MS: typing.Final = 2000.0


class _Objective(typing.NamedTuple):
    """What a service's objective makes of the limits."""

    deviations: float
    """Standard deviations over the mean that the memory must hold.

    Caution that grows with each preemption and fades comes on top.
    """
    caution_step: float
    """Standard deviations that a preemption adds."""
    pace_factor: float
    """How much slower than the empty engine tokens may come."""


_OBJECTIVES: typing.Final[abc.Mapping[str, _Objective]] = {
    "fewest_preemptions": _Objective(1.0, 0.35, 5.0),
    "steady_pace": _Objective(0.5, 0.5, 1.8),
}
_DEFAULT_OBJECTIVE: typing.Final = "fewest_preemptions"


class PredictivePolicy(admission_policy.AdmissionPolicy):
    """Admits by forecast memory and measured pace."""

    def __init__(self, service: applied_service.AppliedService) -> None:
        """Follow the objective that ``service`` declares."""
        self._service: typing.Final = service
        self._load: typing.Optional[ports.EngineLoad] = None
        self._ledger: typing.Final = memory_ledger.MemoryLedger()
        self._meter: typing.Final = pace_limits.PaceMeter()
        self._pace: typing.Final = pace_limits.PaceLimit()
        self._window_ms = 0.0
        self._forecast: typing.Optional[memory_forecasts.MemoryForecast] = None
        self._preempted = 0
        self._stuck = False
        self._caution = 0.0
        self._shortage_until_ms = 0.0

    def _find_objective(self) -> _Objective:
        name = self._service.spec.get("objective", _DEFAULT_OBJECTIVE)
        return _OBJECTIVES[name]

    def may_start(
        self,
        estimate: admission_policy.CallEstimate,
        running: abc.Collection[admission_policy.Slot],
    ) -> bool:
        """Tell whether memory and pace allow one more call."""
        load = self._load
        if load is None:
            return len(running) < _BLIND_RUNNING
        if self._is_nearly_out(load):
            return False
        if not running:
            return True
        if self._preempted or self._stuck:
            return False
        if not self._pace.allows(len(running), is_short=estimate.is_short):
            return False
        peak = self._read_forecast(running, load).find_peak_with(
            self._describe(estimate, 0), self._find_deviations(estimate)
        )
        return peak + self._ledger.foreign_blocks <= load.blocks

    def _find_deviations(
        self, estimate: admission_policy.CallEstimate
    ) -> float:
        """Return the standard deviations to keep free for one more call.

        While few answers have been seen to end, the forecast itself is a
        guess: a first burst of calls would be admitted on it and preempt
        one another. So more is kept free until lengths are learned.
        """
        known = estimate.length.distribution.count_known()
        unlearned = _LEARNING_STREAMS / (_LEARNING_STREAMS + known)
        return (
            self._find_objective().deviations
            + self._caution
            + _UNLEARNED_DEVIATIONS * unlearned**2
        )

    def _is_nearly_out(self, load: ports.EngineLoad) -> bool:
        return self._ledger.estimate_used() >= _NEARLY_OUT * load.blocks

    def _describe(
        self, estimate: admission_policy.CallEstimate, tokens: int
    ) -> memory_forecasts.StreamMemory:
        share = self._ledger.prompt_share
        return memory_forecasts.StreamMemory(
            estimate.length.distribution,
            int(estimate.prompt_tokens * share),
            tokens,
            estimate.max_tokens,
        )

    def _read_forecast(
        self,
        running: abc.Collection[admission_policy.Slot],
        load: ports.EngineLoad,
    ) -> memory_forecasts.MemoryForecast:
        """Return the forecast, with what the oldest streams brought since.

        Starts and ends are in it as they come. What a stream has brought
        since it was last read makes its rest a little longer than counted,
        so all are read again in turn.
        """
        now_ms = deadlines.read_clock_ms()
        forecast = self._forecast
        if forecast is None or forecast.block_tokens != load.block_tokens:
            forecast = memory_forecasts.MemoryForecast(load.block_tokens)
            self._forecast = forecast
            for slot in running:
                self._add_to(forecast, slot, now_ms)
            return forecast
        for key in forecast.list_due(now_ms):
            forecast.remove(key)
            if isinstance(key, admission_policy.Slot):
                self._add_to(forecast, key, now_ms)
        return forecast

    def _add_to(
        self,
        forecast: memory_forecasts.MemoryForecast,
        slot: admission_policy.Slot,
        now_ms: float,
    ) -> None:
        stream = self._describe(slot.estimate, slot.tokens)
        forecast.add(slot, stream, now_ms + _RENEWED_EACH_MS)

    def note_start(self, slot: admission_policy.Slot) -> None:
        """Add the call to forecast and ledger."""
        self._ledger.add(slot, slot.started_ms)
        if self._forecast is not None:
            self._add_to(self._forecast, slot, slot.started_ms)

    def note_token(
        self, slot: admission_policy.Slot, gap_ms: typing.Optional[float]
    ) -> None:
        """Count the token's block and its gap."""
        now_ms = deadlines.read_clock_ms()
        if slot.preempted:
            self._preempted -= 1
            self._ledger.add(slot, now_ms)
        else:
            self._ledger.grow(slot, now_ms)
        if gap_ms is not None:
            self._meter.note_gap(gap_ms)

    def note_preemption(self, slot: admission_policy.Slot) -> None:
        """Grow more cautious: the forecast was too low.

        An engine that is out of memory preempts several streams one after
        another. Counted one by one they would make one low forecast look
        like many, and calls would wait before memory that stays empty for
        long after; so those of a short while count once.
        """
        now_ms = deadlines.read_clock_ms()
        self._preempted += 1
        self._ledger.remove(slot, now_ms)
        if now_ms < self._shortage_until_ms:
            return
        self._shortage_until_ms = now_ms + _SHORTAGE_MS
        more = self._caution + self._find_objective().caution_step
        self._caution = min(_MOST_CAUTION, more)

    def note_release(self, slot: admission_policy.Slot) -> None:
        """Take the call out of ledger and forecast."""
        if slot.preempted:
            self._preempted -= 1
        self._ledger.remove(slot, deadlines.read_clock_ms())
        if self._forecast is not None:
            self._forecast.remove(slot)

    def note_load(
        self,
        load: ports.EngineLoad,
        running: abc.Collection[admission_policy.Slot],
    ) -> None:
        """Correct the ledger and follow the pace."""
        now_ms = deadlines.read_clock_ms()
        last = self._load
        if last is not None and _is_changed(last, load):
            self._pace.forget()
            self._meter.clear()
        self._load = load
        all_admitted = not load.waiting and not self._preempted
        self._ledger.take_report(load, now_ms, all_admitted=all_admitted)
        self._stuck = load.waiting > 0 and any(
            slot.tokens == 0 and slot.started_ms < now_ms - load.age_ms
            for slot in running
        )
        self._caution *= _CAUTION_KEPT
        if now_ms - self._window_ms >= _WINDOW_MS:
            self._follow_pace(len(running), now_ms)

    def _follow_pace(self, running: int, now_ms: float) -> None:
        pace = self._meter.close_window()
        if pace is not None:
            self._window_ms = now_ms
            factor = self._find_objective().pace_factor
            self._pace.update(pace, running, factor)

    def predict_memory(
        self, running: abc.Collection[admission_policy.Slot]
    ) -> typing.Optional[float]:
        """Return the forecast peak of the running set."""
        load = self._load
        if load is None or not load.blocks:
            return None
        deviations = self._find_objective().deviations + self._caution
        peak = self._read_forecast(running, load).find_peak(deviations)
        return (peak + self._ledger.foreign_blocks) / load.blocks


def _is_changed(last: ports.EngineLoad, load: ports.EngineLoad) -> bool:
    return (last.boot, last.model, last.adapter, last.version) != (
        load.boot,
        load.model,
        load.adapter,
        load.version,
    )
