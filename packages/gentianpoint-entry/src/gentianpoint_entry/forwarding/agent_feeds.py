"""Takes the reports of the agents beside engines.

An agent that is away costs nothing but freshness: its engine is served with
what this entry sees itself, and the connection is tried again.
"""

from collections import abc
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import peer_connections
from gentianpoint_core import peer_sockets
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import agent_turns
from gentianpoint_entry.forwarding import targets

__all__ = ("AgentFeeds", "make_report")

_LOOK_S: typing.Final = 0.2
"""Pause between looks at the board for engines that are new or gone."""
_FIRST_RETRY_S: typing.Final = 0.3
_LONGEST_RETRY_S: typing.Final = 2.0

FindAgent = abc.Callable[[targets.Target], typing.Optional[str]]
"""Returns the address of the agent beside a target, None if it has none."""


class AgentFeeds:
    """One connection to the agent of each engine on the board."""

    def __init__(
        self, board: targets.TargetBoard, find_agent: FindAgent
    ) -> None:
        """Follow ``board``."""
        self._board: typing.Final = board
        self._find_agent: typing.Final = find_agent
        self._scopes: typing.Final[dict[targets.Target, trio.CancelScope]] = {}

    async def run(self) -> None:
        """Keep the connections for ever."""
        async with trio.open_nursery() as nursery:
            while True:
                present = set(self._board.list_all())
                for target in list(self._scopes):
                    # One that is no longer listed goes on for its notice,
                    # and the generations there still need turns to move.
                    if target not in present and not target.open_requests:
                        self._scopes.pop(target).cancel()
                for target in present - set(self._scopes):
                    address = self._find_agent(target)
                    if address is not None:
                        self._scopes[target] = trio.CancelScope()
                        nursery.start_soon(self._follow, target, address)
                await trio.sleep(_LOOK_S)

    async def _follow(self, target: targets.Target, address: str) -> None:
        retry_s = _FIRST_RETRY_S
        with self._scopes[target]:
            while True:
                try:
                    async with peer_sockets.open_connection(
                        address
                    ) as connection:
                        logs.log_event(events.CONNECTION_OPENED, peer=address)
                        retry_s = _FIRST_RETRY_S
                        await self._take_reports(target, connection)
                except* peer_connections.PeerConnectionError as group:
                    _note_loss(target, group.exceptions[0])
                await trio.sleep(retry_s)
                retry_s = min(_LONGEST_RETRY_S, retry_s * 2)

    async def _take_reports(
        self,
        target: targets.Target,
        connection: peer_connections.PeerConnection,
    ) -> None:
        turns = agent_turns.AgentTurns(connection)
        target.turns = turns
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.keep_alive, lambda: True)
                nursery.start_soon(turns.send_messages)
                while True:
                    message = await connection.receive()
                    match message["type"]:
                        case "engine_state":
                            self._take_state(target, message)
                        case "move_turn":
                            turns.take_turn(message["request"])
        finally:
            target.turns = None
            turns.close()

    def _take_state(
        self, target: targets.Target, message: abc.Mapping[str, typing.Any]
    ) -> None:
        born_ms = message["born_ms"]
        known_ms = target.entry.born_ms
        if born_ms and known_ms and born_ms != known_ms:
            # The engine beside the agent is another start than the one that
            # this entry knows.
            return
        was_leaving = target.report is not None and target.report.is_leaving
        target.take_report(make_report(message, trio.current_time()))
        if message["leaving"] and not was_leaving:
            self._board.note_notice(trio.current_time())
            logs.log_event(
                events.TARGET_LEAVING,
                target=target.target_id,
                leaves_in_ms=message["leaves_in_ms"],
            )


def _note_loss(target: targets.Target, error: BaseException) -> None:
    peer_connections.log_loss(error)
    if target.report is not None and not target.report.is_leaving:
        # Old figures mislead more than none.
        target.report = None


def make_report(
    message: abc.Mapping[str, typing.Any], now: float
) -> targets.EngineReport:
    """Return the report in a message that arrived at ``now``."""
    leaves_at = None
    if message["leaves_in_ms"] >= 0:
        leaves_at = deadlines.Deadline(now + message["leaves_in_ms"] / 1000)
    return targets.EngineReport(
        received_at=now - message["age_ms"] / 1000,
        running=message["running"],
        waiting=message["waiting"],
        used_tokens=message["used_tokens"],
        total_tokens=message["total_tokens"],
        is_leaving=message["leaving"],
        leaves_at=leaves_at,
        is_silent=message["silent"],
        unread_tokens=message["unread_tokens"],
    )
