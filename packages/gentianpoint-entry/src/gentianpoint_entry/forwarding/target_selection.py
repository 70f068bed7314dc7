"""Selects the target of a request and the target that keeps its copy.

Long prompts delay the tokens of everything that runs beside them, and engines
run out of memory in the middle of generations. Reports are old when they
arrive, and several entries act on the same ones. If each entry chose the best
target, that target would receive everything that is sent within the age of a
report.

So the requests that other entries have probably sent since the reports are
distributed over the best targets first, by water-filling, and a target is
drawn with its share of them as weight. With fresh reports or few requests that
is the best target, otherwise one of several that are nearly as good.

Where the paces of a service's targets differ, prompts and pauses are scored by
the times that are predicted for a request, over its objectives.
"""

from collections import abc
import random
import typing

from gentianpoint_core.decisions import engine_pace
from gentianpoint_core.decisions import target_times
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import targets

__all__ = (
    "MAX_USED_SHARE_FOR_BACKUPS",
    "MAX_USED_SHARE_FOR_MOVES",
    "choose_copy_destination",
    "choose_target",
    "count_free_tokens",
    "count_pending_prefill_tokens",
    "count_running",
    "count_tokens",
    "list_paces",
    "may_hold",
    "score_target",
)

_FAILURE_WINDOW_S: typing.Final = 3.0
"""Seconds for which a failure counts against a target. Shorter than a usual
fault, so that the target is tried again while the fault lasts, with one
request in many."""
_FAILURE_COST: typing.Final = 2.0
"""Score of one failure, equal to twice that of all slots taken."""
_REFUSAL_WINDOW_S: typing.Final = 1.0
"""Seconds for which a target without reports that has refused a request is the
last choice. Then a request tells whether it still refuses."""
_SILENT_COST: typing.Final = 10.0
"""Score of an engine that does not answer its own agent. It is the last choice
but still one, since the agent may be at fault."""
_COLD_COST: typing.Final = 0.5
"""Score of a target that is cold, equal to half of its slots taken."""
_DISTANCE_COST: typing.Final = 0.08
"""Score of a target in another data centre, equal to a twelfth of the slots
taken. Traffic between data centres is billed, and a request there takes some
milliseconds more."""
_LOST_GENERATION_COST: typing.Final = 1.0
"""Score of a generation that is left behind, equal to all slots taken. Its
loss is certain, while generations that overload another target are lost only
if that target gets notice too."""
DISTANCE_COPY_FACTOR: typing.Final = 2.0
"""Factor by which copying memory takes longer between data centres."""
_MEMORY_OVERFLOW_COST: typing.Final = 4.0
"""Score of a request that would overflow the memory. That leads to preemption,
which costs more than waiting behind other requests."""
_UNREAD_TOKENS_SCALE: typing.Final = 7000.0
"""Prompt tokens awaiting prefill that score like all slots taken. At fourteen
tokens a millisecond they delay the next first token by half a second."""
_FIRST_EVENT_COST: typing.Final = 1.0
"""Score of a first event that takes as long as its objective, equal to that of
all slots taken, where paces differ."""
_LATE_FIRST_EVENT_COST: typing.Final = 2.0
"""Additional score of each further objective's length. A late first event
loses most of an answer's worth, unlike a later one that is still on time."""
_TIMELY_SHARE: typing.Final = 1.0
"""Share of the objective from which a first event may be late."""
_LONG_PAUSE_COST: typing.Final = 2.0
"""Score of pauses in a slow phase at twice what counts as on time, where paces
differ."""
_SLOW_PHASE_FACTOR: typing.Final = 2.5
"""Factor by which pauses are longer in a slow phase. An engine has one every
few seconds, so that a long answer meets it."""
_NEARLY_FULL_SHARE: typing.Final = 0.75
"""Share of the memory from which more costs, where paces differ. Otherwise
long answers would fill the fast engines, and be preempted there."""
_NEARLY_FULL_COST: typing.Final = 4.0
"""Score of the memory used above that share; all of the memory would score
this."""
_LONG_ANSWER_EVENTS: typing.Final = 40.0
"""Events from which an answer is likely to have the predicted pause. One of
three events takes a tenth of a second and seldom meets a prompt."""
_USUAL_OBJECTIVE_MS: typing.Final = 1500.0
"""Time to the first event for a route without an objective."""
MAX_USED_SHARE_FOR_BACKUPS: typing.Final = 0.4
"""Share of a target's memory up to which it accepts copies of generations that
may never be needed. The rest is for generations that run there or move
there."""
BACKUP_QUIET_PERIOD_S: typing.Final = 10.0
"""Seconds without any notice after which generations are backed up. Where
engines get notice every few seconds, moves save more than backups do, which
take the links and the memory that moves need. Three notices at that rate fall
into this period."""
_RUNNING_SCALE: typing.Final = 6.0
"""Running generations that score like all of the memory used. They leave
together, and only some of them can be moved in time."""
MAX_USED_SHARE_FOR_MOVES: typing.Final = 0.95
"""Share of a target's memory up to which it accepts generations that would
otherwise be lost."""
_RESERVED_DESTINATION_COST: typing.Final = 3.0
"""Score of a destination that is assigned to another leaving target. It is
preferred only to one that is full, since the copies of both targets would
queue on its link."""
_TIE_BREAK_NOISE: typing.Final = 0.02
"""Upper bound of the random score that breaks ties between equal targets."""
_UNKNOWN_PACE: typing.Final = engine_pace.Pace()
_PLAIN_REQUEST_COST: typing.Final = 0.05
"""Least score that a request of a plain service adds to its target."""


