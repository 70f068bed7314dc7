"""Follows a keyed topic: the newest of each key, then what changes.

Calls to the platform's log are priced and its answers may stay away. So one
task reads the topic when it is this entry's turn, one takes what other
entries have read, and one asks them for their records while the log does not
serve this one.
"""

import abc
from collections import abc as collections_abc
import random
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import recent_records
from gentianpoint_entry.forwarding import shared_readings

__all__ = (
    "PollTiming",
    "RecordConsumer",
    "TopicProgress",
    "TopicFollower",
    "make_short_poll_timing",
    "make_long_poll_timing",
)

_PAUSES_S: typing.Final = (0.2, 0.4, 0.8)
"""Pauses after the first, the second and each further reading that failed;
refused calls are priced like others."""
_SHORTEST_PAUSE_S: typing.Final = 0.05
"""Pause that is left even after a reading that took all of its time."""
_PEERS_ASKED: typing.Final = 3
"""Entries that are asked at once. Where the log turns a third of all away,
one in thirty tries meets only such; the next comes within a second."""
_PEERS_PAUSE_S: typing.Final = 0.8
"""Pause between two rounds of asking other entries."""
_PEER_MS: typing.Final = 800.0
"""Time that another entry has for its records."""
_WAIT_SHARE: typing.Final = 0.3
"""Share of the time in which a record is to be here that the log may hold a
reading. A record that wakes no reading is brought by the next one, and if its
reader stops meanwhile, others must notice and read within the same time."""
_CALL_SHARE: typing.Final = 0.75
"""Share of it in which a call has its answer or is given up. Beyond the wait
that is far more than an answer of a slow log takes."""
_RETRY_SHARE: typing.Final = 0.8
"""Share of it from a reading that fails to the next one; what is left is for
the connection and the answer of that one."""
_PAUSE_SHARE: typing.Final = 0.45
"""Share of it that a pause between two readings takes."""
_LOOK_S: typing.Final = 0.5
"""Longest pause between looks at whether it is this entry's turn to read; the
entries before it may be gone."""
_MOST_OFFERS: typing.Final = 8
"""Offers of other entries that may wait to be taken."""
_WAITING_PAUSE_S: typing.Final = 0.05
"""Pause after a reading that waited, in which records that are written in
quick succession gather."""


class PollTiming(typing.NamedTuple):
    """How often a topic is read, and for how long one reading is waited for.

    All follows from one figure, the time in which a record is to be here
    after its writing, or after the end of what kept the log from answering.
    """

    wait_ms: int
    """Time for which the log may hold a reading until there is a record."""
    pause_s: float
    """Pause between readings, in seconds."""
    call_ms: float
    """Time after which a call to the log is given up."""
    retry_ms: float
    """Longest time between the beginnings of a reading that fails and of the
    next one."""
    within_ms: float
    """Time in which a record is to be here."""

    def measure_cycle_s(self) -> float:
        """Return the time from the end of one reading to that of the next."""
        return self.pause_s + self.wait_ms / 1000


def make_long_poll_timing(within_ms: float) -> PollTiming:
    """Return the pace for a topic whose records come seldom.

    The log holds each reading until there is a record. A reading that
    reaches it while a record is being appended may not be woken by that
    record, so each is short enough for the next one to bring the record
    within ``within_ms`` of its writing.

    >>> make_long_poll_timing(2000).wait_ms
    600
    """
    return _make_pace(
        within_ms, int(within_ms * _WAIT_SHARE), _WAITING_PAUSE_S
    )


def make_short_poll_timing(within_ms: float) -> PollTiming:
    """Return the pace for a topic that always has something new.

    The log would answer a waiting reading at once, again and again. A pause
    gathers the records, and leaves as much time again for the answer.

    >>> make_short_poll_timing(2000).pause_s
    0.9
    """
    return _make_pace(within_ms, 0, within_ms * _PAUSE_SHARE / 1000)


def _make_pace(within_ms: float, wait_ms: int, pause_s: float) -> PollTiming:
    return PollTiming(
        wait_ms,
        pause_s,
        within_ms * _CALL_SHARE,
        within_ms * _RETRY_SHARE,
        within_ms,
    )


class TopicProgress(typing.NamedTuple):
    """How far an entry has a topic."""

    end: int
    """Offset after its last record."""
    confirmed_at: float
    """Moment at which the log had no more, on trio's clock in seconds."""


class _Offer(typing.NamedTuple):
    topic: ports.KeyedTopic
    news: TopicProgress


