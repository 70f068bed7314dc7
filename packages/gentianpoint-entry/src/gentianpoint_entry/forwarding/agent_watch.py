"""Decides which entries are connected to an agent.

If each entry were connected to each agent, each agent would send each change
of its engine to all entries, ten times a second, and an entry would spend more
on control messages than on callers. So a few entries watch each agent and pass
its reports on to the others. An entry with generations at an engine is also
connected to the engine's agent, because it needs turns to move them and the
earliest word of a notice.
"""

from collections import abc
import typing

from gentianpoint_core.decisions import ranking
from gentianpoint_entry.forwarding import members
from gentianpoint_entry.forwarding import targets

__all__ = ("AgentWatch",)

_WATCHERS: typing.Final = 3
"""Entries that watch each agent. With three, reports go on arriving when two
of them are lost at once."""
_MAX_WATCHERS: typing.Final = 12
"""Entries that try to reach an agent whose reports have stopped. If that many
can't reach it, it is down, and more entries would only try in vain."""
_BUSY_S: typing.Final = 0.8
"""Seconds for which an engine has been busy for this entry after which it
connects to the agent; most short answers have ended by then."""
_OVERDUE_S: typing.Final = 1.5
"""Age in seconds of the last report from which entries besides the first ones
try to reach the agent, since all of those may be lost. Agents send a report
at least once a second."""
_STEP_S: typing.Final = 1.0
"""Seconds after which one more entry tries, so that not all of them try an
agent that is itself down."""


class AgentWatch:
    """Decides for one entry which agents it connects to."""

    def __init__(self, table: members.MemberTable) -> None:
        """Share the watching with the members of ``table``."""
        self._members: typing.Final = table
        self._ranks: typing.Final[dict[str, int]] = {}
        self._version = -1

    def should_connect(
        self, agent: str, target: targets.Target, now: float
    ) -> bool:
        """Tell whether to be connected to the agent beside a target."""
        if now - target.busy_since >= _BUSY_S:
            return True
        report = target.report
        if target.open_requests and report is not None and report.is_leaving:
            return True
        if len(self._members.list_live()) <= members.MAX_FULL_MESH_PEERS:
            return True
        allowed = float(_WATCHERS)
        overdue_s = now - target.last_report_at - _OVERDUE_S
        if overdue_s > 0:
            allowed = min(_MAX_WATCHERS, allowed + overdue_s / _STEP_S)
        return self._find_rank(agent) < allowed

    def keep_only(self, agents: abc.Collection[str]) -> None:
        """Forget all agents but these."""
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
