"""The promises that a soak checks, from what was seen."""

import bisect
import collections
from collections import abc
import typing

from bench.soak import facts as seen
from bench.soak import kinds
from bench.soak import notice_checks
from bench.soak import verdicts

__all__ = ("check_all",)

_NOT_RUN: typing.Final = frozenset((408, 421, 429, 503))
"""Statuses that say that a request has not run and never will."""
_OF_ENTRY: typing.Final = frozenset(("entry_kill", "entry_pause"))
"""Faults that cut what an entry has taken."""
_OF_AGENT: typing.Final = frozenset(("agent_kill", "agent_pause"))
"""Faults that cut nothing where requests don't pass through agents."""
_FATAL_ENDS: typing.Final = 3
"""Targets that a request may end before it is kept from the others."""
_FATAL_PART_ENDS: typing.Final = 5
"""Targets that requests with one part may end before they are kept from the
others."""
_SIGNAL_S: typing.Final = 0.2
"""Time until a program knows of a signal."""


def check_all(
    facts: seen.Facts, bounds: verdicts.Bounds
) -> list[verdicts.Verdict]:
    """Check every promise."""
    found = [
        _check_once(facts),
        _check_not_run(facts),
        _check_own(facts),
        _check_streams(facts),
        _check_never_back(facts),
        _check_retries(facts, bounds),
        _check_endings(facts),
        _check_memory(facts, bounds),
        _check_served(facts, bounds),
        _check_taken(facts, bounds),
        _check_final(facts, bounds),
        _check_lag(facts, bounds),
        _check_in_force(facts, bounds),
        _check_leaving(facts, bounds),
        _check_recovery(facts, bounds),
        _check_fatal(facts, bounds, is_part=False),
        _check_fatal(facts, bounds, is_part=True),
        _check_limits(facts, bounds),
        notice_checks.check_said_leaving(facts, bounds),
        notice_checks.check_rests(facts, bounds),
        notice_checks.check_preferred(facts, bounds),
        _check_software(facts),
        _check_taken_up(facts, bounds),
    ]
    return [item for item in found if bounds.are_timed or not item.is_timed]


def _runs_once(request_id: str) -> bool:
    kind = kinds.find_kind(request_id)
    return kind is not None and not kind.may_run_again


def _check_once(facts: seen.Facts) -> verdicts.Verdict:
    counts = collections.Counter(
        run.request_id for run in facts.runs if _runs_once(run.request_id)
    )
    twice = (name for name, count in counts.items() if count > 1)
    return verdicts.judge("what may run once runs once", len(counts), twice)


def _check_not_run(facts: seen.Facts) -> verdicts.Verdict:
    ran = {run.request_id for run in facts.runs}
    refused = [
        answer.request_id
        for answer in facts.answers
        if answer.status in _NOT_RUN and _runs_once(answer.request_id)
    ]
    untrue = (name for name in refused if name in ran)
    return verdicts.judge(
        "what is refused as not run has not run", len(refused), untrue
    )


def _check_own(facts: seen.Facts) -> verdicts.Verdict:
    plain = [
        answer
        for answer in facts.answers
        if answer.status == 200 and not _is_stream(answer)
    ]
    foreign = (
        answer.request_id
        for answer in plain
        if answer.is_whole and answer.body != answer.request_id.encode()
    )
    return verdicts.judge(
        "an answer is of its own request", len(plain), foreign
    )


def _is_stream(answer: seen.Answer) -> bool:
    kind = kinds.find_kind(answer.request_id)
    return kind is not None and kind.is_stream


def _check_streams(facts: seen.Facts) -> verdicts.Verdict:
    streams = [
        answer
        for answer in facts.answers
        if answer.status == 200 and _is_stream(answer)
    ]
    broken = (
        f"{answer.request_id}: {fault}"
        for answer in streams
        if (fault := _find_stream_fault(answer))
    )
    return verdicts.judge(
        "a stream is whole and in order", len(streams), broken
    )


