"""Time that a decision takes, and how it grows.

``python -m bench.decision_times`` times the admission of a call against the
number of running streams, the choice in the queue against its length, the
estimate for a call and the state behind it against the number of customers, a
token against the number of running streams, and placement and the choice of a
target against the number of targets. Each figure is the median over rounds of
the processor time of one decision. One JSON line for each, then a table.
"""

from collections import abc
import functools
import json
import random
import statistics
import sys
import time
import typing

import trio

from gentianpoint_agent import admission_policy
from gentianpoint_agent import applied_service
from gentianpoint_agent import call_estimates
from gentianpoint_agent import fair_queue
from gentianpoint_agent import predictive_policy
from gentianpoint_core import deadlines
from gentianpoint_core import ports
from gentianpoint_core.decisions import memory_forecasts
from gentianpoint_core.decisions import target_times
from gentianpoint_core.generated import messages
from gentianpoint_entry import agent_links
from gentianpoint_entry import link_settings
from gentianpoint_entry import placement
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import target_selection
from gentianpoint_entry.forwarding import targets

_ROUNDS: typing.Final = 15
_RUNNING: typing.Final = (16, 64, 256, 1024)
_QUEUED: typing.Final = (16, 256, 4096)
_CUSTOMERS: typing.Final = (100, 5_000, 48_000)
_TARGETS: typing.Final = (8, 64, 512)
_ENGINES: typing.Final = (25, 200)
_PROMPT: typing.Final = "word " * 800
_PREFIXES: typing.Final = 64
_BLOCK_TOKENS: typing.Final = 16
_NEVER: typing.Final = deadlines.NO_DEADLINE


class DecisionTime(typing.NamedTuple):
    """What one kind of decision took at one size."""

    decision: str
    """Kind of decision."""
    grows_with: str
    """What the size counts."""
    size: int
    """Size."""
    median_us: float
    """Median of the rounds, microseconds of processor time."""
    worst_us: float
    """Largest of the rounds, microseconds."""


def _time_rounds(
    decision: str,
    grows_with: str,
    size: int,
    times: int,
    act: abc.Callable[[], typing.Any],
) -> DecisionTime:
    """Time rounds of ``times`` calls of ``act``, which is one decision."""
    act()
    rounds = []
    for _ in range(_ROUNDS):
        began = time.process_time_ns()
        for _ in range(times):
            act()
        rounds.append((time.process_time_ns() - began) / times / 1000)
    return DecisionTime(
        decision, grows_with, size, statistics.median(rounds), max(rounds)
    )


def _make_profile(number: int) -> admission_policy.CallProfile:
    return admission_policy.CallProfile(
        f"customer-{number}", 1.0, 0, 5, _PROMPT, 0, _NEVER
    )


def _make_load() -> ports.EngineLoad:
    return ports.EngineLoad(
        boot="b",
        age_ms=200,
        blocks=10**7,
        blocks_used=0,
        block_tokens=_BLOCK_TOKENS,
        running=0,
        waiting=0,
        preemptions=0,
        redone_tokens=0,
        model="m",
        adapter="",
        version="1",
        role="serve",
        loading=False,
        reclaim_in_ms=None,
    )


class _DeafWatcher(admission_policy.SlotObserver):
    """Passes tokens to the policy as the control does."""

    def __init__(self, policy: admission_policy.AdmissionPolicy) -> None:
        self._policy: typing.Final = policy

    def note_token(
        self,
        slot: admission_policy.Slot,
        gap_ms: typing.Optional[float],
        *,
        is_new_bin: bool,
    ) -> None:
        self._policy.note_token(slot, gap_ms)

    def note_preemption(self, slot: admission_policy.Slot) -> None:
        pass

    def note_end(
        self, slot: admission_policy.Slot, prompt_tokens: int
    ) -> None:
        pass


