"""What entries gossip, and what of it each connection still lacks.

Entries pass on what they hear until all have it: the members, the reports of
engines whose agents only some entries are connected to, and how far the log's
topics were read. A connection carries each item at most once in each
direction, and nothing is sent back to the entry that sent it. So what an
entry sends depends on its number of connections, not on the number of
entries.
"""

from collections import abc
import typing

import trio

from gentianpoint_core import change_log
from gentianpoint_core import deadlines
from gentianpoint_core import limit_table
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.decisions import customer_usage
from gentianpoint_core.decisions import request_turns
from gentianpoint_core.generated import events
from gentianpoint_entry import crash_suspects
from gentianpoint_entry.forwarding import engine_reports
from gentianpoint_entry.forwarding import leaving_notices
from gentianpoint_entry.forwarding import link_delay
from gentianpoint_entry.forwarding import members
from gentianpoint_entry.forwarding import targets
from gentianpoint_entry.forwarding import topic_follower

__all__ = ("GossipState", "LinkState")

_REPORT_KEPT_S: typing.Final = 4.0
"""Age in seconds from which a report is dropped; agents send at least one a
second."""
_MIN_CONFIRMED_STEP_S: typing.Final = 0.15
"""Seconds by which a topic without new records must have been confirmed later
than the other end knows to be sent again."""
_NEVER_CONFIRMED_MS: typing.Final = -1
"""Value of ``confirmed_ms_ago`` for a topic that was never confirmed."""
_USAGE_LOG_INTERVAL_S: typing.Final = 10.0
"""Seconds, at least, between two log lines about customers' usage."""
_Message = abc.Mapping[str, typing.Any]

HandleReport = abc.Callable[[str, targets.EngineReport], None]
"""Called with the address of an agent and the report of its engine."""


def _ignore_report(agent: str, report: targets.EngineReport) -> None:
    """Do nothing with a report; it is passed on all the same."""


class LinkState:
    """What the two ends of one connection have sent each other."""

    def __init__(self, now: float) -> None:
        """Start with a connection that was opened at ``now``."""
        self.delay: typing.Final = link_delay.LinkDelay(now)
        # Counts of notifications and changes that were already handled.
        self.urgent_seen = 0
        self.members_seen = 0
        self.reports_seen = 0
        self.ends_seen = 0
        self.limits_seen = 0
        self.notices_seen = 0
        self.usage_seen = 0
        # What the other end knows: heartbeat counters by member, runs and
        # report numbers by agent, progress by topic.
        self.beats: typing.Final[dict[str, int]] = {}
        self.reports: typing.Final[dict[str, tuple[int, int]]] = {}
        self.topics: typing.Final[dict[str, topic_follower.TopicProgress]] = {}
        # Ends of targets that the other end has told since the last message
        # to it: content, target, and whether the end is cleared.
        self.ends: typing.Final[set[tuple[str, str, bool]]] = set()
        # Keys of limits that the other end has told since then.
        self.limits: typing.Final[set[str]] = set()
        # Keys of leaving targets that it has told since then.
        self.notices: typing.Final[set[str]] = set()
        # Members and numbers of the usage that it has told since then.
        self.usage: typing.Final[set[tuple[str, int]]] = set()


