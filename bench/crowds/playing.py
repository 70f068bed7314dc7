"""Plays a crowd of callers against real entries, beside ordinary callers."""

from collections import abc
import contextlib
import json
import pathlib
import random
import signal
import subprocess
import sys
import time
import typing
import uuid

import trio

from bench.crowds import clients
from bench.crowds import ordinary
from bench.crowds import watch
from bench.soak import callers
from bench.soak import dialects
from bench.soak import facts as seen
from bench.soak import fleet
from bench.soak import own_dialect
from bench.soak import own_fleet
from bench.soak import own_player
from bench.soak import platform_player
from bench.soak import players
from bench.soak import programs
from gentianpoint_core import option_types
from gentianpoint_standins import processes

__all__ = ("CrowdOptions", "CrowdVerdict", "SingleRequest", "play")

_METRICS_PORT: typing.Final = 9464
_CONTROL_PORT: typing.Final = 8748
_ORDINARY: typing.Final = 16
_READY_S: typing.Final = 30.0
_SETTLE_S: typing.Final = 2.0
_BEFORE_S: typing.Final = 1.0
_AFTER_S: typing.Final = 1.0
_SINGLE_S: typing.Final = 30.0
_OK: typing.Final = 200
_NOT_RUN: typing.Final = (408, 413, 429, 503)
"""Statuses of a crowd's requests that have not run."""
_PATHS: typing.Final[dict[str, tuple[str, ...]]] = {
    "platform": ("/status/x", "/no-route/x", "/api/readiness"),
    "own": ("/services/plain/echo/x", "/no-route/x", "/health"),
}
_STREAM_PATHS: typing.Final[dict[str, tuple[str, ...]]] = {
    "platform": ("/report/x",),
    "own": ("/v1/completions",),
}
_UNKNOWN_KEY: typing.Final = "key-of-nobody"


class CrowdOptions(typing.NamedTuple):
    """Which crowd is played, and against what."""

    kinds: tuple[str, ...]
    """Kinds of client."""
    connections: int
    """Connections to each entry."""
    port: str = "front"
    """Port of the entries: front, ready, metrics or control."""
    lasts_s: float = 6.0
    """Time for which the crowd is there."""
    interface: str = "platform"
    """Interface: platform or own."""
    entries: int = 2
    """Entries."""
    memory_mb: int = 88
    """Memory of an entry's machine, in MiB."""
    seed: int = 1
    """Seed of what callers draw."""
    answer_bytes: int = 0
    """Least length of the answers of plain targets."""
    sends_singles: bool = True
    """True if single requests at the limits are sent afterwards."""
    trouble: str = ""
    """What else happens in the middle: stop, reload or kill an entry."""


class SingleRequest(typing.NamedTuple):
    """A single request at a limit, sent in calm."""

    kind: str
    """Kind of client that sent it."""
    status: int
    """Status of its answer, 0 for none."""
    took_s: float
    """Time until then."""


class CrowdVerdict(typing.NamedTuple):
    """What a play has shown."""

    calm_mb: float
    """Largest memory of an entry before the crowd, in MiB."""
    peak_mb: float
    """Largest memory of an entry with what it had not read, in MiB."""
    times_over: int
    """Times that an entry passed its memory and was ended."""
    ended: tuple[str, ...]
    """Entries that ended by themselves."""
    most_misses: int
    """Most questions in a row that an entry did not answer as ready."""
    starved_misses: int
    """Questions that were not answered as ready by entries that waited for a
    processor."""
    served_share: float
    """Share of ordinary requests beside the crowd that were served."""
    ordinary_count: int
    """Number of these."""
    slowest_s: float
    """Time of the slowest of these that was served."""
    statuses: dict[int, int]
    """What the crowd was answered, 0 for no answer."""
    broken_promises: tuple[str, ...]
    """Requests whose refusal, answer or connection broke a promise."""
    singles: tuple[SingleRequest, ...]
    """Single requests at the limits after the crowd."""


def play(options: CrowdOptions, folder: pathlib.Path) -> CrowdVerdict:
    """Play one crowd; output of the programs goes into ``folder``."""
    return trio.run(_Play(options, folder).run)


