"""Plays a schedule and returns what was seen."""

from collections import abc
import functools
import pathlib
import random
import signal
import typing

import trio

from bench.soak import callers
from bench.soak import configurations
from bench.soak import facts as seen
from bench.soak import fleet
from bench.soak import platform_log
from bench.soak import schedule
from gentianpoint_standins import relay

__all__ = ("SoakOptions", "play")

_MOST_WARM_UP_S: typing.Final = 60.0
"""Longest time until every entry is ready; many programs on few cores take
long to start."""
_CALLERS: typing.Final = 16
_CALM_S: typing.Final = 17.0
"""Time after the last step: the bound of recovery, and some seconds in which
it is put to the test."""
_CHANGE_PAUSE_S: typing.Final = 0.45
_FAULTY_SHARE: typing.Final = 0.3
_RESTARTED_S: typing.Final = 1.0
"""Time after its end in which a program has started again."""
_ROW_SHARE: typing.Final = 5
_MOST_ROW_PAUSE_S: typing.Final = 1.2
"""Longest pause between the stops of two entries; each takes longer to end."""
_LAG_LOOK_S: typing.Final = 0.1

_LOG_TROUBLES: typing.Final = {
    "log_silent": "silent",
    "log_busy": "busy",
    "log_slow": "slow",
    "log_loses_answers": "losing",
}
_LINK_FAULTS: typing.Final = {
    "silent": relay.RelayFaults(silence="existing"),
    "cut": relay.RelayFaults(cut=True),
    "refuses": relay.RelayFaults(cut=True, refuse=True),
    "stalls": relay.RelayFaults(stall=True),
}


class SoakOptions(typing.NamedTuple):
    """What is played."""

    seed: int
    """Seed of the schedule, and of what is drawn meanwhile."""
    length_s: float
    """Seconds in which steps come."""
    size: fleet.FleetSize
    """How many processes there are."""


class _Player:
    """Carries out the steps of one soak."""

    def __init__(self, parts: fleet.Fleet, facts: seen.Facts) -> None:
        self._parts: typing.Final = parts
        self._facts: typing.Final = facts
        self._latest: typing.Final[dict[object, schedule.Step]] = {}
        self._writing: typing.Final = trio.Lock()

    async def change(self) -> None:
        """Write the next version; versions wait for each other."""
        async with self._writing:
            version = len(self._facts.changes) + 1
            acked_at = await self._parts.log.append(
                platform_log.CONFIGURATION,
                "config",
                configurations.make_configuration(version),
            )
            self._facts.changes.append(seen.Change(version, acked_at))

    async def carry_out(self, step: schedule.Step) -> None:
        """Let one step happen, and note whom it disturbed until when."""
        begins_at = trio.current_time()
        disturbed = await self._act(step)
        if disturbed is None:
            return
        ends_at = trio.current_time()
        self._facts.disturbances.append(
            seen.Disturbance(disturbed, step.kind, begins_at, ends_at)
        )
        self._facts.calm_from = max(self._facts.calm_from, ends_at)

    async def _act(self, step: schedule.Step) -> typing.Optional[str]:
        """Carry a step out; return the entry it concerns, "" for all."""
        group = step.kind.partition("_")[0]
        if step.kind in _LOG_TROUBLES or step.kind == "log_forgets":
            await self._trouble_log(step)
            return ""
        if step.kind.startswith("log_link"):
            number = step.place % len(self._parts.log_relays)
            await self._trouble_link(step, self._parts.log_relays[number])
            return self._parts.entries[number].program.name
        if group == "entry":
            return await self._trouble_entry(step)
        if group == "entries":
            await self._stop_in_row(step)
            return ""
        if group == "agent":
            await self._trouble_agent(step)
            return seen.TARGETS
        if group == "target":
            await self._trouble_target(step)
            return seen.TARGETS
        if group == "service":
            await self._kill_service(step)
            return seen.TARGETS
        for _ in range(step.changes):
            await self.change()
            await trio.sleep(_CHANGE_PAUSE_S)
        return None

    async def _last(
        self,
        owner: object,
        step: schedule.Step,
        end: abc.Callable[[], None],
    ) -> None:
        """Wait, and end what a later step for ``owner`` hasn't replaced."""
        self._latest[owner] = step
        await trio.sleep(step.for_s)
        if self._latest[owner] is step:
            end()

    async def _trouble_log(self, step: schedule.Step) -> None:
        log = self._parts.log
        if step.kind == "log_forgets":
            log.forget()
            return
        log.set_trouble(_LOG_TROUBLES[step.kind])
        await self._last(log, step, lambda: log.set_trouble(""))

    async def _trouble_link(
        self, step: schedule.Step, link: relay.Relay
    ) -> None:
        link.apply(_LINK_FAULTS[step.kind.rpartition("_")[2]])
        if step.kind.endswith(("silent", "cut")):
            return
        await self._last(link, step, lambda: link.apply(relay.RelayFaults()))

    async def _trouble_entry(
        self, step: schedule.Step
    ) -> typing.Optional[str]:
        place = self._parts.entries[step.place % len(self._parts.entries)]
        program = place.program
        if step.kind == "entry_reload":
            program.reload()
            return None
        if step.kind == "entry_pause":
            await program.pause(step.for_s)
            return program.name
        if step.kind == "entry_kill":
            program.kill()
        else:
            await program.stop()
        await trio.sleep(_RESTARTED_S)
        return program.name

    async def _stop_in_row(self, step: schedule.Step) -> None:
        """Stop all entries, each before the one before it has ended."""
        pause_s = min(step.for_s / _ROW_SHARE, _MOST_ROW_PAUSE_S)
        async with trio.open_nursery() as nursery:
            for place in self._parts.entries:
                nursery.start_soon(place.program.stop)
                await trio.sleep(pause_s)
        await trio.sleep(_RESTARTED_S)

    async def _trouble_agent(self, step: schedule.Step) -> None:
        agent = self._parts.agents[step.place % len(self._parts.agents)]
        if step.kind == "agent_kill":
            agent.kill()
        else:
            await agent.pause(step.for_s)

    async def _kill_service(self, step: schedule.Step) -> None:
        """Kill all targets of one service at once."""
        targets = self._parts.targets
        service = targets[step.place % len(targets)].place.service
        async with trio.open_nursery() as nursery:
            for target in targets:
                if target.place.service == service:
                    nursery.start_soon(target.die)

    async def _trouble_target(self, step: schedule.Step) -> None:
        target = self._parts.targets[step.place % len(self._parts.targets)]
        match step.kind:
            case "target_kill":
                await target.die()
            case "target_leave":
                await target.leave()
            case "target_fails":
                target.failing_share = _FAULTY_SHARE
                await trio.sleep(step.for_s)
                target.failing_share = 0.0
            case "target_loses_answers":
                target.losing_share = _FAULTY_SHARE
                await trio.sleep(step.for_s)
                target.losing_share = 0.0
            case _:
                await self._trouble_link(step, target.relay)


