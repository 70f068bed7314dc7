"""Trials of admission policies on a virtual clock.

``python -m bench.admission_trials --seeds 3`` runs the agent's admission with
the stand-in engine's scheduler in one process, on a clock that jumps from
event to event, so that a busy machine changes no figure. All policies get
the same arrivals and lengths, as an open loop. Runs of one seed still differ
a little, since trio runs tasks that are ready in random order. What crosses
the network in truth (late tokens, lost links, several entries) is left out,
so these are trials beside the experiments with real processes, not instead.

The engine's sizes differ from one variant to the next; the policies see
streams, late load reports and nothing else.
"""

import argparse
from collections import abc
import functools
import json
import random
import statistics
import sys
import typing

import numpy
import trio
import trio.testing

from gentianpoint_agent import admission
from gentianpoint_agent import admission_policy
from gentianpoint_agent import baseline_policies
from gentianpoint_agent import predictive_policy
from gentianpoint_agent import service_in_force
from gentianpoint_core import deadlines
from gentianpoint_core import errors
from gentianpoint_core import ports
from gentianpoint_standins import engine_scheduler
from gentianpoint_standins import engine_streams

_RUN_S: typing.Final = 150.0
_WARM_S: typing.Final = 30.0
_REPORT_S: typing.Final = 0.2
_DEADLINE_MS: typing.Final = 20_000
_LIMIT_TOKENS: typing.Final = 4000
_CUSTOMERS: typing.Final = 12
_STALL_FACTOR: typing.Final = 2.0
_PREEMPTED: typing.Final = b'{"preempted":true}\n'
_TOKEN: typing.Final = b'{"n":'
_POLICIES: typing.Final = (
    "none",
    "fixed",
    "reserve_maximum",
    "reserve_mean",
    "predictive",
)


class Variant(typing.NamedTuple):
    """An engine and the load on it."""

    name: str
    """Name in the table."""
    objective: str
    """Objective of the service."""
    limits: engine_scheduler.SchedulerLimits
    """Sizes and costs of the engine."""
    lag_s: float
    """Age of its load reports, seconds."""
    calls_a_second: float
    """Arrivals."""
    short_share: float
    """Share of calls with short answers."""
    long_mean: float
    """Mean length of the other answers, tokens."""
    drift: float = 1.0
    """Factor on long answers in the second half of the run."""


_ENGINE: typing.Final = engine_scheduler.SchedulerLimits(blocks=1400)
_SLOW: typing.Final = engine_scheduler.SchedulerLimits(
    blocks=2000, step_ms=20.0, stream_ms=0.5
)
VARIANTS: typing.Final = (
    Variant("reports", "fewest_preemptions", _ENGINE, 0.2, 3.0, 0.0, 600.0),
    Variant("reports x1.3", "fewest_preemptions", _ENGINE, 0.2, 4.5, 0, 600.0),
    Variant("drift", "fewest_preemptions", _ENGINE, 0.2, 3.0, 0.0, 400.0, 2.0),
    Variant("mixed", "steady_pace", _ENGINE, 0.2, 14.0, 0.8, 600.0),
    Variant("mixed x1.3", "steady_pace", _ENGINE, 0.2, 20.0, 0.8, 600.0),
    Variant("mixed, slow", "steady_pace", _SLOW, 0.6, 9.0, 0.8, 600.0),
)


class TrialFigures(typing.NamedTuple):
    """What callers got from one run, its first seconds left out."""

    preemptions: int
    """Preemptions of the engine."""
    redone_tokens: int
    """Tokens computed again."""
    stall_ms_a_call: float
    """Time beyond twice the usual gap, for a call that started."""
    slow_gap_ms: float
    """99th percentile of the time between tokens."""
    first_token_s: float
    """Median time to the first token of calls that got one."""
    slow_first_token_s: float
    """99th percentile of it."""
    tokens_a_second: float
    """Tokens delivered to callers."""
    refused_share: float
    """Calls refused."""
    least_share: float
    """Least fair customer: its share of calls answered over the mean one."""


class _Caller(typing.NamedTuple):
    """One call of the load."""

    at: float
    customer: str
    prompt: str
    length: int


def make_load(variant: Variant, seed: int) -> abc.Sequence[_Caller]:
    """Return the calls of a run; the first customer sends half of them."""
    source = random.Random(seed)
    callers: list[_Caller] = []
    at = 0.0
    while at < _RUN_S:
        at += source.expovariate(variant.calls_a_second)
        number = 0
        if source.random() < 0.5:
            number = source.randrange(1, _CUSTOMERS)
        is_short = source.random() < variant.short_share
        drift = variant.drift if at > _RUN_S / 2 else 1.0
        mean = 20.0 if is_short else variant.long_mean * drift
        spread = 0.6 if is_short else 0.9
        drawn = source.lognormvariate(numpy.log(mean) - spread**2 / 2, spread)
        opening = "tag the following" if is_short else "write a report on"
        words = "word " * source.randrange(10, 160)
        length = min(_LIMIT_TOKENS, max(1, round(drawn)))
        callers.append(
            _Caller(
                at,
                f"customer-{number}",
                f"{opening} {number} {len(callers)} {words}",
                length,
            )
        )
    return callers


