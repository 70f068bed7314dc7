"""Distributions of answer lengths, learned online from streams.

A distribution is a table of hazards: for each of a fixed number of length
bins, spaced evenly on a log scale, the probability that a stream which
reached the bin ends in it. A stream that is cut off, by its customer or by
its limit, is known to have survived the bins before and contributes nothing
to the others, so censored streams need no special case (the Kaplan-Meier
estimator). Each bin decays on its own, by a factor for every stream counted
in it: the table follows drift, and the tail, which few streams reach, decays
more slowly.
"""

from collections import abc
import itertools
import math
import operator
import typing

__all__ = (
    "BINS",
    "BINS_PER_DOUBLING",
    "LAST_POSITION",
    "LengthDistribution",
    "find_bin",
    "find_bin_end",
    "find_position",
    "interpolate_survival",
)

BINS_PER_DOUBLING: typing.Final = 4
"""Number of length bins from a length to its double."""
_DOUBLINGS: typing.Final = 17
"""Number of doublings that the bins cover."""
BINS: typing.Final = BINS_PER_DOUBLING * _DOUBLINGS
"""Number of length bins; the last one is unbounded."""
LAST_POSITION: typing.Final = BINS - 1e-6
"""Highest position on the scale of the bins."""

_DECAY: typing.Final = 1 - 1 / 150
"""Factor of a bin's counts for every stream that is counted in it."""
_PRIOR_WEIGHT: typing.Final = 0.5
"""Weight of the prior, in streams."""
_PARENT_WEIGHT: typing.Final = 8.0
"""Weight of the parent's hazards, in streams."""
_PRIOR_SHORT_BINS: typing.Final = 8 * BINS_PER_DOUBLING
"""Number of bins with the low prior hazard: lengths below 255 tokens."""
# Without observations, half of the answers reach 255 tokens; of those that
# are longer than all observed ones, 4 in 10 reach twice that length.
_PRIOR_HAZARDS: typing.Final = tuple(
    0.02 if index < _PRIOR_SHORT_BINS else 0.2 for index in range(BINS)
)
_REFRESH_CHANGES: typing.Final = 32
"""Number of changes after which the tables are computed less often."""
_MIN_SURVIVAL: typing.Final = 1e-9
"""Survival below which a length counts as never reached."""
_BIN_ENDS: typing.Final = tuple(
    2.0 ** (index / BINS_PER_DOUBLING) for index in range(BINS + 1)
)
_BIN_WIDTHS: typing.Final = tuple(
    end - start for start, end in itertools.pairwise(_BIN_ENDS)
)


def find_bin(tokens: int) -> int:
    """Return the bin of a length in tokens.

    >>> find_bin(0), find_bin(1), find_bin(3)
    (0, 4, 8)
    """
    index = int(BINS_PER_DOUBLING * math.log2(tokens + 1))
    return min(index, BINS - 1)


def find_bin_end(index: int) -> int:
    """Return the first length in tokens beyond a bin."""
    return math.ceil(2 ** ((index + 1) / BINS_PER_DOUBLING)) - 1


def find_position(tokens: int) -> float:
    """Return a length in tokens as a position on the scale of the bins."""
    position = BINS_PER_DOUBLING * math.log2(tokens + 1)
    return min(position, LAST_POSITION)


def interpolate_survival(table: abc.Sequence[float], position: float) -> float:
    """Return the probability to reach a position, by a survival table.

    The table holds the probability to reach each bin; within a bin it is
    interpolated linearly.
    """
    index = int(position)
    low = table[index]
    return low + (position - index) * (table[index + 1] - low)


class LengthDistribution:
    """Lengths of one group of streams, with a wider group as the prior."""

    def __init__(
        self, parent: typing.Optional["LengthDistribution"] = None
    ) -> None:
        """Start without observations, with ``parent`` as the prior.

        Without a parent the prior is a wide heavy-tailed distribution:
        answers are assumed to be long until some have been observed.
        """
        self._parent: typing.Final = parent
        self._ended: typing.Final = [0.0] * BINS
        self._at_risk: typing.Final = [0.0] * BINS
        self._changes = 0
        self._refreshed_at = (-1, -1)
        self._hazards: abc.Sequence[float] = _PRIOR_HAZARDS
        self._survival: abc.Sequence[float] = [1.0] * (BINS + 1)
        self._mean = 0.0
        self.ended_streams = 0

    def add_survivor(self, index: int) -> None:
        """Count a stream that went on beyond a bin."""
        self._count(index, 0.0)

    def add_end(self, index: int) -> None:
        """Count a stream that ended by itself in a bin."""
        self.ended_streams += 1
        self._count(index, 1.0)

    def count_ended(self) -> int:
        """Return the number of ended streams of the widest group."""
        parent = self._parent
        return self.ended_streams if parent is None else parent.count_ended()

    def _count(self, index: int, ended: float) -> None:
        self._at_risk[index] = self._at_risk[index] * _DECAY + 1
        self._ended[index] = self._ended[index] * _DECAY + ended
        self._changes += 1

    def _find_version(self) -> tuple[int, int]:
        """Return the version of the counts that the tables must reflect.

        While there are few changes each one counts; later only every 32nd is
        worth computing the tables again. Changes of the parents count too.
        """
        own = self._changes
        if own > _REFRESH_CHANGES:
            own -= own % _REFRESH_CHANGES
        parent = self._parent
        return own, 0 if parent is None else sum(parent._find_version())

    def get_hazards(self) -> abc.Sequence[float]:
        """Return for each bin the probability to end in it, once reached."""
        self._refresh()
        return self._hazards

    def get_survival(self) -> abc.Sequence[float]:
        """Return the probability to reach each bin, and 0 after the last."""
        self._refresh()
        return self._survival

    def _refresh(self) -> None:
        version = self._find_version()
        if version == self._refreshed_at:
            return
        self._refreshed_at = version
        prior: abc.Sequence[float] = _PRIOR_HAZARDS
        weight = _PRIOR_WEIGHT
        if self._parent is not None:
            prior = self._parent.get_hazards()
            weight = _PARENT_WEIGHT
        self._hazards = [
            min((ended + weight * hazard) / (at_risk + weight), 1.0)
            for ended, at_risk, hazard in zip(
                self._ended, self._at_risk, prior, strict=True
            )
        ]
        stays = [1 - hazard for hazard in self._hazards]
        stays[-1] = 0.0
        survival = itertools.accumulate(stays, operator.mul, initial=1.0)
        self._survival = list(survival)
        self._mean = sum(
            width * (low + high) / 2
            for width, (low, high) in zip(
                _BIN_WIDTHS,
                itertools.pairwise(self._survival),
                strict=True,
            )
        )

    def find_quantile(self, tokens: int, share: float) -> int:
        """Return the length that a share of the streams don't exceed.

        Only streams that have reached ``tokens`` tokens count. The result is
        their whole length in tokens.
        """
        table = self.get_survival()
        reached = interpolate_survival(table, find_position(tokens))
        if reached < _MIN_SURVIVAL:
            return find_bin_end(find_bin(tokens))
        threshold = reached * (1 - share)
        first = next(
            index
            for index, survival in enumerate(table)
            if survival <= threshold
        )
        index = max(first, find_bin(tokens) + 1)
        return max(tokens, find_bin_end(index - 1))

    def find_mean(self) -> float:
        """Return the mean length in tokens."""
        self._refresh()
        return self._mean
