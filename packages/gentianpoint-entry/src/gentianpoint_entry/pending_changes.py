"""Writes of which this entry does not yet know what became."""

import typing

__all__ = ("PendingChange", "PendingChanges")

_MOST: typing.Final = 1024


class PendingChange(typing.NamedTuple):
    """A write that was handed to the log."""

    change: str
    """Identifier of the change."""
    kind: str
    """Kind of the resource."""
    name: str
    """Name of the resource."""
    action: str
    """``put`` or ``delete``."""


class PendingChanges:
    """The pending writes of this entry, the newest of them when many."""

    def __init__(self) -> None:
        """Start with none."""
        self._changes: typing.Final[dict[str, PendingChange]] = {}

    def add(self, change: PendingChange) -> None:
        """Add a write, and forget the oldest beyond the limit."""
        self._changes.pop(change.change, None)
        self._changes[change.change] = change
        while len(self._changes) > _MOST:
            del self._changes[next(iter(self._changes))]

    def forget(self, change: str) -> None:
        """Forget a write whose outcome is known."""
        self._changes.pop(change, None)

    def find(self, change: str) -> typing.Optional[PendingChange]:
        """Return a pending write, or None."""
        return self._changes.get(change)

    def list_all(self) -> tuple[PendingChange, ...]:
        """Return the pending writes, oldest first."""
        return tuple(self._changes.values())