def _find_stream_fault(answer: seen.Answer) -> str:
    """Return what is wrong with a stream, or nothing."""
    complete, rest = _split_events(answer)
    last = answer.after_event
    count = 0
    for block in complete:
        head, _, data = block.partition("\n")
        name, place, most = data.removeprefix("data: ").split("/")[:3]
        count = int(most)
        if name != (answer.stream_id or answer.request_id):
            return f"an event of {name}"
        if int(head.removeprefix("id: ")) != last + 1 or place != str(
            last + 1
        ):
            return f"{head} after event {last}"
        last += 1
    # Where it ends with no event of its own, an earlier attempt had the last.
    is_short = last != count and (complete or not answer.stream_id)
    if answer.is_whole and (rest or is_short):
        return f"ends as complete after event {last} of {count}"
    return ""


def _split_events(answer: seen.Answer) -> tuple[list[str], str]:
    """Return the whole events of a stream, and what follows them."""
    blocks = answer.body.decode().split("\n\n")
    return blocks[:-1], blocks[-1]


def _collect_software(
    facts: seen.Facts,
) -> abc.Mapping[str, abc.Collection[str]]:
    """Return the versions that wrote each stream, the first one first."""
    versions: dict[str, dict[str, None]] = collections.defaultdict(dict)
    for answer in facts.answers:
        if answer.status == 200 and _is_stream(answer):
            stream_id = answer.stream_id or answer.request_id
            for block in _split_events(answer)[0]:
                softwares = block.split("/")[3:]
                versions[stream_id].update(dict.fromkeys(softwares))
    return versions


def _check_software(facts: seen.Facts) -> verdicts.Verdict:
    """Check that each stream was written by one software version."""
    versions = _collect_software(facts)
    mixed = (
        f"{name}: {sorted(found)}"
        for name, found in versions.items()
        if len(found) > 1
    )
    several = {item.software for item in facts.servings}
    tested = len(versions) if len(several) > 1 else 0
    return verdicts.judge(
        "a stream has events of one software version", tested, mixed
    )


def _check_taken_up(
    facts: seen.Facts, bounds: verdicts.Bounds
) -> verdicts.Verdict:
    """Check that streams go on where two targets of their version serve."""
    versions = _collect_software(facts)
    due = [
        answer
        for answer in facts.answers
        if answer.stream_id
        and answer.end in ("answered", "cut")
        and _count_serving(facts, versions.get(answer.stream_id, ()), answer)
        >= bounds.serving
        and not _is_disturbed(
            facts, answer.entry, answer.sent_at - bounds.calm_s, answer.sent_at
        )
    ]
    went_on = sum(_has_begun(answer) for answer in due)
    fresh = [
        answer
        for answer in facts.answers
        if _is_stream(answer)
        and not answer.stream_id
        and answer.end in ("answered", "cut")
    ]
    begun = sum(_has_begun(answer) for answer in fresh) / max(1, len(fresh))
    failures = []
    if len(due) >= bounds.taken_up and (
        went_on / len(due) < bounds.went_on_share * begun
    ):
        failures.append(
            f"{went_on} of {len(due)} went on, {begun:.2f} of new ones begin"
        )
    return verdicts.judge(
        "streams that are taken up go on", len(due), failures
    )


def _has_begun(answer: seen.Answer) -> bool:
    """Tell whether an answer brought events, or the end of its stream."""
    return answer.status == 200 and (b"\n\n" in answer.body or answer.is_whole)


def _count_serving(
    facts: seen.Facts, softwares: abc.Collection[str], answer: seen.Answer
) -> int:
    """Return how many engines of a stream's version took work all the time.

    ``softwares`` has the versions of its events, the first one first.
    """
    first = next(iter(softwares), "")
    return sum(
        item.software == first
        and item.begins_at <= answer.sent_at
        and item.ends_at >= answer.ended_at
        for item in facts.servings
    )


def _check_never_back(facts: seen.Facts) -> verdicts.Verdict:
    tested = 0
    failures = []
    newest: dict[tuple[str, int], tuple[int, float]] = {}
    for probe in sorted(facts.probes, key=lambda item: item.answered_at):
        process = (probe.entry, probe.pid)
        version, at = newest.get(process, (0, 0.0))
        if probe.is_in_force:
            newest[process] = max(
                (probe.version, probe.answered_at), (version, at)
            )
        elif probe.version <= version and probe.sent_at > at:
            failures.append(f"{probe.entry}: {probe.version} after {version}")
        tested += 1
    return verdicts.judge("a version never goes back", tested, failures)


