"""Whether the data centre of this agent is evacuated."""

import typing

from gentianpoint_core import logs
from gentianpoint_core.generated import events
from gentianpoint_core.generated import messages

__all__ = ("EvacuationNotice",)


class EvacuationNotice:
    """The newest word on this data centre among those that entries sent.

    Several entries send it, and one that can't read the log keeps sending an
    old one. The offset of the evacuations that an entry has read tells which
    word is newer.
    """

    def __init__(self, data_centre: str) -> None:
        """Start as not evacuated."""
        self.is_evacuated = False
        self._data_centre: typing.Final = data_centre
        self._offset = -1

    def apply(self, message: messages.Configure) -> bool:
        """Apply an entry's word; return whether it changed anything.

        Entries of earlier versions send none.
        """
        offset = message.get("evacuations_offset", -1)
        if offset <= self._offset:
            return False
        self._offset = offset
        was_evacuated = self.is_evacuated
        self.is_evacuated = message.get("evacuated", False)
        if self.is_evacuated == was_evacuated:
            return False
        logs.log_event(
            events.DATA_CENTRES_EVACUATED,
            data_centres=[self._data_centre] if self.is_evacuated else [],
        )
        return True
