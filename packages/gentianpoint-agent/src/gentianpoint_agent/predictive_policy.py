"""Predictive admission: a quantile forecast of memory and a pace limit.

A call may start if the forecast peak memory of all running streams including
it fits into the engine's memory, if the pace allows one more stream, and if
nothing shows that the engine is short of memory right now. The service's
objective sets how certain the forecast must be, and how much slower than the
nearly empty engine the pace may become.
"""

from collections import abc
import typing

from gentianpoint_agent import admission_policy
from gentianpoint_agent import applied_service
from gentianpoint_agent import memory_ledger
from gentianpoint_agent import pace_limits
from gentianpoint_core import deadlines
from gentianpoint_core import ports
from gentianpoint_core.decisions import memory_forecasts

__all__ = ("PredictivePolicy",)

_MAX_RUNNING_UNREPORTED: typing.Final = 4
"""Maximum number of running calls before the engine's first report."""
_FULL_SHARE: typing.Final = 0.97
"""Share of blocks in use above which no call starts."""
_REFRESH_INTERVAL_MS: typing.Final = 100.0
"""Time after which a stream's part of the forecast is recomputed, ms."""
_PACE_WINDOW_MS: typing.Final = 500.0
"""Minimum time between two updates of the pace limit, milliseconds."""
_MAX_EXTRA_DEVIATIONS: typing.Final = 3.0
"""Maximum number of standard deviations added after preemptions."""
_UNTRAINED_DEVIATIONS: typing.Final = 1.0
"""Standard deviations added before any answer has ended."""
_TRAINING_STREAMS: typing.Final = 32
"""Number of ended answers at which a quarter of ``_UNTRAINED_DEVIATIONS`` is
still added."""
_EXTRA_DECAY: typing.Final = 0.99
"""Factor applied to the added deviations at each load report."""
_SHORTAGE_MS: typing.Final = 2000.0
"""Time in which further preemptions count as the same shortage, ms."""


class _Objective(typing.NamedTuple):
    """Limits that a service's objective sets."""

    deviations: float
    """Standard deviations above the mean for which memory must suffice.

    The deviations added after preemptions, which decay, come on top.
    """
    preemption_deviations: float
    """Standard deviations that a shortage of memory adds."""
    pace_factor: float
    """Largest ratio of the time between tokens to that of the empty engine."""


_OBJECTIVES: typing.Final[abc.Mapping[str, _Objective]] = {
    "fewest_preemptions": _Objective(1.0, 0.35, 5.0),
    "steady_pace": _Objective(0.5, 0.5, 1.8),
}
_DEFAULT_OBJECTIVE: typing.Final = "fewest_preemptions"


