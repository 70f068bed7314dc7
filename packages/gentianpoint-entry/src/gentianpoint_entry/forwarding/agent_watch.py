"""Which entries are connected to an agent.

The load it answers: with a connection from every entry to every agent, each
agent sends each change of its engine to all entries, ten times a second, and
control costs an entry more than callers do. So a few entries watch each agent
and pass its reports on. An entry that has generations at an engine is
connected to its agent besides: it needs turns to move them, and the first
notice.
"""

from collections import abc
import typing

from gentianpoint_entry.forwarding import members
from gentianpoint_entry.forwarding import ranking
from gentianpoint_entry.forwarding import targets

__all__ = ("AgentWatch",)

_WATCHERS: typing.Final = 3
"""Entries that watch each agent. With three, losing two at once leaves the
reports as they are."""
_MOST_WATCHERS: typing.Final = 12
"""Entries that try an agent of which nothing is heard. What so many can't
reach is gone, and the others would try it in vain all day."""
_BUSY_S: typing.Final = 0.8
"""Time for which an engine has worked for this entry after which it connects
to the agent; most short answers end before."""
_QUIET_S: typing.Final = 1.5
"""Age of the last report from which entries beyond the first ones try the
agent: those may all be gone. Agents send a report a second at least."""
_STEP_S: typing.Final = 1.0
"""Time after which one more entry tries. An agent that is gone itself must
not be tried by all."""


class AgentWatch:
    """Decides for one entry which agents it connects to."""

    def __init__(self, table: members.MemberTable) -> None:
        """Share the watching with the members of ``table``."""
        self._members: typing.Final = table
        self._ranks: typing.Final[dict[str, int]] = {}
        self._version = -1

    def wants(self, agent: str, target: targets.Target, now: float) -> bool:
        """Tell whether to be connected to the agent beside a target."""
        if now - target.busy_since >= _BUSY_S:
            return True
        report = target.report
        if target.open_requests and report is not None and report.is_leaving:
            return True
        if len(self._members.list_live()) <= members.MAX_FULL_MESH_PEERS:
            return True
        allowed = float(_WATCHERS)
        quiet_s = now - target.heard_at - _QUIET_S
        if quiet_s > 0:
            allowed = min(_MOST_WATCHERS, allowed + quiet_s / _STEP_S)
        return self._find_rank(agent) < allowed

    def keep_only(self, agents: abc.Collection[str]) -> None:
        """Forget agents that are gone."""
        for agent in set(self._ranks) - set(agents):
            del self._ranks[agent]

    def _find_rank(self, agent: str) -> int:
        if self._version != self._members.version:
            self._ranks.clear()
            self._version = self._members.version
        if agent not in self._ranks:
            order = ranking.rank_members(agent, self._members.list_live())
            self._ranks[agent] = order.index(self._members.address)
        return self._ranks[agent]
