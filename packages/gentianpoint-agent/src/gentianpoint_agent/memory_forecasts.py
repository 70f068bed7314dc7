"""Forecast of the peak of an engine's cache memory.

All streams of a batch gain a token in each step. So at a number of tokens
from now a stream is still there with the chance that its length, given what
it has brought already, is at least that; if so it holds the blocks of its
prompt and its tokens. Over independent streams means and variances add up,
and the sum is close to a normal distribution: at some horizons, each a
quarter further than the last, the forecast is the mean and a number of
standard deviations, and its peak is the highest of them. A sum never exceeds
what all streams that may still be there would hold together.

The sums are kept: a stream is added when it starts, taken out when it ends,
and read anew from time to time, a few at once. So a decision costs the same
whatever the number of streams, and plain Python does; a library for arrays
would take thirteen megabytes of each agent.
"""

from collections import abc
import itertools
import math
import typing

from gentianpoint_agent import length_distributions

__all__ = ("HORIZONS", "MemoryForecast", "StreamMemory")

_FIRST_HORIZON: typing.Final = 8
_HORIZONS_PER_DOUBLING: typing.Final = 3
_DOUBLINGS: typing.Final = 13
HORIZONS: typing.Final = (
    0,
    *(
        round(_FIRST_HORIZON * 2.0 ** (place / _HORIZONS_PER_DOUBLING))
        for place in range(_DOUBLINGS * _HORIZONS_PER_DOUBLING)
    ),
)
"""Numbers of tokens from now at which the memory is forecast."""
_LATER_HORIZONS: typing.Final = tuple(enumerate(HORIZONS))[1:]

_LEAST_SURVIVAL: typing.Final = 1e-9
_RENEWED_AT_ONCE: typing.Final = 8
# No memory is kept for chances smaller than this. A table that knows a few
# hundred streams can't tell them from nothing, and its prior for the unknown
# tail would otherwise reserve most of the engine for it.
_LEAST_CHANCE: typing.Final = 0.005
_CLASSES_PER_DOUBLING: typing.Final = length_distributions.CLASSES_PER_DOUBLING
_LAST_POSITION: typing.Final = length_distributions.LAST_POSITION


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


class _Summand(typing.NamedTuple):
    """A stream and the chances that were read for it."""

    stream: StreamMemory
    table: abc.Sequence[float]
    renew_at_ms: float


class _Sums:
    """Means, variances and most blocks at each horizon."""

    def __init__(self, block_tokens: int) -> None:
        self._block_tokens: typing.Final = block_tokens
        self._means = [0.0] * len(HORIZONS)
        self._variances = [0.0] * len(HORIZONS)
        self._most = [0] * len(HORIZONS)

    def copy(self) -> "_Sums":
        made = _Sums(self._block_tokens)
        made._means = self._means.copy()
        made._variances = self._variances.copy()
        made._most = self._most.copy()
        return made

    def add(self, row: _Summand, sign: int = 1) -> None:
        """Add what a stream holds at each horizon that it may reach.

        This loop is most of a forecast's time, so it has names for what it
        reads and calls nothing but the logarithm: reading survival by
        calls would take twice as long.
        """
        means, variances, most = self._means, self._variances, self._most
        table, block_tokens = row.table, self._block_tokens
        tokens = row.stream.tokens
        held = row.stream.prompt_tokens + tokens + 1
        limit = row.stream.max_tokens or math.inf
        reached = length_distributions.read_survival(
            table, length_distributions.find_position(tokens)
        )
        share = 1 / max(reached, _LEAST_SURVIVAL)
        # Where the table knows of no stream this long, its end is near but
        # has not come: what is there now counts.
        blocks = sign * -(held // -block_tokens)
        means[0] += blocks
        most[0] += blocks
        for place, horizon in _LATER_HORIZONS:
            length = tokens + horizon
            if length > limit:
                return
            position = _CLASSES_PER_DOUBLING * math.log2(length + 1)
            if position > _LAST_POSITION:
                return
            step = int(position)
            low = table[step]
            low += (position - step) * (table[step + 1] - low)
            chance = low * share
            if chance < _LEAST_CHANCE:
                return
            blocks = -((held + horizon) // -block_tokens)
            mean = sign * chance * blocks
            means[place] += mean
            variances[place] += mean * blocks * (1 - chance)
            most[place] += sign * blocks

    def find_peak(self, deviations: float) -> float:
        return max(
            min(mean + deviations * math.sqrt(max(variance, 0.0)), most)
            for mean, variance, most in zip(
                self._means, self._variances, self._most, strict=True
            )
        )


class MemoryForecast:
    """The forecast of a running set, which streams join and leave."""

    def __init__(self, block_tokens: int) -> None:
        """Forecast blocks of ``block_tokens`` tokens; no stream runs yet."""
        self.block_tokens: typing.Final = block_tokens
        self._sums = _Sums(block_tokens)
        # In the order in which they are to be renewed.
        self._summands: typing.Final[dict[abc.Hashable, _Summand]] = {}

    def find_peak(self, deviations: float) -> float:
        """Return the peak in blocks, at ``deviations`` over the mean."""
        return self._sums.find_peak(deviations)

    def find_peak_with(self, stream: StreamMemory, deviations: float) -> float:
        """Return the peak in blocks if ``stream`` started now."""
        sums = self._sums.copy()
        sums.add(_Summand(stream, stream.distribution.read_table(), 0.0))
        return sums.find_peak(deviations)

    def add(
        self, key: abc.Hashable, stream: StreamMemory, renew_at_ms: float
    ) -> None:
        """Count a stream, as it is now."""
        table = stream.distribution.read_table()
        row = _Summand(stream, table, renew_at_ms)
        self._summands[key] = row
        self._sums.add(row)

    def remove(self, key: abc.Hashable) -> None:
        """Take out a stream that has ended, as it was counted.

        Its table may have changed since; taking out by the new one would
        leave a rest of it behind, as memory that nobody holds.
        """
        row = self._summands.pop(key, None)
        if row is None:
            return
        self._sums.add(row, -1)
        if not self._summands:
            self._sums = _Sums(self.block_tokens)

    def list_due(self, now_ms: float) -> abc.Sequence[abc.Hashable]:
        """Return the streams to renew now, a few at most."""
        first = itertools.islice(self._summands.items(), _RENEWED_AT_ONCE)
        return [key for key, row in first if row.renew_at_ms <= now_ms]
