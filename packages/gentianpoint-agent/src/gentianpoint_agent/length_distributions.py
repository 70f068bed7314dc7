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

import math
import typing

import numpy
import numpy.typing

__all__ = (
    "CLASSES",
    "FloatArray",
    "LengthDistribution",
    "find_class",
    "find_class_end",
    "find_positions",
    "read_survival",
)

FloatArray = numpy.typing.NDArray[numpy.float64]
"""Array of floats."""

_CLASSES_PER_DOUBLING: typing.Final = 4
_DOUBLINGS: typing.Final = 17
CLASSES: typing.Final = _CLASSES_PER_DOUBLING * _DOUBLINGS
"""Number of length classes; the last one has no end."""

_FORGET: typing.Final = 1 - 1 / 150
_PRIOR_STREAMS: typing.Final = 0.5
_PARENT_STREAMS: typing.Final = 8.0
_PRIOR_SHORT_CLASSES: typing.Final = 8 * _CLASSES_PER_DOUBLING
# Half of the answers of which nothing is known reach 255 tokens; of those
# longer than any known, 4 in 10 get twice as long.
_PRIOR_HAZARDS: typing.Final = numpy.where(
    numpy.arange(CLASSES) < _PRIOR_SHORT_CLASSES, 0.02, 0.2
)
_REFRESH_CHANGES: typing.Final = 32
_LEAST_SURVIVAL: typing.Final = 1e-9
_CLASS_WIDTHS: typing.Final = numpy.diff(
    2.0 ** (numpy.arange(CLASSES + 1) / _CLASSES_PER_DOUBLING)
)


def find_class(tokens: int) -> int:
    """Return the class of a length in tokens.

    >>> find_class(0), find_class(1), find_class(3)
    (0, 4, 8)
    """
    place = int(_CLASSES_PER_DOUBLING * math.log2(tokens + 1))
    return min(place, CLASSES - 1)


def find_class_end(place: int) -> int:
    """Return the first length in tokens that lies beyond a class."""
    return math.ceil(2 ** ((place + 1) / _CLASSES_PER_DOUBLING)) - 1


def find_positions(tokens: FloatArray) -> FloatArray:
    """Return lengths in tokens on the scale of the classes."""
    positions = _CLASSES_PER_DOUBLING * numpy.log2(tokens + 1)
    result: FloatArray = numpy.minimum(positions, CLASSES - 1e-6)
    return result


def read_survival(
    tables: FloatArray, rows: typing.Any, positions: FloatArray
) -> FloatArray:
    """Return the chances to reach positions, by tables of survival.

    Each row of ``tables`` has the chance to reach each class; between two
    classes the chance is interpolated. ``rows`` tells the table of each
    position.
    """
    place = positions.astype(numpy.int64)
    share = positions - place
    low, high = tables[rows, place], tables[rows, place + 1]
    result: FloatArray = low + share * (high - low)
    return result


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
        self._hazards: FloatArray = _PRIOR_HAZARDS
        self._survival: FloatArray = numpy.ones(CLASSES + 1)
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

    def read_hazards(self) -> FloatArray:
        """Return for each class the chance to end in it, once there."""
        self._refresh()
        return self._hazards

    def read_table(self) -> FloatArray:
        """Return the chance to reach each class, and 0 beyond the last."""
        self._refresh()
        return self._survival

    def _refresh(self) -> None:
        changes = self._count_changes()
        if changes == self._read_at:
            return
        self._read_at = changes
        expected, weight = _PRIOR_HAZARDS, _PRIOR_STREAMS
        if self._parent is not None:
            expected = self._parent.read_hazards()
            weight = _PARENT_STREAMS
        ends = numpy.array(self._ends) + weight * expected
        settled = numpy.array(self._settled) + weight
        self._hazards = numpy.clip(ends / settled, 0.0, 1.0)
        reach = numpy.cumprod(1 - self._hazards)
        self._survival = numpy.concatenate(([1.0], reach))
        self._survival[-1] = 0.0

    def find_quantile(self, tokens: int, share: float) -> int:
        """Return the length that a share of such streams don't exceed.

        Of streams that have brought ``tokens`` tokens already; the result
        is their whole length in tokens.
        """
        table = self.read_table()
        start = find_positions(numpy.array([float(tokens)]))
        reached = float(read_survival(table[None, :], 0, start)[0])
        if reached < _LEAST_SURVIVAL:
            return find_class_end(find_class(tokens))
        below = table <= reached * (1 - share)
        place = max(int(numpy.argmax(below)), find_class(tokens) + 1)
        return max(tokens, find_class_end(place - 1))

    def find_mean(self) -> float:
        """Return the mean length in tokens."""
        table = self.read_table()
        return float(numpy.dot(_CLASS_WIDTHS, table[:-1] + table[1:]) / 2)
