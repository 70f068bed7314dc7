"""Forecasts the peak of an engine's cache memory.

All streams of a batch gain a token in each step. After a given number of
further tokens, a stream is still running with the probability that its
length, given the tokens so far, is at least that long; if so it holds the
blocks of its prompt and its tokens. Over independent streams means and
variances add up, and the sum is close to a normal distribution. The forecast
at each of a number of horizons, each a quarter further than the last, is the
mean plus a number of standard deviations, and the peak is the highest of
them. A forecast never exceeds what all streams that may still run at that
horizon would hold together.

The sums are maintained incrementally: a stream is added when it starts,
removed when it ends, and recomputed from time to time, a few streams at once.
So a decision costs the same for any number of streams, and plain Python is
fast enough; an array library would take thirteen megabytes of each agent.
"""

from collections import abc
import itertools
import math
import typing

from gentianpoint_core.decisions import length_distributions

__all__ = ("HORIZONS", "MemoryForecast", "StreamMemory")

_FIRST_HORIZON: typing.Final = 8
"""First horizon after the present, in tokens per stream."""
_HORIZONS_PER_DOUBLING: typing.Final = 3
"""Number of horizons from one horizon to its double."""
_DOUBLINGS: typing.Final = 13
"""Number of doublings that the horizons cover."""
HORIZONS: typing.Final[tuple[int, ...]] = (
    0,
    *(
        round(_FIRST_HORIZON * 2.0 ** (index / _HORIZONS_PER_DOUBLING))
        for index in range(_DOUBLINGS * _HORIZONS_PER_DOUBLING)
    ),
)
"""Numbers of further tokens per stream at which memory is forecast."""
_LATER_HORIZONS: typing.Final = tuple(enumerate(HORIZONS))[1:]

_MIN_SURVIVAL: typing.Final = 1e-9
"""Lower bound of the divisor that conditions survival on a stream's length."""
_MAX_REFRESHED: typing.Final = 8
"""Maximum number of streams that are recomputed at once."""
_MIN_PROBABILITY: typing.Final = 0.005
"""Probability to be still running below which a stream's memory is ignored.
A table of a few hundred streams can't tell it from zero, and the prior of the
tail would otherwise reserve most of the engine."""
_BINS_PER_DOUBLING: typing.Final = length_distributions.BINS_PER_DOUBLING
_LAST_POSITION: typing.Final = length_distributions.LAST_POSITION


class StreamMemory(typing.NamedTuple):
    """Properties of one stream that determine its memory."""

    distribution: length_distributions.LengthDistribution
    """Distribution of the lengths of similar streams."""
    prompt_tokens: int
    """Number of prompt tokens."""
    tokens: int
    """Number of tokens generated so far."""
    max_tokens: int
    """Maximum number of generated tokens; 0 for no limit."""


class _Term(typing.NamedTuple):
    """A stream's contribution to the sums, by the survival table used."""

    stream: StreamMemory
    survival: abc.Sequence[float]
    refresh_at_ms: float


class _Sums:
    """Means, variances and upper bounds in blocks at each horizon."""

    def __init__(self, block_tokens: int) -> None:
        self._block_tokens: typing.Final = block_tokens
        self._means = [0.0] * len(HORIZONS)
        self._variances = [0.0] * len(HORIZONS)
        self._bounds = [0] * len(HORIZONS)

    def copy(self) -> "_Sums":
        copied = _Sums(self._block_tokens)
        copied._means = self._means.copy()
        copied._variances = self._variances.copy()
        copied._bounds = self._bounds.copy()
        return copied

    def add(self, term: _Term, sign: int = 1) -> None:
        """Add a stream's blocks at each horizon that it may reach.

        This loop takes most of a forecast's time, so it uses local names
        and calls only the logarithm: calling the function that interpolates
        survival would double the time.
        """
        means, variances, bounds = self._means, self._variances, self._bounds
        survival, block_tokens = term.survival, self._block_tokens
        tokens = term.stream.tokens
        held = term.stream.prompt_tokens + tokens + 1
        limit = term.stream.max_tokens or math.inf
        reached = length_distributions.interpolate_survival(
            survival, length_distributions.find_position(tokens)
        )
        scale = 1 / max(reached, _MIN_SURVIVAL)
        # A stream longer than all observed ones is about to end but has not
        # ended, so its current blocks count in full.
        blocks = sign * -(held // -block_tokens)
        means[0] += blocks
        bounds[0] += blocks
        for index, horizon in _LATER_HORIZONS:
            length = tokens + horizon
            if length > limit:
                return
            position = _BINS_PER_DOUBLING * math.log2(length + 1)
            if position > _LAST_POSITION:
                return
            bin_index = int(position)
            low = survival[bin_index]
            low += (position - bin_index) * (survival[bin_index + 1] - low)
            probability = low * scale
            if probability < _MIN_PROBABILITY:
                return
            blocks = -((held + horizon) // -block_tokens)
            mean = sign * probability * blocks
            means[index] += mean
            variances[index] += mean * blocks * (1 - probability)
            bounds[index] += sign * blocks

    def find_peak(self, deviations: float) -> float:
        return max(self.iterate_levels(deviations))

    def iterate_levels(self, deviations: float) -> abc.Iterator[float]:
        return (
            min(mean + deviations * math.sqrt(max(variance, 0.0)), bound)
            for mean, variance, bound in zip(
                self._means, self._variances, self._bounds, strict=True
            )
        )


class MemoryForecast:
    """The forecast of a running set that streams join and leave."""

    def __init__(self, block_tokens: int) -> None:
        """Start without streams; a block holds ``block_tokens`` tokens."""
        self.block_tokens: typing.Final = block_tokens
        self._sums = _Sums(block_tokens)
        # Ordered by the time of their next refresh.
        self._terms: typing.Final[dict[abc.Hashable, _Term]] = {}

    def find_peak(self, deviations: float) -> float:
        """Return the peak in blocks, ``deviations`` above the mean."""
        return self._sums.find_peak(deviations)

    def find_peak_with(self, stream: StreamMemory, deviations: float) -> float:
        """Return the peak in blocks if ``stream`` started now."""
        sums = self._sums.copy()
        sums.add(_Term(stream, stream.distribution.get_survival(), 0.0))
        return sums.find_peak(deviations)

    def list_levels(self, deviations: float) -> abc.Sequence[float]:
        """Return the forecast at each horizon, in blocks.

        ``deviations`` is as for :meth:`find_peak`.
        """
        return tuple(self._sums.iterate_levels(deviations))

    def add(
        self, key: abc.Hashable, stream: StreamMemory, refresh_at_ms: float
    ) -> None:
        """Add a stream in its current state."""
        survival = stream.distribution.get_survival()
        term = _Term(stream, survival, refresh_at_ms)
        self._terms[key] = term
        self._sums.add(term)

    def remove(self, key: abc.Hashable) -> None:
        """Remove a stream with exactly the values with which it was added.

        Its distribution may have changed since. Subtracting the values that
        result from the new one would leave a remainder in the sums, as memory
        that nobody holds.
        """
        term = self._terms.pop(key, None)
        if term is None:
            return
        self._sums.add(term, -1)
        if not self._terms:
            self._sums = _Sums(self.block_tokens)

    def list_due(self, now_ms: float) -> abc.Sequence[abc.Hashable]:
        """Return a limited number of streams to recompute now."""
        first = itertools.islice(self._terms.items(), _MAX_REFRESHED)
        return [key for key, term in first if term.refresh_at_ms <= now_ms]
