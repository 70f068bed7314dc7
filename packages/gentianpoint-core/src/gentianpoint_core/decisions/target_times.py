"""Predicts the times of a request at the targets of a service.

The load: the targets of one service work at speeds that differ by more than
two, and each has phases in which it is slower still. At a slow target a prompt
of the usual backlog is late at its first event, and a long answer pauses for
too long, while fast targets have time to spare.

The times are predicted only while the paces of a service's targets differ.
Otherwise they would add nothing but the noise with which paces are measured.
"""

from collections import abc
import typing

from gentianpoint_core.decisions import engine_pace

__all__ = (
    "PaceSpread",
    "ServicePaces",
    "measure_spread",
    "predict_first_event_ms",
    "predict_longest_pause_ms",
)

_DIFFERENT_FROM: typing.Final = 1.3
"""Ratio of the upper to the lower quartile from which paces differ. Engines
that are alike differ by a sixth, as some run more generations."""
_ALIKE_UNTIL: typing.Final = 1.15
"""Ratio below which paces that differed no longer do. It lies lower, so that
the choice does not go back and forth near one ratio."""
_MIN_KNOWN: typing.Final = 4
"""Least targets of known pace; of fewer there are no quartiles."""
_CHUNK_TOKENS: typing.Final = 112
"""Prompt tokens that engines prefill between two decoding steps."""


class PaceSpread(typing.NamedTuple):
    """Quartiles of the paces of a service's targets."""

    lower: engine_pace.Pace = engine_pace.Pace()
    """Lower quartile."""
    median: engine_pace.Pace = engine_pace.Pace()
    """Median."""
    upper: engine_pace.Pace = engine_pace.Pace()
    """Upper quartile."""

    @property
    def ratio(self) -> float:
        """Ratio of the quartiles, the larger of the two; 1 if unknown."""
        pairs = zip(self.lower, self.upper, strict=True)
        return max([1.0, *(upper / lower for lower, upper in pairs if lower)])


def measure_spread(paces: abc.Iterable[engine_pace.Pace]) -> PaceSpread:
    """Return the quartiles of paces.

    Unknown ones count as the median, so they widen neither side. All are 0
    with fewer than four known ones.

    >>> measure_spread([engine_pace.Pace(7, 0)] * 3).median.step_us
    0
    >>> paces = [engine_pace.Pace(us, 0) for us in (7, 7, 7, 17, 17, 0)]
    >>> spread = measure_spread(paces)
    >>> spread.lower.step_us, spread.median.step_us, spread.upper.step_us
    (7, 7, 17)
    """
    found = list(paces)
    steps = _find_quartiles([pace.step_us for pace in found])
    prefill = _find_quartiles([pace.prefill_us_per_k for pace in found])
    return PaceSpread(
        *(engine_pace.Pace(*pair) for pair in zip(steps, prefill, strict=True))
    )


def _find_quartiles(values: abc.Sequence[int]) -> tuple[int, int, int]:
    known = sorted(value for value in values if value > 0)
    if len(known) < _MIN_KNOWN:
        return (0, 0, 0)
    median = known[len(known) // 2]
    unknown = len(values) - len(known)
    found = sorted([*known, *[median] * unknown])
    last = len(found) - 1
    return (found[last // 4], median, found[last - last // 4])


class ServicePaces:
    """Whether the paces of a service's targets differ, with hysteresis."""

    def __init__(self) -> None:
        """Start with targets that are alike."""
        self.differ = False
        self.spread = PaceSpread()

    def update(self, paces: abc.Iterable[engine_pace.Pace]) -> bool:
        """Take the targets' present paces; True if the answer changed."""
        self.spread = measure_spread(paces)
        limit = _ALIKE_UNTIL if self.differ else _DIFFERENT_FROM
        differ = self.spread.ratio > limit
        is_changed = differ != self.differ
        self.differ = differ
        return is_changed

    def complete(self, pace: engine_pace.Pace) -> engine_pace.Pace:
        """Return a pace whose unknown times are those of the median.

        If one of its times is known, the other is as far from the median.
        """
        median = self.spread.median
        if pace.step_us > 0 and pace.prefill_us_per_k > 0:
            return pace
        if pace.step_us > 0 and median.step_us:
            prefill_us = median.prefill_us_per_k * pace.step_us
            return engine_pace.Pace(pace.step_us, prefill_us // median.step_us)
        if pace.prefill_us_per_k > 0 and median.prefill_us_per_k:
            step_us = median.step_us * pace.prefill_us_per_k
            return engine_pace.Pace(
                step_us // median.prefill_us_per_k, pace.prefill_us_per_k
            )
        return median

    def compare_prefill(self, pace: engine_pace.Pace) -> float:
        """Return how many times as long as at the median prefill takes."""
        median = self.spread.median
        if median.prefill_us_per_k:
            return pace.prefill_us_per_k / median.prefill_us_per_k
        return pace.step_us / median.step_us if median.step_us else 1.0


def predict_first_event_ms(
    pace: engine_pace.Pace,
    unread_tokens: int,
    prompt_tokens: int,
    event_tokens: int,
) -> float:
    """Return the time in milliseconds until a request's first event.

    ``unread_tokens`` are prefilled before its prompt.

    >>> predict_first_event_ms(engine_pace.Pace(9000, 150_000), 3000, 2000, 4)
    786.0
    """
    prefill_us = (unread_tokens + prompt_tokens) * pace.prefill_us_per_k
    return prefill_us / 1e6 + event_tokens * pace.step_us / 1000


def predict_longest_pause_ms(
    pace: engine_pace.Pace, event_tokens: int
) -> float:
    """Return the longest pause between events, in milliseconds.

    That is the time of an event's steps while a prompt is prefilled. Each of
    these steps has a chunk of the prompt, and the prefill time includes them.

    >>> predict_longest_pause_ms(engine_pace.Pace(9000, 150_000), 4)
    67.2
    """
    chunk_us = _CHUNK_TOKENS * pace.prefill_us_per_k / 1000
    return event_tokens * max(pace.step_us, chunk_us) / 1000
