"""Receives the reports of the agents beside engines.

A missing agent only makes this entry's information less fresh: the engine is
served with what the entry sees of its own requests, and the connection to the
agent is retried.
"""

from collections import abc
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core import peer_connections
from gentianpoint_core import peer_sockets
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import agent_turns
from gentianpoint_entry.forwarding import agent_watch
from gentianpoint_entry.forwarding import engine_reports
from gentianpoint_entry.forwarding import gossip_state
from gentianpoint_entry.forwarding import targets

__all__ = ("AgentConnections",)

_CHECK_S: typing.Final = 0.2
"""Longest pause in seconds between checks of which connections are needed."""
_FIRST_RETRY_S: typing.Final = 0.3
"""Seconds before the first attempt to reconnect; doubles with each failure."""
_MAX_RETRY_S: typing.Final = 2.0
"""Longest pause in seconds between attempts to reconnect."""
_UNNEEDED_S: typing.Final = 2.0
"""Seconds after which a connection that is no longer needed is closed. An
engine gets one generation after another, so it may soon be needed again."""
_MAX_REPORT_AGE_S: typing.Final = 2.5
"""Age in seconds from which a report is dropped, as old figures mislead more
than none. An agent sends one each second, which takes some tenths of a second
to reach all entries."""

FindAgent = abc.Callable[[targets.Target], typing.Optional[str]]
"""Returns the address of the agent beside a target, None if it has none."""


class _Connection:
    """The task that stays connected to the agent beside one target."""

    def __init__(self) -> None:
        self.scope: typing.Final = trio.CancelScope()
        self.unneeded_since: typing.Optional[float] = None


class AgentConnections:
    """Connections to those agents that this entry watches or needs."""

    def __init__(
        self,
        registry: targets.TargetRegistry,
        find_agent: FindAgent,
        gossip: gossip_state.GossipState,
    ) -> None:
        """Connect to the agents of the targets in ``registry``.

        Reports are exchanged with the other entries through ``gossip``.
        """
        self._registry: typing.Final = registry
        self._find_agent: typing.Final = find_agent
        self._gossip: typing.Final = gossip
        gossip.handle_report = self._take_forwarded_report
        self._watch: typing.Final = agent_watch.AgentWatch(gossip.members)
        self._connections: typing.Final[dict[targets.Target, _Connection]] = {}
        self._by_agent: typing.Final[dict[str, targets.Target]] = {}
        self._check_now = trio.Event()

    async def run(self) -> None:
        """Open and close connections as needed, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._open_and_close(nursery)
                with trio.move_on_after(_CHECK_S):
                    await self._check_now.wait()
                self._check_now = trio.Event()

    def _take_forwarded_report(
        self, agent: str, report: targets.EngineReport
    ) -> None:
        """Apply a report that another entry has passed on."""
        target = self._by_agent.get(agent)
        if target is not None:
            self._apply(target, report)

    def _open_and_close(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        agents = self._find_agents()
        for target, agent in agents.items():
            self._drop_old_report(target, now)
            if target in self._connections or not self._watch.should_connect(
                agent, target, now
            ):
                continue
            self._connections[target] = _Connection()
            nursery.start_soon(self._stay_connected, target, agent)
        for target, connection in list(self._connections.items()):
            # A target that is no longer listed may still run until the end
            # of its notice, and its generations need turns to move.
            agent = agents.get(target, "")
            is_needed = target.open_requests > 0 or (
                bool(agent) and self._watch.should_connect(agent, target, now)
            )
            if is_needed:
                connection.unneeded_since = None
            elif target.is_gone or (
                connection.unneeded_since is not None
                and now - connection.unneeded_since > _UNNEEDED_S
            ):
                connection.scope.cancel()
                del self._connections[target]
            elif connection.unneeded_since is None:
                connection.unneeded_since = now

    def _find_agents(self) -> abc.Mapping[targets.Target, str]:
        """Return the address of the agent of each target that has one."""
        agents = {}
        for target in self._registry.list_all():
            agent = self._find_agent(target)
            if agent is not None:
                agents[target] = agent
        self._by_agent.clear()
        for target, agent in agents.items():
            if agent not in self._by_agent or not target.is_replaced:
                self._by_agent[agent] = target
        self._watch.keep_only(set(agents.values()))
        return agents

    @staticmethod
    def _drop_old_report(target: targets.Target, now: float) -> None:
        report = target.report
        if report is None or report.is_leaving:
            return
        if now - report.sampled_at > _MAX_REPORT_AGE_S:
            target.report = None

    async def _stay_connected(
        self, target: targets.Target, agent: str
    ) -> None:
        retry_s = _FIRST_RETRY_S
        is_lost = False
        with self._connections[target].scope:
            while True:
                try:
                    async with peer_sockets.open_connection(
                        agent
                    ) as connection:
                        logs.log_event(events.CONNECTION_OPENED, peer=agent)
                        retry_s = _FIRST_RETRY_S
                        is_lost = False
                        await self._read_messages(target, agent, connection)
                except* peer_connections.PeerConnectionError as group:
                    if not is_lost:
                        # Only the first failure is logged: a line for each
                        # attempt would drown all others while an agent is
                        # down.
                        self._handle_loss(target, group.exceptions[0])
                    is_lost = True
                await trio.sleep(retry_s)
                retry_s = min(_MAX_RETRY_S, retry_s * 2)

    async def _read_messages(
        self,
        target: targets.Target,
        agent: str,
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
                            self._handle_state(target, agent, message)
                        case "move_turn":
                            turns.mark_granted(message["request"])
        finally:
            target.turns = None
            turns.close()

    def take_present_state(
        self, target: targets.Target, message: abc.Mapping[str, typing.Any]
    ) -> None:
        """Apply the answer of an agent that was asked for its state.

        It is not passed on, as it is of use for a moment only. Raises
        OverflowError if a number is out of range.
        """
        report = engine_reports.make_report(message, trio.current_time())
        self._apply(target, report)

    def _handle_state(
        self,
        target: targets.Target,
        agent: str,
        message: abc.Mapping[str, typing.Any],
    ) -> None:
        try:
            report = engine_reports.make_report(message, trio.current_time())
        except OverflowError as error:
            raise peer_connections.PeerConnectionError(
                "decode message", agent, str(error)
            ) from error
        self._gossip.put_report(agent, report)
        self._apply(target, report)

    def _apply(
        self, target: targets.Target, report: targets.EngineReport
    ) -> None:
        """Apply a report to a target, unless it is of another start."""
        known_ms = target.entry.started_ms
        if report.started_ms and known_ms and report.started_ms != known_ms:
            target.reported_start_ms = max(
                target.reported_start_ms, report.started_ms
            )
            return
        if not engine_reports.is_newer(report, target.report):
            return
        was_leaving = target.report is not None and target.report.is_leaving
        target.take_report(report)
        self._registry.note_report(target)
        if report.is_leaving and not was_leaving:
            self._check_now.set()
            self._registry.note_leaving_notice(trio.current_time())
            logs.log_event(
                events.TARGET_LEAVING,
                target=target.target_id,
                leaves_in_ms=(
                    -1
                    if report.leaves_at is None
                    else report.leaves_at.remaining_ms()
                ),
            )

    def _handle_loss(
        self, target: targets.Target, error: BaseException
    ) -> None:
        peer_connections.log_connection_error(error)
        if target.report is None or target.report.is_leaving:
            return
        if not self._gossip.relays_reports():
            # No other entry passes reports on, and old figures mislead more
            # than none.
            target.report = None
