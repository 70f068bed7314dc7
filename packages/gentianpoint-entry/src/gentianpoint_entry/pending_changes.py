"""Changes that were sent to the log and whose outcome is unknown here."""

import typing

__all__ = ("PendingChange", "PendingChanges")

_MAX_CHANGES: typing.Final = 1024
"""Number of changes that are kept."""


class PendingChange(typing.NamedTuple):
    """A change that was sent to the log."""

    change: str
    """Identifier of the change."""
    kind: str
    """Kind of the resource."""
    name: str
    """Name of the resource."""
    action: str
    """``put`` or ``delete``."""


class PendingChanges:
    """The newest pending changes of this entry, up to a maximum number."""

    def __init__(self) -> None:
        """Start without changes."""
        self._changes: typing.Final[dict[str, PendingChange]] = {}

    def add(self, change: PendingChange) -> None:
        """Add a change, and drop the oldest ones above the maximum."""
        self._changes.pop(change.change, None)
        self._changes[change.change] = change
        while len(self._changes) > _MAX_CHANGES:
            del self._changes[next(iter(self._changes))]

    def forget(self, change: str) -> None:
        """Drop a change whose outcome is known."""
        self._changes.pop(change, None)

    def find(self, change: str) -> typing.Optional[PendingChange]:
        """Return a pending change, or None."""
        return self._changes.get(change)

    def list_all(self) -> tuple[PendingChange, ...]:
        """Return the pending changes, oldest first."""
        return tuple(self._changes.values())
