"""Forecast of the peak of an engine's cache memory.

All streams of a batch gain a token in each step. So at a number of tokens
from now a stream is still there with the chance that its length, given what
it has brought already, is at least that; if so it holds the blocks of its
prompt and its tokens. Over independent streams means and variances add up,
and the sum is close to a normal distribution: at some horizons, each a
quarter further than the last, the forecast is the mean and a number of
standard deviations, and its peak is the highest of them. A sum never exceeds
what all streams together would hold if none ended.
"""

from collections import abc
import typing

import numpy

from gentianpoint_agent import length_distributions

__all__ = ("HORIZONS", "MemoryForecast", "StreamMemory")

_FIRST_HORIZON: typing.Final = 8
_HORIZONS_PER_DOUBLING: typing.Final = 3
_DOUBLINGS: typing.Final = 13
HORIZONS: typing.Final = numpy.concatenate(
    (
        [0.0],
        numpy.round(
            _FIRST_HORIZON
            * 2.0
            ** (
                numpy.arange(_DOUBLINGS * _HORIZONS_PER_DOUBLING)
                / _HORIZONS_PER_DOUBLING
            )
        ),
    )
)
"""Numbers of tokens from now at which the memory is forecast."""

_LEAST_SURVIVAL: typing.Final = 1e-9
# No memory is kept for chances smaller than this. A table that knows a few
# hundred streams can't tell them from nothing, and its prior for the unknown
# tail would otherwise reserve most of the engine for it.
_LEAST_CHANCE: typing.Final = 0.005


class StreamMemory(typing.NamedTuple):
    """What a forecast needs of one stream."""

    distribution: length_distributions.LengthDistribution
    """Lengths of streams alike."""
    prompt_tokens: int
    """Tokens of its prompt."""
    tokens: int
    """Tokens it has brought."""
    max_tokens: int
    """Most tokens it may bring; 0 for no limit."""


class _Sums:
    """Means, variances and most blocks at each horizon."""

    def __init__(self) -> None:
        self.means = numpy.zeros(len(HORIZONS))
        self.variances = numpy.zeros(len(HORIZONS))
        self.most = numpy.zeros(len(HORIZONS))

    def add(self, other: "_Sums") -> None:
        self.means += other.means
        self.variances += other.variances
        self.most += other.most

    def find_peak(self, deviations: float) -> float:
        highest = self.means + deviations * numpy.sqrt(self.variances)
        return float(numpy.max(numpy.minimum(highest, self.most)))


def _sum_streams(
    streams: abc.Sequence[StreamMemory], block_tokens: int
) -> _Sums:
    sums = _Sums()
    if not streams:
        return sums
    figures = numpy.array(
        [(row.prompt_tokens, row.tokens, row.max_tokens) for row in streams],
        dtype=numpy.float64,
    )
    prompts, tokens = figures[:, 0:1], figures[:, 1:2]
    limits = figures[:, 2:3]
    lengths = tokens + HORIZONS
    alive = _find_chances(streams, lengths)
    allowed = (limits <= 0) | (lengths <= limits)
    allowed[:, 0] = True
    alive = numpy.where(allowed, alive, 0.0)
    blocks = numpy.ceil((prompts + lengths + 1) / block_tokens)
    sums.means = numpy.sum(alive * blocks, axis=0)
    sums.variances = numpy.sum(alive * (1 - alive) * blocks**2, axis=0)
    sums.most = numpy.sum(numpy.where(allowed, blocks, 0.0), axis=0)
    return sums


def _find_chances(
    streams: abc.Sequence[StreamMemory],
    lengths: length_distributions.FloatArray,
) -> length_distributions.FloatArray:
    """Return for each stream and horizon the chance that it is there."""
    places: dict[length_distributions.LengthDistribution, int] = {}
    for stream in streams:
        places.setdefault(stream.distribution, len(places))
    tables = numpy.stack([kind.read_table() for kind in places])
    rows = numpy.array([[places[row.distribution]] for row in streams])
    reach = length_distributions.read_survival(
        tables, rows, length_distributions.find_positions(lengths)
    )
    now = numpy.maximum(reach[:, 0:1], _LEAST_SURVIVAL)
    alive: length_distributions.FloatArray = numpy.minimum(reach / now, 1.0)
    alive[alive < _LEAST_CHANCE] = 0.0
    # Where the table knows of no stream this long, its end is near but has
    # not come: what is there now counts.
    alive[:, 0] = 1.0
    return alive


class MemoryForecast:
    """The forecast of a running set, to which streams can be added."""

    def __init__(
        self, streams: abc.Iterable[StreamMemory], block_tokens: int
    ) -> None:
        """Forecast ``streams`` with blocks of ``block_tokens`` tokens."""
        self._block_tokens: typing.Final = block_tokens
        self._sums: typing.Final = _sum_streams(tuple(streams), block_tokens)

    def find_peak(self, deviations: float) -> float:
        """Return the peak in blocks, at ``deviations`` over the mean."""
        return self._sums.find_peak(deviations)

    def find_peak_with(self, stream: StreamMemory, deviations: float) -> float:
        """Return the peak in blocks if ``stream`` started now."""
        sums = _Sums()
        sums.add(self._sums)
        sums.add(_sum_streams((stream,), self._block_tokens))
        return sums.find_peak(deviations)

    def add(self, stream: StreamMemory) -> None:
        """Count a stream that starts now."""
        self._sums.add(_sum_streams((stream,), self._block_tokens))
