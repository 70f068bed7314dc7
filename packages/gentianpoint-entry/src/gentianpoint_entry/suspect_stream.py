"""Shares the ends of targets with the other entries through the log.

An agent tells the entry whose call broke off that the target has ended. The
entry appends that to a stream of the log, which all entries follow, also those
that start later. While the log is unavailable, each entry knows what it has
seen itself, and appends it once the log is back.

A trial is made by the entry whose claim comes first in the stream, and none
while the log is unavailable.
"""

import math
import random
import time
import typing

import cbor2
import msgspec
import trio

from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_entry import crash_suspects
from gentianpoint_entry import log_streams
from gentianpoint_entry import trial_claims

__all__ = ("STREAM", "SuspectStream")

STREAM: typing.Final = "target-ends"
"""Stream of the log that has the ends of targets."""
_FIRST_OFFSET: typing.Final = 1
_LONG_POLL_MS: typing.Final = 5000
"""Time for which the log may hold a read that finds no record, milliseconds.
Targets seldom end, so that most reads find none."""
_READ_TIMEOUT_S: typing.Final = 7.0
"""Timeout of one read, long polling included, seconds."""
_RETRY_PAUSE_S: typing.Final = 0.5
"""Pause before the log is used again after a failure, seconds."""
_MAX_ROWS: typing.Final = 256
"""Ends in one record."""
_CLEARANCE_SPREAD_S: typing.Final = 2.0
"""Seconds over which the entries' clearances of one end are spread."""
_CLAIM_READ_S: typing.Final = 1.0
"""Seconds within which a claim that was appended is read again."""
_CLOCK_ERROR_S: typing.Final = 60.0
"""Seconds by which hosts' clocks may differ. A claim that is younger counts
from when it is read, since claims to one trial are told apart by their
times."""
_MAX_KEPT_CLEARANCES: typing.Final = 1024
"""Clearances in the stream that are remembered."""


class _Row(typing.NamedTuple):
    """An end, as it is written into the log."""

    content: str
    target: str
    ended_ms: int
    """Unix time in milliseconds."""
    is_cleared: bool


class _PendingNews:
    """News that are still to be appended."""

    def __init__(self) -> None:
        self._news: typing.Final[list[crash_suspects.SuspectNews]] = []
        self._has_news = trio.Event()

    def add(self, news: crash_suspects.SuspectNews) -> None:
        """Add news."""
        self._news.append(news)
        self._has_news.set()

    async def wait(self) -> None:
        """Wait until there are news."""
        await self._has_news.wait()

    async def take(self) -> typing.Sequence[crash_suspects.SuspectNews]:
        """Wait for news, and return and forget as many as a record holds."""
        await self.wait()
        taken = self._news[:_MAX_ROWS]
        del self._news[:_MAX_ROWS]
        if not self._news:
            self._has_news = trio.Event()
        return taken