class GossipState:
    """What this entry knows and passes on to others."""

    def __init__(
        self,
        table: members.MemberTable,
        suspects: crash_suspects.CrashSuspects,
        limits: typing.Optional[limit_table.LimitTable] = None,
        notices: typing.Optional[leaving_notices.LeavingNotices] = None,
        usage: typing.Optional[customer_usage.CustomerUsage] = None,
    ) -> None:
        """Start with the members of ``table`` and no reports or topics.

        The ends of targets in ``suspects``, the ``limits`` of targets, the
        ``notices`` of those that leave and the ``usage`` of customers are
        passed on, and those that others tell are added to them.
        """
        self.members: typing.Final = table
        self.suspects: typing.Final = suspects
        self.handle_report: HandleReport = _ignore_report
        self._reports: typing.Final = change_log.ChangeLog[
            targets.EngineReport
        ]()
        self._topics: typing.Final[
            dict[str, topic_follower.TopicFollower]
        ] = {}
        self._urgent = trio.Event()
        self._urgent_count = 0
        self.limits: typing.Final = (
            limit_table.LimitTable() if limits is None else limits
        )
        self.limits.notify_urgent = self.notify_urgent
        self.notices: typing.Final = (
            leaving_notices.LeavingNotices(targets.TargetRegistry())
            if notices is None
            else notices
        )
        self.notices.notify_urgent = self.notify_urgent
        self.usage: typing.Final = (
            customer_usage.CustomerUsage(table.address)
            if usage is None
            else usage
        )
        self._usage_told_at = deadlines.NEVER
        self._usage_logged_at = deadlines.NEVER

    def add_topic(self, follower: topic_follower.TopicFollower) -> None:
        """Gossip the progress of ``follower``."""
        self._topics[follower.name] = follower
        follower.notify_progress = self.notify_urgent

    def find_follower(
        self, name: str
    ) -> typing.Optional[topic_follower.TopicFollower]:
        """Return the follower of a topic."""
        return self._topics.get(name)

    def put_report(self, agent: str, report: targets.EngineReport) -> bool:
        """Record a report of an agent; False if it is not newer.

        The first report that the engine is leaving is passed on at once:
        the generations there have at most two seconds to move.
        """
        known = self._reports.find(agent)
        if not engine_reports.is_newer(report, known):
            return False
        self._reports.put(agent, report)
        if report.is_leaving and not (known and known.is_leaving):
            self.notify_urgent()
        return True

    def leave(self) -> None:
        """Tell all entries that this one has been told to stop."""
        self.members.leave(trio.current_time())
        self.notify_urgent()

    def tick(self) -> None:
        """Increment the heartbeat counter if due, and drop old reports.

        The usage of this entry's customers is told if it is due. Must be
        called several times a second.
        """
        now = trio.current_time()
        self.members.tick(now)
        if self.usage.tell(now):
            self._log_usage(now)
        for agent, report in self._reports.list_all():
            if now - report.sampled_at > _REPORT_KEPT_S:
                self._reports.drop(agent)

    def notify_urgent(self) -> None:
        """Make every connection send at once what the other end lacks."""
        self._urgent_count += 1
        self._urgent.set()
        self._urgent = trio.Event()

    async def wait_for_urgent(self, link: LinkState, within_s: float) -> None:
        """Return after ``within_s`` seconds, or on an urgent notification.

        A notification that came while the previous message was being sent
        counts as well.
        """
        if link.urgent_seen == self._urgent_count:
            with trio.move_on_after(within_s):
                await self._urgent.wait()
        link.urgent_seen = self._urgent_count

    def build_message(self, link: LinkState) -> typing.Optional[_Message]:
        """Return a message with all that the other end lacks, if any."""
        now = trio.current_time()
        new_members, beats, leaving = self._collect_members(link)
        reports = self._collect_reports(link, now)
        topics = self._collect_topics(link, now)
        ends = self._collect_ends(link, now)
        limits = self._collect_limits(link, now)
        notices = self._collect_notices(link, now)
        usage = self._collect_usage(link, now)
        members_changed = bool(new_members or beats)
        others_changed = bool(ends or limits or notices or usage)
        if not (members_changed or reports or topics or others_changed):
            return None
        message = {
            "type": "gossip",
            "address": self.members.address,
            "clock_ms": round(now * 1000),
            "members": new_members,
            "beats": beats,
            "leaving": leaving,
            "engines": reports,
            "topics": topics,
            "ended_targets": ends,
            "limits": limits,
            "leaving_targets": notices,
        }
        if usage:
            # Left out otherwise, as most deployments never have it.
            message["usage"] = usage
        return message

    def _collect_members(
        self, link: LinkState
    ) -> tuple[
        abc.Sequence[_Message], abc.Mapping[str, int], abc.Sequence[str]
    ]:
        """Return what the other end lacks of the members.

        The first part has the members that it does not know, the second the
        new heartbeat counters of those that it knows, and the third the
        addresses of those of both parts that are leaving.
        """
        new_members = []
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
                new_members.append(_pack_member(member))
        link.members_seen = self.members.changes
        return new_members, beats, leaving

    def relays_reports(self) -> bool:
        """Tell whether entries pass on reports of engines.

        In a small fleet every entry is connected to all agents.
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
            progress = follower.get_progress()
            if progress is None or not _is_worth_sending(
                progress, link.topics.get(name)
            ):
                continue
            link.topics[name] = progress
            rows.append(
                {
                    "name": name,
                    "era": progress.position.era,
                    "end": progress.position.offset,
                    "confirmed_ms_ago": _compute_age_ms(
                        now, progress.confirmed_at
                    ),
                }
            )
        return rows

    def _collect_ends(
        self, link: LinkState, now: float
    ) -> abc.Sequence[_Message]:
        changed = self.suspects.list_since(link.ends_seen)
        rows = [
            {
                "content": news.content,
                "target": news.target,
                "ended_ms_ago": _compute_age_ms(now, news.ended_at),
                "cleared": news.is_cleared,
            }
            for news in changed
            if (news.content, news.target, news.is_cleared) not in link.ends
        ]
        link.ends_seen = self.suspects.changes
        link.ends.clear()
        return rows

    def _collect_limits(
        self, link: LinkState, now: float
    ) -> abc.Sequence[_Message]:
        changed = self.limits.list_since(link.limits_seen)
        rows = [
            _pack_limit(news, now)
            for news in changed
            if news.key not in link.limits
        ]
        link.limits_seen = self.limits.changes
        link.limits.clear()
        return rows

    def _collect_notices(
        self, link: LinkState, now: float
    ) -> abc.Sequence[_Message]:
        rows = [
            {
                "key": notice.key,
                "said_ms_ago": _compute_age_ms(now, notice.said_at),
            }
            for notice in self.notices.list_since(link.notices_seen)
            if notice.key not in link.notices
        ]
        link.notices_seen = self.notices.changes
        link.notices.clear()
        return rows

    def _collect_usage(
        self, link: LinkState, now: float
    ) -> abc.Sequence[_Message]:
        rows = [
            {
                "member": row.member,
                "number": row.number,
                "customers": row.customers,
            }
            for row in self.usage.list_since(link.usage_seen, now)
            if (row.member, row.number) not in link.usage
        ]
        link.usage_seen = self.usage.changes
        link.usage.clear()
        return rows

    def _log_usage(self, now: float) -> None:
        """Log whose requests go last while requests wait for room.

        Not with the first row: others' rows come within a second or two.
        """
        is_first = now - self._usage_told_at > _USAGE_LOG_INTERVAL_S
        self._usage_told_at = now
        if is_first or now - self._usage_logged_at < _USAGE_LOG_INTERVAL_S:
            return
        self._usage_logged_at = now
        logs.log_event(
            events.CUSTOMER_USAGE,
            usage={
                name: round(usage)
                for name, usage in self.usage.list_largest(now)
            },
            others=self.usage.count_others(),
        )

    def apply_message(
        self, link: LinkState, message: _Message
    ) -> abc.Sequence[tuple[str, topic_follower.TopicProgress]]:
        """Apply a message; return the names and progress of its topics."""
        now = trio.current_time()
        delay_s = link.delay.measure_s(message["clock_ms"] / 1000, now)
        sent_at = now - delay_s
        leaving = frozenset(message.get("leaving", ()))
        for row in message["members"]:
            member = members.Member(
                **row, is_leaving=row["address"] in leaving
            )
            self._apply_member(link, member, now)
        for address, beat in message["beats"].items():
            known = self.members.find(address)
            if known is not None:
                member = known._replace(
                    beat=beat, is_leaving=address in leaving
                )
                self._apply_member(link, member, now)
        for row in message["engines"]:
            self._apply_report(link, row, sent_at)
        self._apply_ends(link, message.get("ended_targets", ()), sent_at)
        self._apply_limits(link, message.get("limits", ()), sent_at)
        self._apply_notices(link, message.get("leaving_targets", ()), sent_at)
        self._apply_usage(link, message.get("usage", ()), sent_at)
        if not link.delay.is_settled(now):
            # The age of the progress is not known yet. If it were taken as
            # fresh, it would keep this entry from polling the log itself.
            return ()
        return [
            (row["name"], self._apply_progress(link, row, sent_at))
            for row in message["topics"]
        ]

    def _apply_member(
        self, link: LinkState, member: members.Member, now: float
    ) -> None:
        known_beat = link.beats.get(member.address, 0)
        link.beats[member.address] = max(member.beat, known_beat)
        known = self.members.find(member.address)
        starts_leaving = member.is_leaving and not (known and known.is_leaving)
        if self.members.merge(member, now) and starts_leaving:
            self.notify_urgent()

    def _apply_report(
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

    def _apply_ends(
        self, link: LinkState, rows: abc.Iterable[_Message], sent_at: float
    ) -> None:
        is_any_new = False
        for row in rows:
            news = crash_suspects.SuspectNews(
                row["content"],
                row["target"],
                sent_at - max(0, row["ended_ms_ago"]) / 1000,
                row["cleared"],
            )
            link.ends.add((news.content, news.target, news.is_cleared))
            is_any_new |= self.suspects.merge(news, trio.current_time())
        if is_any_new:
            self.notify_urgent()

    def _apply_limits(
        self, link: LinkState, rows: abc.Iterable[_Message], sent_at: float
    ) -> None:
        seen = self.limits.changes
        for row in rows:
            if self.limits.merge(_unpack_limit(row, sent_at)):
                link.limits.add(row["key"])
        if self.limits.changes != seen:
            self.notify_urgent()

    def _apply_notices(
        self, link: LinkState, rows: abc.Iterable[_Message], sent_at: float
    ) -> None:
        is_any_new = False
        for row in rows:
            notice = leaving_notices.LeavingNotice(
                row["key"], sent_at - max(0, row["said_ms_ago"]) / 1000
            )
            link.notices.add(notice.key)
            is_any_new |= self.notices.merge(notice, trio.current_time())
        if is_any_new:
            self.notify_urgent()

    def _apply_usage(
        self, link: LinkState, rows: abc.Iterable[_Message], sent_at: float
    ) -> None:
        """Apply what customers use; this is passed on, but not at once.

        Rows of many members then go on in one message.
        """
        now = trio.current_time()
        for fields in rows:
            row = customer_usage.MemberRow(
                fields["member"], fields["number"], fields["customers"]
            )
            link.usage.add((row.member, row.number))
            self.usage.merge(row, sent_at, now)

    @staticmethod
    def _apply_progress(
        link: LinkState, row: _Message, sent_at: float
    ) -> topic_follower.TopicProgress:
        progress = topic_follower.TopicProgress(
            ports.LogPosition(row.get("era", 0), row["end"]),
            _find_confirmed_at(sent_at, row["confirmed_ms_ago"]),
        )
        link.topics[row["name"]] = progress
        return progress


def _pack_member(member: members.Member) -> _Message:
    return {
        "address": member.address,
        "data_centre": member.data_centre,
        "beat": member.beat,
    }


def _pack_limit(news: limit_table.LimitNews, now: float) -> _Message:
    clock = news.clock
    return {
        "key": news.key,
        "per_s": clock.per_s,
        "window_ms": round(clock.window_s * 1000),
        "turn": clock.turn,
        "turn_ms_ago": _compute_age_ms(now, clock.turn_at),
        "said_ms_ago": _compute_age_ms(now, news.said_at),
        "over": news.is_over,
    }


def _unpack_limit(row: _Message, sent_at: float) -> limit_table.LimitNews:
    clock = request_turns.TurnClock(
        float(row["per_s"]),
        row["window_ms"] / 1000,
        row["turn"],
        sent_at - row["turn_ms_ago"] / 1000,
    )
    return limit_table.LimitNews(
        row["key"], clock, sent_at - row["said_ms_ago"] / 1000, row["over"]
    )


def _is_worth_sending(
    progress: topic_follower.TopicProgress,
    known: typing.Optional[topic_follower.TopicProgress],
) -> bool:
    if known is None or progress.position > known.position:
        return True
    return progress.confirmed_at > known.confirmed_at + _MIN_CONFIRMED_STEP_S


def _compute_age_ms(now: float, confirmed_at: float) -> int:
    if confirmed_at == deadlines.NEVER:
        return _NEVER_CONFIRMED_MS
    return max(0, round((now - confirmed_at) * 1000))


def _find_confirmed_at(sent_at: float, age_ms: int) -> float:
    return deadlines.NEVER if age_ms < 0 else sent_at - age_ms / 1000
