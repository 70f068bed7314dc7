"""Logs outages of the log once, however many calls fail in them."""

import typing

from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events

__all__ = ("LogAvailability",)


class LogAvailability:
    """Whether the last call to the log succeeded."""

    def __init__(self) -> None:
        """Start as available."""
        self.is_available = True

    def note_outcome(self, error: typing.Optional[ports.PortError]) -> None:
        """Log once that the log can't be used, until it can be again."""
        if error is not None and self.is_available:
            logs.log_event(
                events.LOG_UNAVAILABLE,
                step=error.step,
                peer=error.peer,
                reason=error.reason,
            )
        self.is_available = error is None
