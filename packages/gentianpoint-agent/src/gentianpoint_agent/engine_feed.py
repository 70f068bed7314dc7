"""Tells entries how the engine beside this agent is doing.

An engine's report is free and fresh only on its own host, and it shows first
that the engine has been given notice. So the agent asks it often and passes
on what has changed; entries send the requests themselves, and go on with
older figures when the agent is away.
"""

from collections import abc
import math
import random
import typing

import trio

from gentianpoint_agent import move_turns
from gentianpoint_agent import prompt_backlog
from gentianpoint_core import logs
from gentianpoint_core import peer_connections
from gentianpoint_core import ports
from gentianpoint_core.generated import events

__all__ = ("ASK_S", "EngineFeed")

ASK_S: typing.Final = 0.1
"""Pause between questions. An engine goes two seconds after its notice, and
moving what it runs takes most of that."""
_LONGEST_QUIET_S: typing.Final = 1.0
"""Time after which an unchanged status is sent all the same, so that entries
can tell a quiet engine from an agent that has stopped."""
_FAILURES_TO_TELL: typing.Final = 2
"""Failed questions in a row after which the engine counts as silent."""


_RUN_BITS: typing.Final = 31
"""Size of the number that tells runs of an agent apart."""


class EngineFeed:
    """Asks one engine, and keeps entries up to date."""

    def __init__(
        self,
        source: ports.EngineStatusSource,
        note_start: abc.Callable[[int], None],
    ) -> None:
        """Ask ``source``, and tell ``note_start`` once it answers.

        It is given the Unix time of the engine's start in milliseconds, or 0
        where that is not said.
        """
        self._source: typing.Final = source
        self._note_start: typing.Final = note_start
        self._status: typing.Optional[ports.EngineStatus] = None
        self._is_silent = False
        self._asked_at = 0.0
        self._run: typing.Final = random.getrandbits(_RUN_BITS)
        self._number = 0
        self._changed = trio.Event()
        self._turns: typing.Final = move_turns.MoveTurns()

    async def watch(self) -> None:
        """Ask the engine for ever."""
        failures = 0
        while True:
            try:
                status = await self._source.read_status()
            except ports.PortError as error:
                failures += 1
                if failures == _FAILURES_TO_TELL:
                    logs.log_event(
                        events.ENGINE_UNAVAILABLE,
                        step=error.step,
                        peer=error.peer,
                        reason=error.reason,
                    )
                    self._is_silent = True
                    self._number += 1
                    self._tell()
            else:
                failures = 0
                self._take_status(status)
            self._turns.grant_next()
            await trio.sleep(ASK_S)

    def _take_status(self, status: ports.EngineStatus) -> None:
        was_leaving = self._status is not None and self._status.is_leaving
        if self._status is None and not status.is_leaving:
            self._note_start(status.born_ms)
        if status.is_leaving and not was_leaving:
            logs.log_event(
                events.TARGET_LEAVING, leaves_in_ms=status.leaves_in_ms
            )
        is_changed = status != self._status or self._is_silent
        self._status = status
        self._is_silent = False
        self._number += 1
        self._asked_at = trio.current_time()
        if is_changed:
            self._tell()

    def _tell(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def serve_entry(
        self, connection: peer_connections.PeerConnection
    ) -> None:
        """Serve one entry: send the status, and give out turns to move."""
        logs.log_event(events.CONNECTION_OPENED, peer=connection.peer)
        given, turns = trio.open_memory_channel[str](math.inf)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.keep_alive, lambda: True)
                nursery.start_soon(self._send_changes, connection)
                nursery.start_soon(_send_turns, connection, turns)
                while True:
                    self._take_message(await connection.receive(), given)
        finally:
            self._turns.drop_entry(given)

    def _take_message(
        self,
        message: abc.Mapping[str, typing.Any],
        given: "trio.MemorySendChannel[str]",
    ) -> None:
        match message["type"]:
            case "move_wanted":
                self._turns.request_turn(
                    move_turns.MoveRequest(
                        message["request"], message["tokens"], given
                    )
                )
            case "move_done":
                self._turns.release_turn(message["request"])

    async def _send_changes(
        self, connection: peer_connections.PeerConnection
    ) -> None:
        while True:
            changed = self._changed
            if self._status is not None:
                await connection.send(self._describe(self._status))
            with trio.move_on_after(_LONGEST_QUIET_S):
                await changed.wait()

    def _describe(
        self, status: ports.EngineStatus
    ) -> abc.Mapping[str, typing.Any]:
        leaves_in_ms = status.leaves_in_ms
        age_ms = round((trio.current_time() - self._asked_at) * 1000)
        if leaves_in_ms is not None:
            leaves_in_ms = max(0, leaves_in_ms - age_ms)
        return {
            "type": "engine_state",
            "running": status.running,
            "waiting": status.waiting,
            "used_tokens": status.used_tokens,
            "total_tokens": status.total_tokens,
            "unread_tokens": prompt_backlog.estimate_unread(status),
            "born_ms": status.born_ms,
            "leaving": status.is_leaving,
            "leaves_in_ms": -1 if leaves_in_ms is None else leaves_in_ms,
            "age_ms": age_ms,
            "silent": self._is_silent,
            "run": self._run,
            "number": self._number,
        }


async def _send_turns(
    connection: peer_connections.PeerConnection,
    turns: "trio.MemoryReceiveChannel[str]",
) -> None:
    async for request in turns:
        await connection.send({"type": "move_turn", "request": request})
