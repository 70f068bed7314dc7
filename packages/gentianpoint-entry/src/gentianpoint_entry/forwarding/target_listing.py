"""Keeps the registry of targets up to date with the platform's list."""

import collections
from collections import abc
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
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
_MAX_DROPPED: typing.Final = 128
"""Dropped targets that are remembered, so that an announcement that was long
delayed does not bring one back."""
_MAX_ADDRESSES: typing.Final = 8192
"""Most recently used addresses that are remembered. They take about 1 MB, and
are three times the targets that a deployment is designed for."""
_RENEWED_WITHIN_S: typing.Final = 2.2
"""Seconds after an outage of the log within which healthy targets have written
their entries again. Until then a missing entry may only mean that it expired
while the target could not write; dropping the target would refuse requests
while targets are idle."""


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
        self._dropped: typing.Final[collections.deque[str]] = (
            collections.deque(maxlen=_MAX_DROPPED)
        )
        # Used as an ordered set, oldest first.
        self._addresses: typing.Final[dict[str, None]] = {}
        # From then on, targets that are missing from the list are dropped.
        self._settled_at = -1.0
        self._is_available = True
        self.has_read = False

    def apply_snapshot(self, records: abc.Sequence[ports.KeyedRecord]) -> None:
        """Apply the whole list."""
        listed = set()
        for record in records:
            if self._put(record):
                listed.add(record.key)
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
        if record.value is None or not self._put(record):
            self._drop(record.key)

    def note_log_availability(self, *, is_available: bool) -> None:
        """Record whether the log is available, and drop overdue targets.

        Targets that went missing during an outage are dropped once they have
        had the time to write their entries again.
        """
        now = trio.current_time()
        if not is_available or not self._is_available:
            self._settled_at = now + _RENEWED_WITHIN_S
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

    def _put(self, record: ports.KeyedRecord) -> bool:
        entry = self._decode(record)
        if entry is None:
            return False
        known = self._registry.find(entry.target_id)
        was_leaving = known is not None and known.entry.is_leaving
        self._registry.put_entry(entry, trio.current_time(), record.offset)
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
                offset=record.offset,
            )
        if entry.is_leaving and not was_leaving:
            logs.log_event(
                events.TARGET_LEAVING,
                target=entry.target_id,
                offset=record.offset,
            )
        return True

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
        self._dropped.append(target_id)
        if self._registry.drop(target_id) is not None:
            logs.log_event(events.TARGET_UNLISTED, target=target_id)