class SuspectStream(trial_claims.ClaimSender):
    """The ends of targets that this entry and the others have seen."""

    def __init__(
        self,
        log: ports.Log,
        suspects: crash_suspects.CrashSuspects,
        claimant: str,
    ) -> None:
        """Keep ``suspects`` up to date with the stream in ``log``.

        ``claimant`` is the name of this entry, under which it claims trials.
        """
        self.trials: typing.Final = trial_claims.TrialClaims(
            suspects, claimant, self
        )
        # Set once a claim to a trial of a content has been read.
        self._claim_read: typing.Final[dict[str, trio.Event]] = {}
        self.suspects: typing.Final = suspects
        self._stream: typing.Final = log_streams.LogStream(
            log, STREAM, "read ends of targets", _READ_TIMEOUT_S
        )
        # What this entry has seen itself and not appended yet.
        self._ends: typing.Final = _PendingNews()
        self._clearances: typing.Final = _PendingNews()
        # Ends that a record of the stream clears, by content and target.
        # Used as an ordered set, oldest first.
        self._cleared: typing.Final[dict[tuple[str, str], None]] = {}

    def note_end(self, target: str, content: str) -> None:
        """Record that a target ended while it ran a request."""
        if not self.suspects.note_ends(target, [content], trio.current_time()):
            return
        logs.log_event(events.TARGET_ENDED, target=target, contents=[content])
        for news in self.suspects.list_ends(content):
            if news.target == target:
                self._add_pending(news)

    def note_answered(self, content: str) -> None:
        """Record that a target answered a request completely."""
        if self.suspects.note_answered(content, trio.current_time()):
            for news in self.suspects.list_ends(content):
                self._add_pending(news)

    def _add_pending(self, news: crash_suspects.SuspectNews) -> None:
        pending = self._clearances if news.is_cleared else self._ends
        pending.add(news)

    async def run(self) -> None:
        """Append and read ends until cancelled."""
        self.trials.start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._append_ends)
            nursery.start_soon(self._append_clearances)
            nursery.start_soon(self._follow)

    async def announce(
        self, claims: typing.Sequence[crash_suspects.SuspectNews]
    ) -> None:
        """Append claims, and wait until they or earlier ones were read."""
        if not self._stream.is_available:
            return
        read = [
            self._claim_read.setdefault(claim.content, trio.Event())
            for claim in claims
        ]
        with trio.move_on_after(_CLAIM_READ_S):
            try:
                await self._stream.append(_encode(claims))
            except ports.PortError as error:
                self._stream.note_outcome(error)
                return
            for event in read:
                await event.wait()

    async def _append_ends(self) -> None:
        while True:
            await self._append(await self._ends.take())

    async def _append_clearances(self) -> None:
        """Append what is cleared, unless another entry does so first.

        All entries may have seen an answer to a request that is sent often.
        """
        while True:
            await self._clearances.wait()
            await trio.sleep(random.random() * _CLEARANCE_SPREAD_S)
            news = [
                item
                for item in await self._clearances.take()
                if (item.content, item.target) not in self._cleared
            ]
            if news:
                await self._append(news)

    async def _append(
        self, news: typing.Sequence[crash_suspects.SuspectNews]
    ) -> None:
        """Append ends, however long the log is unavailable.

        An end that is appended twice counts once.
        """
        data = _encode(news)
        while True:
            try:
                await self._stream.append(data)
            except ports.PortError as error:
                self._stream.note_outcome(error)
                await trio.sleep(_RETRY_PAUSE_S)
            else:
                return

    async def _follow(self) -> None:
        offset = _FIRST_OFFSET
        era: typing.Optional[int] = None
        while True:
            try:
                found = await self._stream.read(offset, _LONG_POLL_MS)
            except ports.PortError as error:
                self._stream.note_outcome(error)
                await trio.sleep(_RETRY_PAUSE_S)
                continue
            self._stream.note_outcome(None)
            if era is not None and found.era > era:
                # The log has come back from an older copy.
                self._append_lost()
                offset = _FIRST_OFFSET
                era = found.era
                continue
            era = found.era
            for record in found.records:
                self._apply(record)
            if found.records:
                offset = found.records[-1].offset + 1
            else:
                offset = max(offset, found.first)

    def _append_lost(self) -> None:
        """Have the ends appended again for which requests are refused."""
        for content in self.suspects.list_ever_refused():
            for news in self.suspects.list_ends(content):
                self._add_pending(news)

    def _apply(self, record: ports.LogRecord) -> None:
        try:
            rows = msgspec.convert(cbor2.loads(record.data), list[_Row])
            news = [_unpack(row) for row in rows]
        except Exception as error:  # Corrupt data must not stop the process.
            logs.log_event(
                events.RECORD_IGNORED,
                step="read ends of targets",
                peer=STREAM,
                offset=record.offset,
                reason=repr(error),
            )
            return
        now = trio.current_time()
        for item in news:
            if crash_suspects.is_trial(item):
                self._apply_claim(item, now)
                continue
            self.suspects.merge(item, now)
            if item.is_cleared:
                self._note_cleared(item)
                continue
            for known in self.suspects.list_ends(item.content):
                if known.target == item.target and known.is_cleared:
                    # This entry has seen an answer.
                    self._add_pending(known)

    def _apply_claim(
        self, claim: crash_suspects.SuspectNews, now: float
    ) -> None:
        if now - claim.ended_at < _CLOCK_ERROR_S:
            claim = claim._replace(ended_at=now)
        if not self.suspects.has_rival(claim):
            self.suspects.merge(claim, now)
        event = self._claim_read.pop(claim.content, None)
        if event is not None:
            event.set()

    def _note_cleared(self, news: crash_suspects.SuspectNews) -> None:
        self._cleared[news.content, news.target] = None
        if len(self._cleared) > _MAX_KEPT_CLEARANCES:
            del self._cleared[next(iter(self._cleared))]


def _encode(news: typing.Sequence[crash_suspects.SuspectNews]) -> bytes:
    return cbor2.dumps([list(_pack(item)) for item in news])


def _pack(news: crash_suspects.SuspectNews) -> _Row:
    age_s = max(0.0, trio.current_time() - news.ended_at)
    ended_ms = math.floor((time.time() - age_s) * 1000)
    return _Row(news.content, news.target, ended_ms, news.is_cleared)


def _unpack(row: _Row) -> crash_suspects.SuspectNews:
    age_s = max(0.0, time.time() - row.ended_ms / 1000)
    return crash_suspects.SuspectNews(
        row.content,
        row.target,
        trio.current_time() - age_s,
        row.is_cleared,
    )
