"""Measures what is served while a balancer prefers a few small entries.

Entries and agents run as processes, as in a soak. Requests first come to all
entries alike; then nine in ten new connections go to the preferred ones, whose
hosts have a quota of processor time and a narrow link. In each case one more
thing happens meanwhile. Run as ``python -m bench.few_entries CASE ...``.
"""

import collections
from collections import abc
import contextlib
import functools
import json
import pathlib
import random
import statistics
import subprocess
import sys
import tempfile
import time
import typing

import trio
import typer

from bench import caller_process
from bench import engine_process
from bench import processor_quota
from bench.soak import callers
from bench.soak import configurations
from bench.soak import dialects
from bench.soak import facts as seen
from bench.soak import fleet
from bench.soak import kinds
from bench.soak import platform_log
from bench.soak import playing
from bench.soak import programs
from bench.soak import schedule
from gentianpoint_standins import relay

__all__ = ("main",)

_ENGINES: typing.Final = 8
_PLAIN: typing.Final = 3
_EVEN_S: typing.Final = 10.0
"""Seconds in which requests come to all entries alike."""
_UNEVEN_S: typing.Final = 20.0
"""Seconds in which most connections go to the preferred entries."""
_CONTACT_S: typing.Final = 4.0
"""Seconds after a change from which on requests count."""
_SETTLE_S: typing.Final = 3.0
"""Seconds in which processes that have just started become idle."""
_BALANCER_LOOK_S: typing.Final = 1.0
_LOOK_S: typing.Final = 0.1
_PROCESSES: typing.Final = 2
"""Processes of callers."""
_EVENT_BYTES: typing.Final = 380
_ANSWER_BYTES: typing.Final = 800
_GAP_MS: typing.Final = 180
"""Longest pause of a stream on time, in milliseconds."""


_SILENCE_MS: typing.Final = 2000
"""Least silence after which callers abandon an answer, in milliseconds."""
_REMOTE_ENGINES: typing.Final = range(3, _ENGINES)
"""Engines that other processes serve; some cases disturb those before."""
_ENGINE_PROCESSES: typing.Final = 2
"""Processes that serve them."""


class _Load(typing.NamedTuple):
    """What callers send of one kind of request."""

    rate_per_s: float
    """Requests a second."""
    most_events: int
    """Bound on the events of a stream; half of it on average."""
    body_bytes: int
    """Length of a request's body."""
    deadline_ms: int
    """Time that a caller waits."""
    objective_ms: int
    """Time until the answer, or its first event, that counts as on time."""
    timeout_ms: int
    """Time limit of the route."""


_LOADS: typing.Final[abc.Mapping[str, _Load]] = {
    "report": _Load(14.1, 371, 1300, 39000, 1800, 39000),
    "tag": _Load(15.7, 4, 1500, 6000, 1500, 6000),
    "lookup": _Load(52.7, 1, 600, 1500, 100, 800),
    "status": _Load(21.1, 1, 0, 1500, 100, 800),
}
"""A load of many short calls, and of streams that bring most events."""


class _Options(typing.NamedTuple):
    """What all cases of a run have in common."""

    entries: int
    """Entries of the whole fleet."""
    preferred: int
    """Entries that get most new connections."""
    cores: float
    """Quota of processor time of each of them."""
    scale: float
    """Factor of all rates."""
    tail_s: float
    """Time in which open calls go on, in seconds."""


_LIMIT_PER_S: typing.Final = 20.0
"""Requests a second that plain targets name."""
_BURST: typing.Final = 1.6
_COLD_S: typing.Final = 8.0
_COLD_PER_S: typing.Final = 6.0


