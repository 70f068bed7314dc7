"""Decides when a refused request may run once, to see whether it is harmless.

A request that runs at all targets as they are killed looks like one that ends
them. While it is refused nothing can clear it, so now and then one entry lets
it run once. An answer clears it everywhere, and a target that ends under it
shows that the refusal is right.

Entries agree on who makes a trial without a coordinator: each that has such a
request when a trial is due tells all others its claim, waits until it would
have heard of theirs, and goes on only if its own is the preferred one.
"""

import typing

from gentianpoint_core.decisions import ranking

__all__ = (
    "Refusal",
    "Trial",
    "are_rivals",
    "claim_next",
    "find_next_at",
    "format_trial",
    "parse_trial",
    "prefer",
)

_FIRST_S: typing.Final = 6.0
"""Seconds from the last end of a target to the first trial. Targets that were
killed together have mostly started again by then."""
_QUICK_TRIALS: typing.Final = 3
"""Trials that follow each other quickly. Each may cost a target."""
_SLOW_S: typing.Final = 600.0
"""Seconds between the later trials."""
_PREFIX: typing.Final = "trial"
_SEPARATOR: typing.Final = "~"


class Trial(typing.NamedTuple):
    """One entry's claim to let a refused request run once."""

    number: int
    """Counts the trials since the request has been refused, from 1 on."""
    claimant: str
    """Name of the entry."""
    claimed_at: float
    """When it was claimed, in seconds of the own clock."""


class Refusal(typing.NamedTuple):
    """Since when a request is refused, and what is known of its trials."""

    refused_from: float
    """When the last end was that it took for the request to be refused."""
    ended_at: float
    """When the last target ended under it."""
    last: typing.Optional[Trial]
    """The last trial that is known, maybe of an earlier refusal."""

    def count_trials(self) -> int:
        """Return how many trials there have been."""
        if self.last is None or self.last.claimed_at < self.refused_from:
            return 0
        return self.last.number


def find_next_at(refusal: Refusal) -> float:
    """Return when the next trial is due.

    >>> find_next_at(Refusal(1.0, 2.0, None))
    8.0
    >>> find_next_at(Refusal(1.0, 9.0, Trial(1, "entry", 8.0)))
    20.0
    """
    trials = refusal.count_trials()
    if not trials or refusal.last is None:
        return refusal.ended_at + _FIRST_S
    if trials >= _QUICK_TRIALS:
        return refusal.last.claimed_at + _SLOW_S
    return refusal.last.claimed_at + _FIRST_S * 2.0**trials


def claim_next(
    refusal: Refusal, claimant: str, now: float
) -> typing.Optional[Trial]:
    """Return the claim of an entry to the next trial, None before it is due.

    >>> claim_next(Refusal(1.0, 2.0, None), "entry", 9.0)
    Trial(number=1, claimant='entry', claimed_at=9.0)
    """
    if now < find_next_at(refusal):
        return None
    return Trial(refusal.count_trials() + 1, claimant, now)


def are_rivals(one: Trial, other: Trial) -> bool:
    """Tell whether two claims are for the same trial."""
    return (
        one.number == other.number
        and abs(one.claimed_at - other.claimed_at) < _FIRST_S
    )


def prefer(key: str, one: Trial, other: Trial) -> Trial:
    """Return which of two claims counts, the same one at all entries.

    ``key`` identifies the request. Of claims for different trials that is the
    later one.
    """
    if not are_rivals(one, other):
        return max(one, other, key=lambda trial: trial.claimed_at)
    return min(
        one,
        other,
        key=lambda trial: ranking.compute_weight(key, trial.claimant),
    )


def format_trial(trial: Trial) -> str:
    """Return the number and the claimant of a trial as text.

    >>> parse_trial(format_trial(Trial(2, "entry", 8.0)), 9.0)
    Trial(number=2, claimant='entry', claimed_at=9.0)
    """
    return _SEPARATOR.join((_PREFIX, str(trial.number), trial.claimant))


def parse_trial(text: str, claimed_at: float) -> typing.Optional[Trial]:
    """Return the trial that a text names, None if it names none."""
    prefix, _, rest = text.partition(_SEPARATOR)
    number, separator, claimant = rest.partition(_SEPARATOR)
    if prefix != _PREFIX or not separator or not number.isdecimal():
        return None
    return Trial(int(number), claimant, claimed_at)
