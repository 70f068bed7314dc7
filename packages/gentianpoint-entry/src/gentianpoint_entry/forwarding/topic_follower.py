"""Follows a keyed topic: the latest record of each key, then every change.

Calls to the platform's log are priced, and the log may fail to answer them.
One task therefore polls the log when it is this entry's turn, a second one
fetches what other entries have read, and a third one asks other entries for
their records while the log does not answer this entry.
"""

import abc
from collections import abc as collections_abc
import random
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core import log_eras
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import recent_records
from gentianpoint_entry.forwarding import shared_readings

__all__ = (
    "RENEWED_WITHIN_S",
    "PollTiming",
    "RecordConsumer",
    "TopicFollower",
    "TopicProgress",
    "make_long_poll_timing",
    "make_short_poll_timing",
)

RENEWED_WITHIN_S: typing.Final = 2.2
"""Seconds after an outage of the log within which what it lost, or let expire,
has been written again by targets and operators that are well."""
_RETRY_PAUSES_S: typing.Final = (0.2, 0.4, 0.8)
"""Seconds to pause after the first, the second and every further failed poll
in a row. They grow because rejected calls are priced like others."""
_MIN_RETRY_PAUSE_S: typing.Final = 0.05
"""Seconds to pause at least after a failed poll, even if it used up the whole
retry interval."""
_PEERS_PER_ROUND: typing.Final = 3
"""Other entries that are asked for records at the same time. If the log
rejects a third of all entries, about one round in thirty reaches only
rejected ones; the next round follows within a second."""
_PEER_ROUND_PAUSE_S: typing.Final = 0.8
"""Seconds between two rounds of asking other entries."""
_PEER_TIMEOUT_MS: typing.Final = 800.0
"""Milliseconds that another entry has to answer with its records."""
_LONG_POLL_SHARE: typing.Final = 0.3
"""Part of the maximum lag for which the log may hold a long poll. A record
that does not wake the pending poll arrives with the next one, and if the
entry that polls stops in between, others must notice that and poll within
the same lag."""
_CALL_TIMEOUT_SHARE: typing.Final = 0.75
"""Part of the maximum lag after which a call to the log times out. Even after
a long poll was held, this leaves far more time than a slow log needs to
answer."""
_RETRY_INTERVAL_SHARE: typing.Final = 0.8
"""Part of the maximum lag between the start of a failed poll and the start of
the next one. The rest is for connecting and for the answer of the latter."""
_SHORT_POLL_PAUSE_SHARE: typing.Final = 0.45
"""Part of the maximum lag to pause between two short polls."""
_TURN_CHECK_S: typing.Final = 0.5
"""Seconds, at most, between checks of whether it is this entry's turn to
poll. The turn comes earlier if entries ranked before this one are gone."""
_MAX_PENDING_OFFERS: typing.Final = 8
"""Most offers that may be queued. An offer tells how far another entry has
read the topic, so that its records can be fetched."""
_LONG_POLL_PAUSE_S: typing.Final = 0.05
"""Seconds to pause after a long poll, so that records written in quick
succession are read together."""


class PollTiming(typing.NamedTuple):
    """How often the log is polled for a topic, and how long a poll may take.

    All values follow from one: the maximum lag, which is the longest time
    from the writing of a record until it is here. For a record that an
    outage of the log delays, it is counted from the end of the outage.
    """

    wait_ms: int
    """Milliseconds for which the log may hold a poll until there is a record;
    0 for short polls."""
    pause_s: float
    """Seconds between the end of a poll and the start of the next one."""
    call_timeout_ms: float
    """Milliseconds after which a call to the log is given up."""
    retry_interval_ms: float
    """Milliseconds, at most, between the start of a failed poll and the start
    of the next one."""
    max_lag_ms: float
    """Milliseconds within which a record must be here."""

    def compute_cycle_s(self) -> float:
        """Return the seconds from the end of one poll to that of the next."""
        return self.pause_s + self.wait_ms / 1000


def make_long_poll_timing(max_lag_ms: float) -> PollTiming:
    """Return the timing for a topic that rarely changes.

    The log holds each poll until there is a record. A record that is being
    appended when a poll reaches the log may not wake that poll, so each poll
    is short enough for the next one to bring the record within
    ``max_lag_ms`` of its writing.

    >>> make_long_poll_timing(2000).wait_ms
    600
    """
    return _make_timing(
        max_lag_ms, int(max_lag_ms * _LONG_POLL_SHARE), _LONG_POLL_PAUSE_S
    )


def make_short_poll_timing(max_lag_ms: float) -> PollTiming:
    """Return the timing for a topic that changes all the time.

    The log would answer every long poll at once. Pausing between polls
    instead reads several records with one call, and leaves as much time again
    for the answer.

    >>> make_short_poll_timing(2000).pause_s
    0.9
    """
    return _make_timing(
        max_lag_ms, 0, max_lag_ms * _SHORT_POLL_PAUSE_SHARE / 1000
    )


