"""Publishes the status of the engine beside this agent to entries.

On the engine's own host its reports cost nothing and are current, and they
show first that the engine is about to be taken away. So the agent polls the
engine often and sends changes to the entries. Entries send requests to the
engine themselves, and use their last known status while the agent is
unavailable. Before that they may claim room, which the agent grants or refuses
by what it has read and leased so far.
"""

from collections import abc
import math
import random
import typing

import trio

from gentianpoint_agent import move_turns
from gentianpoint_agent import prompt_backlog
from gentianpoint_agent import room_claims
from gentianpoint_agent import state_answers
from gentianpoint_core import logs
from gentianpoint_core import peer_connections
from gentianpoint_core import ports
from gentianpoint_core.decisions import engine_pace
from gentianpoint_core.decisions import room_book
from gentianpoint_core.generated import events

__all__ = ("POLL_INTERVAL_S", "EngineFeed")

POLL_INTERVAL_S: typing.Final = 0.1
"""Pause between two status requests, in seconds. An engine goes two seconds
after its notice, and moving its generations takes most of that."""
_PRESENT_S: typing.Final = 0.005
"""Age in seconds up to which a status counts as present. Requests that entries
send at the same moment share one poll."""
_MAX_SEND_INTERVAL_S: typing.Final = 1.0
"""Time after which an unchanged status is sent again, in seconds, so that
entries can tell an unchanged engine from a stopped agent."""
_FAILURES_UNTIL_SILENT: typing.Final = 2
"""Number of failed requests in a row after which the engine is silent."""
_MAX_CLAIM_POLL_S: typing.Final = 0.01
"""Time in seconds after which a claim is decided by the last status. Entries
wait 25 ms for the reply; a later one would lease room that nobody uses."""


_RUN_BITS: typing.Final = 31
"""Size of the random number that identifies a run of an agent, in bits."""


