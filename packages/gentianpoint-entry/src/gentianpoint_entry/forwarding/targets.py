"""The targets that an entry knows, and their state as the entry sees it.

There are four sources: a target's own entry in the platform's list, which
lags; its agent, whose reports are fresh but may be missing; what it says in
its answers, to any entry; and the outcomes of this entry's own requests. A
target that one of them calls leaving gets no new work, whatever the others
say.
"""

from collections import abc
import math
import typing

from gentianpoint_core import deadlines
from gentianpoint_core import named_limits
from gentianpoint_core import ports
from gentianpoint_core.decisions import stream_origins
from gentianpoint_entry.forwarding import agent_turns

__all__ = (
    "NOT_LISTED",
    "EngineReport",
    "Target",
    "TargetEntry",
    "TargetRegistry",
    "is_same_start",
)


NOT_LISTED: typing.Final = ports.LogPosition(-1, -1)
"""Position of a target that no record of the list names."""
_SENT_KEPT_S: typing.Final = 4.0
"""Seconds after which a sent request is included in every report that is
still in use."""


_LIST_AGE_S: typing.Final = 1.0
"""Age, in seconds, that an entry of the list may have when it is read."""
_MAX_REST_S: typing.Final = 60.0
"""Longest rest that a target is given, in seconds. It may ask for more by
mistake, and only an answer tells that it takes requests again."""


class TargetEntry(typing.NamedTuple):
    """What a target says of itself in the platform's list."""

    target_id: str
    """Identifier of this start of the target."""
    service: str
    """Service that it belongs to."""
    address: str
    """IP:PORT."""
    data_centre: str
    """Data centre that it runs in."""
    slots: int
    """Requests that it runs concurrently."""
    is_leaving: bool
    """True when it accepts no new work."""
    cold_left_ms: float
    """Milliseconds for which it is still cold."""
    started_ms: int
    """Unix time of its start in milliseconds, 0 if not said. The same
    identifier with another time is a new start, without the old state."""
    software: str = ""
    """Version of its software, not of its weights; empty if not known."""
    sequence_number: int = 0
    """Counts what this start says of itself; 0 if not said."""


class EngineReport(typing.NamedTuple):
    """The state of an engine, as its agent last reported it."""

    sampled_at: float
    """Trio time in seconds at which the agent queried the engine."""
    running: int
    """Requests in the running batch."""
    waiting: int
    """Requests that wait in the engine's queue."""
    used_tokens: int
    """Memory in use that can't be freed, in tokens."""
    total_tokens: int
    """Total memory, in tokens."""
    is_leaving: bool
    """True when the engine has been given notice that it will be stopped."""
    leaves_at: typing.Optional[deadlines.Deadline]
    """When it stops, if known."""
    is_silent: bool
    """True when the engine no longer answers its agent."""
    pending_prefill_tokens: int
    """Prompt tokens still to be processed, for all entries' requests."""
    started_ms: int = 0
    """Unix time of the engine's start in milliseconds, 0 if not said."""
    agent_run: int = 0
    """Identifies the run of the agent, which changes when it restarts."""
    sequence_number: int = 0
    """Counts the reports of this run of the agent."""
    step_us: int = 0
    """Time of a decoding step in microseconds; 0 if unknown."""
    prefill_us_per_k: int = 0
    """Time to prefill a thousand prompt tokens, in microseconds; 0 if
    unknown."""


class _SentRequest(typing.NamedTuple):
    """A request that the last report may not include yet."""

    at: float
    """Trio time at which it was sent."""
    tokens: int
    """Memory that it is expected to take, in tokens."""
    prompt_tokens: int
    """Prompt tokens that are to be processed for it."""
    is_request: bool
    """False for a generation whose memory is only moved there."""


