"""Trials of admission policies on a virtual clock.

``python -m bench.admission_trials --seeds 3`` runs the agent's admission with
the stand-in engine's scheduler in one process, on a clock that jumps from
event to event, so that a busy machine changes no figure. All policies get
the same arrivals and lengths, as an open loop. Runs of one seed still differ
a little, since trio runs tasks that are ready in random order. What crosses
the network in truth (late tokens, lost links, several entries) is left out,
so these are trials beside the experiments with real processes, not instead.

The engine's sizes differ from one variant to the next; the policies see
streams, late load reports and nothing else. The variants named after a user
take the arrivals of ``bench/scenarios`` at a third of their rate, for one of
three engines, run from a cold start and end with the last answer.
"""

import argparse
from collections import abc
from concurrent import futures
import functools
import json
import pathlib
import random
import statistics
import sys
import typing

import msgspec
import numpy
import trio
import trio.testing

from gentianpoint_agent import admission
from gentianpoint_agent import admission_policy
from gentianpoint_agent import applied_service
from gentianpoint_agent import baseline_policies
from gentianpoint_agent import predictive_policy
from gentianpoint_core import deadlines
from gentianpoint_core import errors
from gentianpoint_core import ports
from gentianpoint_entry.load import arrivals
from gentianpoint_entry.load import scenarios
from gentianpoint_standins import engine_lengths
from gentianpoint_standins import engine_scheduler
from gentianpoint_standins import engine_streams

_RUN_S: typing.Final = 150.0
_WARM_S: typing.Final = 30.0
_REPORT_S: typing.Final = 0.2
_DEADLINE_MS: typing.Final = 20_000
_LIMIT_TOKENS: typing.Final = 4000
_SCENARIO_LIMIT_TOKENS: typing.Final = 1500
_SCENARIO_DEADLINE_MS: typing.Final = 15_000
_SCENARIO_ENGINES: typing.Final = 3
_SCENARIOS: typing.Final = pathlib.Path(__file__).parent / "scenarios"
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
    scenario: str = ""
    """File of a user's scenario, which then gives arrivals and lengths."""


_LENGTHS: typing.Final[abc.Mapping[str, engine_lengths.LengthClass]] = {
    "ticket": engine_lengths.LengthClass(6.0, 0.5, 32),
    "report": engine_lengths.LengthClass(200.0, 0.9, 1500),
    "phrase": engine_lengths.LengthClass(16.0, 0.6, 128),
    "check": engine_lengths.LengthClass(40.0, 0.6, 256),
    "script": engine_lengths.LengthClass(180.0, 1.0, 1500),
}
_DRIFT_A_MINUTE: typing.Final = 2.0
_OBJECTIVES: typing.Final = {
    "taller": "fewest_preemptions",
    "guia": "steady_pace",
}
_LOADS: typing.Final = ("quiet", "busy", "overload", "burst", "drift")


def _make_scenario_variants(
    suffix: str, limits: engine_scheduler.SchedulerLimits, lag_s: float
) -> abc.Iterator[Variant]:
    for user, objective in _OBJECTIVES.items():
        for load in _LOADS:
            yield Variant(
                f"{user} {load}{suffix}",
                objective,
                limits,
                lag_s,
                0.0,
                0.0,
                0.0,
                scenario=f"{user}-{load}",
            )