class _Play:
    """One fleet, and what happens to it."""

    def __init__(self, parts: fleet.Fleet, facts: seen.Facts) -> None:
        self.parts: typing.Final = parts
        self.facts: typing.Final = facts
        self.rate = 1.0
        self.small: abc.Sequence[callers.EntryPlace] = ()
        self.version = 0
        self.is_cold_service = False

    async def write(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        await self.write_newest()

    async def write_newest(self) -> None:
        """Write the newest version, which may be gone from the log."""
        fields = configurations.make_configuration(self.version)
        for route in fields["routes"]:
            load = _LOADS.get(route["name"])
            if load is not None:
                route["goal_ms"] = load.objective_ms
                route["gap_goal_ms"] = _GAP_MS
                route["timeout_ms"] = load.timeout_ms
        if self.is_cold_service:
            for service in fields["services"]:
                service["cold_s"] = _COLD_S
                service["cold_per_s"] = _COLD_PER_S
        await self.parts.log.append(
            platform_log.CONFIGURATION, "config", fields
        )

    def list_plain(self) -> abc.Sequence[typing.Any]:
        """Return the targets of the plain service."""
        return [
            target
            for target in self.parts.targets
            if target.place.service == kinds.PLAIN
        ]


async def _do_nothing(play: _Play) -> None:
    """Let only the connections be uneven."""


async def _name_limits(play: _Play) -> None:
    """Let plain targets name limits, which change."""
    for number in range(100):
        for target in play.list_plain():
            target.limit_per_s = _LIMIT_PER_S * (1.0 if number % 2 else 1.5)
        await trio.sleep(6)


async def _return_log(play: _Play) -> None:
    """Let the log be away, and come back from a copy, twice."""
    for _ in range(2):
        await trio.sleep(3)
        play.parts.log.set_trouble("busy")
        await trio.sleep(1.2)
        play.parts.log.restore(5.0)
        play.parts.log.set_trouble("")
        await trio.sleep(0.3)
        await play.write_newest()
        await play.write()
        await trio.sleep(4)


async def _send_notices(play: _Play) -> None:
    """Let targets ask for rest, and one of each service say it leaves."""
    for _ in range(3):
        engines = play.parts.targets[:2]
        for target in (*engines, *play.list_plain()[:1]):
            target.refusing_share = 0.5
            target.notice_rest_s = 0.8
        await trio.sleep(3)
        for target in (*engines, *play.list_plain()[:1]):
            target.notice_rest_s = None
        play.parts.targets[2].notice_rest_s = 0.0
        await trio.sleep(4)
        play.parts.targets[2].notice_rest_s = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(play.parts.targets[2].leave)


async def _cool_targets(play: _Play) -> None:
    """Let a plain target become cold, by turns."""
    play.is_cold_service = True
    await play.write()
    for number in range(4):
        target = play.list_plain()[number % _PLAIN]
        target.cold_until = trio.current_time() + _COLD_S
        await trio.sleep(_COLD_S)


async def _burst(play: _Play) -> None:
    """Let more requests come for a while."""
    await trio.sleep(6)
    play.rate = _BURST
    await trio.sleep(14)
    play.rate = 1.0


async def _lose_entry(play: _Play) -> None:
    """Kill a preferred entry, stop another, and pause one."""
    await trio.sleep(5)
    play.small[0].program.kill()
    await trio.sleep(7)
    await play.small[1 % len(play.small)].program.stop()
    await trio.sleep(3)
    await play.small[-1].program.pause(3)


async def _cut_entry(play: _Play) -> None:
    """Cut the preferred entries off from the log."""
    await trio.sleep(3)
    for place in play.small:
        play.parts.log_relays[play.parts.entries.index(place)].apply(
            relay.RelayFaults(cut=True, refuse=True)
        )


async def _send_fatal(play: _Play) -> None:
    """Send requests that end each target that runs them."""
    balancer = callers.Balancer(play.parts.entries, dialects.PlatformDialect())
    balancer.preferred = play.small[0].program.name
    for number, kind in enumerate((schedule.FATAL_PART, "fatal_request")):
        step = schedule.Step(0.0, kind, number, 1.0, 1)
        await callers.send_fatal(
            balancer,
            dialects.PlatformDialect(),
            play.facts,
            random.Random(number),
            step,
        )


_CASES: typing.Final[
    abc.Mapping[str, abc.Callable[[_Play], abc.Awaitable[None]]]
] = {
    "none": _do_nothing,
    "limits": _name_limits,
    "returns": _return_log,
    "notices": _send_notices,
    "cold": _cool_targets,
    "burst": _burst,
    "lost": _lose_entry,
    "cut": _cut_entry,
    "fatal": _send_fatal,
}


class _Processes:
    """The processes of callers, and the balancer's state that they read."""

    def __init__(
        self, play: _Play, balancer: callers.Balancer, folder: pathlib.Path
    ) -> None:
        self._play: typing.Final = play
        self._balancer: typing.Final = balancer
        self._folder: typing.Final = folder
        self._state_path: typing.Final = folder / "balancer.json"
        self._is_sending = False
        # Set once all of them have ended.
        self.ended: typing.Final = trio.Event()
        self.preferred: abc.Sequence[callers.EntryPlace] = ()

    async def run(
        self,
        seed: int,
        scale: float,
        task_status: typing.Any = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Start the processes, and write the state until cancelled.

        ``task_status`` is told the scope in which that is done.
        """
        self._write_state()
        started: list[subprocess.Popen[bytes]] = []
        try:
            for number in range(_PROCESSES):
                started.append(self._start(number, seed, scale))
            with trio.CancelScope() as scope:
                task_status.started(scope)
                while True:
                    self._write_state()
                    await trio.sleep(_LOOK_S)
        finally:
            self._write_state(has_ended=True)
            for process in started:
                # A process looks at the state again and again.
                process.wait()
            self.ended.set()

    def _start(
        self, number: int, seed: int, scale: float
    ) -> subprocess.Popen[bytes]:
        plan = caller_process.CallerPlan(
            seed=seed * _PROCESSES + number,
            rates_per_s={
                kind: item.rate_per_s * scale / _PROCESSES
                for kind, item in _LOADS.items()
            },
            most_events={
                kind: item.most_events for kind, item in _LOADS.items()
            },
            body_bytes={
                kind: item.body_bytes for kind, item in _LOADS.items()
            },
            deadline_ms={
                kind: item.deadline_ms for kind, item in _LOADS.items()
            },
            silence_ms={
                kind: max(_SILENCE_MS, 4 * item.objective_ms, 8 * _GAP_MS)
                for kind, item in _LOADS.items()
            },
            state=str(self._state_path),
            calls=str(self._folder / f"calls-{number}.jsonl"),
        )
        path = self._folder / f"callers-{number}.json"
        path.write_text(json.dumps(plan))
        return subprocess.Popen(
            [sys.executable, "-m", "bench.caller_process", str(path)],
            stdin=subprocess.DEVNULL,
            cwd=programs.ROOT,
        )

    def begin(self) -> None:
        """Let the callers send."""
        self._is_sending = True

    def _write_state(self, *, has_ended: bool = False) -> None:
        state = caller_process.BalancerState(
            ready=[place.front for place in self._balancer.list_ready()],
            preferred=[place.front for place in self.preferred],
            rate=self._play.rate if self._is_sending else 0.0,
            has_ended=has_ended,
        )
        caller_process.write_state(self._state_path, state)

    def read_calls(self) -> list[caller_process.Call]:
        """Return what callers have seen, once the processes have ended."""
        return [
            call
            for number in range(_PROCESSES)
            for call in caller_process.read_calls(
                self._folder / f"calls-{number}.jsonl"
            )
        ]


class _Span(typing.NamedTuple):
    """A time in which calls count, by the monotonic clock."""

    name: str
    begins_at: float
    ends_at: float


def _describe_calls(
    calls: abc.Iterable[caller_process.Call], span: _Span
) -> abc.Iterator[str]:
    """Yield a line for all calls of a span, and one for each kind."""
    found = [
        call for call in calls if span.begins_at <= call.sent_at < span.ends_at
    ]
    rate_per_s = len(found) / (span.ends_at - span.begins_at)
    yield f"  {span.name}: {rate_per_s:.1f} a second; {_count_ends(found)}"
    for kind, load in _LOADS.items():
        of_kind = [call for call in found if call.kind == kind]
        served = [call for call in of_kind if call.is_served]
        if served:
            late = sum(call.first_ms > load.objective_ms for call in served)
            paused = sum(call.longest_pause_ms > _GAP_MS for call in served)
            yield (
                f"    {kind}: {_count_ends(of_kind)}; of those served"
                f" {late / len(served):.3f} late,"
                f" {paused / len(served):.3f} paused, median"
                f" {statistics.median(c.first_ms for c in served):.0f} ms"
            )


def _count_ends(calls: abc.Sequence[caller_process.Call]) -> str:
    """Return what came of first tries that were read, and in the end."""
    read = _list_read(calls)
    ends = collections.Counter(call.end for call in read)
    del ends["served"]
    unread = sum(call.unread_tries > 0 for call in calls)
    return (
        f"{_measure_served(calls):.3f} of {len(read)} first tries served,"
        f" {sum(call.is_served for call in calls) / max(1, len(calls)):.3f}"
        f" in the end, {unread} unread at first, {dict(ends)}"
    )


def _list_read(
    calls: abc.Iterable[caller_process.Call],
) -> abc.Sequence[caller_process.Call]:
    """Return the calls that have ended and of which a try was read."""
    return [call for call in calls if call.end not in ("unread", "open")]


def _measure_served(calls: abc.Sequence[caller_process.Call]) -> float:
    read = _list_read(calls)
    return sum(call.end == "served" for call in read) / max(1, len(read))


async def _play(
    names: abc.Sequence[str],
    options: _Options,
    seed: int,
    folder: pathlib.Path,
) -> str:
    """Play cases together; return lines on what was served."""
    facts = seen.Facts()
    source = random.Random(seed)
    slot = fleet.NetworkSlot()
    size = fleet.FleetSize(options.entries, _ENGINES, _PLAIN)
    parts = fleet.Fleet(
        size,
        folder,
        slot,
        facts,
        source,
        # Ends of targets are played by their relays, in this process.
        relays_targets="fatal" in names,
        served_elsewhere=[] if "fatal" in names else _REMOTE_ENGINES,
    )
    for target in parts.targets:
        target.event_bytes = _EVENT_BYTES
        target.answer_bytes = _ANSWER_BYTES
        target.undelimited_share = 0.0
    play = _Play(parts, facts)
    balancer = callers.Balancer(
        parts.entries, dialects.PlatformDialect(), _BALANCER_LOOK_S
    )
    processes = _Processes(play, balancer, folder)
    # Without preferred entries the same ones are disturbed.
    small = play.small = parts.entries[: max(1, options.preferred)]
    try:
        with contextlib.ExitStack() as stack:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(playing.end_when_told)
                await nursery.start(parts.run)
                if "fatal" not in names:
                    stack.enter_context(_serve_engines(parts, seed, folder))
                nursery.start_soon(balancer.run)
                await play.write()
                await balancer.wait_all_ready()
                await trio.sleep(_SETTLE_S)
                for place in small:
                    stack.enter_context(
                        processor_quota.ProcessorQuota(
                            functools.partial(_find_pid, place.program),
                            options.cores,
                        )
                    )
                calling = await nursery.start(
                    processes.run, seed, options.scale
                )
                await trio.sleep(_SETTLE_S)
                if "limits" in names:
                    nursery.start_soon(_name_limits, play)
                processes.begin()
                began_at = time.monotonic()
                await trio.sleep(_EVEN_S)
                processes.preferred = small[: options.preferred]
                turned_at = time.monotonic()
                used_s = processor_quota.read_processor_s(small[0].program.pid)
                own_s = time.process_time()
                for name in names:
                    if name != "limits":
                        nursery.start_soon(_CASES[name], play)
                await trio.sleep(_UNEVEN_S)
                ended_at = time.monotonic()
                own_s = time.process_time() - own_s
                used_s = (
                    processor_quota.read_processor_s(small[0].program.pid)
                    - used_s
                )
                await trio.sleep(options.tail_s)
                # Callers end first, so that the end of entries cuts nothing.
                calling.cancel()
                await processes.ended.wait()
                nursery.cancel_scope.cancel()
    finally:
        slot.release()
    calls = processes.read_calls()
    before = _Span("before", began_at + _CONTACT_S, turned_at)
    then = _Span("then", turned_at + _CONTACT_S, ended_at)
    shares = [
        _measure_served(
            [c for c in calls if span.begins_at <= c.sent_at < span.ends_at]
        )
        for span in (before, then)
    ]
    head = (
        f"{'+'.join(names)}, {options.preferred} of {options.entries}"
        f" preferred with {options.cores} cores, {options.scale} of the"
        f" rates, seed {seed}:"
        f" share {shares[1] / max(shares[0], 0.001):.3f};"
        f" {_count_behind(folder)} times behind;"
        f" {used_s / _UNEVEN_S:.2f} cores used by the first one,"
        f" {own_s / _UNEVEN_S:.2f} by the targets and the log"
    )
    to_small = [
        call
        for call in calls
        if call.entry in {place.front for place in small}
        and call.sent_at >= then.begins_at
    ]
    return "\n".join(
        [
            head,
            *_describe_calls(calls, before),
            *_describe_calls(calls, then),
            f"  at preferred entries then: {_count_ends(to_small)}",
        ]
    )


@contextlib.contextmanager
def _serve_engines(
    parts: fleet.Fleet, seed: int, folder: pathlib.Path
) -> abc.Iterator[None]:
    """Serve the engines that this process does not serve in others."""
    started: list[subprocess.Popen[bytes]] = []
    try:
        for number in range(_ENGINE_PROCESSES):
            plan = engine_process.EnginePlan(
                seed=seed * _ENGINE_PROCESSES + number,
                log=parts.log_address,
                event_bytes=_EVENT_BYTES,
                places=[
                    list(parts.targets[at].place)
                    for at in _REMOTE_ENGINES[number::_ENGINE_PROCESSES]
                ],
            )
            path = folder / f"engines-{number}.json"
            path.write_text(json.dumps(plan))
            started.append(
                subprocess.Popen(
                    [sys.executable, "-m", "bench.engine_process", str(path)],
                    stdin=subprocess.PIPE,
                    cwd=programs.ROOT,
                )
            )
        yield
    finally:
        for process in started:
            assert process.stdin is not None
            process.stdin.close()
            process.wait()


def _find_pid(program: programs.Program) -> int:
    return program.pid if program.is_running else 0


def _count_behind(folder: pathlib.Path) -> int:
    """Return how often entries told that their tasks run late."""
    return sum(
        path.read_text(errors="replace").count('"process_behind"')
        for path in folder.glob("entry-*.log")
    )


def main(
    case: typing.Annotated[
        list[str], typer.Argument(help="Cases, with + between those together.")
    ],
    entries: typing.Annotated[int, typer.Option(help="Of the fleet.")] = 12,
    preferred: typing.Annotated[int, typer.Option(help="Of them.")] = 1,
    cores: typing.Annotated[
        float, typer.Option(help="Processor quota of a preferred entry.")
    ] = 0.387,
    scale: typing.Annotated[float, typer.Option(help="Of all rates.")] = 1.0,
    seed: typing.Annotated[int, typer.Option(help="First seed.")] = 1,
    tail: typing.Annotated[
        float, typer.Option(help="Seconds in which open calls go on.")
    ] = 8.0,
    keep: typing.Annotated[
        typing.Optional[pathlib.Path], typer.Option(help="Folder of the logs.")
    ] = None,
) -> None:
    """Print what was served in each case."""
    options = _Options(entries, preferred, cores, scale, tail)
    for text in case:
        with contextlib.ExitStack() as stack:
            folder = keep or pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            folder.mkdir(exist_ok=True)
            print(
                trio.run(_play, text.split("+"), options, seed, folder),
                flush=True,
            )


if __name__ == "__main__":
    typer.run(main)
