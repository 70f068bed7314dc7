"""State that the administration routes share."""

import typing

from gentianpoint_core import ports
from gentianpoint_entry import configuration_tail
from gentianpoint_entry import pending_changes
from gentianpoint_entry import status_tracker

__all__ = ("AdministrationState",)


class AdministrationState(typing.NamedTuple):
    """The configuration, the log and the status of the hosts."""

    operator_key_hash: str
    """SHA-256 digest in hex of the operators' bearer key."""
    tail: configuration_tail.ConfigurationTail
    """The configuration of this entry."""
    log: ports.Log
    """Log to which changes are appended."""
    tracker: status_tracker.StatusTracker
    """Tracks on which hosts a change is in force."""
    pending: pending_changes.PendingChanges
    """Changes whose outcome isn't known here yet."""
