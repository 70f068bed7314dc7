"""Plays one load with one policy and one seed."""

from collections import abc
import logging
import random
import typing

from opentelemetry import metrics
import structlog
import trio
import trio.testing

from bench.replay import callers
from bench.replay import engine_calls
from bench.replay import figures
from bench.replay import fleet
from bench.replay import fleet_rooms
from bench.replay import loads
from bench.replay import policies
from bench.replay import shapes
from bench.replay import usage_gossip
from gentianpoint_core.decisions import customer_usage
from gentianpoint_entry import crash_suspects
from gentianpoint_entry.forwarding import entry_metrics
from gentianpoint_entry.forwarding import forwarder
from gentianpoint_entry.forwarding import request_handling
from gentianpoint_entry.forwarding import retry_limits
from gentianpoint_entry.forwarding import room_waits
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import target_ends

__all__ = ("play", "play_groups", "play_outcomes")

_RETRY_RATIO: typing.Final = 0.2
_RETRY_WINDOW_S: typing.Final = 10.0
_RETRY_SLACK: typing.Final = 58.0
_GOSSIP_S: typing.Final = 0.02
"""Time until all entries know of an end."""


class _Played(typing.NamedTuple):
    outcomes: list[callers.Outcome]
    engines: fleet.Fleet
    moved_tokens: int


def play(load_name: str, policy: str, seed: int) -> figures.ReplayFigures:
    """Return the figures of one replay; the same for the same arguments."""
    return play_outcomes(load_name, policy, seed)[1]


def play_groups(
    load_name: str, policy: str, seed: int, by: str
) -> tuple[figures.ReplayFigures, abc.Sequence[figures.GroupFigures]]:
    """Return also the figures of each ``kind`` or ``customer``."""
    outcomes, total = play_outcomes(load_name, policy, seed)
    harmless = [item for item in outcomes if not item.generation.fatal_content]
    return total, figures.find_groups(harmless, by)


def play_outcomes(
    load_name: str, policy: str, seed: int
) -> tuple[list[callers.Outcome], figures.ReplayFigures]:
    """Return also what became of each generation."""
    # One seed gives the same figures only if tasks that are ready run in
    # the same order too; trio has this switch for tests like these.
    runner = vars(trio._core._run)  # type: ignore[attr-defined]
    runner["_ALLOW_DETERMINISTIC_SCHEDULING"] = True
    runner["_r"].seed(seed)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    load = loads.LOADS[load_name]
    played = trio.run(
        _run,
        load,
        policy,
        seed,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )
    engines = played.engines.engines.values()
    harmless = [
        item for item in played.outcomes if not item.generation.fatal_content
    ]
    total = figures.add_up(
        harmless,
        sum(item.preemptions for item in engines),
        sum(item.reread_tokens for item in engines),
        played.moved_tokens,
        played.engines.crashed,
        shapes.EngineCosts().event_tokens / load.length_s,
    )
    return played.outcomes, total


async def _run(load: shapes.Load, policy: str, seed: int) -> _Played:
    costs = shapes.EngineCosts(
        slots=load.slots,
        memory_tokens=load.memory_tokens,
        link_mbps=load.link_mbps,
    )
    drawn = callers.draw_generations(load, costs, random.Random(seed))
    outcomes: list[callers.Outcome] = []
    async with trio.open_nursery() as nursery:
        engines = fleet.Fleet(load, costs, random.Random(seed + 1), nursery)
        calls = engine_calls.EngineCalls(
            engines.engines,
            {item.request_id: item for item in drawn},
            nursery,
        )
        nursery.start_soon(engines.run)
        await trio.sleep(0.5)
        suspects = [
            crash_suspects.CrashSuspects() for _ in range(load.entries)
        ]
        usages = [
            customer_usage.CustomerUsage(f"entry-{number}")
            for number in range(load.entries)
        ]
        if load.customer_shares:
            nursery.start_soon(usage_gossip.share_usage, usages)
        handlings = [
            _make_entry(
                load,
                policy,
                engines,
                calls,
                number,
                seed,
                suspects,
                usage,
                nursery,
            )
            for number, usage in enumerate(usages)
        ]
        await _call_all(load, policy, drawn, handlings, costs, outcomes, seed)
        nursery.cancel_scope.cancel()
    return _Played(outcomes, engines, calls.moved_tokens)


def _make_entry(
    load: shapes.Load,
    policy: str,
    engines: fleet.Fleet,
    calls: engine_calls.EngineCalls,
    number: int,
    seed: int,
    suspects: typing.Sequence[crash_suspects.CrashSuspects],
    usage: customer_usage.CustomerUsage,
    nursery: trio.Nursery,
) -> request_handling.RequestHandler:
    def share(contents: abc.Collection[str]) -> None:
        if policy != policies.OWN_ENDS:
            nursery.start_soon(_share_ends, suspects, number)

    ends = target_ends.TargetEnds(
        suspects[number],
        f"entry-{number}",
        calls.check_listening,
        share,
    )
    rooms = None
    if load.controls_room and policy not in policies.WITHOUT_ROOM_CONTROL:
        rooms = room_waits.RoomWaits(
            fleet_rooms.FleetRoomClaims(engines.engines, fleet.make_report),
            lambda customer: usage.find_usage(customer, trio.current_time()),
        )
        usage.is_wanted = lambda: rooms.count_waiting() > 0
    shared: forwarder.Forwarder = policies.POLICIES[policy](
        engines.registries[number],
        calls,
        retry_limits.RetryLimits(_RETRY_RATIO, _RETRY_WINDOW_S, _RETRY_SLACK),
        f"centre-{number % load.data_centres}",
        lambda: load.entries,
        random.Random(seed * 100 + number),
        entry_metrics.EntryMetrics(metrics.NoOpMeterProvider()),
        ends,
        probes=fleet.FleetProbes(engines.engines),
        rooms=rooms,
        usage=usage,
    )
    nursery.start_soon(ends.run)
    nursery.start_soon(shared.release_unused_copies)
    nursery.start_soon(shared.run_stopper.run)
    return request_handling.RequestHandler(shared, callers.send_refusal)


async def _share_ends(
    suspects: typing.Sequence[crash_suspects.CrashSuspects], number: int
) -> None:
    """Let all entries know what one knows, as gossip does."""
    news = suspects[number].list_since(0)
    await trio.sleep(_GOSSIP_S)
    for other in suspects:
        for item in news:
            other.merge(item, trio.current_time())


async def _call_all(
    load: shapes.Load,
    policy: str,
    drawn: list[shapes.Generation],
    handlings: list[request_handling.RequestHandler],
    costs: shapes.EngineCosts,
    outcomes: list[callers.Outcome],
    seed: int,
) -> None:
    shape = routes.EngineSpec(
        costs.slots,
        costs.memory_tokens,
        can_move=True,
        can_back_up=True,
        event_tokens=costs.event_tokens,
        token_bytes=costs.token_bytes,
        link_mbps=costs.link_mbps,
    )
    service = routes.Service(fleet.SERVICE, "/health", 500, shape)
    tells_urgency = policy not in policies.WITHOUT_URGENCY
    table = callers.make_table(load.kinds if tells_urgency else (), service)
    source = random.Random(seed + 2)
    began = trio.current_time()
    lost_at = began + load.lost_at

    async def serve(generation: shapes.Generation) -> None:
        await trio.sleep_until(began + generation.at)
        caller = callers.Caller(
            generation, handlings, costs, service, table, source, lost_at
        )
        outcomes.append(await caller.call())

    async with trio.open_nursery() as nursery:
        for generation in drawn:
            nursery.start_soon(serve, generation)