class _Reader:
    """Reads one stream's lines and takes its figures."""

    def __init__(
        self, slot: admission_policy.Slot, stream: engine_streams.EngineStream
    ) -> None:
        self.slot: typing.Final = slot
        self.stream: typing.Final = stream
        self.done: typing.Final = trio.Event()
        self.gaps_ms: typing.Final[list[float]] = []
        self.counted = 0
        self.first_at = -1.0
        self._last_at = -1.0
        self._next = 0

    def read(self, now: float) -> None:
        """Take the lines that are new, and count their tokens."""
        self.counted = 0
        lines = self.stream.lines
        while self._next < len(lines):
            line = lines[self._next]
            self._next += 1
            if line == _PREEMPTED:
                self.slot.note_preemption()
            elif line.startswith(_TOKEN):
                self._take_token(now)
            else:
                stream = self.stream
                self.slot.note_end(stream.end, stream.prompt_tokens)
                self.done.set()

    def _take_token(self, now: float) -> None:
        self.slot.note_token()
        self.counted += 1
        if self.first_at < 0:
            self.first_at = now
        else:
            self.gaps_ms.append((now - self._last_at) * 1000)
        self._last_at = now


class _Trial:
    """One run of one policy."""

    def __init__(self, variant: Variant, policy: str, seed: int) -> None:
        self._variant: typing.Final = variant
        self._seed: typing.Final = seed
        service = service_in_force.ServiceInForce("service")
        service.spec = {
            "kind": "model",
            "customers": ["*"],
            "max_tokens": _LIMIT_TOKENS,
            "objective": typing.cast(typing.Any, variant.objective),
        }
        self._control: typing.Final = admission.AdmissionControl(
            _make_policy(policy, service), service
        )
        self._scheduler: typing.Final = engine_scheduler.Scheduler(
            variant.limits
        )
        self._readers: typing.Final[dict[_Reader, None]] = {}
        self._history: typing.Final[
            list[tuple[float, engine_scheduler.SchedulerFigures]]
        ] = []
        self._work = trio.Event()
        self._arrived = 0
        self._gaps_ms: typing.Final[list[float]] = []
        self._first_s: typing.Final[list[float]] = []
        self._stalls_ms: typing.Final[list[float]] = []
        self._asked: typing.Final[dict[str, int]] = {}
        self._answered: typing.Final[dict[str, int]] = {}
        self._tokens = 0
        self._count_from = 0.0

    async def run(self) -> TrialFigures:
        """Run the load, and return the figures."""
        start = trio.current_time()
        self._count_from = start + _WARM_S
        with trio.move_on_at(start + _RUN_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_engine)
                nursery.start_soon(self._report)
                for caller in make_load(self._variant, self._seed):
                    await trio.sleep_until(start + caller.at)
                    nursery.start_soon(self._call, caller)
                await trio.sleep_forever()
        return self._sum_up()

    async def _run_engine(self) -> None:
        while True:
            while not self._scheduler.has_work():
                await self._work.wait()
            await trio.sleep(self._scheduler.begin_step() / 1000)
            self._scheduler.finish_step()
            now = trio.current_time()
            self._history.append((now, self._scheduler.figures()))
            for reader in tuple(self._readers):
                reader.read(now)
                if now >= self._count_from:
                    self._tokens += reader.counted

    async def _report(self) -> None:
        while True:
            now = trio.current_time()
            self._control.note_load(self._read_load(now))
            await trio.sleep(_REPORT_S)

    def _read_load(self, now: float) -> ports.EngineLoad:
        seen_at = now - self._variant.lag_s
        figures = engine_scheduler.Scheduler(self._variant.limits).figures()
        made_at = seen_at
        while self._history and self._history[0][0] <= seen_at:
            made_at, figures = self._history.pop(0)
        if figures.running or figures.waiting:
            self._history.insert(0, (made_at, figures))
        limits = self._variant.limits
        return ports.EngineLoad(
            boot="b",
            age_ms=int((now - made_at) * 1000),
            blocks=limits.blocks,
            blocks_used=figures.blocks_used,
            block_tokens=limits.block_tokens,
            running=figures.running,
            waiting=figures.waiting,
            preemptions=figures.preemptions,
            redone_tokens=figures.redone_tokens,
            model="m",
            adapter="",
            version="1",
            role="serve",
            loading=False,
            reclaim_in_ms=None,
        )

    async def _call(self, caller: _Caller) -> None:
        arrived = trio.current_time()
        counts = caller.at >= _WARM_S
        if counts:
            self._asked[caller.customer] = (
                self._asked.get(caller.customer, 0) + 1
            )
        profile = admission_policy.CallProfile(
            caller.customer,
            1.0,
            0,
            5,
            caller.prompt,
            0,
            deadlines.make_deadline(_DEADLINE_MS),
        )
        try:
            async with self._control.enter(profile) as slot:
                reader = self._start(caller, slot)
                try:
                    await reader.done.wait()
                finally:
                    del self._readers[reader]
                    if counts:
                        self._count(caller, reader, arrived)
        except errors.CallError:
            return

    def _start(self, caller: _Caller, slot: admission_policy.Slot) -> _Reader:
        if self._scheduler.is_full():
            raise errors.CallError(
                errors.NOT_RUN, "the engine is full", step="start stream"
            )
        self._arrived += 1
        stream = engine_streams.EngineStream(
            {
                "id": str(self._arrived),
                "prompt": caller.prompt,
                "max_tokens": _LIMIT_TOKENS,
                "priority": 5,
                "model": "",
                "adapter": "",
                "version": "",
            },
            self._arrived,
            caller.length,
            "b",
        )
        self._scheduler.add(stream)
        reader = _Reader(slot, stream)
        self._readers[reader] = None
        self._work.set()
        self._work = trio.Event()
        return reader

    def _count(self, caller: _Caller, reader: _Reader, arrived: float) -> None:
        self._gaps_ms.extend(reader.gaps_ms)
        if reader.first_at >= 0:
            self._first_s.append(reader.first_at - arrived)
        if reader.gaps_ms:
            usual = _STALL_FACTOR * statistics.median(reader.gaps_ms)
            self._stalls_ms.append(
                sum(gap - usual / 2 for gap in reader.gaps_ms if gap > usual)
            )
        if reader.done.is_set():
            self._answered[caller.customer] = (
                self._answered.get(caller.customer, 0) + 1
            )

    def _sum_up(self) -> TrialFigures:
        figures = self._scheduler.figures()
        shares = [
            self._answered.get(customer, 0) / asked
            for customer, asked in self._asked.items()
        ]
        small = [
            self._answered.get(customer, 0) / asked
            for customer, asked in self._asked.items()
            if customer != "customer-0"
        ]
        asked, answered = (
            sum(self._asked.values()),
            sum(self._answered.values()),
        )
        return TrialFigures(
            figures.preemptions,
            figures.redone_tokens,
            statistics.fmean(self._stalls_ms or [0.0]),
            float(numpy.percentile(self._gaps_ms or [0.0], 99)),
            statistics.median(self._first_s or [0.0]),
            float(numpy.percentile(self._first_s or [0.0], 99)),
            self._tokens / (_RUN_S - _WARM_S),
            1 - answered / max(1, asked),
            min(small, default=0.0) / max(statistics.fmean(shares), 1e-9),
        )