def score_target(
    target: targets.Target,
    request: requests.CallerRequest,
    data_centre: str,
    entry_count: int,
    now: float,
    distance_cost: float = _DISTANCE_COST,
    times: typing.Optional["_RequestTimes"] = None,
) -> float:
    """Return the load score of a target; lower is better.

    An idle target in ``data_centre`` scores 0, unless ``times`` is given. A
    target whose slots are all taken scores 1 for that, and the other terms
    are weighed against it. ``times`` is given where the paces of the targets
    differ.
    """
    score = 0.0
    if target.entry.data_centre != data_centre:
        score += distance_cost
    if now < target.find_cold_until(request.service.cold_ms):
        score += _COLD_COST
    if target.failures and now - target.failed_at < _FAILURE_WINDOW_S:
        score += _FAILURE_COST * min(3, target.failures)
    if target.report is not None and target.report.is_silent:
        score += _SILENT_COST
    score += _score_slots(target, entry_count)
    if request.service.engine is not None:
        unread = count_pending_prefill_tokens(target)
        running = count_running(target)
        share = _estimate_used_share(target, request, entry_count)
        if times is not None:
            score += times.score(target, unread, running)
            score += _NEARLY_FULL_COST * max(0.0, share - _NEARLY_FULL_SHARE)
            return score + _score_memory(share)
        score += unread / _UNREAD_TOKENS_SCALE
        score += _score_memory(share)
        score += running / _RUNNING_SCALE
    return score


class _RequestTimes:
    """Scores the times that are predicted for one request at targets."""

    def __init__(
        self,
        request: requests.CallerRequest,
        paces: target_times.ServicePaces,
    ) -> None:
        engine = request.service.engine
        route = request.route
        self._paces: typing.Final = paces
        self._prompt_tokens: typing.Final = request.prompt_tokens
        self._event_tokens: typing.Final = engine.event_tokens if engine else 1
        self._objective_ms: typing.Final = (
            route.objective_ms or _USUAL_OBJECTIVE_MS
        )
        # 0 if no pause is too long, else what pauses cost.
        self._longest_ms: typing.Final = route.gap_objective_ms
        events = request.likely_output_tokens / self._event_tokens
        self._pause_cost: typing.Final = _LONG_PAUSE_COST * min(
            1.0, events / _LONG_ANSWER_EVENTS
        )

    def score(
        self, target: targets.Target, unread: int, running: int
    ) -> float:
        """Return the score of the request's times at a target.

        ``unread`` prompt tokens go before its prompt, which delays each of the
        ``running`` generations there by the time of its prefill.
        """
        report = target.report
        if report is None:
            found = self._paces.complete(0, 0)
        else:
            found = self._paces.complete(
                report.step_us, report.prefill_us_per_k
            )
        pace = found.pace
        first_ms = target_times.predict_first_event_ms(
            pace, unread, self._prompt_tokens, self._event_tokens
        )
        first = first_ms / self._objective_ms
        score = _FIRST_EVENT_COST * first
        if first > _TIMELY_SHARE:
            score += _LATE_FIRST_EVENT_COST * (first - _TIMELY_SHARE)
        if self._longest_ms:
            pause_ms = target_times.predict_longest_pause_ms(
                pace, self._event_tokens
            )
            over = _SLOW_PHASE_FACTOR * pause_ms / self._longest_ms - 1.0
            if over > 0.0:
                score += self._pause_cost * over
        return score + found.slowness * running / _RUNNING_SCALE

    def estimate_prompt_cost(self) -> float:
        """Return what the prompt adds to a target of median pace."""
        first_ms = target_times.predict_first_event_ms(
            self._paces.spread.median, 0, self._prompt_tokens, 0
        )
        return _FIRST_EVENT_COST * first_ms / self._objective_ms


