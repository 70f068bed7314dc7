"""Plays a schedule and returns what was seen."""

from collections import abc
import contextlib
import functools
import pathlib
import random
import signal
import typing

import trio

from bench.soak import callers
from bench.soak import dialects
from bench.soak import facts as seen
from bench.soak import fleet
from bench.soak import own_dialect
from bench.soak import own_fleet
from bench.soak import own_player
from bench.soak import platform_player
from bench.soak import players
from bench.soak import schedule
from gentianpoint_standins import processes

__all__ = ("SoakOptions", "end_when_told", "play")

_MOST_WARM_UP_S: typing.Final = 60.0
"""Longest time until every entry is ready; many programs on few cores take
long to start."""
_CALLERS: typing.Final = 16
_CALM_S: typing.Final = 17.0
"""Time after the last step: the bound of recovery, and some seconds in which
it is put to the test."""
_LAG_LOOK_S: typing.Final = 0.1


_DIALECTS: typing.Final[abc.Mapping[str, dialects.Dialect]] = {
    "platform": dialects.PlatformDialect(),
    "own": own_dialect.OwnDialect(),
}


class SoakOptions(typing.NamedTuple):
    """What is played."""

    seed: int
    """Seed of the schedule, and of what is drawn meanwhile."""
    length_s: float
    """Seconds in which steps come."""
    size: fleet.FleetSize
    """How many processes there are."""
    interface: typing.Literal["platform", "own"] = "platform"
    """The users' platform, or the project's own interface."""


async def play(options: SoakOptions, folder: pathlib.Path) -> seen.Facts:
    """Play one soak; programs write their output into ``folder``."""
    facts = seen.Facts()
    source = random.Random(options.seed)
    with _open_parts(options, folder, facts, source) as (parts, player):
        dialect = _DIALECTS[options.interface]
        balancer = callers.Balancer(parts.entries, dialect)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(end_when_told)
            await nursery.start(parts.run)
            nursery.start_soon(balancer.run)
            await player.change()
            with trio.move_on_after(_MOST_WARM_UP_S):
                await balancer.wait_all_ready()
            for number in range(_CALLERS):
                call = functools.partial(
                    callers.call_for_ever, stays=number % 2 == 0
                )
                nursery.start_soon(call, balancer, dialect, facts, source)
            nursery.start_soon(_watch_lag, facts)
            pause_s = callers.find_probe_pause(len(parts.entries))
            for place in parts.entries:
                nursery.start_soon(
                    callers.probe_for_ever, place, dialect, facts, pause_s
                )
            send_fatal = functools.partial(
                callers.send_fatal,
                balancer,
                dialect,
                facts,
                random.Random(options.seed),
            )
            await _carry_all_out(options, player, balancer, send_fatal)
            facts.calm_from = max(facts.calm_from, trio.current_time())
            await trio.sleep(_CALM_S)
            nursery.cancel_scope.cancel()
        parts.note_runs(facts)
    return facts


@contextlib.contextmanager
def _open_parts(
    options: SoakOptions,
    folder: pathlib.Path,
    facts: seen.Facts,
    source: random.Random,
) -> abc.Iterator[tuple[players.Parts, players.Player]]:
    """Make the parts of a soak, and who disturbs them."""
    if options.interface == "own":
        with processes.LocalDeployment(folder) as local:
            own = own_fleet.OwnFleet(options.size, folder, local, facts)
            yield own, own_player.OwnPlayer(own, facts)
        return
    slot = fleet.NetworkSlot()
    try:
        parts = fleet.Fleet(options.size, folder, slot, facts, source)
        yield parts, platform_player.PlatformPlayer(parts, facts)
    finally:
        slot.release()


async def _watch_lag(facts: seen.Facts) -> None:
    """Note how late this process is, for ever."""
    while True:
        due_at = trio.current_time() + _LAG_LOOK_S
        await trio.sleep_until(due_at)
        facts.lags_s.append(trio.current_time() - due_at)


async def end_when_told() -> None:
    """End by an error once told to, so that all that was started ends."""
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for number in signals:
            raise SystemExit(128 + number)


async def _carry_all_out(
    options: SoakOptions,
    player: players.Player,
    balancer: callers.Balancer,
    send_fatal: abc.Callable[[schedule.Step], abc.Awaitable[None]],
) -> None:
    """Carry the schedule out; its steps overlap."""
    began_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for step in schedule.draw_schedule(options.seed, options.length_s):
            await trio.sleep_until(began_at + step.at)
            if step.kind == schedule.FATAL_REQUEST:
                nursery.start_soon(send_fatal, step)
            elif step.kind == schedule.FATAL_PART:
                # Where prompts have no named parts, no two are alike.
                if _DIALECTS[options.interface].names_parts:
                    nursery.start_soon(send_fatal, step)
            elif step.kind == schedule.RELEASE:
                nursery.start_soon(player.release, step)
            elif step.kind == schedule.LIMITED_TARGET:
                nursery.start_soon(player.carry_out_limit, step)
            elif step.kind in (
                schedule.LEAVING_TARGET,
                schedule.RESTING_TARGET,
            ):
                nursery.start_soon(player.carry_out_notice, step)
            elif step.kind == schedule.PREFERRED_ENTRY:
                nursery.start_soon(player.carry_out_preference, step, balancer)
            else:
                nursery.start_soon(player.carry_out, step)