class RecordConsumer(abc.ABC):
    """Takes the records of a topic."""

    @abc.abstractmethod
    def apply_snapshot(
        self, records: collections_abc.Sequence[ports.KeyedRecord]
    ) -> None:
        """Take the newest record of every key; others have been dropped."""

    @abc.abstractmethod
    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Take one record."""

    @abc.abstractmethod
    def note_log_availability(self, *, is_available: bool) -> None:
        """Learn whether the log serves this process now."""


def _do_nothing() -> None:
    """Leave a change to whoever reads the topic."""


class TopicFollower:
    """Reads one topic for ever."""

    def __init__(
        self,
        name: str,
        topic: ports.KeyedTopic,
        reader: RecordConsumer,
        pace: PollTiming,
        list_peers: collections_abc.Callable[
            [], collections_abc.Sequence[ports.KeyedTopic]
        ],
        read_rank: collections_abc.Callable[
            [], int
        ] = shared_readings.read_alone,
    ) -> None:
        """Give the records of ``topic`` to ``reader``.

        ``list_peers`` returns the same topic as other entries hold it, and
        ``read_rank`` how many of them are to read it before this one.
        """
        self.name: typing.Final = name
        self._topic: typing.Final = topic
        self._reader: typing.Final = reader
        self._pace: typing.Final = pace
        self._list_peers: typing.Final = list_peers
        self.next_offset: typing.Optional[int] = None
        self.newest: typing.Final[dict[str, ports.KeyedRecord]] = {}
        self._is_available = True
        self._lost = trio.Event()
        self._failures = 0
        self._answered_at = deadlines.NEVER
        self._source: typing.Final = random.Random()
        self.note_change: collections_abc.Callable[[], None] = _do_nothing
        self._recent: typing.Final = recent_records.RecentRecords()
        self._turns: typing.Final = shared_readings.ReadingTurns(
            pace.within_ms / 1000, pace.measure_cycle_s(), read_rank
        )
        send, receive = trio.open_memory_channel[_Offer](_MOST_OFFERS)
        self._offers: typing.Final = send
        self._to_take: typing.Final = receive

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_log)
            nursery.start_soon(self._follow_peers)
            nursery.start_soon(self._take_offers)

    def describe_news(self) -> typing.Optional[TopicProgress]:
        """Return how far the topic is here, None if not at all."""
        if self.next_offset is None:
            return None
        return TopicProgress(self.next_offset, self._turns.confirmed_at)

    def is_first(self) -> bool:
        """Tell whether this entry reads the topic all the while."""
        return self._turns.is_first()

    def list_changes(
        self, start: int
    ) -> typing.Optional[collections_abc.Sequence[ports.KeyedRecord]]:
        """Return the records from ``start`` on, None if some are gone."""
        return self._recent.list_from(start)

    def offer(self, topic: ports.KeyedTopic, news: TopicProgress) -> None:
        """Learn how far another entry has the topic, as ``topic`` gives it.

        Without news there is nothing to do; offers beyond those that wait
        are dropped, since the same entry makes another one soon.
        """
        if self._has(news):
            self._take_news(news)
            return
        try:
            self._offers.send_nowait(_Offer(topic, news))
        except trio.WouldBlock:
            return

    async def _take_offers(self) -> None:
        """Fetch what other entries have read, for ever."""
        async for offer in self._to_take:
            if self._has(offer.news):
                continue
            self._note_gap(offer.news)
            if await self._read_from_peer(offer.topic):
                self._take_news(offer.news)

    def _has(self, news: TopicProgress) -> bool:
        """Tell whether all records that another entry has are here.

        Its reading may be older than this entry's last one and have a record
        all the same: a reading that the log holds may miss one.
        """
        return self.next_offset is not None and news.end <= self.next_offset

    def _take_news(self, news: TopicProgress) -> None:
        if (
            not self._has(news)
            or news.confirmed_at <= self._turns.confirmed_at
        ):
            return
        self._confirm(news.confirmed_at)
        if (
            trio.current_time() - news.confirmed_at
            < self._pace.retry_ms / 1000
        ):
            self._note_success()

    def _note_gap(self, news: TopicProgress) -> None:
        """Take the log for having been away if nobody read it for long.

        What lapsed meanwhile is no removal yet. An entry that was turned away
        by itself tells nothing of the log: others went on reading.
        """
        gap_s = news.confirmed_at - self._turns.confirmed_at
        has_begun = self._turns.confirmed_at > deadlines.NEVER
        if has_begun and gap_s > self._pace.retry_ms / 1000:
            self._reader.note_log_availability(is_available=False)

    def _confirm(self, at: float) -> None:
        """Note that the topic is here as it was read at ``at``.

        Others are told at once: those that hear it late read for themselves.
        """
        self._turns.confirm(at)
        self.note_change()

    async def _wait_turn(self) -> None:
        """Return once this entry is to read the topic itself."""
        while True:
            left_s = self._turns.find_due().at - trio.current_time()
            if left_s <= 0:
                return
            await trio.sleep(min(left_s, _LOOK_S))

    async def _follow_log(self) -> None:
        while True:
            await self._wait_turn()
            began_at = trio.current_time()
            wait_ms = self._choose_wait_ms()
            try:
                await self._read_from(self._topic, wait_ms, self._pace.call_ms)
            except ports.PortError as error:
                self._failures += 1
                pause_s = self._choose_pause_s(began_at)
                self._note_failure(error, began_at, pause_s)
                await trio.sleep(pause_s)
                continue
            self._confirm(min(trio.current_time(), began_at + wait_ms / 1000))
            self._note_success()
            await trio.sleep(self._pace.pause_s)

    async def _follow_peers(self) -> None:
        """Ask other entries as long as the log does not serve this one.

        This goes on beside the readings of the log, since entries that are
        silent too would else put off the one that finds the log back.
        """
        while True:
            await self._lost.wait()
            await self._read_from_peers()
            await trio.sleep(_PEERS_PAUSE_S)

    def _choose_wait_ms(self) -> int:
        """Return how long the log may hold the next reading.

        While it is away, not at all: what it has is to be here as soon as it
        answers, and one that is slow has all of the call's time for that.
        An entry that reads since it heard nothing is late already.
        """
        if not self._is_available or not self._turns.is_first():
            return 0
        return self._pace.wait_ms

    def _choose_pause_s(self, began_at: float) -> float:
        """Return the pause after a failed reading.

        A call that the log never answers is found out only when its time is
        over, and the log may be back since it was sent. Its time and the
        pause together must leave the next reading enough to be in time;
        callers would be refused by an old version for as long as both take.
        """
        pause_s = _PAUSES_S[min(self._failures, len(_PAUSES_S)) - 1]
        left_s = began_at + self._pace.retry_ms / 1000 - trio.current_time()
        return max(_SHORTEST_PAUSE_S, min(pause_s, left_s))

    async def _read_from_peers(self) -> None:
        """Take what other entries have, if the log does not serve us.

        Several are asked, since the log turns away some of them as well, and
        those have nothing new; together, since one that is gone takes long
        to show it.
        """
        peers = list(self._list_peers())
        asked = self._source.sample(peers, min(_PEERS_ASKED, len(peers)))
        async with trio.open_nursery() as nursery:
            for peer in asked:
                nursery.start_soon(self._read_from_peer, peer)

    async def _read_from_peer(self, peer: ports.KeyedTopic) -> bool:
        """Take what another entry has; False if it could not be had."""
        try:
            await self._read_from(peer, 0, _PEER_MS)
            return True
        except ports.PortError as error:
            logs.log_event(
                events.PEER_RECORDS_UNAVAILABLE,
                topic=self.name,
                step=error.step,
                peer=error.peer,
                reason=error.reason,
            )
            return False

    async def _read_from(
        self, topic: ports.KeyedTopic, wait_ms: int, within_ms: float
    ) -> None:
        if self.next_offset is None:
            await self._read_newest(topic, within_ms)
            return
        try:
            found = await topic.read_changes(
                self.next_offset, wait_ms, within_ms
            )
        except ports.RecordsExpiredError:
            await self._read_newest(topic, within_ms)
            return
        for record in found.records:
            if record.offset >= self.next_offset:
                self._keep(record)
                self._recent.append(record)
                self._reader.apply_change(record)
        self.next_offset = max(self.next_offset, found.end)

    async def _read_newest(
        self, topic: ports.KeyedTopic, within_ms: float
    ) -> None:
        found = await topic.read_newest(within_ms)
        if self.next_offset is not None and found.end < self.next_offset:
            # An older state than the one held here: taking it would undo
            # changes that are in force.
            return
        self.newest.clear()
        for record in found.records:
            self._keep(record)
        self._recent.restart(found.end)
        self._reader.apply_snapshot(list(self.newest.values()))
        self.next_offset = found.end

    def _keep(self, record: ports.KeyedRecord) -> None:
        if record.value is None:
            self.newest.pop(record.key, None)
        else:
            self.newest[record.key] = record

    def _note_failure(
        self, error: ports.PortError, began_at: float, pause_s: float
    ) -> None:
        if self._is_available:
            logs.log_event(
                events.LOG_UNAVAILABLE,
                topic=self.name,
                step=error.step,
                peer=error.peer,
                reason=error.reason,
                next_offset=self.next_offset,
            )
        # Without a line for each reading nothing tells whether the log was
        # silent or this process still waited for a reading of before.
        logs.log_event(
            events.LOG_READING_FAILED,
            topic=self.name,
            step=error.step,
            reason=error.reason,
            took_ms=deadlines.measure_ms_since(began_at),
            failures=self._failures,
            next_in_ms=round(pause_s * 1000),
        )
        self._is_available = False
        self._lost.set()
        self._reader.note_log_availability(is_available=False)

    def _note_success(self) -> None:
        if not self._is_available:
            logs.log_event(
                events.LOG_AVAILABLE,
                topic=self.name,
                next_offset=self.next_offset,
                failures=self._failures,
                silent_ms=deadlines.measure_ms_since(self._answered_at),
            )
            self._lost = trio.Event()
        self._is_available = True
        self._failures = 0
        self._answered_at = trio.current_time()
        self._reader.note_log_availability(is_available=True)