def _make_timing(
    max_lag_ms: float, wait_ms: int, pause_s: float
) -> PollTiming:
    return PollTiming(
        wait_ms,
        pause_s,
        max_lag_ms * _CALL_TIMEOUT_SHARE,
        max_lag_ms * _RETRY_INTERVAL_SHARE,
        max_lag_ms,
    )


class TopicProgress(typing.NamedTuple):
    """How far an entry has read a topic."""

    position: ports.LogPosition
    """Position after the last record it has."""
    confirmed_at: float
    """When the log last had no further record, in seconds of trio's clock."""


class _Offer(typing.NamedTuple):
    """Progress of another entry, and access to its copy of the topic."""

    topic: ports.KeyedTopic
    progress: TopicProgress


class RecordConsumer(abc.ABC):
    """Applies the records of a topic."""

    @abc.abstractmethod
    def apply_snapshot(
        self, records: collections_abc.Sequence[ports.KeyedRecord]
    ) -> None:
        """Apply the latest record of every key; other keys were removed."""

    @abc.abstractmethod
    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Apply one record."""

    @abc.abstractmethod
    def note_log_availability(self, *, is_available: bool) -> None:
        """Take note of whether the log answers this process."""

    @abc.abstractmethod
    def note_log_restored(self) -> None:
        """Take note that the log has come back from an older copy.

        The snapshot that comes next may lack what was known before, and have
        older records in its place. What was lost is written again within
        :data:`RENEWED_WITHIN_S`, if its writer still holds to it.
        """


def _ignore_progress() -> None:
    """Tell no other entry of progress."""


class TopicFollower:
    """Keeps this entry's copy of one topic up to date."""

    def __init__(
        self,
        name: str,
        topic: ports.KeyedTopic,
        consumer: RecordConsumer,
        timing: PollTiming,
        list_peer_topics: collections_abc.Callable[
            [], collections_abc.Sequence[ports.KeyedTopic]
        ],
        get_rank: collections_abc.Callable[
            [], int
        ] = shared_readings.get_sole_rank,
        eras: typing.Optional[log_eras.LogEras] = None,
    ) -> None:
        """Pass the records of ``topic`` to ``consumer``.

        ``list_peer_topics`` returns the copies of the topic that other
        entries hold, and ``get_rank`` the number of entries whose turn to
        poll comes before this one's. ``eras`` is told the log's era, which
        other entries may know first.
        """
        self.name: typing.Final = name
        self._topic: typing.Final = topic
        self._consumer: typing.Final = consumer
        self._timing: typing.Final = timing
        self._list_peer_topics: typing.Final = list_peer_topics
        self._eras: typing.Final = eras or log_eras.LogEras()
        self.position: typing.Optional[ports.LogPosition] = None
        self.latest_by_key: typing.Final[dict[str, ports.KeyedRecord]] = {}
        self._is_available = True
        self._unavailable = trio.Event()
        self._failures = 0
        self._succeeded_at = deadlines.NEVER
        self._rng: typing.Final = random.Random()
        self.notify_progress: collections_abc.Callable[[], None] = (
            _ignore_progress
        )
        self._recent: typing.Final = recent_records.RecentRecords()
        self._schedule: typing.Final = shared_readings.PollSchedule(
            timing.max_lag_ms / 1000, timing.compute_cycle_s(), get_rank
        )
        send, receive = trio.open_memory_channel[_Offer](_MAX_PENDING_OFFERS)
        self._offer_sender: typing.Final = send
        self._offer_receiver: typing.Final = receive

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_log)
            nursery.start_soon(self._poll_peers)
            nursery.start_soon(self._fetch_offers)

    def get_progress(self) -> typing.Optional[TopicProgress]:
        """Return how far the topic was read, None if it was not read yet."""
        if self.position is None:
            return None
        return TopicProgress(self.position, self._schedule.confirmed_at)

    def is_primary_reader(self) -> bool:
        """Tell whether this entry polls the log without waiting for others."""
        return self._schedule.is_primary_reader()

    def list_changes(
        self, start: ports.LogPosition
    ) -> typing.Optional[collections_abc.Sequence[ports.KeyedRecord]]:
        """Return the records from ``start`` on, None if some are not here.

        None of those from a position in another era are known to be here.
        """
        if self.position is None or start.era != self.position.era:
            return None
        return self._recent.list_from(start.offset)

    def offer(self, topic: ports.KeyedTopic, progress: TopicProgress) -> None:
        """Note another entry's progress, and fetch its records if needed.

        ``topic`` is that entry's copy. Nothing is fetched if all its records
        are here. An offer that finds the queue full is dropped, since the
        same entry soon makes another one.
        """
        if self._has_reached(progress):
            self._adopt_progress(progress)
            return
        try:
            self._offer_sender.send_nowait(_Offer(topic, progress))
        except trio.WouldBlock:
            return

    async def _fetch_offers(self) -> None:
        """Fetch offered records from other entries until cancelled."""
        async for offer in self._offer_receiver:
            if self._has_reached(offer.progress):
                continue
            self._report_outage_after_gap(offer.progress)
            if await self._read_from_peer(offer.topic):
                self._adopt_progress(offer.progress)

    def _has_reached(self, progress: TopicProgress) -> bool:
        """Tell whether every record of another entry is here.

        Only positions count. A poll that confirmed the topic at an earlier
        time than this entry's last poll may still have brought a record that
        the latter missed, since a record may not wake a long poll.
        """
        return self.position is not None and progress.position <= self.position

    def _adopt_progress(self, progress: TopicProgress) -> None:
        """Count another entry's poll as one of this entry's own.

        One of an earlier era confirmed what the log does not have any more.
        """
        if (
            self.position is None
            or not self._has_reached(progress)
            or progress.position.era != self.position.era
            or progress.confirmed_at <= self._schedule.confirmed_at
        ):
            return
        self._confirm(progress.confirmed_at)
        if (
            trio.current_time() - progress.confirmed_at
            < self._timing.retry_interval_ms / 1000
        ):
            self._record_success()

    def _report_outage_after_gap(self, progress: TopicProgress) -> None:
        """Report an outage of the log if no entry had read it for long.

        A key that lapsed during an outage does not count as removed yet. That
        the log rejected this entry alone is no outage: others kept reading.
        """
        gap_s = progress.confirmed_at - self._schedule.confirmed_at
        was_confirmed = self._schedule.confirmed_at > deadlines.NEVER
        if was_confirmed and gap_s > self._timing.retry_interval_ms / 1000:
            self._consumer.note_log_availability(is_available=False)

    def _confirm(self, at: float) -> None:
        """Note that this copy of the topic was complete at ``at``.

        Other entries are notified at once, since an entry that learns of it
        late polls the log itself.
        """
        self._schedule.confirm(at)
        self.notify_progress()

    async def _wait_for_turn(self) -> None:
        """Return once this entry has to poll the log itself."""
        while True:
            left_s = self._schedule.find_next_poll().at - trio.current_time()
            if left_s <= 0:
                return
            await trio.sleep(min(left_s, _TURN_CHECK_S))

    async def _poll_log(self) -> None:
        """Poll the log, whenever it is this entry's turn, until cancelled."""
        while True:
            await self._wait_for_turn()
            started_at = trio.current_time()
            wait_ms = self._choose_wait_ms()
            try:
                await self._read_from(
                    self._topic, wait_ms, self._timing.call_timeout_ms
                )
            except ports.PortError as error:
                self._failures += 1
                pause_s = self._choose_retry_pause_s(started_at)
                self._record_failure(error, started_at, pause_s)
                await trio.sleep(pause_s)
                continue
            self._confirm(
                min(trio.current_time(), started_at + wait_ms / 1000)
            )
            self._record_success()
            await trio.sleep(self._timing.pause_s)

    async def _poll_peers(self) -> None:
        """Ask other entries for records while the log is unavailable.

        This runs beside the polls of the log. If it delayed them, peers that
        do not answer either would keep this entry from noticing that the log
        is back.
        """
        while True:
            await self._unavailable.wait()
            await self._read_from_peers()
            await trio.sleep(_PEER_ROUND_PAUSE_S)

    def _choose_wait_ms(self) -> int:
        """Return how long the log may hold the next poll, in milliseconds.

        It must not hold the poll while it counts as unavailable: its records
        must be here as soon as it answers, and a slow log needs the whole
        call timeout for its answer. The same applies to an entry that polls
        because it heard nothing from others, as it is already late.
        """
        if not self._is_available or not self._schedule.is_primary_reader():
            return 0
        return self._timing.wait_ms

    def _choose_retry_pause_s(self, started_at: float) -> float:
        """Return the seconds to pause after a failed poll.

        A call that the log never answers only fails at its timeout, and the
        log may have recovered since it was sent. The timeout and the pause
        together must leave the next poll time to meet the maximum lag:
        until it succeeds, an outdated configuration may refuse callers.
        """
        pause_s = _RETRY_PAUSES_S[
            min(self._failures, len(_RETRY_PAUSES_S)) - 1
        ]
        left_s = (
            started_at
            + self._timing.retry_interval_ms / 1000
            - trio.current_time()
        )
        return max(_MIN_RETRY_PAUSE_S, min(pause_s, left_s))

    async def _read_from_peers(self) -> None:
        """Ask some randomly chosen entries for their records.

        Several are asked, since the log may reject some of them as well, and
        those have nothing new. They are asked concurrently, since an entry
        that is gone only shows it by a timeout.
        """
        peer_topics = list(self._list_peer_topics())
        asked = self._rng.sample(
            peer_topics, min(_PEERS_PER_ROUND, len(peer_topics))
        )
        async with trio.open_nursery() as nursery:
            for peer_topic in asked:
                nursery.start_soon(self._read_from_peer, peer_topic)

    async def _read_from_peer(self, peer_topic: ports.KeyedTopic) -> bool:
        """Read from another entry's copy; False if that failed."""
        try:
            await self._read_from(peer_topic, 0, _PEER_TIMEOUT_MS)
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
        self, topic: ports.KeyedTopic, wait_ms: int, timeout_ms: float
    ) -> None:
        """Apply the new records of ``topic``, or its snapshot."""
        start = self.position
        if start is None:
            await self._read_snapshot(topic, timeout_ms)
            return
        try:
            found = await topic.read_changes(start, wait_ms, timeout_ms)
        except ports.RecordsExpiredError:
            await self._read_snapshot(topic, timeout_ms)
            return
        assert self.position is not None
        if found.era > self.position.era:
            # The offsets at which records were given out again are not known.
            await self._read_snapshot(topic, timeout_ms)
            return
        if found.era < self.position.era:
            raise self._refuse_outdated(found.position)
        if start.era != found.era:
            # Another task read the new era meanwhile.
            return
        for record in found.records:
            if record.offset >= self.position.offset:
                self._store(record)
                self._recent.append(record)
                self._consumer.apply_change(record)
        self.position = max(self.position, found.position)

    async def _read_snapshot(
        self, topic: ports.KeyedTopic, timeout_ms: float
    ) -> None:
        """Apply a snapshot, unless it is older than this copy."""
        found = await topic.read_newest(timeout_ms)
        known = self.position
        if known is not None and found.position < known:
            # Applying it would undo changes that are in force.
            raise self._refuse_outdated(found.position)
        if known is not None and found.era > known.era:
            logs.log_event(
                events.LOG_RESTORED,
                topic=self.name,
                era=found.era,
                end=found.end,
                era_before=known.era,
                end_before=known.offset,
            )
            self._consumer.note_log_restored()
        self.latest_by_key.clear()
        for record in found.records:
            self._store(record)
        self._recent.restart(found.end)
        self._consumer.apply_snapshot(list(self.latest_by_key.values()))
        self.position = found.position
        self._eras.note(found.era)

    def _refuse_outdated(self, found: ports.LogPosition) -> ports.PortError:
        """Log that a reading is older than this copy; return the error."""
        assert self.position is not None
        reason = f"{tuple(found)} is before {tuple(self.position)}"
        logs.log_event(
            events.RECORD_OUTDATED,
            step="read topic",
            key=self.name,
            reason=reason,
        )
        return ports.PortError(
            "read topic", self.name, f"outdated: {reason}", took_effect=False
        )

    def _store(self, record: ports.KeyedRecord) -> None:
        if record.value is None:
            self.latest_by_key.pop(record.key, None)
        else:
            self.latest_by_key[record.key] = record

    def _record_failure(
        self, error: ports.PortError, started_at: float, pause_s: float
    ) -> None:
        if self._is_available:
            logs.log_event(
                events.LOG_UNAVAILABLE,
                topic=self.name,
                step=error.step,
                peer=error.peer,
                reason=error.reason,
                **_describe_position(self.position),
            )
        # One line per failed poll shows whether the log did not answer it or
        # this process was still waiting for an earlier one.
        logs.log_event(
            events.LOG_READING_FAILED,
            topic=self.name,
            step=error.step,
            reason=error.reason,
            took_ms=deadlines.measure_ms_since(started_at),
            failures=self._failures,
            next_in_ms=round(pause_s * 1000),
        )
        self._is_available = False
        self._unavailable.set()
        self._consumer.note_log_availability(is_available=False)

    def _record_success(self) -> None:
        if not self._is_available:
            logs.log_event(
                events.LOG_AVAILABLE,
                topic=self.name,
                **_describe_position(self.position),
                failures=self._failures,
                silent_ms=deadlines.measure_ms_since(self._succeeded_at),
            )
            self._unavailable = trio.Event()
        self._is_available = True
        self._failures = 0
        self._succeeded_at = trio.current_time()
        self._consumer.note_log_availability(is_available=True)


def _describe_position(
    position: typing.Optional[ports.LogPosition],
) -> collections_abc.Mapping[str, typing.Any]:
    """Return the fields of a log line on how far a topic was read."""
    if position is None:
        return {"next_offset": None}
    return {"next_offset": position.offset, "era": position.era}