class EngineFeed(state_answers.RoomSource):
    """Polls one engine, and sends its status to connected entries."""

    def __init__(
        self,
        source: ports.EngineStatusSource,
        note_start: abc.Callable[[int], None],
    ) -> None:
        """Poll ``source``, and call ``note_start`` once it answers.

        The argument of ``note_start`` is the engine's start as a Unix time
        in milliseconds, or 0 if it is unknown.
        """
        self._source: typing.Final = source
        self._note_start: typing.Final = note_start
        self._status: typing.Optional[ports.EngineStatus] = None
        self._is_silent = False
        self._identity = ""
        self._polled_at = 0.0
        self._run: typing.Final = random.getrandbits(_RUN_BITS)
        self._number = 0
        self._failures = 0
        self._polling: typing.Final = trio.Lock()
        self._changed = trio.Event()
        self._turns: typing.Final = move_turns.MoveTurns()
        self._pace: typing.Final = engine_pace.EnginePace()
        self.room_book: typing.Final = room_book.RoomBook()
        self._room_log: typing.Final = room_claims.RoomLog(self.room_book)

    @property
    def identity(self) -> str:
        """Identifier of the engine's start; empty if it is not known."""
        return self._identity

    def note_identity(self, identity: str) -> None:
        """Record which start of an engine answers.

        It counts until the engine fails to answer or tells another time of
        its start: then another one may have its address.
        """
        self._identity = identity

    async def watch(self) -> None:
        """Poll the engine until cancelled."""
        while True:
            async with self._polling:
                await self._poll()
            self._turns.grant_next()
            self._room_log.write_due(trio.current_time())
            await trio.sleep(POLL_INTERVAL_S)

    async def read_present_state(
        self,
    ) -> typing.Optional[abc.Mapping[str, typing.Any]]:
        """Return the message with the engine's present status.

        The engine is polled unless that was done a moment ago. None if it
        has not answered yet.
        """
        async with self._polling:
            if trio.current_time() - self._polled_at > _PRESENT_S:
                await self._poll()
        return self._make_present_message()

    def _make_present_message(
        self,
    ) -> typing.Optional[abc.Mapping[str, typing.Any]]:
        if self._status is None:
            return None
        return self._make_message(self._status)

    async def claim_room(
        self, claim: room_book.RoomClaim
    ) -> typing.Optional[room_claims.RoomReply]:
        """Grant or refuse a claim, by the engine's present status.

        If the engine does not answer at once, its last status counts. None
        if it has not answered yet.
        """
        with trio.move_on_after(_MAX_CLAIM_POLL_S):
            await self.read_present_state()
        state = self._make_present_message()
        if state is None:
            return None
        now = trio.current_time()
        answer = self.room_book.claim(claim, now)
        opens_in_ms = room_claims.find_delay_ms(answer.opens_at, now)
        if not answer.is_granted:
            self._room_log.note_refused(opens_in_ms)
        return room_claims.RoomReply(answer.is_granted, opens_in_ms, state)

    def give_room_back(self, request_id: str) -> None:
        """End the lease of a request that its entry does not send."""
        self.room_book.give_back(request_id)

    async def _poll(self) -> None:
        try:
            status = await self._source.read_status()
        except ports.PortError as error:
            self._failures += 1
            self._identity = ""
            if self._failures == _FAILURES_UNTIL_SILENT:
                logs.log_event(
                    events.ENGINE_UNAVAILABLE,
                    step=error.step,
                    peer=error.peer,
                    reason=error.reason,
                )
                self._is_silent = True
                self._number += 1
                self._notify()
        else:
            self._failures = 0
            self._update_status(status)

    def _update_status(self, status: ports.EngineStatus) -> None:
        was_leaving = self._status is not None and self._status.is_leaving
        if self._status is None and not status.is_leaving:
            self._note_start(status.born_ms)
        if status.is_leaving and not was_leaving:
            logs.log_event(
                events.TARGET_LEAVING, leaves_in_ms=status.leaves_in_ms
            )
        if self._status is not None and status.born_ms != self._status.born_ms:
            self._identity = ""
        is_changed = status != self._status or self._is_silent
        self._status = status
        self._is_silent = False
        self._number += 1
        self._polled_at = trio.current_time()
        self._pace.note_status(status, self._polled_at)
        self.room_book.note_status(status, self._polled_at)
        if is_changed:
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def serve_entry(
        self, connection: peer_connections.PeerConnection
    ) -> None:
        """Serve one entry: send it the status, and grant it turns to move."""
        logs.log_event(events.CONNECTION_OPENED, peer=connection.peer)
        granted, turns = trio.open_memory_channel[str](math.inf)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.keep_alive, lambda: True)
                nursery.start_soon(self._send_changes, connection)
                nursery.start_soon(_send_turns, connection, turns)
                while True:
                    self._handle_message(await connection.receive(), granted)
        finally:
            self._turns.drop_entry(granted)

    def _handle_message(
        self,
        message: abc.Mapping[str, typing.Any],
        granted: "trio.MemorySendChannel[str]",
    ) -> None:
        match message["type"]:
            case "move_wanted":
                self.room_book.note_move(message["request"])
                self._turns.request_turn(
                    move_turns.MoveRequest(
                        message["request"], message["tokens"], granted
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
                await connection.send(self._make_message(self._status))
            with trio.move_on_after(_MAX_SEND_INTERVAL_S):
                await changed.wait()

    def _make_message(
        self, status: ports.EngineStatus
    ) -> abc.Mapping[str, typing.Any]:
        pace = self._pace.measure(trio.current_time())
        leaves_in_ms = status.leaves_in_ms
        age_ms = round((trio.current_time() - self._polled_at) * 1000)
        if leaves_in_ms is not None:
            leaves_in_ms = max(0, leaves_in_ms - age_ms)
        return {
            "type": "engine_state",
            "running": status.running,
            "waiting": status.waiting,
            "used_tokens": status.used_tokens,
            "total_tokens": status.total_tokens,
            "unread_tokens": prompt_backlog.estimate_unprocessed_tokens(
                status
            ),
            "born_ms": status.born_ms,
            "leaving": status.is_leaving,
            "leaves_in_ms": -1 if leaves_in_ms is None else leaves_in_ms,
            "age_ms": age_ms,
            "silent": self._is_silent,
            "run": self._run,
            "number": self._number,
            "step_us": pace.step_us,
            "prefill_us_per_k": pace.prefill_us_per_k,
        }


async def _send_turns(
    connection: peer_connections.PeerConnection,
    turns: "trio.MemoryReceiveChannel[str]",
) -> None:
    async for request in turns:
        await connection.send({"type": "move_turn", "request": request})
