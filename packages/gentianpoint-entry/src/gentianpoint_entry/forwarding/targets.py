"""The targets that an entry knows, and what it believes of each.

Three sources tell of a target: its own entry in the platform's list, which
lags; its agent, which is fresh but may be away; and what this entry has seen
on its own requests. A target that one of them calls leaving gets no new
work, whatever the others say.
"""

from collections import abc
import math
import typing

from gentianpoint_core import deadlines
from gentianpoint_entry.forwarding import agent_turns

__all__ = ("EngineReport", "Target", "TargetEntry", "TargetRegistry")


_NOT_LISTED: typing.Final = -1
"""Offset of a target that no record of the list names."""
_SENT_KEPT_S: typing.Final = 4.0
"""Time after which a request that was sent is in every report that counts."""


class TargetEntry(typing.NamedTuple):
    """What a target says of itself in the platform's list."""

    target_id: str
    """Identifier of this start of the target."""
    service: str
    """Service that it belongs to."""
    address: str
    """IP:PORT."""
    data_centre: str
    """Where it is."""
    slots: int
    """Requests that it runs at once."""
    is_leaving: bool
    """True when it takes no new work."""
    slow_start_ms: float
    """How much longer it is slow after its start."""
    started_ms: int
    """Unix time of its start in milliseconds, 0 if not said. The same
    identifier with another time is a new start that knows nothing."""


class EngineReport(typing.NamedTuple):
    """What an engine's agent last told."""

    sampled_at: float
    """When the engine was asked, on trio's clock, in seconds."""
    running: int
    """Requests in the batch."""
    waiting: int
    """Requests that wait in the engine."""
    used_tokens: int
    """Memory that can't yield, in tokens."""
    total_tokens: int
    """Memory, in tokens."""
    is_leaving: bool
    """True when the engine has been given notice."""
    leaves_at: typing.Optional[deadlines.Deadline]
    """When it goes, if known."""
    is_silent: bool
    """True when the engine no longer answers its agent."""
    pending_prefill_tokens: int
    """Prompt tokens that it has still to read, of all entries' requests."""
    started_ms: int = 0
    """Unix time of the engine's start in milliseconds, 0 if not said."""
    agent_run: int = 0
    """Number that tells runs of the agent apart."""
    sequence_number: int = 0
    """How many reports this run of the agent had made."""


class _Sent(typing.NamedTuple):
    """A request that may not be in the last report yet."""

    at: float
    """When it was sent."""
    tokens: int
    """Memory that it is likely to take."""
    prompt_tokens: int
    """Prompt tokens that are to be read for it."""
    is_request: bool
    """False for memory that only moves there."""


class Target:
    """One start of a target, with what this entry has seen of it."""

    def __init__(self, entry: TargetEntry, now: float) -> None:
        """Take the target's own word; ``now`` is trio's time."""
        self.entry = entry
        self.is_gone = False
        self.is_replaced = False
        # Place of its newest record in the list.
        self.offset = _NOT_LISTED
        self.leaves_at: typing.Optional[deadlines.Deadline] = None
        self.slow_start_until = now + entry.slow_start_ms / 1000
        self.report: typing.Optional[EngineReport] = None
        self.heard_at = now
        self.turns: typing.Optional[agent_turns.AgentTurns] = None
        self._sent: typing.Final[list[_Sent]] = []
        self.sent_since_report = 0
        self.tokens_since_report = 0
        self.open_requests = 0
        self.open_tokens = 0
        self.busy_since = math.inf
        # Prompts of this entry alone: those without an event yet, and those
        # that were sent after the report was made.
        self.own_pending_prefill_tokens = 0
        self.prompt_tokens_since_report = 0
        self.failures = 0
        self.failed_at = -1e9

    @property
    def target_id(self) -> str:
        """Identifier of this start."""
        return self.entry.target_id

    def accepts_work(self) -> bool:
        """Tell whether new work may be sent here."""
        if self.is_gone or self.is_replaced or self.entry.is_leaving:
            return False
        return self.report is None or not self.report.is_leaving

    def note_failure(self, now: float) -> None:
        """Remember a failure at ``now``, for the next choices."""
        self.failures += 1
        self.failed_at = now

    def open_request(self, now: float, tokens: int) -> None:
        """Count a request that is sent here and not ended yet."""
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
        """Count what the next report may not tell yet."""
        # Without any report, what counts are the requests that are open.
        self._sent[:] = [
            item for item in self._sent if now - item.at < _SENT_KEPT_S
        ]
        self._sent.append(_Sent(now, tokens, prompt_tokens, is_request))
        self._count_sent()

    def _count_sent(self) -> None:
        self.sent_since_report = sum(item.is_request for item in self._sent)
        self.tokens_since_report = sum(item.tokens for item in self._sent)
        self.prompt_tokens_since_report = sum(
            item.prompt_tokens for item in self._sent
        )

    def take_report(self, report: EngineReport) -> None:
        """Take what the agent tells.

        A report that other entries passed on was made some tenths of a
        second ago and does not know what was sent since.
        """
        self.report = report
        self.heard_at = report.sampled_at
        self._sent[:] = [
            item for item in self._sent if item.at > report.sampled_at
        ]
        self._count_sent()
        if report.leaves_at is not None:
            self.leaves_at = report.leaves_at


