"""What the routes of operators share."""

import typing

from gentianpoint_core import ports
from gentianpoint_entry import configuration_tail
from gentianpoint_entry import pending_changes
from gentianpoint_entry import status_tracker

__all__ = ("AdministrationState",)


class AdministrationState(typing.NamedTuple):
    """The configuration, the log and what is known of other hosts."""

    operator_key_hash: str
    """SHA-256 digest in hex of the operators' bearer key."""
    tail: configuration_tail.ConfigurationTail
    """The configuration here."""
    log: ports.Log
    """Log that takes the writes."""
    board: status_tracker.StatusTracker
    """Where changes are in force."""
    pending: pending_changes.PendingChanges
    """Writes whose outcome isn't known here yet."""
