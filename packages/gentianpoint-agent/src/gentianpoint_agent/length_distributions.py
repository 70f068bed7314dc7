"""Distributions of answer lengths, learned from streams that come and go.

A distribution is a table of hazards: for each of a fixed number of length
classes, spaced evenly on a log scale, the chance that a stream which reached
the class ends in it. A stream that is cut short, by its customer or by its
limit, tells that it survived the classes before and tells nothing of the
rest; so censored streams need no special case (this is the estimate of
Kaplan and Meier). Each class forgets on its own, by a share for every stream
that is settled in it: the table follows a drift, and the tail, which few
streams reach, is remembered for longer.
"""

from collections import abc
import itertools
import math
import operator
import typing

__all__ = (
    "CLASSES",
    "CLASSES_PER_DOUBLING",
    "LAST_POSITION",
    "LengthDistribution",
    "find_class",
    "find_class_end",
    "find_position",
    "read_survival",
)

CLASSES_PER_DOUBLING: typing.Final = 4
"""Number of length classes from a length to its double."""
_DOUBLINGS: typing.Final = 17
CLASSES: typing.Final = CLASSES_PER_DOUBLING * _DOUBLINGS
"""Number of length classes; the last one has no end."""
LAST_POSITION: typing.Final = CLASSES - 1e-6
"""Highest position on the scale of the classes."""

_FORGET: typing.Final = 1 - 1 / 150
_PRIOR_STREAMS: typing.Final = 0.5
_PARENT_STREAMS: typing.Final = 8.0
_PRIOR_SHORT_CLASSES: typing.Final = 8 * CLASSES_PER_DOUBLING
# Half of the answers of which nothing is known reach 255 tokens; of those
# longer than any known, 4 in 10 get twice as long.
_PRIOR_HAZARDS: typing.Final = tuple(
    0.02 if place < _PRIOR_SHORT_CLASSES else 0.2 for place in range(CLASSES)
)
_REFRESH_CHANGES: typing.Final = 32
_LEAST_SURVIVAL: typing.Final = 1e-9
_CLASS_ENDS: typing.Final = tuple(
    2.0 ** (place / CLASSES_PER_DOUBLING) for place in range(CLASSES + 1)
)
_CLASS_WIDTHS: typing.Final = tuple(
    end - start for start, end in itertools.pairwise(_CLASS_ENDS)
)


def find_class(tokens: int) -> int:
    """Return the class of a length in tokens.

    >>> find_class(0), find_class(1), find_class(3)
    (0, 4, 8)
    """
    place = int(CLASSES_PER_DOUBLING * math.log2(tokens + 1))
    return min(place, CLASSES - 1)


def find_class_end(place: int) -> int:
    """Return the first length in tokens that lies beyond a class."""
    return math.ceil(2 ** ((place + 1) / CLASSES_PER_DOUBLING)) - 1


def find_position(tokens: int) -> float:
    """Return a length in tokens on the scale of the classes."""
    position = CLASSES_PER_DOUBLING * math.log2(tokens + 1)
    return min(position, LAST_POSITION)


def read_survival(table: abc.Sequence[float], position: float) -> float:
    """Return the chance to reach a position, by a table of survival.

    The table has the chance to reach each class; between two classes the
    chance is interpolated.
    """
    place = int(position)
    low = table[place]
    return low + (position - place) * (table[place + 1] - low)


class LengthDistribution:
    """Lengths of one kind of answer, which lean on those of a wider kind."""

    def __init__(
        self, parent: typing.Optional["LengthDistribution"] = None
    ) -> None:
        """Know nothing but what ``parent`` knows.

        Without a parent, expect a wide heavy-tailed distribution: while
        nothing is known an answer is taken to be long.
        """
        self._parent: typing.Final = parent
        self._ends: typing.Final = [0.0] * CLASSES
        self._settled: typing.Final = [0.0] * CLASSES
        self._changes = 0
        self._read_at = (-1, -1)
        self._hazards: abc.Sequence[float] = _PRIOR_HAZARDS
        self._survival: abc.Sequence[float] = [1.0] * (CLASSES + 1)
        self._mean = 0.0
        self.streams = 0

    def add_survivor(self, place: int) -> None:
        """Add a stream that went on beyond a class."""
        self._settle(place, 0.0)

    def add_end(self, place: int) -> None:
        """Add a stream that ended by itself in a class."""
        self.streams += 1
        self._settle(place, 1.0)

    def count_known(self) -> int:
        """Return how many streams the widest kind has seen end."""
        parent = self._parent
        return self.streams if parent is None else parent.count_known()

    def _settle(self, place: int, ended: float) -> None:
        self._settled[place] = self._settled[place] * _FORGET + 1
        self._ends[place] = self._ends[place] * _FORGET + ended
        self._changes += 1

    def _count_changes(self) -> tuple[int, int]:
        """Return what tells whether the tables are out of date.

        Every change of a table that has few, later every so many, is worth
        the work of reading it anew; so are the changes of its parents.
        """
        own = self._changes
        if own > _REFRESH_CHANGES:
            own -= own % _REFRESH_CHANGES
        parent = self._parent
        return own, 0 if parent is None else sum(parent._count_changes())

    def read_hazards(self) -> abc.Sequence[float]:
        """Return for each class the chance to end in it, once there."""
        self._refresh()
        return self._hazards

    def read_table(self) -> abc.Sequence[float]:
        """Return the chance to reach each class, and 0 beyond the last."""
        self._refresh()
        return self._survival

    def _refresh(self) -> None:
        changes = self._count_changes()
        if changes == self._read_at:
            return
        self._read_at = changes
        expected: abc.Sequence[float] = _PRIOR_HAZARDS
        weight = _PRIOR_STREAMS
        if self._parent is not None:
            expected = self._parent.read_hazards()
            weight = _PARENT_STREAMS
        self._hazards = [
            min((ends + weight * chance) / (settled + weight), 1.0)
            for ends, settled, chance in zip(
                self._ends, self._settled, expected, strict=True
            )
        ]
        stays = [1 - hazard for hazard in self._hazards]
        stays[-1] = 0.0
        reach = itertools.accumulate(stays, operator.mul, initial=1.0)
        self._survival = list(reach)
        self._mean = sum(
            width * (low + high) / 2
            for width, (low, high) in zip(
                _CLASS_WIDTHS,
                itertools.pairwise(self._survival),
                strict=True,
            )
        )

    def find_quantile(self, tokens: int, share: float) -> int:
        """Return the length that a share of such streams don't exceed.

        Of streams that have brought ``tokens`` tokens already; the result
        is their whole length in tokens.
        """
        table = self.read_table()
        reached = read_survival(table, find_position(tokens))
        if reached < _LEAST_SURVIVAL:
            return find_class_end(find_class(tokens))
        most = reached * (1 - share)
        first = next(
            place for place, chance in enumerate(table) if chance <= most
        )
        place = max(first, find_class(tokens) + 1)
        return max(tokens, find_class_end(place - 1))

    def find_mean(self) -> float:
        """Return the mean length in tokens."""
        self._refresh()
        return self._mean