def _is_disturbed(
    facts: seen.Facts, entry: str, begins_at: float, ends_at: float
) -> bool:
    return any(
        item.entry in ("", entry)
        and item.begins_at <= ends_at
        and item.ends_at >= begins_at
        for item in facts.disturbances
    )


def _check_in_force(
    facts: seen.Facts, bounds: verdicts.Bounds
) -> verdicts.Verdict:
    acked = {change.version: change.acked_at for change in facts.changes}
    due = [
        probe
        for probe in facts.probes
        if probe.sent_at > acked[probe.version] + bounds.in_force_s
        and not _is_disturbed(
            facts, probe.entry, probe.sent_at - bounds.calm_s, probe.sent_at
        )
    ]
    late = (
        f"{probe.entry}: version {probe.version} not in force "
        f"{probe.sent_at - acked[probe.version]:.2f} s after it was"
        f" acknowledged, at {probe.sent_at:.2f} s"
        for probe in due
        if not probe.is_in_force
    )
    return verdicts.judge(
        "a version is in force in time", len(due), late, is_timed=True
    )


def _check_leaving(
    facts: seen.Facts, bounds: verdicts.Bounds
) -> verdicts.Verdict:
    acked = {item.target_id: item.acked_at for item in facts.leavings}
    late = [
        run
        for run in facts.runs
        if run.target_id in acked
        and run.at > acked[run.target_id] + bounds.drain_s
        and not any(
            item.begins_at <= run.at
            and item.ends_at >= acked[run.target_id] - bounds.calm_s
            for item in facts.disturbances
        )
    ]
    failures = (f"{run.request_id} at {run.target_id}" for run in late)
    return verdicts.judge(
        "a leaving target gets nothing new",
        len(acked),
        failures,
        is_timed=True,
    )


def _check_recovery(
    facts: seen.Facts, bounds: verdicts.Bounds
) -> verdicts.Verdict:
    after = [
        answer.status == 200 and answer.is_whole
        for answer in facts.answers
        if answer.sent_at > facts.calm_from + bounds.recovery_s
    ]
    served = sum(after)
    is_back = served >= bounds.recovered_share * len(after) and after
    failures = () if is_back else (f"{served} of {len(after)} served",)
    return verdicts.judge(
        "service is back", len(after), failures, is_timed=True
    )


def _check_fatal(
    facts: seen.Facts, bounds: verdicts.Bounds, *, is_part: bool
) -> verdicts.Verdict:
    """Check that what ends targets is kept from further ones.

    That is a request, or all that have a part of it.
    """
    ends = _FATAL_PART_ENDS if is_part else _FATAL_ENDS
    entries = {call.request_id: call.entry for call in facts.fatal_calls}
    runs_by_content = collections.defaultdict(list)
    for run in sorted(facts.fatal_runs, key=lambda item: item.at):
        runs_by_content[run.content].append(run)
    tested = 0
    failures = []
    for content, runs in runs_by_content.items():
        if kinds.is_part_content(content) != is_part:
            continue
        if len(runs) < _FATAL_ENDS:
            continue
        known_from = runs[min(ends, len(runs)) - 1].at + bounds.calm_s
        tested += sum(
            call.sent_at > known_from
            for call in facts.fatal_calls
            if kinds.find_fatal_content(call.request_id) == content
        )
        late = [
            run
            for run in runs
            if run.at > known_from
            and not _was_away(
                facts, entries.get(run.request_id, ""), run.at, bounds
            )
        ]
        if len(late) > bounds.fatal_runs:
            failures.append(
                f"{content}: {len(runs)} runs, {len(late)} of them late"
            )
    what = "part" if is_part else "request"
    return verdicts.judge(
        f"a {what} that ends targets is kept from others", tested, failures
    )


def _check_limits(
    facts: seen.Facts, bounds: verdicts.Bounds
) -> verdicts.Verdict:
    """Check that targets get no more than the limits that they name."""
    tested = 0
    failures = []
    for limit in facts.limits:
        from_s = limit.begins_at + bounds.calm_s
        times = sorted(
            item.at
            for item in facts.arrivals
            if item.target_id == limit.target_id
            and from_s <= item.at <= limit.ends_at
        )
        allowed = (
            bounds.limit_factor * limit.per_s * bounds.limit_window_s
            + bounds.limit_slack
        )
        for last, at in enumerate(times):
            began_at = at - bounds.limit_window_s
            if _is_limit_excused(facts, began_at, at, bounds):
                continue
            tested += 1
            count = last + 1 - bisect.bisect_right(times, began_at)
            if count > allowed:
                failures.append(
                    f"{limit.target_id}: {count} requests until {at:.1f} s,"
                    f" allowed {allowed:.0f}"
                )
    return verdicts.judge(
        "a target's limit on requests is kept", tested, failures
    )