def _get_pace(target: targets.Target) -> engine_pace.Pace:
    report = target.report
    if report is None:
        return _UNKNOWN_PACE
    return engine_pace.Pace(report.step_us, report.prefill_us_per_k)


def list_paces(
    candidates: abc.Iterable[targets.Target],
) -> abc.Sequence[engine_pace.Pace]:
    """Return the paces that targets have by their reports."""
    return [_get_pace(target) for target in candidates]


def count_pending_prefill_tokens(target: targets.Target) -> int:
    """Return the prompt tokens that an engine has yet to process.

    If each entry counted only its own prompts, all entries would keep sending
    to an engine that has just started, and first events would be seconds late.
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
    return count_running(target) / slots


def count_tokens(request: requests.CallerRequest) -> int:
    """Return the memory, in tokens, that a request probably ends with."""
    return request.prompt_tokens + request.likely_output_tokens


def _score_memory(share: float) -> float:
    """Return the score of a target whose memory is used up to a share."""
    return share + (_MEMORY_OVERFLOW_COST if share > 1.0 else 0.0)


def _estimate_used_share(
    target: targets.Target, request: requests.CallerRequest, entry_count: int
) -> float:
    """Return the share of memory in use once the request is added."""
    engine = request.service.engine
    assert engine is not None
    used, total = _count_memory(target, engine, lambda: entry_count)
    return (used + count_tokens(request)) / max(1, total)


def _count_memory(
    target: targets.Target,
    engine: routes.EngineSpec,
    count_entries: abc.Callable[[], int],
) -> tuple[int, int]:
    """Return the memory in use and the whole memory, in tokens."""
    report = target.report
    if report is None or not report.total_tokens:
        return target.open_tokens * count_entries(), engine.memory_tokens
    return (
        report.used_tokens + target.tokens_since_report,
        report.total_tokens,
    )


def count_free_tokens(
    target: targets.Target,
    engine: routes.EngineSpec,
    count_entries: abc.Callable[[], int],
) -> int:
    """Return the memory that is free by a target's report, in tokens."""
    used, total = _count_memory(target, engine, count_entries)
    return total - used


def may_hold(
    target: targets.Target,
    request: requests.CallerRequest,
    free_tokens: int,
) -> bool:
    """Tell whether a request fits into the free memory of a target.

    The length of a response is an estimate, so a request that is larger than
    the whole memory fits into one that is empty.
    """
    report = target.report
    total = 0 if report is None else report.total_tokens
    engine = request.service.engine
    if not total and engine is not None:
        total = engine.memory_tokens
    return free_tokens >= min(count_tokens(request), total)


def choose_target(
    candidates: abc.Iterable[targets.Target],
    request: requests.CallerRequest,
    data_centre: str,
    entry_count: int,
    now: float,
    rng: random.Random,
    distance_cost: float = _DISTANCE_COST,
    other_arrivals_per_s: float = 0.0,
    avoided: abc.Collection[str] = (),
    paces: typing.Optional[target_times.ServicePaces] = None,
) -> typing.Optional[targets.Target]:
    """Return one of the best targets that take work, or None.

    ``other_arrivals_per_s`` is how many such requests other entries send a
    second. ``avoided`` names targets that are chosen only if they are much
    better. ``paces`` are those of all targets of the service; they matter
    only where they differ.
    """
    times = None
    if paces is not None and paces.differ:
        times = _RequestTimes(request, paces)
    working = [target for target in candidates if target.accepts_work()]
    scored = [
        (
            score_target(
                target,
                request,
                data_centre,
                entry_count,
                now,
                distance_cost,
                times,
            )
            + (
                _RESERVED_DESTINATION_COST
                if target.target_id in avoided
                else 0.0
            )
            + rng.random() * _TIE_BREAK_NOISE,
            target,
        )
        for target in _leave_out_refusing(working, now)
    ]
    if not scored:
        return None
    scored.sort(key=lambda item: item[0])
    unseen = other_arrivals_per_s * _measure_report_age_s(scored, now)
    level = _find_water_level(
        [score for score, _ in scored],
        unseen * _estimate_request_cost(request, times),
    )
    weights = [max(0.0, level - score) for score, _ in scored]
    if not any(weights):
        return scored[0][1]
    return rng.choices(scored, weights)[0][1]