class Target:
    """One start of a target, and its state as this entry sees it."""

    def __init__(self, entry: TargetEntry, now: float) -> None:
        """Start from the target's own entry; ``now`` is trio's time."""
        self.entry = entry
        self.added_at: typing.Final = now
        # From when streams that may be taken up begin here.
        self.streams_from = -math.inf
        # Latest start of the engine that its agent has reported.
        self.reported_start_ms = 0
        # True once it has been removed from the registry.
        self.is_gone = False
        # True once another target was found to have its address.
        self.is_replaced = False
        # Position of its newest record in the list.
        self.position = NOT_LISTED
        self.leaves_at: typing.Optional[deadlines.Deadline] = None
        # True while its data centre is evacuated.
        self.is_evacuated = False
        # True once its agent has said that this start leaves.
        self._is_reported_leaving = False
        # When it has said that it leaves, at the earliest.
        self.notice_at = -math.inf if entry.is_leaving else math.inf
        # True once it has said so in an answer to this or another entry.
        self.is_said_to_leave = False
        # Until when it is cold by its own entry.
        self.cold_until = now + entry.cold_left_ms / 1000
        # When it may have become cold without saying so yet.
        self.maybe_cold_since = -math.inf
        self.report: typing.Optional[EngineReport] = None
        # Before the first report, the time at which the target was added.
        self.last_report_at = now
        self.turns: typing.Optional[agent_turns.AgentTurns] = None
        self._sent: typing.Final[list[_SentRequest]] = []
        self.sent_since_report = 0
        self.tokens_since_report = 0
        self.open_requests = 0
        self.open_tokens = 0
        # Since when it has had open requests without a break.
        self.busy_since = math.inf
        # Prompt tokens of this entry's requests alone: of those that have no
        # event yet, and of those that were sent after the report was made.
        self.own_pending_prefill_tokens = 0
        self.prompt_tokens_since_report = 0
        # Limit on requests that its latest answer names.
        self.named_limit = named_limits.UNNAMED
        self.failures = 0
        self.failed_at = -1e9
        # Until when it has asked this entry for rest.
        self.rests_until = -math.inf
        # When it last refused a request of this entry.
        self.refused_at = -math.inf

    @property
    def target_id(self) -> str:
        """Identifier of this start."""
        return self.entry.target_id

    @property
    def software(self) -> str:
        """Version of its software, empty if it is not known.

        Once an agent has reported a later start, the list's version may be
        that of the start before.
        """
        if self.reported_start_ms > self.entry.started_ms:
            return ""
        return self.entry.software

    @property
    def origin(self) -> stream_origins.StreamOrigin:
        """The start that streams have as their origin that begin here."""
        started_ms = max(self.entry.started_ms, self.reported_start_ms)
        return stream_origins.StreamOrigin(
            self.entry.service, f"{self.target_id}/{started_ms}", self.software
        )

    def may_go_on(
        self, origin: typing.Optional[stream_origins.StreamOrigin]
    ) -> bool:
        """Tell whether it may go on with a stream that began at ``origin``.

        That is asked of each target for each request, and most requests have
        no such stream.
        """
        return origin is None or stream_origins.may_go_on(origin, self.origin)

    def accepts_work(self) -> bool:
        """Tell whether new work may be sent here."""
        if self.is_gone or self.is_replaced or self.is_evacuated:
            return False
        return not (self.has_notice() or self.is_said_to_leave)

    def has_notice(self) -> bool:
        """Tell whether its entry or its agent has said that it leaves.

        A start that has said so does not take it back.
        """
        if self.entry.is_leaving or self._is_reported_leaving:
            return True
        return self.report is not None and self.report.is_leaving

    def note_notice(self, at: float) -> None:
        """Record that it said that it leaves, at ``at`` at the earliest.

        The first word of it counts.
        """
        if math.isinf(self.notice_at):
            self.notice_at = min(self.notice_at, at)

    def may_be_sent(self, now: float, drain_s: float) -> bool:
        """Tell whether a request that has to go here may still be sent.

        One that goes on from a copy of its memory has few places to go to, so
        it may for ``drain_s`` seconds after a notice.
        """
        if self.is_said_to_leave:
            return False
        return now <= self.notice_at + drain_s

    def is_succeeded(self) -> bool:
        """Tell whether another start is known to be at its address."""
        if self.is_replaced:
            return True
        return 0 < self.entry.started_ms < self.reported_start_ms

    def has_reported_since(self, since: float) -> bool:
        """Tell whether its agent has found this start alive after ``since``.

        False as well if no time of a start is known to compare.
        """
        report = self.report
        if report is None or report.is_silent or report.sampled_at < since:
            return False
        return 0 < report.started_ms == self.entry.started_ms

    def find_cold_until(self, cold_ms: float) -> float:
        """Return until when it counts as cold, on trio's clock.

        ``cold_ms`` is how long its service's targets are cold after a start.
        """
        return max(self.cold_until, self.maybe_cold_since + cold_ms / 1000)

    def note_failure(self, now: float) -> None:
        """Record a failure at ``now``, which lowers the target's rank."""
        self.failures += 1
        self.failed_at = now

    def note_refusal(self, now: float, rest_ms: float) -> None:
        """Record a refusal, and for how long the target wants nothing.

        What it has asked for before holds also if it asks for less now.
        """
        self.refused_at = now
        rest_s = min(rest_ms / 1000, _MAX_REST_S)
        self.rests_until = max(self.rests_until, now + rest_s)

    def open_request(self, now: float, tokens: int) -> None:
        """Count a request that is sent here and has not ended yet."""
        if not self.open_requests:
            self.busy_since = now
        self.open_requests += 1
        self.open_tokens += tokens

    def close_request(self, tokens: int) -> None:
        """Count the end of a request that was sent here."""
        self.open_requests -= 1
        self.open_tokens -= tokens
        if not self.open_requests:
            self.busy_since = math.inf

    def note_sent(
        self,
        now: float,
        tokens: int,
        prompt_tokens: int,
        *,
        is_request: bool = True,
    ) -> None:
        """Count what the next report may not include yet."""
        # While there is no report, the open requests are used instead.
        self._sent[:] = [
            item for item in self._sent if now - item.at < _SENT_KEPT_S
        ]
        self._sent.append(_SentRequest(now, tokens, prompt_tokens, is_request))
        self._count_sent()

    def _count_sent(self) -> None:
        self.sent_since_report = sum(item.is_request for item in self._sent)
        self.tokens_since_report = sum(item.tokens for item in self._sent)
        self.prompt_tokens_since_report = sum(
            item.prompt_tokens for item in self._sent
        )

    def take_report(self, report: EngineReport) -> None:
        """Apply a report of the agent.

        A report that other entries passed on is some tenths of a second old
        and does not include what has been sent since.
        """
        self.report = report
        # A report that names no start may be a late one of the start before,
        # so what it says holds until the next report only.
        if (
            report.is_leaving
            and 0 < report.started_ms == self.entry.started_ms
        ):
            self._is_reported_leaving = True
        if report.is_leaving:
            self.note_notice(report.sampled_at)
        elif not self.has_notice():
            self.notice_at = math.inf
        self.last_report_at = report.sampled_at
        self._sent[:] = [
            item for item in self._sent if item.at > report.sampled_at
        ]
        self._count_sent()
        if report.leaves_at is not None:
            self.leaves_at = report.leaves_at


