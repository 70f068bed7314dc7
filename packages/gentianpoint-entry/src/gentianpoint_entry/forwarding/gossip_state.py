"""What entries tell each other, and what of it each connection still lacks.

News goes from entry to entry until all have it: the members, the reports of
engines whose agents only some entries are connected to, and how far the log's
topics have been read. A connection brings each piece at most once in each
direction: what the other end has sent itself it isn't sent back. So an
entry's connections, not the number of entries, decide what it spends.
"""

from collections import abc
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_entry.forwarding import change_log
from gentianpoint_entry.forwarding import engine_reports
from gentianpoint_entry.forwarding import link_delay
from gentianpoint_entry.forwarding import members
from gentianpoint_entry.forwarding import targets
from gentianpoint_entry.forwarding import topic_follower

__all__ = ("GossipState", "LinkState")

_REPORT_KEPT_S: typing.Final = 4.0
"""Age from which a report is dropped: agents send one a second at least."""
_CONFIRMED_AGAIN_S: typing.Final = 0.15
"""Least difference by which a later reading of a topic without new records
is news."""
_NO_MOMENT_MS: typing.Final = -1
_Message = abc.Mapping[str, typing.Any]

HandleReport = abc.Callable[[str, targets.EngineReport], None]
"""Takes the report of the engine whose agent listens at an address."""


def _drop_report(agent: str, report: targets.EngineReport) -> None:
    """Leave a report to whoever asks for it."""


class LinkState:
    """What one connection has brought and been given."""

    def __init__(self, now: float) -> None:
        """Start with a connection that has just opened."""
        self.delay: typing.Final = link_delay.LinkDelay(now)
        self.urgent_seen = 0
        self.members_seen = 0
        self.reports_seen = 0
        self.beats: typing.Final[dict[str, int]] = {}
        self.reports: typing.Final[dict[str, tuple[int, int]]] = {}
        self.topics: typing.Final[dict[str, topic_follower.TopicProgress]] = {}


