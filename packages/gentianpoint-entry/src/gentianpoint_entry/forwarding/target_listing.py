"""Keeps the registry of targets up to date with the platform's list.

The list may name a target as it was before: a write may be executed seconds
after a later one, and a log that comes back from a copy lacks what was written
last. Some targets have been given notice since, some have ended, and some that
have started are missing. What is known of a start holds against such an entry,
and a target that was dropped comes back only by a sign of life.
"""

from collections import abc
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import entry_order
from gentianpoint_entry.forwarding import targets
from gentianpoint_entry.forwarding import topic_follower

__all__ = ("DecodeEntry", "TargetListing")

DecodeEntry = abc.Callable[
    [ports.KeyedRecord], typing.Optional[targets.TargetEntry]
]
"""Decodes a record of the list; returns None if it holds no target."""

_LISTED_WITHIN_S: typing.Final = 4.0
"""Seconds, with the log available, within which an announced target is
listed. Targets write their entries within a second of their start, and the
list is read at least once a second; a target that is not listed by then may
have ended unnoticed."""
_MAX_DROPPED: typing.Final = 1024
"""Dropped targets that are remembered, so that neither an announcement that
was long delayed nor an older copy of the log brings one back."""
_MAX_ADDRESSES: typing.Final = 8192
"""Most recently used addresses that are remembered. They take about 1 MB, and
are three times the targets that a deployment is designed for."""
_LAPSED_WITHIN_S: typing.Final = 5.0
"""Seconds after the log's return, or after an entry was written, within which
entries of targets that have ended expire. One that is still listed then
belongs to a target that is well. Entries expire after some seconds without a
sign of their target."""


class _Dropped(typing.NamedTuple):
    """A target that was dropped."""

    entry: typing.Optional[targets.TargetEntry]
    """Its last entry; None if it had none."""
    was_leaving: bool
    """True if it had been given notice, by whatever way."""
    era: int
    """Era of the log in which it was dropped."""


class _HeldEntry(typing.NamedTuple):
    """An entry that may be older than the end of its target."""

    entry: targets.TargetEntry
    position: ports.LogPosition
    lapses_at: float
    """From then on, that of a target that has ended has expired."""


