"""Which target gets a request, and which keeps a copy of its memory.

The load it answers: long prompts delay the tokens of all that runs beside
them, engines' memory fills up in the middle of generations, reports are old
when they come, and several entries see the same ones. If all of them took the
best target, what they send in the age of a report would go to that one. So
the requests that others are likely to have sent meanwhile are laid on the best
targets first, as they would be, and a target is drawn by its part of them:
with fresh reports or few requests that is the best one, else it is one of
several that are nearly as good.
"""

from collections import abc
import random
import typing

from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import targets

__all__ = (
    "MAX_USED_SHARE_FOR_BACKUPS",
    "MAX_USED_SHARE_FOR_MOVES",
    "choose_copy_destination",
    "choose_target",
    "count_tokens",
    "score_target",
)

_FAILURE_MEMORY_S: typing.Final = 3.0
"""Time for which a failure counts against a target. Shorter than the usual
span of a fault, so that the target is tried again while it lasts, with one
request in many."""
_FAILURE_COST: typing.Final = 2.0
"""A failure weighs like two times all slots taken."""
_SILENT_COST: typing.Final = 10.0
"""An engine that does not answer its own agent is the last choice, but still
one: the agent may be at fault."""
_SLOW_COST: typing.Final = 0.5
"""A target that has just started weighs like half of its slots taken."""
_DISTANCE_COST: typing.Final = 0.08
"""Another data centre weighs like a twelfth of the slots taken: bytes between
them are priced, and a request there takes some milliseconds more."""
_LOST_GENERATION_COST: typing.Final = 1.0
"""A generation that is left behind weighs like all slots taken. Its loss is
certain, while those that crowd another target are only lost if that one gets
notice too."""
FAR_FACTOR: typing.Final = 2.0
"""Times that a copy of memory takes longer between data centres."""
_MEMORY_OVERFLOW_COST: typing.Final = 4.0
"""Memory that would overflow leads to preemption, which costs more than any
wait behind others."""
_UNREAD_TOKENS_SCALE: typing.Final = 7000.0
"""Unread prompt tokens that weigh like all slots taken: at fourteen tokens a
millisecond, half of a second before the next first token."""
MAX_USED_SHARE_FOR_BACKUPS: typing.Final = 0.4
"""Share of a target's memory up to which it takes copies of generations that
may never be needed; the rest is for what runs there or moves there."""
CALM_S: typing.Final = 10.0
"""Time without any notice after which generations are backed up. Where
engines are given notice every few seconds, moves save more than backups do,
which take the links and the memory that moves need. Three notices that come
as often as there fall into this time."""
_RUNNING_SCALE: typing.Final = 6.0
"""Running generations that weigh like all of the memory taken. They leave
together, and only some of them can be moved in time."""
MAX_USED_SHARE_FOR_MOVES: typing.Final = 0.95
"""Share up to which a target takes generations that would else be lost."""
_RESERVED_DESTINATION_COST: typing.Final = 3.0
"""A destination of another leaving target is taken only before one that is
full: the copies of both would wait for each other on its link."""
_TIE_BREAK_NOISE: typing.Final = 0.02
"""Breaks ties between equals."""
_REQUEST_COST: typing.Final = 0.05
"""What a request of a plain service adds to its target's score, at least."""


def score_target(
    target: targets.Target,
    request: requests.CallerRequest,
    data_centre: str,
    entry_count: int,
    now: float,
    far_cost: float = _DISTANCE_COST,
) -> float:
    """Return how bad a choice a target is; 0 is an idle one near by."""
    score = 0.0
    if target.entry.data_centre != data_centre:
        score += far_cost
    if now < target.slow_start_until:
        score += _SLOW_COST
    if target.failures and now - target.failed_at < _FAILURE_MEMORY_S:
        score += _FAILURE_COST * min(3, target.failures)
    if target.report is not None and target.report.is_silent:
        score += _SILENT_COST
    score += _score_slots(target, entry_count)
    if request.service.engine is not None:
        score += _count_unread(target) / _UNREAD_TOKENS_SCALE
        score += _score_memory(target, request, entry_count)
        score += _count_running(target) / _RUNNING_SCALE
    return score


def _count_unread(target: targets.Target) -> int:
    """Return the prompt tokens that an engine has still to read.

    Counting this entry's own prompts only, all entries would go on to send
    to an engine that has just started, and first events come seconds late.
    """
    report = target.report
    if report is None:
        return target.own_pending_prefill_tokens
    seen = report.pending_prefill_tokens + target.prompt_tokens_since_report
    return max(target.own_pending_prefill_tokens, seen)


def _score_slots(target: targets.Target, entry_count: int) -> float:
    slots = max(1, target.entry.slots)
    if target.report is None:
        return target.open_requests * entry_count / slots
    return _count_running(target) / slots


def count_tokens(request: requests.CallerRequest) -> int:
    """Return the memory that a request is likely to take at its end."""
    return request.prompt_tokens + request.likely_output_tokens


def _score_memory(
    target: targets.Target, request: requests.CallerRequest, entry_count: int
) -> float:
    share = _find_used_share(target, request, entry_count)
    return share + (_MEMORY_OVERFLOW_COST if share > 1.0 else 0.0)


