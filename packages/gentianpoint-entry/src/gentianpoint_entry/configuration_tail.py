"""Follows the configuration stream of the platform's log.

The state is built from the newest snapshot in the log and the records after
it. While the log can't be read, or when records expired before this entry
read them, the state is fetched from another entry. Whatever the source, the
position only grows: the configuration never reverts to an older one.

A log that comes back from an older copy lacks the last changes. The state
stays in force until the log has them again, which entries write.
"""

import math
import random
import typing

import trio

from gentianpoint_core import configuration
from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import lost_changes
from gentianpoint_core import ports
from gentianpoint_core import specifications
from gentianpoint_core.generated import events
from gentianpoint_entry import garbage_collection
from gentianpoint_entry import peer_state
from gentianpoint_entry import snapshot_store

__all__ = ("ConfigurationTail",)

_BATCH_RECORDS: typing.Final = 500
"""Most records that one read returns."""
_LONG_POLL_MS: typing.Final = 2000
"""Time for which the log may hold a read that finds no new record (long
polling), milliseconds."""
_RECORDS_AT_ONCE: typing.Final = 16
"""Number of records that are applied before other tasks get to run."""
_READ_TIMEOUT_S: typing.Final = 5.5
"""Timeout of one read, long polling included, seconds. A read that is open
when an outage begins is never answered. A change that is written as the log
returns waits for this timeout and the retry pause, and has to be in force
within seven seconds."""
_RETRY_PAUSE_S: typing.Final = 0.3
"""Pause before the log is read again after a failure, seconds."""
_STALE_AFTER_MS: typing.Final = _LONG_POLL_MS + 1500
"""Time without an answer of the log after which other entries are asked,
milliseconds."""
_PEER_PAUSE_S: typing.Final = 1.0
"""Pause between two requests to other entries, seconds."""
_STALE_CHECK_S: typing.Final = 0.25
"""Time between two checks whether the log's last answer is too old,
seconds."""
_REWRITE_SPREAD_S: typing.Final = 0.5
"""Seconds over which entries spread their attempts to write again what the log
has lost, so that few of them do."""
_STARTING_REASON: typing.Final = "the configuration is being read"