def _leave_out_refusing(
    working: abc.Sequence[targets.Target], now: float
) -> abc.Sequence[targets.Target]:
    """Return the targets without those that have just refused a request.

    One that refuses has few open requests, and would look the least busy
    where only these are known. An engine's report tells more, and a refusal
    may be due to the request's size. If all refuse, all are returned.
    """
    others = [
        target
        for target in working
        if target.report is not None
        or now - target.refused_at >= _REFUSAL_WINDOW_S
    ]
    return others or working


def _measure_report_age_s(
    scored: abc.Sequence[tuple[float, targets.Target]], now: float
) -> float:
    """Return the mean age of the reports in seconds, 0 without reports."""
    ages = [
        max(0.0, now - target.report.sampled_at)
        for _, target in scored
        if target.report is not None
    ]
    return sum(ages) / len(ages) if ages else 0.0


def _estimate_request_cost(
    request: requests.CallerRequest,
    times: typing.Optional[_RequestTimes],
) -> float:
    """Return how much a request like this one adds to a target's score.

    Where paces differ, that is what it adds at a target of median pace.
    """
    engine = request.service.engine
    if engine is None:
        return _PLAIN_REQUEST_COST
    prompt_cost = request.prompt_tokens / _UNREAD_TOKENS_SCALE
    if times is not None:
        prompt_cost = times.estimate_prompt_cost()
    return (
        prompt_cost
        + count_tokens(request) / max(1, engine.memory_tokens)
        + 1 / _RUNNING_SCALE
        + 1 / max(1, engine.slots)
    )


def _find_water_level(scores: abc.Sequence[float], amount: float) -> float:
    """Return the level up to which ``amount`` fills the sorted scores.

    >>> _find_water_level([1.0, 2.0, 9.0], 3.0)
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
    rng: random.Random,
    max_used_share: float,
    other_arrivals_per_s: float = 0.0,
    avoided: abc.Collection[str] = (),
) -> typing.Optional[targets.Target]:
    """Return the target that receives a copy of a generation's memory.

    ``runner`` is the target that runs the generation. Targets in its data
    centre are preferred, the more so the less time is left before it leaves.
    The memory of the destination is filled up to the share ``max_used_share``.
    """
    others = [
        item
        for item in candidates
        if item is not runner
        and _estimate_used_share(item, request, 1) <= max_used_share
    ]
    data_centre = runner.entry.data_centre
    distance_cost = _calculate_distance_cost(runner, request, now)
    return choose_target(
        others,
        request,
        data_centre,
        entry_count,
        now,
        rng,
        distance_cost,
        other_arrivals_per_s,
        avoided,
    )


def _calculate_distance_cost(
    runner: targets.Target, request: requests.CallerRequest, now: float
) -> float:
    """Return the score of a destination in another data centre.

    Copies between data centres take longer, and generations that wait for them
    may be left behind when the runner leaves. Their number is estimated as if
    all generations were as large as this one and were copied to the same
    destination one after another.
    """
    engine = request.service.engine
    if engine is None or runner.leaves_at is None:
        return _DISTANCE_COST
    copy_ms = engine.estimate_copy_ms(count_tokens(request))
    if copy_ms <= 0:
        return _DISTANCE_COST
    left_ms = max(0.0, (runner.leaves_at.at - now) * 1000)
    running = count_running(runner)
    near = min(running, left_ms / copy_ms)
    far = min(running, left_ms / (copy_ms * DISTANCE_COPY_FACTOR))
    return _DISTANCE_COST + _LOST_GENERATION_COST * (near - far)


def count_running(target: targets.Target) -> int:
    """Return the requests at a target, as far as this entry knows."""
    report = target.report
    if report is None:
        return target.open_requests
    seen = report.running + report.waiting + target.sent_since_report
    return max(seen, target.open_requests)