class PredictivePolicy(admission_policy.AdmissionPolicy):
    """Admits calls by forecast memory and measured pace."""

    def __init__(self, service: applied_service.AppliedService) -> None:
        """Follow the objective that ``service`` declares."""
        self._service: typing.Final = service
        self._load: typing.Optional[ports.EngineLoad] = None
        self._ledger: typing.Final = memory_ledger.MemoryLedger()
        self._meter: typing.Final = pace_limits.PaceMeter()
        self._pace_limit: typing.Final = pace_limits.PaceLimit()
        self._pace_updated_ms = 0.0
        self._forecast: typing.Optional[memory_forecasts.MemoryForecast] = None
        self._preempted = 0
        # True if the last report allows that one of this agent's calls is
        # still queued in the engine.
        self._may_have_queued_call = False
        self._extra_deviations = 0.0
        self._shortage_until_ms = 0.0

    def _find_objective(self) -> _Objective:
        name = self._service.spec.get("objective", _DEFAULT_OBJECTIVE)
        return _OBJECTIVES[name]

    def may_start(
        self,
        estimate: admission_policy.CallEstimate,
        running: abc.Collection[admission_policy.Slot],
    ) -> bool:
        """Return whether memory and pace allow one more call."""
        load = self._load
        if load is None:
            return len(running) < _MAX_RUNNING_UNREPORTED
        if self._is_full(load):
            return False
        if not running:
            return True
        if self._preempted or self._may_have_queued_call:
            return False
        # A call is short if its answer is very likely short.
        if not self._pace_limit.allows(
            len(running), is_short=estimate.is_short
        ):
            return False
        peak = self._refresh_forecast(running, load).find_peak_with(
            self._make_stream_memory(estimate, 0),
            self._find_deviations(estimate),
        )
        # The forecast covers this agent's streams; foreign blocks are those
        # in use that none of them holds.
        return peak + self._ledger.foreign_blocks <= load.blocks

    def _find_deviations(
        self, estimate: admission_policy.CallEstimate
    ) -> float:
        """Return the standard deviations to keep free for one more call.

        Until enough answers have ended, the forecast relies on its prior: a
        first burst of calls admitted by it would preempt one another. So
        more memory is kept free until lengths are learned.
        """
        ended = estimate.length.distribution.count_ended()
        untrained = _TRAINING_STREAMS / (_TRAINING_STREAMS + ended)
        return (
            self._find_objective().deviations
            + self._extra_deviations
            + _UNTRAINED_DEVIATIONS * untrained**2
        )

    def _is_full(self, load: ports.EngineLoad) -> bool:
        return self._ledger.estimate_used() >= _FULL_SHARE * load.blocks

    def _make_stream_memory(
        self, estimate: admission_policy.CallEstimate, tokens: int
    ) -> memory_forecasts.StreamMemory:
        share = self._ledger.prompt_share
        return memory_forecasts.StreamMemory(
            estimate.length.distribution,
            int(estimate.prompt_tokens * share),
            tokens,
            estimate.max_tokens,
        )

    def _refresh_forecast(
        self,
        running: abc.Collection[admission_policy.Slot],
        load: ports.EngineLoad,
    ) -> memory_forecasts.MemoryForecast:
        """Return the forecast after recomputing its oldest parts.

        Starts and ends change the forecast at once. The tokens that a stream
        has generated since its part was computed make its remaining length a
        little longer than counted, so all parts are recomputed in turn.
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
        stream = self._make_stream_memory(slot.estimate, slot.tokens)
        forecast.add(slot, stream, now_ms + _REFRESH_INTERVAL_MS)

    def note_start(self, slot: admission_policy.Slot) -> None:
        """Add the call to the ledger and the forecast."""
        self._ledger.add(slot, slot.started_ms)
        if self._forecast is not None:
            self._add_to(self._forecast, slot, slot.started_ms)

    def note_token(
        self, slot: admission_policy.Slot, gap_ms: typing.Optional[float]
    ) -> None:
        """Count the token's block and the time since the last token."""
        now_ms = deadlines.read_clock_ms()
        if slot.preempted:
            self._preempted -= 1
            self._ledger.add(slot, now_ms)
        else:
            self._ledger.add_token(slot, now_ms)
        if gap_ms is not None:
            self._meter.note_gap(gap_ms)

    def note_preemption(self, slot: admission_policy.Slot) -> None:
        """Keep more memory free, since the forecast was too low.

        An engine that runs out of memory preempts several streams one after
        another. Counted one by one they would make one low forecast look
        like many, and calls would wait although memory stays free long
        after. So preemptions within a short time count once.
        """
        now_ms = deadlines.read_clock_ms()
        self._preempted += 1
        self._ledger.remove(slot, now_ms)
        if now_ms < self._shortage_until_ms:
            return
        self._shortage_until_ms = now_ms + _SHORTAGE_MS
        extra = (
            self._extra_deviations
            + self._find_objective().preemption_deviations
        )
        self._extra_deviations = min(_MAX_EXTRA_DEVIATIONS, extra)

    def note_release(self, slot: admission_policy.Slot) -> None:
        """Remove the call from the ledger and the forecast."""
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
        """Correct the ledger and update the pace limit."""
        now_ms = deadlines.read_clock_ms()
        last = self._load
        if last is not None and _is_changed(last, load):
            self._pace_limit.reset()
            self._meter.clear()
        self._load = load
        none_waiting = not load.waiting and not self._preempted
        self._ledger.apply_report(load, now_ms, none_waiting=none_waiting)
        self._may_have_queued_call = load.waiting > 0 and any(
            slot.tokens == 0 and slot.started_ms < now_ms - load.age_ms
            for slot in running
        )
        self._extra_deviations *= _EXTRA_DECAY
        if now_ms - self._pace_updated_ms >= _PACE_WINDOW_MS:
            self._update_pace_limit(len(running), now_ms)

    def _update_pace_limit(self, running: int, now_ms: float) -> None:
        pace = self._meter.close_window()
        if pace is not None:
            self._pace_updated_ms = now_ms
            factor = self._find_objective().pace_factor
            self._pace_limit.update(pace, running, factor)

    def predict_memory(
        self, running: abc.Collection[admission_policy.Slot]
    ) -> typing.Optional[float]:
        """Return the forecast peak of the running set."""
        load = self._load
        if load is None or not load.blocks:
            return None
        deviations = self._find_objective().deviations + self._extra_deviations
        peak = self._refresh_forecast(running, load).find_peak(deviations)
        return (peak + self._ledger.foreign_blocks) / load.blocks


def _is_changed(last: ports.EngineLoad, load: ports.EngineLoad) -> bool:
    """Return whether the engine was restarted or holds another model."""
    return (last.boot, last.model, last.adapter, last.version) != (
        load.boot,
        load.model,
        load.adapter,
        load.version,
    )