def _teach(maker: call_estimates.CallEstimator, customers: int) -> None:
    """Let a customer in ten come back, with answers of different lengths."""
    for number in range(customers):
        profile = _make_profile(number % max(1, customers * 9 // 10))
        length = maker.estimate_call(profile, 0).length
        for _ in range(1 + number * 37 % 700):
            length.add_token()
        length.end()


def measure_admission() -> abc.Iterator[DecisionTime]:
    """Time the policy's word, with a forecast made anew, and one token."""
    for size in _RUNNING:
        service = applied_service.AppliedService("s")
        policy = predictive_policy.PredictivePolicy(service)
        maker = call_estimates.CallEstimator()
        _teach(maker, 200)
        policy.note_load(_make_load(), ())
        running: dict[admission_policy.Slot, None] = {}
        watcher = _DeafWatcher(policy)
        for number in range(size):
            profile = _make_profile(number % 20)
            slot = admission_policy.Slot(
                profile, maker.estimate_call(profile, 0), watcher, 0.0
            )
            policy.note_start(slot)
            running[slot] = None
        for slot in running:
            slot.note_token()
        first = next(iter(running))
        for number, slot in enumerate(running):
            slot.tokens = 100 + number % 300
        forecast = memory_forecasts.MemoryForecast(_BLOCK_TOKENS)
        stream = memory_forecasts.StreamMemory(
            first.estimate.length.distribution, 1000, 100, 0
        )
        for slot in running:
            forecast.add(slot, stream, 0.0)

        def renew(
            forecast: memory_forecasts.MemoryForecast = forecast,
            stream: memory_forecasts.StreamMemory = stream,
        ) -> None:
            # As at a decision to which no stream's part is new enough.
            for key in forecast.list_due(1.0):
                forecast.remove(key)
                forecast.add(key, stream, 0.0)
            forecast.find_peak(3.0)

        def follow_end(
            forecast: memory_forecasts.MemoryForecast = forecast,
            slot: admission_policy.Slot = first,
            stream: memory_forecasts.StreamMemory = stream,
        ) -> None:
            forecast.remove(slot)
            forecast.add(slot, stream, 0.0)
            forecast.find_peak(3.0)

        def decide_again(
            forecast: memory_forecasts.MemoryForecast = forecast,
            stream: memory_forecasts.StreamMemory = stream,
        ) -> None:
            forecast.find_peak_with(stream, 3.0)

        yield _time_rounds(
            "forecast, eight parts renewed", "running streams", size, 20, renew
        )
        yield _time_rounds(
            "an end and a start, same forecast",
            "running streams",
            size,
            50,
            follow_end,
        )
        yield _time_rounds(
            "one more call, same forecast",
            "running streams",
            size,
            50,
            decide_again,
        )
        yield _time_rounds(
            "one token", "running streams", size, 2000, first.note_token
        )


def _always(ticket: fair_queue.Ticket) -> bool:
    return True


def measure_queue() -> abc.Iterator[DecisionTime]:
    """Time the choice of the next call when each customer has one."""
    for size in _QUEUED:
        queue = fair_queue.FairQueue()
        maker = call_estimates.CallEstimator()
        estimate = maker.estimate_call(_make_profile(0), 0)
        for number in range(size):
            profile = _make_profile(number)
            queue.add(fair_queue.Ticket(profile, estimate, 0.0, _NEVER))

        def choose(queue: fair_queue.FairQueue = queue) -> None:
            queue.find_next(1.0, _always)

        yield _time_rounds(
            "next in the queue", "calls queued", size, 5, choose
        )


def measure_call_estimates() -> abc.Iterator[DecisionTime]:
    """Time the estimate for a call after many customers were seen."""
    for size in _CUSTOMERS:
        maker = call_estimates.CallEstimator()
        _teach(maker, size)
        kinds = maker.lengths.count_groups()

        def make(maker: call_estimates.CallEstimator = maker) -> None:
            maker.estimate_call(_make_profile(1), 0)

        yield _time_rounds(
            f"outlook of a call ({kinds} kinds kept)",
            "customers",
            size,
            50,
            make,
        )


def _make_report(number: int) -> messages.Report:
    return {
        "type": "report",
        "running": 10,
        "queued": 0,
        "memory_used": 0.3,
        "memory_predicted": number % 10 / 10,
        "pace_ms": 20.0,
        "queue_wait_ms": 0.0,
        "age_ms": 200,
        "prefixes": list(range(number, number + _PREFIXES)),
    }


def _do_nothing() -> None:
    pass


def _make_link(
    number: int, settings: link_settings.LinkSettings
) -> agent_links.AgentLink:
    name = f"agent-{number}"
    data_centre = "north" if number % 2 else "south"
    host = ports.Host(name, "agent", "s", name, "", data_centre, "live")
    link = agent_links.AgentLink(host, settings, _do_nothing)
    link.store_report(_make_report(number))
    return link


def measure_placement() -> abc.Iterator[DecisionTime]:
    """Time the choice of a target for a prompt of 4000 characters."""
    settings = link_settings.LinkSettings(
        "entry", "run", "north", "", 1000, 3000, 64, 2**20
    )
    for size in _TARGETS:
        links = [_make_link(number, settings) for number in range(size)]
        policy = placement.make_placement_policy("two_choices", "north", "1")

        def choose(
            policy: typing.Any = policy,
            links: abc.Sequence[agent_links.AgentLink] = links,
        ) -> None:
            policy.choose(links, _PROMPT)

        yield _time_rounds("target of a call", "targets", size, 20, choose)


def _make_engine(number: int) -> targets.Target:
    """Return an engine of one of three speeds, with some load."""
    speed = (0.7, 0.7, 1.7)[number % 3]
    data_centre = "north" if number % 2 else "south"
    name = f"engine-{number}"
    entry = targets.TargetEntry(
        name, "s", name, data_centre, 24, False, 0.0, 1, "v1"
    )
    target = targets.Target(entry, 0.0)
    report = targets.EngineReport(
        sampled_at=0.0,
        running=number * 7 % 13,
        waiting=0,
        used_tokens=number * 7 % 13 * 1500,
        total_tokens=27_020,
        is_leaving=False,
        leaves_at=None,
        is_silent=False,
        pending_prefill_tokens=number * 5 % 4 * 2500,
        step_us=round(9000 * speed),
        prefill_us_per_k=round(150_000 * speed),
    )
    target.take_report(report)
    return target


def _make_generation() -> requests.CallerRequest:
    engine = routes.EngineSpec(24, 27_020, True, True, 4)
    route = routes.Route(
        name="long",
        host="host.example",
        path_prefix="/",
        shares=(routes.ServiceShare("s", 1.0),),
        kind=routes.RouteKind.STREAM,
        may_resume=False,
        timeout_ms=39_000.0,
        objective_ms=1800.0,
        gap_objective_ms=180.0,
        max_attempts=1,
        priority=1,
        is_public=True,
        is_generation=True,
    )
    return requests.CallerRequest(
        request_id="request-1",
        method=b"POST",
        path=b"/",
        headers=(),
        body=b"",
        route=route,
        service=routes.Service("s", "/health", 500, engine),
        customer=None,
        caller_deadline=_NEVER,
        deadline=_NEVER,
        prompt_tokens=3079,
        likely_output_tokens=744,
        most_output_tokens=1780,
        last_event_id="",
        content="content-1",
    )


def measure_target_choice() -> abc.Iterator[DecisionTime]:
    """Time the choice of an engine, with paces that differ and without."""
    request = _make_generation()
    for size in _ENGINES:
        engines = [_make_engine(number) for number in range(size)]
        rng = random.Random(1)
        paces = target_times.ServicePaces()
        paces.update(target_selection.list_paces(engines))

        def choose(
            engines: abc.Sequence[targets.Target] = engines,
            rng: random.Random = rng,
            paces: typing.Optional[target_times.ServicePaces] = None,
        ) -> None:
            target_selection.choose_target(
                engines,
                request,
                "north",
                28,
                0.2,
                rng,
                other_arrivals_per_s=40.0,
                paces=paces,
            )

        def compare(
            engines: abc.Sequence[targets.Target] = engines,
            paces: target_times.ServicePaces = paces,
        ) -> None:
            paces.update(target_selection.list_paces(engines))

        yield _time_rounds("engine, paces alike", "engines", size, 20, choose)
        yield _time_rounds(
            "engine, paces differ",
            "engines",
            size,
            20,
            functools.partial(choose, paces=paces),
        )
        yield _time_rounds(
            "whether paces differ", "engines", size, 20, compare
        )


async def measure_all() -> abc.Sequence[DecisionTime]:
    """Return all figures; in a trio run, whose clock the code reads."""
    return [
        *measure_admission(),
        *measure_queue(),
        *measure_call_estimates(),
        *measure_placement(),
        *measure_target_choice(),
    ]


def main() -> int:
    """Print the figures."""
    rows = trio.run(measure_all)
    for row in rows:
        print(json.dumps(row._asdict()))
    print()
    print(
        f"{'decision':40}{'grows with':>18}{'size':>8}{'us':>10}{'worst':>10}"
    )
    for row in rows:
        print(
            f"{row.decision:40}{row.grows_with:>18}{row.size:>8}"
            f"{row.median_us:>10.1f}{row.worst_us:>10.1f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
