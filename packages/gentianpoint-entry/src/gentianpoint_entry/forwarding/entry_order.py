"""Decides which of two entries of a target was made later.

The log keeps the order in which entries were written, which need not be that
in which they were made: a write whose answer was lost may be executed seconds
later, and a log that comes back from a copy has older entries. A target counts
its own entries, and says when it started.
"""

import enum

from gentianpoint_entry.forwarding import targets

__all__ = ("EntryOrder", "compare_entries")


class EntryOrder(enum.Enum):
    """When an entry was made, against another one of the same target."""

    LATER = "later"
    EARLIER = "earlier"
    SAME = "same"
    """They have one number."""
    UNKNOWN = "unknown"
    """Nothing tells. Other writers' entries may lack numbers and times."""


def compare_entries(
    entry: targets.TargetEntry, known: targets.TargetEntry
) -> EntryOrder:
    """Return when ``entry`` was made, against the ``known`` one.

    Both have the same identifier. Numbers count within one start, and a later
    start may begin with one again.

    >>> known = targets.TargetEntry(
    ...     "a", "s", "10.0.0.1:1", "z", 1, False, 0.0, 5, sequence_number=7
    ... )
    >>> compare_entries(known._replace(sequence_number=6), known)
    <EntryOrder.EARLIER: 'earlier'>
    >>> later = known._replace(sequence_number=1, started_ms=6)
    >>> compare_entries(later, known)
    <EntryOrder.LATER: 'later'>
    """
    is_same_start = targets.is_same_start(known, entry)
    values = (
        (entry.sequence_number, known.sequence_number)
        if is_same_start
        else (entry.started_ms, known.started_ms)
    )
    if min(values) <= 0:
        return EntryOrder.UNKNOWN
    own, other = values
    if own == other:
        return EntryOrder.SAME if is_same_start else EntryOrder.UNKNOWN
    return EntryOrder.LATER if own > other else EntryOrder.EARLIER
