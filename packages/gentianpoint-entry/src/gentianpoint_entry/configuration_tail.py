"""Follows the configuration stream of the platform's log.

The state comes from the newest snapshot in the log and the records after
it. While the log can't be read, or when records expired before they were
read here, it comes from another entry. Whatever brings it, the offset only
grows: a configuration that was in force here never reverts.
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

_BATCH: typing.Final = 500
_WAIT_MS: typing.Final = 2000
_FOLDED_AT_ONCE: typing.Final = 16
_CALL_S: typing.Final = 5.5
"""Time after which a reading is given up, the log's holding of it included. A
reading that meets an outage is never answered, so a change that is written as
the log returns waits for this and for a pause, and is to be in force within
seven seconds."""
_PAUSE_S: typing.Final = 0.3
_STALE_MS: typing.Final = _WAIT_MS + 1500
_PEERS_PAUSE_S: typing.Final = 1.0
_STALE_TICK_S: typing.Final = 0.25
_STARTING: typing.Final = "the configuration is being read"


class ConfigurationTail:
    """The configuration as this entry has folded it."""

    def __init__(
        self, log: ports.Log, peers: peer_state.PeerStateClient
    ) -> None:
        """Follow ``log``, and ask ``peers`` when it fails."""
        self.state = configuration.Configuration()
        self._log: typing.Final = log
        self._peers: typing.Final = peers
        self._available = True
        self._snapshot_read = False
        self._expired_at = 0
        self._in_hole = False
        self._log_behind = False
        self._stale_at = deadlines.make_deadline(_STALE_MS)
        self._unready_reason = _STARTING
        self._ready: typing.Final = trio.Event()
        self._changed = trio.Event()

    def is_ready(self) -> bool:
        """Tell whether the configuration was whole once.

        Before that, an entry knows no customer and no service, and would
        refuse callers whom others serve.
        """
        return self._ready.is_set()

    def is_log_available(self) -> bool:
        """Tell whether the log answered when it was last read."""
        return self._available

    def explain_unready(self) -> str:
        """Return why there is no configuration yet."""
        return self._unready_reason

    async def wait_ready(self) -> None:
        """Wait until the configuration is whole."""
        await self._ready.wait()

    async def wait_changed(self) -> None:
        """Wait until another record is folded or another state taken."""
        await self._changed.wait()

    async def run(self) -> None:
        """Fold records for ever, through outages of the log."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_log)
            nursery.start_soon(self._follow_peers)

    async def _follow_log(self) -> None:
        while True:
            try:
                await self._read_once()
            except ports.PortError as error:
                self._note_unavailable(error)
                await trio.sleep(_PAUSE_S)

    async def _follow_peers(self) -> None:
        """Ask other entries whenever the log has said nothing for a while.

        A connection to the log can go silent without an error. Waiting for
        its timeout would leave a customer's revoked key in force here for
        longer than a change may take, so others are asked before that.
        """
        while True:
            await trio.sleep(_STALE_TICK_S)
            if self._stale_at.is_past():
                await self._ask_peers()
                await trio.sleep(_PEERS_PAUSE_S)

    async def _read_once(self) -> None:
        if not self._snapshot_read:
            await self._take_snapshot()
            self._snapshot_read = True
        start = self.state.offset + 1
        piece = await self._read_records(start)
        self._note_available()
        self._stale_at = deadlines.make_deadline(_STALE_MS)
        # A peer's state may have come in the meantime: what counts is what
        # is folded now.
        if piece.first > self.state.offset + 1:
            await self._bridge_hole(self.state.offset + 1, piece.first)
            return
        self._in_hole = False
        self._note_end(start, piece.next)
        for record in piece.records:
            self._fold(record)
            # A batch takes up to 0.1 s, and streams must not stall as long.
            if not record.offset % _FOLDED_AT_ONCE:
                await trio.sleep(0)
        if piece.records:
            self._announce()
        if self.state.offset + 1 >= piece.next:
            self._ready.set()

    async def _read_records(self, start: int) -> ports.LogSlice:
        """Read from offset ``start`` on, within the time of one call.

        While the log is away it isn't asked to hold the reading, so that one
        that is slow has nearly all of the time for its answer.
        """
        may_hold = self.is_ready() and self._available
        with trio.move_on_after(_CALL_S):
            return await self._log.read_records(
                configuration.CONFIGURATION_STREAM,
                start,
                _BATCH,
                _WAIT_MS if may_hold else 0,
            )
        raise ports.PortError(
            "read configuration", "log", "no answer in time", took_effect=False
        )

    async def _bridge_hole(self, wanted: int, first: int) -> None:
        """Take a state from elsewhere, since records are gone.

        Folding on behind the hole would accept and refuse other writes than
        everyone else did, and no one would notice.
        """
        if self._expired_at != first:
            self._expired_at = first
            logs.log_event(events.RECORDS_EXPIRED, wanted=wanted, first=first)
        self._in_hole = not await self._take_snapshot()
        if not self._in_hole:
            return
        self._stale_at = deadlines.make_deadline(0)
        self._unready_reason = (
            f"records from {wanted} to {first - 1} expired, and neither a "
            "snapshot nor another entry has their outcome"
        )
        await trio.sleep(_PAUSE_S)

    async def _take_snapshot(self) -> bool:
        """Take a newer snapshot from the log; tell whether there was one."""
        state = await snapshot_store.read_newer_state(
            self._log, self.state.offset
        )
        if state is None:
            return False
        self._adopt(state)
        logs.log_event(events.SNAPSHOT_LOADED, offset=state.offset)
        return True

    async def _ask_peers(self) -> None:
        """Take a newer state from a peer, if one has it."""
        answer = await self._peers.ask(self.state.offset)
        if answer.state is not None:
            self._adopt(answer.state)
            logs.log_event(events.STATE_FROM_PEER, offset=self.state.offset)
        if answer.heard and not self._in_hole:
            self._ready.set()

    def _adopt(self, state: configuration.Configuration) -> None:
        if state.offset > self.state.offset:
            self.state = state
            self._in_hole = False
            garbage_collection.freeze_live_objects()
            self._announce()

    def _announce(self) -> None:
        logs.log_event(events.CONFIGURATION_APPLIED, offset=self.state.offset)
        self._changed.set()
        self._changed = trio.Event()

    def _fold(self, record: ports.LogRecord) -> None:
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
            self._note_ignored(outcome)

    def _note_ignored(self, outcome: configuration.ChangeOutcome) -> None:
        """Tell which fields of a resource this version does not read."""
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

    def _note_end(self, start: int, end: int) -> None:
        """Tell once when the log ends below what is in force.

        The configuration never goes back, so nothing of such a log is
        folded, and without this line operators would see their writes stay
        pending and not learn why.
        """
        behind = end < start
        if behind and not self._log_behind:
            logs.log_event(events.LOG_BEHIND, offset=start - 1, next=end)
        self._log_behind = behind

    def _note_available(self) -> None:
        if not self._available:
            self._available = True
            logs.log_event(events.LOG_AVAILABLE)

    def _note_unavailable(self, error: ports.PortError) -> None:
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