_ENGINE: typing.Final = engine_scheduler.SchedulerLimits(blocks=1400)
_SLOW: typing.Final = engine_scheduler.SchedulerLimits(
    blocks=2000, step_ms=20.0, stream_ms=0.5
)
_USERS: typing.Final = engine_scheduler.SchedulerLimits(
    blocks=120, stream_ms=0.2
)
_CHANGED: typing.Final = engine_scheduler.SchedulerLimits(
    blocks=200, step_ms=16.0, stream_ms=0.4, prefill_ms=0.05
)
VARIANTS: typing.Final = (
    Variant("reports", "fewest_preemptions", _ENGINE, 0.2, 3.0, 0.0, 600.0),
    Variant("reports x1.3", "fewest_preemptions", _ENGINE, 0.2, 4.5, 0, 600.0),
    Variant("drift", "fewest_preemptions", _ENGINE, 0.2, 3.0, 0.0, 400.0, 2.0),
    Variant("mixed", "steady_pace", _ENGINE, 0.2, 14.0, 0.8, 600.0),
    Variant("mixed x1.3", "steady_pace", _ENGINE, 0.2, 20.0, 0.8, 600.0),
    Variant("mixed, slow", "steady_pace", _SLOW, 0.6, 9.0, 0.8, 600.0),
    *_make_scenario_variants("", _USERS, 0.2),
    *_make_scenario_variants(", changed", _CHANGED, 0.6),
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
    late_first_token_s: float
    """95th percentile of it."""
    slow_first_token_s: float
    """99th percentile of it."""
    tokens_a_second: float
    """Tokens delivered to callers."""
    refused_share: float
    """Calls refused."""
    least_share: float
    """Least fair customer: its share of calls answered over the mean one."""
    occupied: float
    """Mean share of the engine's blocks in use while calls came."""
    slow_steps: float
    """Share of the steps that computed a prompt beside decoding."""
    good_a_second: float
    """Tokens of whole answers a second, until the last answer."""


class Caller(typing.NamedTuple):
    """One call of the load."""

    at: float
    """When it comes, in seconds from the start."""
    customer: str
    """Customer that asks."""
    prompt: str
    """What is asked."""
    length: int
    """Tokens of the answer, which the agent does not know."""
    max_tokens: int = 0
    """Bound on them that the caller gives; 0 for none."""


def make_load(variant: Variant, seed: int) -> abc.Sequence[Caller]:
    """Return the calls of a run; the first customer sends half of them."""
    if variant.scenario:
        return _draw_scenario(variant, seed)
    source = random.Random(seed)
    callers: list[Caller] = []
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
            Caller(
                at,
                f"customer-{number}",
                f"{opening} {number} {len(callers)} {words}",
                length,
            )
        )
    return callers