def _is_limit_excused(
    facts: seen.Facts,
    began_at: float,
    ended_at: float,
    bounds: verdicts.Bounds,
) -> bool:
    """Tell whether a fault hid a limit, or held requests back."""
    kinds_of_fault = verdicts.OF_KNOWLEDGE | verdicts.UNSTEADY_LINKS
    if bounds.do_agents_carry:
        kinds_of_fault |= _OF_AGENT
    return any(
        item.kind in kinds_of_fault
        and item.begins_at <= ended_at
        and item.ends_at >= began_at - bounds.calm_s
        for item in facts.disturbances
    )


def _was_away(
    facts: seen.Facts, entry: str, at: float, bounds: verdicts.Bounds
) -> bool:
    """Tell whether an entry, "" for any, did not run a short time before."""
    return any(
        item.kind in verdicts.OF_KNOWLEDGE
        and (not entry or item.entry in ("", entry))
        and item.begins_at <= at
        and item.ends_at >= at - bounds.calm_s
        for item in facts.disturbances
    )


def _check_retries(
    facts: seen.Facts, bounds: verdicts.Bounds
) -> verdicts.Verdict:
    """Count arrivals beyond the first of each request, by service.

    Requests count in a window and in the one before it, as retries of those
    that came just before fall into this one.
    """
    failures = []
    for service in (kinds.ENGINES, kinds.PLAIN):
        runs = [run for run in facts.runs if run.service == service]
        firsts: dict[str, float] = {}
        repeats = []
        for run in sorted(runs, key=lambda item: item.at):
            if run.request_id in firsts:
                repeats.append(run.at)
            firsts.setdefault(run.request_id, run.at)
        for at in repeats:
            window = (at - bounds.retry_window_s, at)
            count = sum(window[0] < other <= at for other in repeats)
            asked = sum(
                window[0] - bounds.retry_window_s < first <= at
                for first in firsts.values()
            )
            if count > bounds.retry_ratio * asked + bounds.retry_slack:
                failures.append(f"{service}: {count} repeats at {at:.1f} s")
    return verdicts.judge(
        "repeats keep to their budget", len(facts.runs), failures
    )


def _check_endings(facts: seen.Facts) -> verdicts.Verdict:
    failures = (
        f"{item.program} with {item.code} at {item.at:.1f} s"
        for item in facts.endings
    )
    tested = len(facts.most_memory_mb)
    return verdicts.judge("no program ends by itself", tested, failures)


def _check_memory(
    facts: seen.Facts, bounds: verdicts.Bounds
) -> verdicts.Verdict:
    failures = (
        f"{program}: {most:.0f} MB"
        for program, most in facts.most_memory_mb.items()
        if most > bounds.memory_mb
    )
    tested = len(facts.most_memory_mb)
    return verdicts.judge("memory is bounded", tested, failures)


def _check_served(
    facts: seen.Facts, bounds: verdicts.Bounds
) -> verdicts.Verdict:
    asked = collections.Counter(answer.kind for answer in facts.answers)
    served = {
        answer.kind
        for answer in facts.answers
        if answer.status == 200 and answer.is_whole
    }
    due = [kind for kind in asked if asked[kind] >= bounds.asked_enough]
    failures = (
        f"none of {asked[kind]} {kind}" for kind in due if kind not in served
    )
    return verdicts.judge("each kind of request is served", len(due), failures)


class _Cut(typing.NamedTuple):
    """An entry ended a connection before the answer was whole."""

    answer: seen.Answer
    """What came of the request."""
    stopped_at: typing.Optional[float]
    """When the process was told to end, None if it was not."""
    was_taken: bool
    """True when a target ran it, or an answer had begun."""

    def is_late(self) -> bool:
        """Tell whether the request was sent to an entry told to end."""
        return (
            self.stopped_at is not None
            and self.answer.sent_at > self.stopped_at + _SIGNAL_S
        )

    def describe(self) -> str:
        """Return what happened and when."""
        answer = self.answer
        stopped = ""
        if self.stopped_at is not None:
            stopped = f", SIGTERM at {self.stopped_at:.2f} s"
        return (
            f"{answer.request_id} at {answer.entry}, status {answer.status},"
            f" sent at {answer.sent_at:.2f} s, cut at"
            f" {answer.ended_at:.2f} s{stopped}"
        )