class TargetRegistry:
    """All known targets, by identifier, by service and by address."""

    def __init__(self) -> None:
        """Start without targets."""
        self.last_leaving_notice_at = -math.inf
        # Seconds after its notice in which a target may be sent requests.
        self.drain_s = math.inf
        # Tells whether a target that is added has said that it leaves.
        self.is_said_to_leave: abc.Callable[[Target], bool] = lambda target: (
            False
        )
        # Returns from when streams that may be taken up begin at a target, at
        # a time on trio's clock.
        self.find_streams_from: abc.Callable[[Target, float], float] = (
            lambda target, now: -math.inf
        )
        # Called when a target was added or dropped.
        self.handle_membership: abc.Callable[[], None] = lambda: None
        # Called with each target that has a new report.
        self.handle_report: abc.Callable[[Target], None] = lambda target: None
        self._evacuated: frozenset[str] = frozenset()
        self._targets: typing.Final[dict[str, Target]] = {}
        self._by_service: typing.Final[dict[str, list[Target]]] = {}
        self._by_address: typing.Final[
            dict[tuple[str, str], list[Target]]
        ] = {}

    def note_leaving_notice(self, now: float) -> None:
        """Record when a target was last given notice.

        No generations are backed up for a while after that; see
        ``target_selection``.
        """
        self.last_leaving_notice_at = now

    def note_report(self, target: Target) -> None:
        """Tell that a target has a new report, for requests that wait."""
        self.handle_report(target)

    def set_evacuated(
        self, data_centres: abc.Collection[str], now: float
    ) -> None:
        """Let the targets of ``data_centres``, and no others, get no work.

        Those of a data centre that is taken back may be cold, which their
        entries in the list tell only later.
        """
        taken_back = self._evacuated - frozenset(data_centres)
        self._evacuated = frozenset(data_centres)
        for target in self._targets.values():
            data_centre = target.entry.data_centre
            target.is_evacuated = data_centre in self._evacuated
            if data_centre in taken_back:
                target.maybe_cold_since = now

    def put_entry(
        self,
        entry: TargetEntry,
        now: float,
        position: ports.LogPosition = NOT_LISTED,
    ) -> Target:
        """Add or update a target; a new start replaces the one before.

        ``position`` is that of the entry's record in the list, if it has one.
        """
        known = self._targets.get(entry.target_id)
        if known is not None and is_same_start(known.entry, entry):
            # Another writer may have left the version out.
            software = entry.software or known.entry.software
            known.entry = entry._replace(
                software=software,
                is_leaving=entry.is_leaving or known.entry.is_leaving,
            )
            if known.entry.is_leaving:
                known.note_notice(now - _LIST_AGE_S)
            known.cold_until = max(
                known.cold_until, now + entry.cold_left_ms / 1000
            )
            known.is_evacuated = entry.data_centre in self._evacuated
            known.is_gone = False
            # It still writes its entry, so it was wrong to conclude from
            # another target's answer that it has ended.
            known.is_replaced = False
            known.position = max(known.position, position)
            known.streams_from = self.find_streams_from(known, now)
            _mark_replaced(self._list_at_address(known))
            return known
        if known is not None:
            self.drop(entry.target_id)
        target = Target(entry, now)
        target.position = position
        target.is_said_to_leave = self.is_said_to_leave(target)
        target.is_evacuated = entry.data_centre in self._evacuated
        target.streams_from = self.find_streams_from(target, now)
        self._targets[entry.target_id] = target
        self.handle_membership()
        self._by_service.setdefault(entry.service, []).append(target)
        self._list_at_address(target).append(target)
        _mark_replaced(self._list_at_address(target))
        return target

    def drop(self, target_id: str) -> typing.Optional[Target]:
        """Remove a target; open requests see that it is gone."""
        target = self._targets.pop(target_id, None)
        if target is not None:
            self.handle_membership()
            target.is_gone = True
            of_service = self._by_service[target.entry.service]
            of_service.remove(target)
            if not of_service:
                del self._by_service[target.entry.service]
            starts = self._list_at_address(target)
            starts.remove(target)
            if not starts:
                del self._by_address[
                    target.entry.service, target.entry.address
                ]
        return target

    def _list_at_address(self, target: Target) -> list[Target]:
        """Return the targets of a service that are listed at one address."""
        key = (target.entry.service, target.entry.address)
        return self._by_address.setdefault(key, [])

    def has_other_start(self, target: Target) -> bool:
        """Tell whether another start is listed at a target's address."""
        return any(
            item is not target
            for item in self._by_address.get(
                (target.entry.service, target.entry.address), ()
            )
        )

    def find(self, target_id: str) -> typing.Optional[Target]:
        """Return a target by its identifier."""
        return self._targets.get(target_id)

    def list_by_service(self, service: str) -> abc.Sequence[Target]:
        """Return the targets of a service."""
        return self._by_service.get(service, ())

    def list_all(self) -> abc.Sequence[Target]:
        """Return all targets."""
        return list(self._targets.values())


def _mark_replaced(starts: abc.Sequence[Target]) -> None:
    """Mark those of a service's targets at one address that have ended.

    The list still names a start that has ended until its entry expires, and
    requests sent to it are refused by the target that now has its address:
    the one that wrote its entry last. Positions tell which one that is without
    relying on any host's clock. Targets of other services at the address are
    left alone, since their entries may simply be wrong.
    """
    latest = max(target.position for target in starts)
    for target in starts:
        if NOT_LISTED < target.position < latest:
            target.is_replaced = True


def is_same_start(known: TargetEntry, entry: TargetEntry) -> bool:
    """Tell whether two entries are of one start of a target."""
    if known.service != entry.service or known.address != entry.address:
        return False
    # A start keeps its software.
    if known.software and entry.software and known.software != entry.software:
        return False
    # An announcement, or an entry written by an older version of the target,
    # may lack the time of the start. Identifier and address must do then.
    if not known.started_ms or not entry.started_ms:
        return True
    return known.started_ms == entry.started_ms
