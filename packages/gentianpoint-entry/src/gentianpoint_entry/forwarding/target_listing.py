"""Keeps the registry of targets as the platform's list tells it."""

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
"""Returns what a record says of a target; None when it names none."""

_LISTED_WITHIN_S: typing.Final = 4.0
"""Time, with the log at hand, in which an announced target is listed. Targets
write their entries within a second of their start, and readings are up to a
second apart; one that is not listed by then may have ended unseen."""
_MOST_DROPPED: typing.Final = 128
"""Dropped targets that are remembered; an announcement that was on its way
for long must not bring one back."""
_MOST_ADDRESSES: typing.Final = 8192
"""Addresses that are remembered as used, the newest of them; about 1 MB, and
three times the targets that a deployment is built for."""
_BACK_WITHIN_S: typing.Final = 2.2
"""Time after an outage of the log in which targets that are well have written
their entries again. Until then a missing entry may only mean that it lapsed
while the target could not write, and dropping it would refuse requests beside
idle targets."""


class TargetListing(topic_follower.RecordConsumer):
    """Turns records of the list into targets."""

    def __init__(
        self, registry: targets.TargetRegistry, decode: DecodeEntry
    ) -> None:
        """Keep ``registry``."""
        self._registry: typing.Final = registry
        self._decode: typing.Final = decode
        self._missing: typing.Final[set[str]] = set()
        self._announced: typing.Final[dict[str, float]] = {}
        self._dropped: typing.Final[collections.deque[str]] = (
            collections.deque(maxlen=_MOST_DROPPED)
        )
        self._addresses: typing.Final[dict[str, None]] = {}
        self._settled_at = -1.0
        self._is_available = True
        self.has_read = False

    def apply_snapshot(self, records: abc.Sequence[ports.KeyedRecord]) -> None:
        """Take the whole list."""
        listed = set()
        for record in records:
            if self._put(record):
                listed.add(record.key)
        for target in self._registry.list_all():
            name = target.target_id
            if name not in listed and name not in self._announced:
                self._drop(name)
        self.has_read = True

    def announce(self, entry: targets.TargetEntry) -> None:
        """Take a target that its agent has told of before the list does.

        It is used at once, unless another target had its address, which
        only the list can tell apart. Its absence from the list says nothing
        for a while, and nothing at all while the log is away.
        """
        name = entry.target_id
        if self._registry.find(name) is not None or name in self._dropped:
            return
        if entry.address in self._addresses:
            # Addresses of targets that have gone are given to other
            # services, and an agent may not know yet that its engine's was:
            # requests would be run by a service that they must not reach.
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
        """Take one target's entry, or its removal."""
        if record.value is None or not self._put(record):
            self._drop(record.key)

    def note_log_availability(self, *, is_available: bool) -> None:
        """Settle what lapsed during an outage once its end is past."""
        now = trio.current_time()
        if not is_available or not self._is_available:
            self._settled_at = now + _BACK_WITHIN_S
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
        if len(self._addresses) > _MOST_ADDRESSES:
            del self._addresses[next(iter(self._addresses))]

    def _drop(self, target_id: str) -> None:
        # The first reading after an outage comes before its end is noted.
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