def _draw_scenario(variant: Variant, seed: int) -> abc.Sequence[Caller]:
    """Return an engine's part of a user's scenario."""
    path = _SCENARIOS / f"{variant.scenario}.yaml"
    scenario = scenarios.load_scenario(path)
    rate = scenario.rate / _SCENARIO_ENGINES
    scenario = msgspec.structs.replace(scenario, rate=rate)
    drift = _DRIFT_A_MINUTE if variant.scenario.endswith("drift") else 0.0
    classes = {
        name: row._replace(drift=drift) for name, row in _LENGTHS.items()
    }
    lengths = engine_lengths.LengthTable(
        seed, {**engine_lengths.DEFAULT_CLASSES, **classes}, 0.0
    )
    return [
        Caller(
            row.at_s,
            row.customer,
            row.prompt,
            lengths.draw(row.prompt, row.at_s),
            row.kind.max_tokens,
        )
        for row in arrivals.draw_arrivals(scenario, seed)
    ]


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

    def __init__(
        self,
        variant: Variant,
        policy: str,
        callers: abc.Sequence[Caller],
        queue: abc.Mapping[str, typing.Any],
        warm_s: float,
    ) -> None:
        self._variant: typing.Final = variant
        self._callers: typing.Final = callers
        self._limit = _LIMIT_TOKENS
        self._deadline_ms = _DEADLINE_MS
        self._warm_s = warm_s
        if variant.scenario:
            self._limit = _SCENARIO_LIMIT_TOKENS
            self._deadline_ms = _SCENARIO_DEADLINE_MS
            self._warm_s = 0.0
        service = applied_service.AppliedService("service")
        service.spec = {
            "kind": "model",
            "customers": ["*"],
            "max_tokens": self._limit,
            "objective": typing.cast(typing.Any, variant.objective),
        }
        service.spec.update(typing.cast(typing.Any, queue))
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
        self._started = 0.0
        self._coming = True
        self._occupied: typing.Final[list[float]] = []
        self._steps = 0
        self._slow_steps = 0
        self._good_tokens = 0
        self._last_end_s = 0.0

    async def run(self) -> TrialFigures:
        """Run the load, and return the figures."""
        start = self._started = trio.current_time()
        self._count_from = start + self._warm_s
        with trio.move_on_at(start + _RUN_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_engine)
                nursery.start_soon(self._report)
                async with trio.open_nursery() as calls:
                    for caller in self._callers:
                        await trio.sleep_until(start + caller.at)
                        calls.start_soon(self._call, caller)
                    self._coming = False
                nursery.cancel_scope.cancel()
        return self._sum_up()

    async def _run_engine(self) -> None:
        while True:
            while not self._scheduler.has_work():
                await self._work.wait()
            step_ms = self._scheduler.begin_step()
            self._note_step(step_ms)
            await trio.sleep(step_ms / 1000)
            self._scheduler.finish_step()
            now = trio.current_time()
            self._history.append((now, self._scheduler.figures()))
            for reader in tuple(self._readers):
                reader.read(now)
                if now >= self._count_from:
                    self._tokens += reader.counted

    def _note_step(self, step_ms: float) -> None:
        figures, limits = self._scheduler.figures(), self._variant.limits
        usual_ms = limits.step_ms + limits.stream_ms * figures.running
        self._steps += 1
        self._slow_steps += step_ms > usual_ms
        if self._coming:
            self._occupied.append(figures.blocks_used / limits.blocks)

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

    async def _call(self, caller: Caller) -> None:
        arrived = trio.current_time()
        counts = caller.at >= self._warm_s
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
            caller.max_tokens,
            deadlines.make_deadline(self._deadline_ms),
        )
        try:
            async with self._control.admit(profile) as slot:
                reader = self._start(caller, slot)
                try:
                    await reader.done.wait()
                finally:
                    del self._readers[reader]
                    if counts:
                        self._count(caller, reader, arrived)
        except errors.CallError:
            return

    def _start(self, caller: Caller, slot: admission_policy.Slot) -> _Reader:
        if self._scheduler.is_full():
            raise errors.CallError(
                errors.NOT_RUN, "the engine is full", step="start stream"
            )
        self._arrived += 1
        stream = engine_streams.EngineStream(
            {
                "id": str(self._arrived),
                "prompt": caller.prompt,
                "max_tokens": caller.max_tokens or self._limit,
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

    def _count(self, caller: Caller, reader: _Reader, arrived: float) -> None:
        self._gaps_ms.extend(reader.gaps_ms)
        if reader.first_at >= 0:
            self._first_s.append(reader.first_at - arrived)
        if reader.gaps_ms:
            usual = _STALL_FACTOR * statistics.median(reader.gaps_ms)
            self._stalls_ms.append(
                sum(gap - usual / 2 for gap in reader.gaps_ms if gap > usual)
            )
        if reader.done.is_set():
            self._good_tokens += reader.stream.generated
            self._last_end_s = trio.current_time() - self._count_from
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
            float(numpy.percentile(self._first_s or [0.0], 95)),
            float(numpy.percentile(self._first_s or [0.0], 99)),
            self._tokens / (_RUN_S - self._warm_s),
            1 - answered / max(1, asked),
            min(small, default=0.0) / max(statistics.fmean(shares), 1e-9),
            statistics.fmean(self._occupied or [0.0]),
            self._slow_steps / max(1, self._steps),
            self._good_tokens / max(1.0, self._last_end_s),
        )


def _make_policy(
    name: str, service: applied_service.AppliedService
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
    callers = make_load(variant, seed)
    return run_callers(variant, policy, callers, warm_s=_WARM_S)


def run_callers(
    variant: Variant,
    policy: str,
    callers: abc.Sequence[Caller],
    queue: abc.Mapping[str, typing.Any] = {},
    *,
    warm_s: float = 0.0,
) -> TrialFigures:
    """Run one policy on calls.

    ``queue`` has the service's bounds on waits. What comes in the first
    ``warm_s`` seconds does not count.
    """

    async def run() -> TrialFigures:
        return await _Trial(variant, policy, callers, queue, warm_s).run()

    return trio.run(
        functools.partial(run),
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


def _read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--variants", nargs="+", default=[])
    parser.add_argument("--policies", nargs="+", default=list(_POLICIES))
    parser.add_argument(
        "--at-once", type=int, default=1, help="Runs beside each other."
    )
    parser.add_argument(
        "--means", action="store_true", help="Means instead of medians."
    )
    return parser.parse_args()


def main() -> int:
    """Run all and print a table of medians or means over the seeds."""
    chosen = _read_arguments()
    names = TrialFigures._fields
    print("".join(f"{name[:13]:>14}" for name in ("", "", *names)))
    jobs = [
        (variant, policy)
        for variant in VARIANTS
        if not chosen.variants or variant.name in chosen.variants
        for policy in chosen.policies
    ]
    seeds = range(chosen.first_seed, chosen.first_seed + chosen.seeds)
    with futures.ProcessPoolExecutor(chosen.at_once) as pool:
        runs = [
            [pool.submit(run_trial, *job, seed) for seed in seeds]
            for job in jobs
        ]
        for (variant, policy), waiting in zip(jobs, runs, strict=True):
            rows = [run.result() for run in waiting]
            middle = statistics.fmean if chosen.means else statistics.median
            columns = [middle(column) for column in zip(*rows, strict=True)]
            values = "".join(f"{value:>14.3f}" for value in columns)
            print(f"{variant.name:>22}{policy:>16}{values}", flush=True)
            line = {
                "variant": variant.name,
                "policy": policy,
                "runs": [row._asdict() for row in rows],
            }
            print(json.dumps(line), file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