class TargetListing(topic_follower.RecordConsumer):
    """Applies records of the list to the registry of targets."""

    def __init__(
        self, registry: targets.TargetRegistry, decode: DecodeEntry
    ) -> None:
        """Update ``registry`` with the entries that ``decode`` returns."""
        self._registry: typing.Final = registry
        self._decode: typing.Final = decode
        self._missing: typing.Final[set[str]] = set()
        # Announced targets, and by when the list has to name them.
        self._announced: typing.Final[dict[str, float]] = {}
        # Used as ordered maps, oldest first.
        self._dropped: typing.Final[dict[str, _Dropped]] = {}
        self._held: typing.Final[dict[str, _HeldEntry]] = {}
        self._addresses: typing.Final[dict[str, None]] = {}
        # From then on, targets that are missing from the list are dropped.
        self._settled_at = -1.0
        # Until then, entries may be read that an older copy of the log has.
        self._copied_until = -1.0
        # From then on, those of targets that have ended have expired.
        self._lapsed_at = -1.0
        self._is_available = True
        self._era = 0
        self.has_read = False

    def apply_snapshot(self, records: abc.Sequence[ports.KeyedRecord]) -> None:
        """Apply the whole list."""
        listed = set()
        for record in records:
            if self._put(record):
                listed.add(record.key)
        for name in list(self._held):
            if name not in listed:
                del self._held[name]
        for target in self._registry.list_all():
            name = target.target_id
            if name not in listed and name not in self._announced:
                self._drop(name)
        self.has_read = True

    def add_announced(self, entry: targets.TargetEntry) -> None:
        """Add a target that its agent has announced before it is listed.

        It is used at once, unless another target had its address; only the
        list can tell the two apart. That the list does not name it is
        ignored for a while, and for as long as the log is unavailable.
        """
        name = entry.target_id
        if self._registry.find(name) is not None or name in self._dropped:
            return
        if entry.address in self._addresses:
            # Addresses of targets that have gone are reused by other
            # services, and an agent may not know yet that its engine's was:
            # requests would be run by a service that must not receive them.
            return
        now = trio.current_time()
        self._registry.put_entry(entry, now)
        self._remember_address(entry.address)
        self._announced[name] = now + _LISTED_WITHIN_S
        logs.log_event(
            events.TARGET_ANNOUNCED,
            target=name,
            address=entry.address,
            service=entry.service,
        )

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Apply one target's entry, or its removal."""
        self._era = record.era
        if record.value is None or not self._put(record, is_new=True):
            self._held.pop(record.key, None)
            self._drop(record.key)

    def note_log_availability(self, *, is_available: bool) -> None:
        """Record whether the log is available, and drop overdue targets.

        Targets that went missing during an outage are dropped once they have
        had the time to write their entries again.
        """
        now = trio.current_time()
        if not is_available or not self._is_available:
            self._settled_at = now + topic_follower.RENEWED_WITHIN_S
        self._is_available = is_available
        for name, listed_by in list(self._announced.items()):
            if not is_available:
                self._announced[name] = now + _LISTED_WITHIN_S
            elif now >= listed_by:
                self._drop_now(name)
        if is_available and now >= self._settled_at:
            for target_id in sorted(self._missing):
                self._drop_now(target_id)
            self._missing.clear()
        if is_available and now >= self._lapsed_at:
            self._release_held()

    def note_log_restored(self) -> None:
        """Expect entries that are older than what is known, and missing ones.

        An announced target has to be listed within as much time as after an
        outage.
        """
        now = trio.current_time()
        self._settled_at = now + topic_follower.RENEWED_WITHIN_S
        self._copied_until = self._settled_at
        self._lapsed_at = now + _LAPSED_WITHIN_S
        for name in self._announced:
            self._announced[name] = now + _LISTED_WITHIN_S

    def _release_held(self) -> None:
        """Use the targets whose entries have not expired by now.

        One that had been given notice takes no more work in this start.
        """
        now = trio.current_time()
        for name, held in list(self._held.items()):
            if now >= held.lapses_at and not self._was_leaving(held.entry):
                del self._held[name]
                self._apply_entry(held.entry, held.position)

    def _was_leaving(self, entry: targets.TargetEntry) -> bool:
        """Tell whether the start of an entry was dropped after a notice."""
        dropped = self._dropped.get(entry.target_id)
        return (
            dropped is not None
            and dropped.was_leaving
            and dropped.entry is not None
            and targets.is_same_start(dropped.entry, entry)
        )

    def _put(self, record: ports.KeyedRecord, *, is_new: bool = False) -> bool:
        """Apply an entry; False if the record has none.

        ``is_new`` is True if the record was written after this entry read
        the list.
        """
        entry = self._decode(record)
        if entry is None:
            return False
        self._era = record.era
        known = self._registry.find(entry.target_id)
        if known is not None and self._is_outdated(entry, known.entry):
            self._missing.discard(entry.target_id)
            _log_outdated(record, entry)
            self._take_notice(entry, known)
            return True
        if known is None and not self._may_return(entry, record, is_new):
            self._hold(entry, record.position)
            _log_outdated(record, entry)
            return True
        self._held.pop(entry.target_id, None)
        self._apply_entry(entry, record.position)
        return True

    def _hold(
        self, entry: targets.TargetEntry, position: ports.LogPosition
    ) -> None:
        """Hold an entry back until it has expired if its target has gone.

        One that is written again and again does not expire.
        """
        held = self._held.get(entry.target_id)
        lapses_at = (
            trio.current_time() + _LAPSED_WITHIN_S
            if held is None
            else held.lapses_at
        )
        self._held[entry.target_id] = _HeldEntry(entry, position, lapses_at)

    def _is_outdated(
        self, entry: targets.TargetEntry, known: targets.TargetEntry
    ) -> bool:
        """Tell whether an entry was made before the known one.

        What only an agent has announced gives way to the list.
        """
        if entry.target_id in self._announced:
            return False
        order = entry_order.compare_entries(entry, known)
        if order is entry_order.EntryOrder.SAME:
            # While targets write again what the log has lost, it is read from
            # the copy. At other times another writer may have changed it.
            return trio.current_time() < self._copied_until
        return order is entry_order.EntryOrder.EARLIER

    def _take_notice(
        self, entry: targets.TargetEntry, known: targets.Target
    ) -> None:
        """Apply a notice in an entry that is outdated otherwise."""
        if (
            entry.is_leaving
            and not known.entry.is_leaving
            and targets.is_same_start(known.entry, entry)
        ):
            self._apply_entry(
                known.entry._replace(is_leaving=True), known.position
            )

    def _may_return(
        self,
        entry: targets.TargetEntry,
        record: ports.KeyedRecord,
        is_new: bool,
    ) -> bool:
        """Tell whether an entry shows that a target that was dropped is there.

        A later start does. An entry that was made later than the last one may
        still have been written late, so a second one has to follow.
        """
        dropped = self._dropped.get(entry.target_id)
        if dropped is None:
            return True
        order = (
            entry_order.EntryOrder.UNKNOWN
            if dropped.entry is None
            else entry_order.compare_entries(entry, dropped.entry)
        )
        if order is entry_order.EntryOrder.UNKNOWN:
            return is_new or dropped.era >= record.era
        assert dropped.entry is not None
        if order is not entry_order.EntryOrder.LATER:
            return False
        if not targets.is_same_start(dropped.entry, entry):
            return True
        held = self._held.get(entry.target_id)
        return (
            not dropped.was_leaving
            and held is not None
            and entry_order.compare_entries(held.entry, dropped.entry) is order
            and entry_order.compare_entries(entry, held.entry) is order
        )

    def _apply_entry(
        self, entry: targets.TargetEntry, position: ports.LogPosition
    ) -> None:
        known = self._registry.find(entry.target_id)
        was_leaving = known is not None and known.entry.is_leaving
        self._registry.put_entry(entry, trio.current_time(), position)
        self._remember_address(entry.address)
        self._missing.discard(entry.target_id)
        is_new = known is None or entry.target_id in self._announced
        self._announced.pop(entry.target_id, None)
        if is_new:
            logs.log_event(
                events.TARGET_LISTED,
                target=entry.target_id,
                address=entry.address,
                service=entry.service,
                software=entry.software,
                offset=position.offset,
                era=position.era,
            )
        if entry.is_leaving and not was_leaving:
            logs.log_event(
                events.TARGET_LEAVING,
                target=entry.target_id,
                offset=position.offset,
                era=position.era,
            )

    def _remember_address(self, address: str) -> None:
        self._addresses.pop(address, None)
        self._addresses[address] = None
        if len(self._addresses) > _MAX_ADDRESSES:
            del self._addresses[next(iter(self._addresses))]

    def _drop(self, target_id: str) -> None:
        # The first read after an outage is applied before
        # note_log_availability is told that the log is available again.
        is_settled = trio.current_time() >= self._settled_at
        if not self._is_available or not is_settled:
            self._missing.add(target_id)
        else:
            self._drop_now(target_id)

    def _drop_now(self, target_id: str) -> None:
        self._announced.pop(target_id, None)
        target = self._registry.drop(target_id)
        if target is not None:
            logs.log_event(events.TARGET_UNLISTED, target=target_id)
        known = self._dropped.pop(target_id, None)
        entry = target.entry if target is not None else known and known.entry
        was_leaving = (
            target.has_notice()
            if target is not None
            else known is not None and known.was_leaving
        )
        self._dropped[target_id] = _Dropped(entry, was_leaving, self._era)
        if len(self._dropped) > _MAX_DROPPED:
            del self._dropped[next(iter(self._dropped))]


def _log_outdated(
    record: ports.KeyedRecord, entry: targets.TargetEntry
) -> None:
    logs.log_event(
        events.RECORD_OUTDATED,
        step="apply target",
        key=record.key,
        reason=f"number {entry.sequence_number} at {tuple(record.position)}"
        " is not newer than what is known",
    )