class TargetRegistry:
    """All targets, by their identifiers."""

    def __init__(self) -> None:
        """Start without any."""
        self.last_leaving_notice_at = -math.inf
        self._targets: typing.Final[dict[str, Target]] = {}
        self._by_service: typing.Final[dict[str, list[Target]]] = {}
        self._starts: typing.Final[dict[tuple[str, str], list[Target]]] = {}

    def note_leaving_notice(self, now: float) -> None:
        """Remember when a target was last given notice.

        See ``target_selection``.
        """
        self.last_leaving_notice_at = now

    def put_entry(
        self, entry: TargetEntry, now: float, offset: int = _NOT_LISTED
    ) -> Target:
        """Take a target's entry; a new start replaces the one before.

        ``offset`` is the place of its record in the list, if it has one.
        """
        known = self._targets.get(entry.target_id)
        if known is not None and _is_same_start(known.entry, entry):
            known.entry = entry
            known.is_gone = False
            # It writes still, so what answered in its place was a mistake.
            known.is_replaced = False
            known.offset = max(known.offset, offset)
            _note_replaced(self._list_starts(known))
            return known
        if known is not None:
            self.drop(entry.target_id)
        target = Target(entry, now)
        target.offset = offset
        self._targets[entry.target_id] = target
        self._by_service.setdefault(entry.service, []).append(target)
        self._list_starts(target).append(target)
        _note_replaced(self._list_starts(target))
        return target

    def drop(self, target_id: str) -> typing.Optional[Target]:
        """Forget a target; requests under way see that it is gone."""
        target = self._targets.pop(target_id, None)
        if target is not None:
            target.is_gone = True
            self._by_service[target.entry.service].remove(target)
            starts = self._list_starts(target)
            starts.remove(target)
            if not starts:
                del self._starts[target.entry.service, target.entry.address]
        return target

    def _list_starts(self, target: Target) -> list[Target]:
        """Return the targets of a service that are listed at one address."""
        key = (target.entry.service, target.entry.address)
        return self._starts.setdefault(key, [])

    def find(self, target_id: str) -> typing.Optional[Target]:
        """Return a target by its identifier."""
        return self._targets.get(target_id)

    def list_by_service(self, service: str) -> abc.Sequence[Target]:
        """Return the targets of a service."""
        return self._by_service.get(service, ())

    def list_all(self) -> abc.Sequence[Target]:
        """Return all targets."""
        return list(self._targets.values())


def _note_replaced(here: abc.Sequence[Target]) -> None:
    """Note which of a service's targets at one address have ended.

    The list goes on naming a start that ended until its entry lapses, and
    what is sent to it is refused by the one that has its address now: the
    one that wrote last. Offsets tell that without any host's clock. An entry
    of another service at that address may be anybody's mistake.
    """
    latest = max(target.offset for target in here)
    for target in here:
        if _NOT_LISTED < target.offset < latest:
            target.is_replaced = True


def _is_same_start(known: TargetEntry, entry: TargetEntry) -> bool:
    if known.service != entry.service or known.address != entry.address:
        return False
    # An announcement, or an entry of an older writer, may not say when the
    # target started; address and identifier then have to do.
    if not known.started_ms or not entry.started_ms:
        return True
    return known.started_ms == entry.started_ms
