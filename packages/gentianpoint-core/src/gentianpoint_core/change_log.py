"""A map whose readers can ask what changed since they last looked."""

from collections import abc
import typing

__all__ = ("ChangeLog",)

_Value = typing.TypeVar("_Value")


class ChangeLog(typing.Generic[_Value]):
    """Values by name, in the order of their last changes.

    A reader remembers the number of changes that it has seen. Listing the
    changes since then takes time proportional to their number, not to the
    size of the map.

    >>> log = ChangeLog[int]()
    >>> log.put("a", 1)
    >>> seen = log.changes
    >>> log.put("b", 2)
    >>> log.list_since(seen)
    [('b', 2)]
    """

    def __init__(self) -> None:
        """Start empty."""
        self.changes = 0
        self._items: typing.Final[dict[str, tuple[int, _Value]]] = {}

    def __len__(self) -> int:
        """Return the number of values."""
        return len(self._items)

    def put(self, name: str, value: _Value) -> None:
        """Set the value of a name."""
        self.changes += 1
        self._items.pop(name, None)
        self._items[name] = (self.changes, value)

    def replace(self, name: str, value: _Value) -> None:
        """Set the value of a known name; this is not listed as a change."""
        change, _ = self._items[name]
        self._items[name] = (change, value)

    def drop(self, name: str) -> None:
        """Remove a name; this is not listed as a change."""
        del self._items[name]

    def find(self, name: str) -> typing.Optional[_Value]:
        """Return the value of a name, None if there is none."""
        item = self._items.get(name)
        return None if item is None else item[1]

    def list_all(self) -> abc.Sequence[tuple[str, _Value]]:
        """Return all names and values."""
        return [(name, item[1]) for name, item in self._items.items()]

    def list_since(self, seen: int) -> abc.Sequence[tuple[str, _Value]]:
        """Return what changed after the first ``seen`` changes, last first."""
        found = []
        for name in reversed(self._items):
            change, value = self._items[name]
            if change <= seen:
                break
            found.append((name, value))
        return found
