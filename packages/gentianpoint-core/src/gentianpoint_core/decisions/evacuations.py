"""Decides which data centres get no new work since operators empty them.

The load: a data centre is evacuated, its share of the requests goes to the
others within seconds, and it may be taken back before every process has heard
of the evacuation. Processes learn of changes in different orders and some of
them twice, so the change with the highest offset in the log decides.
"""

from collections import abc
import typing

__all__ = ("Evacuations",)


class _Change(typing.NamedTuple):
    offset: int
    """Offset of the newest record that concerns the data centre."""
    is_evacuated: bool
    """False once it has been taken back."""


class Evacuations:
    """The evacuated data centres, folded from the records of a log.

    >>> found = Evacuations()
    >>> found.apply_change("north", 3, is_evacuated=True)
    True
    >>> found.apply_change("north", 2, is_evacuated=False)
    False
    >>> sorted(found.data_centres)
    ['north']
    """

    def __init__(self) -> None:
        """Start with no data centre evacuated."""
        self.data_centres: frozenset[str] = frozenset()
        self._changes: typing.Final[dict[str, _Change]] = {}

    def apply_change(
        self, data_centre: str, offset: int, *, is_evacuated: bool
    ) -> bool:
        """Apply a record; return whether the evacuated ones changed."""
        known = self._changes.get(data_centre)
        if known is not None and known.offset >= offset:
            return False
        self._changes[data_centre] = _Change(offset, is_evacuated)
        return self._update()

    def apply_state(
        self, evacuated: abc.Mapping[str, int], through: int
    ) -> bool:
        """Apply the whole state as of the record with offset ``through``.

        ``evacuated`` maps each evacuated data centre to the offset of its
        record. A data centre that it lacks has been taken back by then.
        Returns whether the evacuated ones changed.
        """
        for data_centre, known in list(self._changes.items()):
            if data_centre not in evacuated and known.offset <= through:
                self._changes[data_centre] = _Change(through, False)
        for data_centre, offset in evacuated.items():
            known = self._changes.get(data_centre, _Change(-1, False))
            if known.offset <= through:
                self._changes[data_centre] = _Change(
                    max(offset, known.offset), True
                )
        return self._update()

    def restart(self, evacuated: abc.Iterable[str]) -> None:
        """Fold a log anew that has come back from an older copy.

        What was evacuated stays so until a record says otherwise.
        """
        self._changes.clear()
        for data_centre in evacuated:
            self._changes[data_centre] = _Change(-1, True)
        self._update()

    def find_offsets(self) -> abc.Mapping[str, int]:
        """Return the offset of the record of each evacuated data centre."""
        return {
            data_centre: change.offset
            for data_centre, change in self._changes.items()
            if change.is_evacuated
        }

    def _update(self) -> bool:
        evacuated = frozenset(self.find_offsets())
        is_changed = evacuated != self.data_centres
        self.data_centres = evacuated
        return is_changed
