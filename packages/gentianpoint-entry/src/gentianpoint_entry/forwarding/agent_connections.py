"""Takes the reports of the agents beside engines.

An agent that is away costs nothing but freshness: its engine is served with
what this entry sees itself, and the connection is tried again.
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

_LOOK_S: typing.Final = 0.2
"""Longest pause between looks at which connections there should be."""
_FIRST_RETRY_S: typing.Final = 0.3
_LONGEST_RETRY_S: typing.Final = 2.0
_UNWANTED_S: typing.Final = 2.0
"""Time after which a connection is closed that is not needed any more;
generations follow each other at an engine."""
_REPORT_KEPT_S: typing.Final = 2.5
"""Age from which a report is dropped: old figures mislead more than none. An
agent sends one a second, which takes some tenths of one to get around."""

FindAgent = abc.Callable[[targets.Target], typing.Optional[str]]
"""Returns the address of the agent beside a target, None if it has none."""


class _Feed:
    """The connection to the agent beside one target."""

    def __init__(self) -> None:
        self.scope: typing.Final = trio.CancelScope()
        self.unwanted_since: typing.Optional[float] = None


class AgentConnections:
    """Connections to those agents that this entry watches or needs."""

    def __init__(
        self,
        registry: targets.TargetRegistry,
        find_agent: FindAgent,
        gossip: gossip_state.GossipState,
    ) -> None:
        """Follow ``registry``; exchange reports through ``gossip``."""
        self._registry: typing.Final = registry
        self._find_agent: typing.Final = find_agent
        self._gossip: typing.Final = gossip
        gossip.handle_report = self.take_passed_on
        self._watch: typing.Final = agent_watch.AgentWatch(gossip.members)
        self._feeds: typing.Final[dict[targets.Target, _Feed]] = {}
        self._by_agent: typing.Final[dict[str, targets.Target]] = {}
        self._hurry = trio.Event()

    async def run(self) -> None:
        """Keep the connections for ever."""
        async with trio.open_nursery() as nursery:
            while True:
                self._open_and_close(nursery)
                with trio.move_on_after(_LOOK_S):
                    await self._hurry.wait()
                self._hurry = trio.Event()

    def take_passed_on(self, agent: str, report: targets.EngineReport) -> None:
        """Take a report that another entry has passed on."""
        target = self._by_agent.get(agent)
        if target is not None:
            self._apply(target, report)

    def _open_and_close(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        agents = self._find_agents()
        for target, agent in agents.items():
            self._drop_old_report(target, now)
            if target in self._feeds or not self._watch.wants(
                agent, target, now
            ):
                continue
            self._feeds[target] = _Feed()
            nursery.start_soon(self._follow, target, agent)
        for target, feed in list(self._feeds.items()):
            # One that is no longer listed goes on for its notice, and the
            # generations there still need turns to move.
            agent = agents.get(target, "")
            is_wanted = target.open_requests > 0 or (
                bool(agent) and self._watch.wants(agent, target, now)
            )
            if is_wanted:
                feed.unwanted_since = None
            elif target.is_gone or (
                feed.unwanted_since is not None
                and now - feed.unwanted_since > _UNWANTED_S
            ):
                feed.scope.cancel()
                del self._feeds[target]
            elif feed.unwanted_since is None:
                feed.unwanted_since = now

    def _find_agents(self) -> abc.Mapping[targets.Target, str]:
        """Return the agents beside all targets that have one."""
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
        if now - report.sampled_at > _REPORT_KEPT_S:
            target.report = None

    async def _follow(self, target: targets.Target, agent: str) -> None:
        retry_s = _FIRST_RETRY_S
        is_lost = False
        with self._feeds[target].scope:
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
                        # A line for each attempt would bury all others where
                        # an agent stays away.
                        self._note_loss(target, group.exceptions[0])
                    is_lost = True
                await trio.sleep(retry_s)
                retry_s = min(_LONGEST_RETRY_S, retry_s * 2)

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
                            self._take_state(target, agent, message)
                        case "move_turn":
                            turns.mark_granted(message["request"])
        finally:
            target.turns = None
            turns.close()

    def _take_state(
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
        """Believe a report of a target, unless it is of another start."""
        known_ms = target.entry.started_ms
        if report.started_ms and known_ms and report.started_ms != known_ms:
            return
        if not engine_reports.is_newer(report, target.report):
            return
        was_leaving = target.report is not None and target.report.is_leaving
        target.take_report(report)
        if report.is_leaving and not was_leaving:
            self._hurry.set()
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

    def _note_loss(self, target: targets.Target, error: BaseException) -> None:
        peer_connections.log_connection_error(error)
        if target.report is None or target.report.is_leaving:
            return
        if not self._gossip.relays_reports():
            # Nobody else brings reports; old figures mislead more than none.
            target.report = None