def _make_policy(
    name: str, service: service_in_force.ServiceInForce
) -> admission_policy.AdmissionPolicy:
    match name:
        case "none":
            return baseline_policies.UnlimitedPolicy()
        case "fixed":
            return baseline_policies.FixedPolicy(32)
        case "reserve_maximum":
            return baseline_policies.ReserveMaximumPolicy()
        case "reserve_mean":
            return baseline_policies.ReserveMeanPolicy()
        case _:
            return predictive_policy.PredictivePolicy(service)


def run_trial(variant: Variant, policy: str, seed: int) -> TrialFigures:
    """Run one policy on one seed."""

    async def run() -> TrialFigures:
        return await _Trial(variant, policy, seed).run()

    return trio.run(
        functools.partial(run),
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


def main() -> int:
    """Run all and print a table of medians over the seeds."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--variant", default="")
    parser.add_argument("--policy", default="")
    chosen = parser.parse_args()
    names = TrialFigures._fields
    print("".join(f"{name[:13]:>14}" for name in ("", "", *names)))
    for variant in VARIANTS:
        if chosen.variant not in ("", variant.name):
            continue
        for policy in _POLICIES:
            if chosen.policy not in ("", policy):
                continue
            rows = [
                run_trial(variant, policy, seed)
                for seed in range(1, chosen.seeds + 1)
            ]
            medians = [
                statistics.median(column) for column in zip(*rows, strict=True)
            ]
            values = "".join(f"{value:>14.2f}" for value in medians)
            print(f"{variant.name:>14}{policy:>14}{values}", flush=True)
            line = {
                "variant": variant.name,
                "policy": policy,
                "runs": [row._asdict() for row in rows],
            }
            print(json.dumps(line), file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
