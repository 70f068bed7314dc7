"""The figures of replays."""

from collections import abc
import typing

import numpy

from bench.replay import callers

__all__ = ("GroupFigures", "ReplayFigures", "add_up", "find_groups")


class ReplayFigures(typing.NamedTuple):
    """What one replay, or several together, came to."""

    served: float
    """Share of the generations that were answered whole."""
    on_time: float
    """Share that was answered on time."""
    worth: float
    """Worth earned over worth asked for, by the size of each answer."""
    stall_ms: float
    """Time beyond the longest good pause, a generation."""
    pause_ms: float
    """99th percentile of the time between events."""
    broken: int
    """Answers that broke off."""
    late: int
    """Whole answers that were late."""
    refused: int
    """Generations that were refused to the end."""
    refused_ms: float
    """Mean time until the last refusal of those."""
    preemptions: int
    """Times that an engine took a generation's memory."""
    reread_tokens: int
    """Tokens that were read once more after that."""
    moved_tokens: int
    """Tokens copied between engines."""
    crashed: int
    """Engines that ended without notice."""
    goodput: float
    """Tokens of answers on time, for each second in which requests arrive."""


class GroupFigures(typing.NamedTuple):
    """What the generations of one kind, or of one customer, came to."""

    name: str
    """Name of the kind or customer."""
    generations: int
    """Generations whose callers stayed."""
    on_time: float
    """Share that was answered on time."""
    served: float
    """Share that was answered whole."""
    worth: float
    """Worth earned over worth asked for."""


def find_groups(
    outcomes: abc.Sequence[callers.Outcome], by: str
) -> abc.Sequence[GroupFigures]:
    """Return the figures of each ``kind`` or ``customer``, by name.

    Requests that end engines are not among ``outcomes``.
    """
    groups: dict[str, list[callers.Outcome]] = {}
    for item in outcomes:
        if item.end != "left":
            generation = item.generation
            name = generation.customer or "none"
            if by == "kind":
                name = generation.kind.name
            groups.setdefault(name, []).append(item)
    return [
        GroupFigures(
            name,
            len(found),
            _find_share(found, ("on time",)),
            _find_share(found, ("on time", "late")),
            _find_worth_share(found),
        )
        for name, found in sorted(groups.items())
    ]


def _find_share(
    outcomes: abc.Sequence[callers.Outcome], ends: abc.Collection[str]
) -> float:
    count = sum(item.end in ends for item in outcomes)
    return count / max(1, len(outcomes))


def _find_worth_share(outcomes: abc.Sequence[callers.Outcome]) -> float:
    asked = sum(_weigh(item, item.generation.kind.worth) for item in outcomes)
    return sum(_find_worth(item) for item in outcomes) / max(1e-9, asked)


def add_up(
    outcomes: abc.Sequence[callers.Outcome],
    preemptions: int,
    reread_tokens: int,
    moved_tokens: int,
    crashed: int,
    tokens_per_event_s: float,
) -> ReplayFigures:
    """Return the figures of all that callers saw.

    ``tokens_per_event_s`` is the tokens of an event, over the seconds in which
    requests arrive.
    Requests that end engines are not among ``outcomes``.
    """
    owed = [item for item in outcomes if item.end != "left"]
    count = max(1, len(owed))
    ends = [item.end for item in owed]
    refused = [item for item in owed if item.end == "refused"]
    pauses = [pause for item in owed for pause in item.pauses_ms]
    stalls = [
        max(0.0, pause - item.generation.kind.pause_ms)
        for item in owed
        for pause in item.pauses_ms
    ]
    good_events = sum(
        item.generation.answer_events for item in owed if item.end == "on time"
    )
    return ReplayFigures(
        served=(ends.count("on time") + ends.count("late")) / count,
        on_time=ends.count("on time") / count,
        worth=_find_worth_share(owed),
        stall_ms=sum(stalls) / count,
        pause_ms=float(numpy.percentile(pauses, 99)) if pauses else 0.0,
        broken=ends.count("broken"),
        late=ends.count("late"),
        refused=len(refused),
        refused_ms=sum(item.refused_after_ms for item in refused)
        / max(1, len(refused)),
        preemptions=preemptions,
        reread_tokens=reread_tokens,
        moved_tokens=moved_tokens,
        crashed=crashed,
        goodput=good_events * tokens_per_event_s,
    )


def _find_worth(item: callers.Outcome) -> float:
    kind = item.generation.kind
    by_end = {"on time": kind.worth, "late": kind.late_worth}
    return _weigh(item, by_end.get(item.end, 0.0))


def _weigh(item: callers.Outcome, worth: float) -> float:
    """Weigh by size: a token that is made counts like ten that are read."""
    kind = item.generation.kind
    size = item.generation.prompt_tokens + 40 * item.generation.answer_events
    mean = kind.prompt_tokens + 40 * kind.answer_events
    return worth * min(4.0, 0.3 + 0.7 * size / mean)