class _Play:
    """One crowd with all that is around it."""

    def __init__(self, options: CrowdOptions, folder: pathlib.Path) -> None:
        self._options: typing.Final = options
        self._folder: typing.Final = folder
        self._facts: typing.Final = seen.Facts()
        self._calls: typing.Final[list[ordinary.OrdinaryCall]] = []
        self._dialect: typing.Final[dialects.Dialect] = (
            own_dialect.OwnDialect()
            if options.interface == "own"
            else dialects.PlatformDialect()
        )

    async def run(self) -> CrowdVerdict:
        source = random.Random(self._options.seed)
        with self._open_parts(source) as (parts, player):
            async with trio.open_nursery() as nursery:
                await nursery.start(parts.run)
                verdict = await self._play_crowd(
                    parts, player, nursery, source
                )
                nursery.cancel_scope.cancel()
        return verdict

    @contextlib.contextmanager
    def _open_parts(
        self, source: random.Random
    ) -> abc.Iterator[tuple[players.Parts, players.Player]]:
        size = fleet.FleetSize(
            self._options.entries, 1, 2, self._options.memory_mb
        )
        if self._options.interface == "own":
            with processes.LocalDeployment(self._folder) as local:
                own = own_fleet.OwnFleet(
                    size, self._folder, local, self._facts
                )
                yield own, own_player.OwnPlayer(own, self._facts)
            return
        slot = fleet.NetworkSlot()
        try:
            parts = fleet.Fleet(
                size,
                self._folder,
                slot,
                self._facts,
                source,
                relays_targets=False,
            )
            for target in parts.targets:
                target.answer_bytes = self._options.answer_bytes
            yield parts, platform_player.PlatformPlayer(parts, self._facts)
        finally:
            slot.release()

    async def _play_crowd(
        self,
        parts: players.Parts,
        player: players.Player,
        nursery: trio.Nursery,
        source: random.Random,
    ) -> CrowdVerdict:
        entries = parts.entries
        balancer = callers.Balancer(entries, self._dialect)
        nursery.start_soon(balancer.run)
        await player.change()
        with trio.fail_after(_READY_S):
            await balancer.wait_all_ready()
        watches = [
            watch.EntryWatch(
                place, self._dialect.ready_path, self._options.memory_mb
            )
            for place in entries
        ]
        await trio.sleep(_SETTLE_S)
        unread = watch.read_unread_bytes()
        calm_mb = max(item.note_memory(unread) for item in watches)
        nursery.start_soon(watch.watch_memory, watches)
        for item in watches:
            nursery.start_soon(item.watch_readiness)
        async with trio.open_nursery() as calling:
            for number in range(_ORDINARY):
                calling.start_soon(self._call, entries, source, number)
            await trio.sleep(_BEFORE_S)
            began_at = trio.current_time()
            await self._run_crowd(entries)
            await trio.sleep(_AFTER_S)
            calling.cancel_scope.cancel()
        most_misses = max(item.most_misses for item in watches)
        # Entries that have ended are started again.
        with trio.move_on_after(_READY_S):
            await balancer.wait_all_ready()
        singles: list[SingleRequest] = []
        if self._options.sends_singles:
            singles = await self._send_singles(entries[0])
        return CrowdVerdict(
            calm_mb,
            max(item.peak_mb for item in watches),
            sum(item.times_over for item in watches),
            tuple(item.program for item in self._facts.endings),
            most_misses,
            sum(item.starved_misses for item in watches),
            *self._judge_ordinary(began_at),
            self._count_statuses(),
            tuple(self._find_broken()),
            tuple(singles),
        )

    async def _call(
        self,
        entries: abc.Sequence[callers.EntryPlace],
        source: random.Random,
        number: int,
    ) -> None:
        await ordinary.call_for_ever(
            entries,
            self._dialect,
            self._calls,
            source,
            keeps=number % 2 == 0,
        )

    async def _run_crowd(
        self, entries: abc.Sequence[callers.EntryPlace]
    ) -> None:
        """Run the crowd in a process of its own until its time is over."""
        reads = "slow readers" in self._options.kinds
        is_stream = reads and not self._options.answer_bytes
        paths = _PATHS[self._options.interface]
        if is_stream:
            paths = _STREAM_PATHS[self._options.interface]
        elif reads:
            paths = paths[:1]
        plan: clients.CrowdPlan = {
            "kinds": list(self._options.kinds),
            "count": self._options.connections,
            "addresses": [self._find_address(place) for place in entries],
            "paths": list(paths),
            "keys": [dialects.MAIN_KEY]
            if reads
            else [dialects.MAIN_KEY, dialects.MAIN_KEY, _UNKNOWN_KEY],
            "lasts_s": self._options.lasts_s,
            "answers": str(self._folder / "answers.jsonl"),
        }
        path = self._folder / "crowd.json"
        path.write_text(json.dumps(plan))
        process = subprocess.Popen(
            [sys.executable, "-m", "bench.crowds.clients", str(path)],
            cwd=programs.ROOT,
            stdin=subprocess.DEVNULL,
        )
        try:
            # The process starts for as long as it may take beside the load.
            with trio.move_on_after(self._options.lasts_s + _READY_S):
                await trio.sleep(self._options.lasts_s / 2)
                await self._make_trouble(entries[0].program)
                while process.poll() is None:
                    await trio.sleep(0.05)
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()

    async def _make_trouble(self, program: programs.Program) -> None:
        match self._options.trouble:
            case "stop":
                await program.stop()
            case "reload":
                program.reload()
            case "kill":
                program.kill()

    def _find_address(self, place: callers.EntryPlace) -> str:
        ip, _ = option_types.split_address(place.front)
        return {
            "front": place.front,
            "ready": place.ready,
            "metrics": f"{ip}:{_METRICS_PORT}",
            "control": f"{ip}:{_CONTROL_PORT}",
        }[self._options.port]

    async def _send_singles(
        self, place: callers.EntryPlace
    ) -> list[SingleRequest]:
        """Send one request at each limit, one after the other."""
        path = _PATHS[self._options.interface][0]
        found = []
        for name in (
            "whole bodies",
            "bodies in chunks of a byte",
            "heads of many fields",
        ):
            request_id = f"status-1-{uuid.uuid4().hex}"
            client = clients.KINDS[name](path, request_id, dialects.MAIN_KEY)
            host, port = option_types.split_address(place.front)
            began = time.monotonic()
            status = 0
            try:
                with trio.move_on_after(_SINGLE_S):
                    stream = await trio.open_tcp_stream(host, port)
                    async with stream, trio.open_nursery() as nursery:
                        nursery.start_soon(
                            clients.send_until_broken, client, stream
                        )
                        status = await client.read(stream)
                        nursery.cancel_scope.cancel()
            except* (trio.BrokenResourceError, OSError):
                # No answer; the status says so.
                pass
            took_s = time.monotonic() - began
            found.append(SingleRequest(name, status, took_s))
        return found

    def _judge_ordinary(self, began_at: float) -> tuple[float, int, float]:
        """Return served share, number and slowest of ordinary requests."""
        beside = [
            call
            for call in self._calls
            if began_at <= call.sent_at <= began_at + self._options.lasts_s
        ]
        served = [call for call in beside if call.is_served()]
        slowest_s = max((call.took_s for call in served), default=0.0)
        return len(served) / max(1, len(beside)), len(beside), slowest_s

    def _read_answers(self) -> list[dict[str, typing.Any]]:
        text = (self._folder / "answers.jsonl").read_text()
        return [json.loads(line) for line in text.splitlines()]

    def _count_statuses(self) -> dict[int, int]:
        counts: dict[int, int] = {}
        for line in self._read_answers():
            status = line["status"]
            counts[status] = counts.get(status, 0) + 1
        return counts

    def _find_broken(self) -> abc.Iterator[str]:
        """Yield what broke a promise, as targets and callers saw it."""
        ran = {run.request_id for run in self._facts.runs}
        for line in self._read_answers():
            if line["status"] in _NOT_RUN and line["id"] in ran:
                yield f"{line['id']} got {line['status']} and has run"
        for call in self._calls:
            outcome = call.outcome
            if outcome.status in _NOT_RUN and call.request_id in ran:
                yield f"{call.request_id} got {outcome.status} and has run"
            if outcome.end == "cut" and call.request_id in ran:
                yield f"{call.request_id} was passed on and then cut"
            is_success = outcome.is_whole and outcome.status == _OK
            if is_success and not call.is_served():
                yield f"{call.request_id} got another answer"
