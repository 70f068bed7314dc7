"""Which target gets a request, and which keeps a copy of its memory.

The load it answers: long prompts delay the tokens of all that runs beside
them, engines' memory fills up in the middle of generations, reports are old
when they come, and several entries see the same ones. So what this entry has
sent or moved since the report counts for as many entries as there are, since
the others sent much the same, and of equals one is drawn at random: taking
the first would send all entries to it. Whether a copy has room is asked of
the target itself, so there only this entry's own part is added.
"""

from collections import abc
import random
import typing

from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import targets

__all__ = (
    "MOST_USED_BY_BACKUPS",
    "MOST_USED_BY_MOVES",
    "choose_backup",
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
_FAR_COST: typing.Final = 0.08
"""Another data centre weighs like a twelfth of the slots taken: bytes between
them are priced, and a request there takes some milliseconds more."""
_FAR_COST_IN_HASTE: typing.Final = 0.6
"""The same for a move from a target with more generations than it has time
for: a copy takes twice as long between data centres, so one near by leaves
time for the next. The mean worth of 32 replays of "leaving" and "leaving, four
centres" with 1.9 reports a second is 0.926 with it and 0.914 without."""
FAR_FACTOR: typing.Final = 2.0
"""Times that a copy of memory takes longer between data centres."""
_FULL_COST: typing.Final = 4.0
"""Memory that would overflow leads to preemption, which costs more than any
wait behind others."""
_PREFILL_TOKENS: typing.Final = 7000.0
"""Unread prompt tokens that weigh like all slots taken: at fourteen tokens a
millisecond, half of a second before the next first token."""
MOST_USED_BY_BACKUPS: typing.Final = 0.4
"""Share of a target's memory up to which it takes copies of generations that
may never be needed; the rest is for what runs there or moves there."""
CALM_S: typing.Final = 10.0
"""Time without any notice after which generations are backed up. Where
engines are given notice every few seconds, moves save more than backups do,
which take the links and the memory that moves need: the mean worth of ten
replays of "leaving" is 0.963 without backups and 0.906 with them up to a
share of 0.25, while that of eight replays of "half gone" is 0.899 without and
0.913 with them. Three notices that come as often as there fall into this
time."""
_CROWD: typing.Final = 6.0
"""Running generations that weigh like all of the memory taken. They leave
together, and only some of them can be moved in time: the worth of ten replays
of "leaving" is 0.953 with 6 and 0.943 with 16."""
MOST_USED_BY_MOVES: typing.Final = 0.95
"""Share up to which a target takes generations that would else be lost."""
_NOISE: typing.Final = 0.02
"""Breaks ties between equals."""


def score_target(
    target: targets.Target,
    request: requests.CallerRequest,
    data_centre: str,
    entry_count: int,
    now: float,
    far_cost: float = _FAR_COST,
) -> float:
    """Return how bad a choice a target is; 0 is an idle one near by."""
    score = 0.0
    if target.entry.data_centre != data_centre:
        score += far_cost
    if now < target.slow_until:
        score += _SLOW_COST
    if target.failures and now - target.failed_at < _FAILURE_MEMORY_S:
        score += _FAILURE_COST * min(3, target.failures)
    if target.report is not None and target.report.is_silent:
        score += _SILENT_COST
    score += _score_slots(target, entry_count)
    if request.service.engine is not None:
        score += _count_unread(target, entry_count) / _PREFILL_TOKENS
        score += _score_memory(target, request, entry_count)
        score += _count_running(target) / _CROWD
    return score


def _count_unread(target: targets.Target, entry_count: int) -> int:
    """Return the prompt tokens that an engine has still to read.

    Counting this entry's own prompts only, all entries go on to send to an
    engine that has just started, and first events come seconds late. With
    those of all entries, as its agent tells them, the mean worth of eight
    replays of "busier" is 0.944 instead of 0.907, with 4 instead of 13
    late answers of 190.
    """
    report = target.report
    if report is None:
        return target.unread_prompt_tokens
    sent = target.prompt_tokens_since_report * entry_count
    # A report that was made before a request arrived, and received after it
    # was sent, has not counted it; this entry's own count has.
    return max(target.unread_prompt_tokens, report.unread_tokens + sent)


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
    return share + (_FULL_COST if share > 1.0 else 0.0)


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
        used = report.used_tokens + target.tokens_since_report * entry_count
    return (used + count_tokens(request)) / max(1, total)


def choose_target(
    candidates: abc.Iterable[targets.Target],
    request: requests.CallerRequest,
    data_centre: str,
    entry_count: int,
    now: float,
    source: random.Random,
    far_cost: float = _FAR_COST,
) -> typing.Optional[targets.Target]:
    """Return the best target that takes work, or None."""
    best = None
    best_score = float("inf")
    for target in candidates:
        if not target.takes_work():
            continue
        score = score_target(
            target, request, data_centre, entry_count, now, far_cost
        )
        score += source.random() * _NOISE
        if score < best_score:
            best, best_score = target, score
    return best


def choose_backup(
    candidates: abc.Iterable[targets.Target],
    runner: targets.Target,
    request: requests.CallerRequest,
    entry_count: int,
    now: float,
    source: random.Random,
    most_used: float,
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
    far_cost = _FAR_COST
    if _is_in_haste(runner, request, now):
        far_cost = _FAR_COST_IN_HASTE
    return choose_target(
        others, request, near, entry_count, now, source, far_cost
    )


def _is_in_haste(
    runner: targets.Target, request: requests.CallerRequest, now: float
) -> bool:
    """Tell whether a target has too many generations for the time left.

    That is reckoned as if all of them were as large as this one and went to
    other data centres, one after another.
    """
    engine = request.service.engine
    if engine is None or runner.leaves_at is None:
        return False
    copy_ms = engine.estimate_copy_ms(count_tokens(request)) * FAR_FACTOR
    left_ms = (runner.leaves_at.at - now) * 1000
    return _count_running(runner) * copy_ms > left_ms


def _count_running(target: targets.Target) -> int:
    """Return the requests at a target, as far as this entry knows."""
    report = target.report
    if report is None:
        return target.open_requests
    seen = report.running + report.waiting + target.sent_since_report
    return max(seen, target.open_requests)