def _find_used_share(
    target: targets.Target, request: requests.CallerRequest, entry_count: int
) -> float:
    """Return the share of memory in use once a request is there too."""
    engine = request.service.engine
    assert engine is not None
    report = target.report
    if report is None or not report.total_tokens:
        total = engine.memory_tokens
        used = target.open_tokens * entry_count
    else:
        total = report.total_tokens
        used = report.used_tokens + target.tokens_since_report
    return (used + count_tokens(request)) / max(1, total)


def choose_target(
    candidates: abc.Iterable[targets.Target],
    request: requests.CallerRequest,
    data_centre: str,
    entry_count: int,
    now: float,
    source: random.Random,
    far_cost: float = _DISTANCE_COST,
    others_per_s: float = 0.0,
    avoided: abc.Collection[str] = (),
) -> typing.Optional[targets.Target]:
    """Return one of the best targets that take work, or None.

    ``others_per_s`` is how many such requests other entries send a second,
    ``avoided`` names targets that are to be taken only if they are much
    better.
    """
    scored = [
        (
            score_target(
                target, request, data_centre, entry_count, now, far_cost
            )
            + (
                _RESERVED_DESTINATION_COST
                if target.target_id in avoided
                else 0.0
            )
            + source.random() * _TIE_BREAK_NOISE,
            target,
        )
        for target in candidates
        if target.accepts_work()
    ]
    if not scored:
        return None
    scored.sort(key=lambda item: item[0])
    unseen = others_per_s * _measure_report_age_s(scored, now)
    level = _find_level(
        [score for score, _ in scored], unseen * _estimate_cost(request)
    )
    weights = [max(0.0, level - score) for score, _ in scored]
    if not any(weights):
        return scored[0][1]
    return source.choices(scored, weights)[0][1]


def _measure_report_age_s(
    scored: abc.Sequence[tuple[float, targets.Target]], now: float
) -> float:
    """Return the mean age of the reports, 0 if there are none."""
    ages = [
        max(0.0, now - target.report.sampled_at)
        for _, target in scored
        if target.report is not None
    ]
    return sum(ages) / len(ages) if ages else 0.0


def _estimate_cost(request: requests.CallerRequest) -> float:
    """Return what a request like this one adds to a target's score."""
    engine = request.service.engine
    if engine is None:
        return _REQUEST_COST
    return (
        request.prompt_tokens / _UNREAD_TOKENS_SCALE
        + count_tokens(request) / max(1, engine.memory_tokens)
        + 1 / _RUNNING_SCALE
        + 1 / max(1, engine.slots)
    )


def _find_level(scores: abc.Sequence[float], amount: float) -> float:
    """Return the level up to which ``amount`` fills up sorted scores.

    >>> _find_level([1.0, 2.0, 9.0], 3.0)
    3.0
    """
    filled = 0.0
    for count, score in enumerate(scores, 1):
        filled += score
        level = (filled + amount) / count
        if count == len(scores) or level <= scores[count]:
            return level
    return 0.0


def choose_copy_destination(
    candidates: abc.Iterable[targets.Target],
    runner: targets.Target,
    request: requests.CallerRequest,
    entry_count: int,
    now: float,
    source: random.Random,
    most_used: float,
    others_per_s: float = 0.0,
    avoided: abc.Collection[str] = (),
) -> typing.Optional[targets.Target]:
    """Return the target that takes a copy of what ``runner`` generates.

    Near the runner, the more so the less time there is, and with room: its
    memory is filled up to the share ``most_used``.
    """
    others = [
        item
        for item in candidates
        if item is not runner
        and _find_used_share(item, request, 1) <= most_used
    ]
    near = runner.entry.data_centre
    far_cost = _find_far_cost(runner, request, now)
    return choose_target(
        others,
        request,
        near,
        entry_count,
        now,
        source,
        far_cost,
        others_per_s,
        avoided,
    )


def _find_far_cost(
    runner: targets.Target, request: requests.CallerRequest, now: float
) -> float:
    """Return what a destination in another data centre adds to its score.

    A copy takes longer between data centres, and generations that wait for it
    may be left behind as the runner goes. How many are is reckoned as if all
    were as large as this one and went the same way, one after another.
    """
    engine = request.service.engine
    if engine is None or runner.leaves_at is None:
        return _DISTANCE_COST
    copy_ms = engine.estimate_copy_ms(count_tokens(request))
    if copy_ms <= 0:
        return _DISTANCE_COST
    left_ms = max(0.0, (runner.leaves_at.at - now) * 1000)
    running = _count_running(runner)
    near = min(running, left_ms / copy_ms)
    far = min(running, left_ms / (copy_ms * FAR_FACTOR))
    return _DISTANCE_COST + _LOST_GENERATION_COST * (near - far)


def _count_running(target: targets.Target) -> int:
    """Return the requests at a target, as far as this entry knows."""
    report = target.report
    if report is None:
        return target.open_requests
    seen = report.running + report.waiting + target.sent_since_report
    return max(seen, target.open_requests)