class GossipState:
    """All news that this entry has."""

    def __init__(self, table: members.MemberTable) -> None:
        """Exchange news with the members of ``table``."""
        self.members: typing.Final = table
        self.handle_report: HandleReport = _drop_report
        self._reports: typing.Final = change_log.ChangeLog[
            targets.EngineReport
        ]()
        self._topics: typing.Final[
            dict[str, topic_follower.TopicFollower]
        ] = {}
        self._urgent = trio.Event()
        self._urgent_count = 0

    def add_topic(self, follower: topic_follower.TopicFollower) -> None:
        """Tell others how far ``follower`` has its topic."""
        self._topics[follower.name] = follower
        follower.note_change = self.hurry

    def find_topic(
        self, name: str
    ) -> typing.Optional[topic_follower.TopicFollower]:
        """Return the follower of a topic."""
        return self._topics.get(name)

    def put_report(self, agent: str, report: targets.EngineReport) -> bool:
        """Take a report of an agent; False if it is known already.

        A first notice to leave is passed on at once: the generations there
        have two seconds or less to move.
        """
        known = self._reports.find(agent)
        if not engine_reports.is_newer(report, known):
            return False
        self._reports.put(agent, report)
        if report.is_leaving and not (known and known.is_leaving):
            self.hurry()
        return True

    def leave(self) -> None:
        """Tell all that this entry has been told to stop."""
        self.members.leave(trio.current_time())
        self.hurry()

    def tick(self) -> None:
        """Beat, and drop what is old; to be called often."""
        now = trio.current_time()
        self.members.tick(now)
        for agent, report in self._reports.list_all():
            if now - report.sampled_at > _REPORT_KEPT_S:
                self._reports.drop(agent)

    def hurry(self) -> None:
        """Have all connections send at once what they lack."""
        self._urgent_count += 1
        self._urgent.set()
        self._urgent = trio.Event()

    async def wait_urgent(self, link: LinkState, within_s: float) -> None:
        """Return after ``within_s``, or when there is urgent news.

        What became urgent while the connection was sent the news before
        counts as well.
        """
        if link.urgent_seen == self._urgent_count:
            with trio.move_on_after(within_s):
                await self._urgent.wait()
        link.urgent_seen = self._urgent_count

    def collect(self, link: LinkState) -> typing.Optional[_Message]:
        """Return the message with all that a connection lacks, if any."""
        now = trio.current_time()
        strangers, beats, leaving = self._collect_members(link)
        reports = self._collect_reports(link, now)
        topics = self._collect_topics(link, now)
        if not (strangers or beats or reports or topics):
            return None
        return {
            "type": "gossip",
            "address": self.members.address,
            "clock_ms": round(now * 1000),
            "members": strangers,
            "beats": beats,
            "leaving": leaving,
            "engines": reports,
            "topics": topics,
        }

    def _collect_members(
        self, link: LinkState
    ) -> tuple[
        abc.Sequence[_Message], abc.Mapping[str, int], abc.Sequence[str]
    ]:
        """Return the members that a connection does not know, and beats.

        The third part names those of both that are leaving.
        """
        strangers = []
        beats = {}
        leaving = []
        for member in self.members.list_since(link.members_seen):
            known = link.beats.get(member.address, 0)
            if known >= member.beat:
                continue
            link.beats[member.address] = member.beat
            if member.is_leaving:
                leaving.append(member.address)
            if known:
                beats[member.address] = member.beat
            else:
                strangers.append(_pack_member(member))
        link.members_seen = self.members.changes
        return strangers, beats, leaving

    def relays_reports(self) -> bool:
        """Tell whether entries tell each other of engines.

        Of a few entries each is connected to all agents.
        """
        return len(self.members.list_live()) > members.MAX_FULL_MESH_PEERS

    def _collect_reports(
        self, link: LinkState, now: float
    ) -> abc.Sequence[_Message]:
        if not self.relays_reports():
            return []
        rows = []
        changed = self._reports.list_since(link.reports_seen)
        link.reports_seen = self._reports.changes
        for agent, report in changed:
            version = (report.agent_run, report.sequence_number)
            if link.reports.get(agent) != version:
                link.reports[agent] = version
                row = engine_reports.pack_report(report, now)
                rows.append({"agent": agent, "row": row})
        return rows

    def _collect_topics(
        self, link: LinkState, now: float
    ) -> abc.Sequence[_Message]:
        rows = []
        for name, follower in self._topics.items():
            news = follower.describe_news()
            if news is None or not _is_news(news, link.topics.get(name)):
                continue
            link.topics[name] = news
            rows.append(
                {
                    "name": name,
                    "end": news.end,
                    "confirmed_ms_ago": _measure_age_ms(
                        now, news.confirmed_at
                    ),
                }
            )
        return rows

    def take(
        self, link: LinkState, message: _Message
    ) -> abc.Sequence[tuple[str, topic_follower.TopicProgress]]:
        """Take a message; return what it tells of topics, by their names."""
        now = trio.current_time()
        delay_s = link.delay.measure_s(message["clock_ms"] / 1000, now)
        sent_at = now - delay_s
        leaving = frozenset(message.get("leaving", ()))
        for row in message["members"]:
            member = members.Member(
                **row, is_leaving=row["address"] in leaving
            )
            self._take_member(link, member, now)
        for address, beat in message["beats"].items():
            known = self.members.find(address)
            if known is not None:
                member = known._replace(
                    beat=beat, is_leaving=address in leaving
                )
                self._take_member(link, member, now)
        for row in message["engines"]:
            self._take_engine(link, row, sent_at)
        if not link.delay.is_settled(now):
            # How old this is can't be told yet. Taken as fresh, it would
            # keep this entry from reading for itself.
            return ()
        return [
            (row["name"], self._take_topic(link, row, sent_at))
            for row in message["topics"]
        ]

    def _take_member(
        self, link: LinkState, member: members.Member, now: float
    ) -> None:
        known_beat = link.beats.get(member.address, 0)
        link.beats[member.address] = max(member.beat, known_beat)
        known = self.members.find(member.address)
        is_notice = member.is_leaving and not (known and known.is_leaving)
        if self.members.merge(member, now) and is_notice:
            self.hurry()

    def _take_engine(
        self, link: LinkState, row: _Message, sent_at: float
    ) -> None:
        report = engine_reports.unpack_report(row["row"], sent_at)
        if report is None:
            return
        agent = row["agent"]
        link.reports[agent] = (report.agent_run, report.sequence_number)
        if trio.current_time() - report.sampled_at > _REPORT_KEPT_S:
            return
        if self.put_report(agent, report):
            self.handle_report(agent, report)

    @staticmethod
    def _take_topic(
        link: LinkState, row: _Message, sent_at: float
    ) -> topic_follower.TopicProgress:
        news = topic_follower.TopicProgress(
            row["end"],
            _find_moment(sent_at, row["confirmed_ms_ago"]),
        )
        link.topics[row["name"]] = news
        return news


def _pack_member(member: members.Member) -> _Message:
    return {
        "address": member.address,
        "data_centre": member.data_centre,
        "beat": member.beat,
    }


def _is_news(
    news: topic_follower.TopicProgress,
    known: typing.Optional[topic_follower.TopicProgress],
) -> bool:
    if known is None or news.end > known.end:
        return True
    return news.confirmed_at > known.confirmed_at + _CONFIRMED_AGAIN_S


def _measure_age_ms(now: float, moment: float) -> int:
    if moment == deadlines.NEVER:
        return _NO_MOMENT_MS
    return max(0, round((now - moment) * 1000))


def _find_moment(sent_at: float, age_ms: int) -> float:
    return deadlines.NEVER if age_ms < 0 else sent_at - age_ms / 1000