def _find_stops(facts: seen.Facts) -> dict[int, float]:
    """Return when each process was first told to end."""
    stops: dict[int, float] = {}
    for stop in facts.stops:
        stops.setdefault(stop.pid, stop.at)
    return stops


def _list_cuts(facts: seen.Facts, bounds: verdicts.Bounds) -> list[_Cut]:
    """Return what was cut by nothing but the entry itself."""
    stops = _find_stops(facts)
    ran = {run.request_id for run in facts.runs}
    cuts = [
        _Cut(
            answer,
            stops.get(answer.pid),
            answer.status != 0 or answer.request_id in ran,
        )
        for answer in facts.answers
        if answer.end == "cut"
    ]
    return [cut for cut in cuts if not _is_excused(facts, cut, bounds)]


def _is_excused(facts: seen.Facts, cut: _Cut, bounds: verdicts.Bounds) -> bool:
    answer = cut.answer
    kind = kinds.find_kind(answer.request_id)
    took_s = answer.ended_at - answer.sent_at
    if kind is not None and took_s * 1000 >= kind.deadline_ms:
        return True
    for item in facts.disturbances:
        if item.begins_at > answer.ended_at:
            continue
        if item.entry == answer.entry and item.kind in _OF_ENTRY:
            excused_until = item.ends_at
            begins_at = min(answer.sent_at, cut.stopped_at or answer.sent_at)
        elif item.entry == seen.TARGETS and (
            bounds.do_agents_carry or item.kind not in _OF_AGENT
        ):
            excused_until = item.ends_at + bounds.silent_s
            begins_at = answer.sent_at
        else:
            continue
        if excused_until >= begins_at:
            return True
    return False


def _check_taken(
    facts: seen.Facts, bounds: verdicts.Bounds
) -> verdicts.Verdict:
    """Check what was sent to entries that had been told to end."""
    stops = _find_stops(facts)
    tested = sum(
        answer.end != "not_sent"
        and answer.sent_at > stops[answer.pid] + _SIGNAL_S
        for answer in facts.answers
        if answer.pid in stops
    )
    failures = (
        cut.describe()
        for cut in _list_cuts(facts, bounds)
        if cut.is_late() and cut.was_taken
    )
    return verdicts.judge(
        "what a leaving entry takes is not cut", tested, failures
    )


def _check_final(
    facts: seen.Facts, bounds: verdicts.Bounds
) -> verdicts.Verdict:
    """Check that what an entry has read is answered to its end.

    Without a run or the head of an answer only the time shows that it was
    read: one that crosses the closing of its connection ends soon.
    """
    tested = sum(answer.end in ("answered", "cut") for answer in facts.answers)
    failures = []
    for cut in _list_cuts(facts, bounds):
        answer = cut.answer
        took_s = answer.ended_at - answer.sent_at
        was_read = bounds.are_timed and took_s > bounds.read_s
        if cut.is_late() and cut.was_taken:
            # The promise on leaving entries has it.
            continue
        if cut.stopped_at is not None and not cut.is_late():
            grace_s = bounds.grace_s * bounds.outlast_share
            if answer.ended_at >= cut.stopped_at + grace_s:
                continue
        if cut.was_taken or was_read:
            failures.append(cut.describe())
    return verdicts.judge(
        "what an entry has read is answered", tested, failures
    )


def _check_lag(facts: seen.Facts, bounds: verdicts.Bounds) -> verdicts.Verdict:
    """Check that stand-ins and callers were as quick as they pretend.

    Where their process stands still, the log is slow and time-outs of the
    programs say nothing of them.
    """
    late = [lag_s for lag_s in facts.lags_s if lag_s > bounds.lag_s]
    failures = (f"stood still for {lag_s:.1f} s" for lag_s in late)
    return verdicts.judge(
        "the soak itself keeps up", len(facts.lags_s), failures, is_timed=True
    )
