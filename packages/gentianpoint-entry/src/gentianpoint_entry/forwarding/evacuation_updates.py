"""Applies operators' evacuations of data centres to the targets."""

from collections import abc
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
        self._evacuations: typing.Final = evacuations.Evacuations()
        # Offset of the newest record that was applied.
        self._through = -1

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
        if data_centre and self._evacuations.apply_change(
            data_centre,
            record.offset,
            is_evacuated=record.value is not None,
        ):
            self._apply()

    def note_log_availability(self, *, is_available: bool) -> None:
        """Keep the evacuations while the log is unavailable."""

    def _apply(self) -> None:
        evacuated = self._evacuations.data_centres
        self._registry.set_evacuated(evacuated, trio.current_time())
        logs.log_event(
            events.DATA_CENTRES_EVACUATED, data_centres=sorted(evacuated)
        )
