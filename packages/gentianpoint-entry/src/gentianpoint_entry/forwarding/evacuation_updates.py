"""Applies operators' evacuations of data centres to the targets.

When the log comes back from an older copy, an evacuation that the copy lacks
holds until the operator has had the time to write it again.
"""

from collections import abc
import math
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.decisions import evacuations
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import targets
from gentianpoint_entry.forwarding import topic_follower

__all__ = ("EvacuationUpdates", "FindDataCentre")

FindDataCentre = abc.Callable[[ports.KeyedRecord], str]
"""Returns the data centre that a record is about; empty for other records."""


class EvacuationUpdates(topic_follower.RecordConsumer):
    """Keeps the registry of targets up to date with the evacuations."""

    def __init__(
        self,
        registry: targets.TargetRegistry,
        find_data_centre: FindDataCentre,
    ) -> None:
        """Mark targets in ``registry``; start with none evacuated."""
        self._registry: typing.Final = registry
        self._find_data_centre: typing.Final = find_data_centre
        self._evacuations = evacuations.Evacuations()
        # Offset of the newest record that was applied.
        self._through = -1
        # Data centres whose evacuation the log may have lost, and until when
        # it may be written again.
        self._kept: frozenset[str] = frozenset()
        self._kept_until = -math.inf

    def apply_snapshot(self, records: abc.Sequence[ports.KeyedRecord]) -> None:
        """Apply all evacuations; those that are missing have ended."""
        found = {}
        for record in records:
            self._through = max(self._through, record.offset)
            data_centre = self._find_data_centre(record)
            if data_centre and record.value is not None:
                found[data_centre] = record.offset
        if self._evacuations.apply_state(found, self._through):
            self._apply()

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Apply the begin or the end of an evacuation."""
        self._through = max(self._through, record.offset)
        data_centre = self._find_data_centre(record)
        if not data_centre:
            return
        was_kept = data_centre in self._kept
        self._kept -= {data_centre}
        is_changed = self._evacuations.apply_change(
            data_centre,
            record.offset,
            is_evacuated=record.value is not None,
        )
        if is_changed or was_kept:
            self._apply()

    def note_log_availability(self, *, is_available: bool) -> None:
        """Keep the evacuations while the log is unavailable.

        Those that it has lost end once they would have been written again.
        """
        is_over = trio.current_time() >= self._kept_until
        if is_available and is_over and self._kept:
            self._kept = frozenset()
            self._apply()

    def note_log_restored(self) -> None:
        """Start to fold the topic anew, and keep what is in force."""
        self._kept |= self._evacuations.data_centres
        self._kept_until = (
            trio.current_time() + topic_follower.RENEWED_WITHIN_S
        )
        self._evacuations = evacuations.Evacuations()
        self._through = -1

    def _apply(self) -> None:
        evacuated = self._evacuations.data_centres | self._kept
        self._registry.set_evacuated(evacuated, trio.current_time())
        logs.log_event(
            events.DATA_CENTRES_EVACUATED, data_centres=sorted(evacuated)
        )