class ConfigurationTail:
    """The configuration that this entry has read from the log."""

    def __init__(
        self, log: ports.Log, peers: peer_state.PeerStateClient
    ) -> None:
        """Follow ``log``, and ask ``peers`` when the log fails."""
        self.state = configuration.Configuration()
        self._log: typing.Final = log
        self._peers: typing.Final = peers
        # Era of the log in which the state's offset was read; None before
        # the first answer.
        self._era: typing.Optional[int] = None
        self._restored_era = 0
        self._available = True
        self._snapshot_read = False
        self._reported_gap_end = 0
        self._has_gap = False
        self._log_behind = False
        self._stale_at = deadlines.make_deadline(_STALE_AFTER_MS)
        self._unready_reason = _STARTING_REASON
        self._ready: typing.Final = trio.Event()
        self._changed = trio.Event()

    @property
    def position(self) -> ports.LogPosition:
        """Position in the log of the last folded record."""
        return ports.LogPosition(self._era or 0, self.state.offset)

    def is_ready(self) -> bool:
        """Tell whether a complete configuration has been read.

        Until then, the entry knows only some of the customers and services,
        or none, and would refuse callers that other entries serve.
        """
        return self._ready.is_set()

    def is_log_available(self) -> bool:
        """Tell whether the last read of the log succeeded."""
        return self._available

    def explain_unready(self) -> str:
        """Return why no complete configuration has been read yet."""
        return self._unready_reason

    async def wait_ready(self) -> None:
        """Wait until a complete configuration has been read."""
        await self._ready.wait()

    async def wait_changed(self) -> None:
        """Wait until a record is applied or the state is replaced."""
        await self._changed.wait()

    async def run(self) -> None:
        """Apply records until cancelled, also through outages of the log."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_log)
            nursery.start_soon(self._follow_peers)

    async def _follow_log(self) -> None:
        while True:
            try:
                await self._read_batch()
            except ports.PortError as error:
                self._mark_log_unavailable(error)
                await trio.sleep(_RETRY_PAUSE_S)

    async def _follow_peers(self) -> None:
        """Ask other entries while the log's last answer is too old.

        A connection to the log can go silent without an error. If the entry
        waited for the read to time out, a customer's revoked key would stay
        valid here for longer than a change may take to come into force.
        """
        while True:
            await trio.sleep(_STALE_CHECK_S)
            if self._stale_at.is_past():
                await self._fetch_from_peers()
                await trio.sleep(_PEER_PAUSE_S)

    async def _read_batch(self) -> None:
        if not self._snapshot_read:
            end = await self._read_records(1, limit=1, may_wait=False)
            await self._load_snapshot(before=end.next)
            self._snapshot_read = True
        start = self.state.offset + 1
        batch = await self._read_records(start)
        if self._era is None:
            self._era = batch.era
        if batch.era < self._era:
            raise _make_error(f"the answer is of era {batch.era}")
        self._mark_log_available()
        self._stale_at = deadlines.make_deadline(_STALE_AFTER_MS)
        if batch.era > self._era:
            await self._go_on_in_era(batch)
            return
        # A state from a peer may have replaced the one that the read was
        # based on, so compare with the current offset, not with start.
        if batch.first > self.state.offset + 1:
            await self._recover_from_gap(self.state.offset + 1, batch.first)
            return
        self._has_gap = False
        self._check_log_end(start, batch.next)
        for record in batch.records:
            self._apply_record(record)
            # Applying a whole batch takes up to 0.1 s, which would stall
            # the token streams of this process.
            if not record.offset % _RECORDS_AT_ONCE:
                await trio.sleep(0)
        if batch.records:
            self._notify_changed()
        if self.state.offset + 1 >= batch.next:
            self._ready.set()

    async def _read_records(
        self,
        start: int,
        *,
        limit: int = _BATCH_RECORDS,
        may_wait: bool = True,
    ) -> ports.LogSlice:
        """Read the records from offset ``start`` on, with a timeout.

        Long polling is off while the log is unavailable, so that a slow log
        has nearly the whole timeout for its answer.
        """
        may_wait = may_wait and self.is_ready() and self._available
        with trio.move_on_after(_READ_TIMEOUT_S):
            return await self._log.read_records(
                configuration.CONFIGURATION_STREAM,
                start,
                limit,
                _LONG_POLL_MS if may_wait else 0,
            )
        raise _make_error("no answer in time")

    async def _go_on_in_era(self, batch: ports.LogSlice) -> None:
        """Follow the log after it has come back from an older copy.

        Its records are folded anew. What it has lost is written again, until
        the log has it, and only then does its state take effect here.
        """
        before = self.position
        if self._restored_era != batch.era:
            self._restored_era = batch.era
            logs.log_event(
                events.LOG_RESTORED,
                topic=configuration.CONFIGURATION_STREAM,
                era=batch.era,
                end=batch.next,
                era_before=before.era,
                end_before=before.offset + 1,
            )
        found = await self._fold_log(batch)
        if lost_changes.list_lost_changes(self.state, found):
            # Other entries are about to write the same.
            await trio.sleep(random.random() * _REWRITE_SPREAD_S)
            await self._fold_on(found, batch.era)
        for record in lost_changes.list_lost_changes(self.state, found):
            await self._log.append_record(
                configuration.CONFIGURATION_STREAM, record
            )
        await self._fold_on(found, batch.era)
        if lost_changes.list_lost_changes(self.state, found):
            raise _make_error("it does not have the lost changes yet")
        if self.position != before:
            # A peer's state has replaced the one that was compared.
            return
        self.state = found
        self._era = batch.era
        self._has_gap = False
        garbage_collection.freeze_live_objects()
        self._notify_changed()
        self._ready.set()

    async def _fold_log(
        self, batch: ports.LogSlice
    ) -> configuration.Configuration:
        """Return the state of the log, from its newest snapshot on."""
        found = await snapshot_store.read_newer_state(
            self._log, 0, before=batch.next
        )
        if found is None:
            found = configuration.Configuration()
        await self._fold_on(found, batch.era)
        return found

    async def _fold_on(
        self, found: configuration.Configuration, era: int
    ) -> None:
        """Fold all further records of an era of the log into ``found``."""
        while True:
            batch = await self._read_records(found.offset + 1, may_wait=False)
            if batch.era != era:
                raise _make_error(f"era {batch.era} came after {era}")
            if batch.first > found.offset + 1:
                raise _make_error(
                    f"records from {found.offset + 1} to {batch.first - 1}"
                    " expired, and no snapshot has their outcome"
                )
            for record in batch.records:
                found.apply_record(record.offset, record.data)
                if not record.offset % _RECORDS_AT_ONCE:
                    await trio.sleep(0)
            if found.offset + 1 >= batch.next:
                return

    async def _recover_from_gap(self, wanted: int, first: int) -> None:
        """Load a snapshot, since records from ``wanted`` on expired.

        Applying the records after the gap would accept and refuse other
        changes than the other entries did, without any error.
        """
        if self._reported_gap_end != first:
            self._reported_gap_end = first
            logs.log_event(events.RECORDS_EXPIRED, wanted=wanted, first=first)
        self._has_gap = not await self._load_snapshot(before=math.inf)
        if not self._has_gap:
            return
        self._stale_at = deadlines.make_deadline(0)
        self._unready_reason = (
            f"records from {wanted} to {first - 1} expired, and neither a "
            "snapshot nor another entry has their outcome"
        )
        await trio.sleep(_RETRY_PAUSE_S)

    async def _load_snapshot(self, before: float) -> bool:
        """Load a newer snapshot from the log; tell whether there was one.

        Its offset is below ``before``.
        """
        state = await snapshot_store.read_newer_state(
            self._log, self.state.offset, before
        )
        if state is None:
            return False
        self._replace_state(state, self._era)
        logs.log_event(events.SNAPSHOT_LOADED, offset=state.offset)
        return True

    async def _fetch_from_peers(self) -> None:
        """Replace the state by a newer one of a peer, if a peer has one."""
        answer = await self._peers.fetch_newer_state(self.position)
        if answer.state is not None:
            self._replace_state(answer.state, answer.era)
            logs.log_event(events.STATE_FROM_PEER, offset=self.state.offset)
        if answer.answered and not self._has_gap:
            self._ready.set()

    def _replace_state(
        self, state: configuration.Configuration, era: typing.Optional[int]
    ) -> None:
        if ports.LogPosition(era or 0, state.offset) > self.position:
            self.state = state
            self._era = era
            self._has_gap = False
            garbage_collection.freeze_live_objects()
            self._notify_changed()

    def _notify_changed(self) -> None:
        logs.log_event(events.CONFIGURATION_APPLIED, offset=self.state.offset)
        self._changed.set()
        self._changed = trio.Event()

    def _apply_record(self, record: ports.LogRecord) -> None:
        outcome = self.state.apply_record(record.offset, record.data)
        if outcome is None:
            return
        event = events.CHANGE_REFUSED
        if outcome.accepted:
            event = events.CHANGE_ACCEPTED
        logs.log_event(
            event,
            change=outcome.change,
            offset=outcome.offset,
            kind=outcome.kind,
            name=outcome.name,
            reason=outcome.reason,
        )
        if outcome.accepted:
            self._log_ignored_fields(outcome)

    def _log_ignored_fields(
        self, outcome: configuration.ChangeOutcome
    ) -> None:
        """Log the fields of a resource that this version does not read."""
        resource = self.state.find_resource(outcome.kind, outcome.name)
        if resource is None:
            return
        for field in specifications.list_ignored_fields(
            resource.kind, resource.spec
        ):
            logs.log_event(
                events.FIELD_IGNORED,
                kind=resource.kind,
                name=resource.name,
                field=field,
            )

    def _check_log_end(self, start: int, end: int) -> None:
        """Log once that the log ends before the offset in force.

        The configuration never reverts, so no record of such a log is
        applied. Without this event, operators would see their changes stay
        pending and not learn why.
        """
        behind = end < start
        if behind and not self._log_behind:
            logs.log_event(events.LOG_BEHIND, offset=start - 1, next=end)
        self._log_behind = behind

    def _mark_log_available(self) -> None:
        if not self._available:
            self._available = True
            logs.log_event(events.LOG_AVAILABLE)

    def _mark_log_unavailable(self, error: ports.PortError) -> None:
        self._unready_reason = f"the log can't be read: {error.reason}"
        if self._available:
            logs.log_event(
                events.LOG_UNAVAILABLE,
                step=error.step,
                peer=error.peer,
                reason=error.reason,
            )
        self._available = False
        self._stale_at = deadlines.make_deadline(0)


def _make_error(reason: str) -> ports.PortError:
    return ports.PortError(
        "read configuration", "log", reason, took_effect=False
    )
