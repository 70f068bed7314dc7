"""Follows the configuration stream of the platform's log.

The state is built from the newest snapshot in the log and the records after
it. While the log can't be read, or when records expired before this entry
read them, the state is fetched from another entry. Whatever the source, the
offset only grows: the configuration never reverts to an older one.
"""

import typing

import trio

from gentianpoint_core import configuration
from gentianpoint_core import deadlines
from gentianpoint_core import logs
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
        self._available = True
        self._snapshot_read = False
        self._reported_gap_end = 0
        self._has_gap = False
        self._log_behind = False
        self._stale_at = deadlines.make_deadline(_STALE_AFTER_MS)
        self._unready_reason = _STARTING_REASON
        self._ready: typing.Final = trio.Event()
        self._changed = trio.Event()

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
            await self._load_snapshot()
            self._snapshot_read = True
        start = self.state.offset + 1
        batch = await self._read_records(start)
        self._mark_log_available()
        self._stale_at = deadlines.make_deadline(_STALE_AFTER_MS)
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

    async def _read_records(self, start: int) -> ports.LogSlice:
        """Read the records from offset ``start`` on, with a timeout.

        Long polling is off while the log is unavailable, so that a slow log
        has nearly the whole timeout for its answer.
        """
        may_wait = self.is_ready() and self._available
        with trio.move_on_after(_READ_TIMEOUT_S):
            return await self._log.read_records(
                configuration.CONFIGURATION_STREAM,
                start,
                _BATCH_RECORDS,
                _LONG_POLL_MS if may_wait else 0,
            )
        raise ports.PortError(
            "read configuration", "log", "no answer in time", took_effect=False
        )

    async def _recover_from_gap(self, wanted: int, first: int) -> None:
        """Load a snapshot, since records from ``wanted`` on expired.

        Applying the records after the gap would accept and refuse other
        changes than the other entries did, without any error.
        """
        if self._reported_gap_end != first:
            self._reported_gap_end = first
            logs.log_event(events.RECORDS_EXPIRED, wanted=wanted, first=first)
        self._has_gap = not await self._load_snapshot()
        if not self._has_gap:
            return
        self._stale_at = deadlines.make_deadline(0)
        self._unready_reason = (
            f"records from {wanted} to {first - 1} expired, and neither a "
            "snapshot nor another entry has their outcome"
        )
        await trio.sleep(_RETRY_PAUSE_S)

    async def _load_snapshot(self) -> bool:
        """Load a newer snapshot from the log; tell whether there was one."""
        state = await snapshot_store.read_newer_state(
            self._log, self.state.offset
        )
        if state is None:
            return False
        self._replace_state(state)
        logs.log_event(events.SNAPSHOT_LOADED, offset=state.offset)
        return True

    async def _fetch_from_peers(self) -> None:
        """Replace the state by a newer one of a peer, if a peer has one."""
        answer = await self._peers.fetch_newer_state(self.state.offset)
        if answer.state is not None:
            self._replace_state(answer.state)
            logs.log_event(events.STATE_FROM_PEER, offset=self.state.offset)
        if answer.answered and not self._has_gap:
            self._ready.set()

    def _replace_state(self, state: configuration.Configuration) -> None:
        if state.offset > self.state.offset:
            self.state = state
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