async def play(options: SoakOptions, folder: pathlib.Path) -> seen.Facts:
    """Play one soak; programs write their output into ``folder``."""
    facts = seen.Facts()
    slot = fleet.NetworkSlot()
    source = random.Random(options.seed)
    parts = fleet.Fleet(options.size, folder, slot, facts, source)
    player = _Player(parts, facts)
    balancer = callers.Balancer(parts.entries)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_end_when_told)
            await nursery.start(_run_fleet, parts)
            await player.change()
            nursery.start_soon(balancer.run)
            with trio.move_on_after(_MOST_WARM_UP_S):
                await balancer.wait_all_ready()
            for number in range(_CALLERS):
                call = functools.partial(
                    callers.call_for_ever, stays=number % 2 == 0
                )
                nursery.start_soon(call, balancer, facts, source)
            nursery.start_soon(_watch_lag, facts)
            pause_s = callers.find_probe_pause(len(parts.entries))
            for place in parts.entries:
                nursery.start_soon(
                    callers.probe_for_ever, place, facts, pause_s
                )
            await _carry_all_out(options, player)
            facts.calm_from = max(facts.calm_from, trio.current_time())
            await trio.sleep(_CALM_S)
            nursery.cancel_scope.cancel()
    finally:
        slot.release()
    return facts


async def _watch_lag(facts: seen.Facts) -> None:
    """Note how late this process is, for ever."""
    while True:
        due_at = trio.current_time() + _LAG_LOOK_S
        await trio.sleep_until(due_at)
        facts.lags_s.append(trio.current_time() - due_at)


async def _end_when_told() -> None:
    """End by an error once told to, so that all that was started ends."""
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for number in signals:
            raise SystemExit(128 + number)


async def _run_fleet(
    parts: fleet.Fleet, task_status: typing.Any = trio.TASK_STATUS_IGNORED
) -> None:
    await parts.run(task_status)


async def _carry_all_out(options: SoakOptions, player: _Player) -> None:
    """Carry the schedule out; its steps overlap."""
    began_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for step in schedule.draw_schedule(options.seed, options.length_s):
            await trio.sleep_until(began_at + step.at)
            nursery.start_soon(player.carry_out, step)
