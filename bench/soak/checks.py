"""The promises that a soak checks, from what was seen."""

import bisect
import collections
from collections import abc
import itertools
import typing

from bench.soak import facts as seen
from bench.soak import kinds

__all__ = ("Bounds", "Verdict", "check_all")

_NOT_RUN: typing.Final = frozenset((408, 421, 429, 503))
"""Statuses that say that a request has not run and never will."""
_OF_ENTRY: typing.Final = frozenset(("entry_kill", "entry_pause"))
"""Faults that cut what an entry has taken."""
_OF_AGENT: typing.Final = frozenset(("agent_kill", "agent_pause"))
"""Faults that cut nothing where requests don't pass through agents."""
_OF_KNOWLEDGE: typing.Final = frozenset(
    ("entry_kill", "entry_pause", "entry_stop", "entries_stop")
)
"""Faults after which an entry may not know yet what the others do."""
_FATAL_ENDS: typing.Final = 3
"""Targets that a request may end before it is kept from the others."""
_FATAL_PART_ENDS: typing.Final = 5
"""Targets that requests with one part may end before they are kept from the
others."""
_UNSTEADY_LINKS: typing.Final = frozenset(
    ("target_link_stalls", "target_link_silent", "target_link_cut")
)
"""Faults that hold back what was sent to a target."""
_SIGNAL_S: typing.Final = 0.2
"""Time until a program knows of a signal."""
_MOST_NAMED: typing.Final = 5
"""Failures of one promise that are named."""


class Bounds(typing.NamedTuple):
    """Figures of the promises."""

    in_force_s: float = 2.0
    """Time from an acknowledgement until a version is in force."""
    calm_s: float = 3.0
    """Time after a fault from which an entry is bound again."""
    drain_s: float = 2.0
    """Time from a notice until a target gets nothing new."""
    recovery_s: float = 12.0
    """Time after the last fault in which service is back."""
    recovered_share: float = 0.25
    """Share of requests that is served then, at least."""
    retry_ratio: float = 0.2
    """Repeated arrivals for each request."""
    retry_slack: int = 58
    """Repeated arrivals in a window that are allowed besides."""
    retry_window_s: float = 10.0
    """Length of that window."""
    memory_mb: float = 150.0
    """Memory of an entry."""
    asked_enough: int = 20
    """Requests of a kind of which one is served, at least."""
    grace_s: float = 8.0
    """Time from the signal to end until a program is killed."""
    outlast_share: float = 5 / 6
    """Share of it after which a request may be cut that came before it."""
    silent_s: float = 5.0
    """Time for which kept connections that fell silent are still used."""
    read_s: float = 1.0
    """Time for which a request may lie unread in a connection that is
    closed."""
    fatal_runs: int = 3
    """Runs of a request that has ended targets, from ``calm_s`` after the
    third end on."""
    limit_window_s: float = 4.0
    """Time over which requests to a target with a limit are counted."""
    limit_factor: float = 1.5
    """Factor by which it may get more than its limit allows."""
    limit_slack: int = 5
    """Requests in such a time that are allowed besides."""
    under_way_s: float = 0.5
    """Time after an answer in which requests may arrive that were under
    way."""
    rest_requests: int = 2
    """Requests of an entry that a target may get besides while it rests."""
    preferred_s: float = 4.0
    """Time from which on a preferred entry serves as many as others did."""
    preferred_share: float = 0.75
    """Share that is served then, against the one before."""
    serving: int = 2
    """Engines of a stream's version that serve, for it to go on."""
    taken_up: int = 12
    """Streams that are taken up, from which on their share counts."""
    went_on_share: float = 0.5
    """Share of them that go on, against that of new ones that begin."""
    lag_s: float = 1.0
    """Time for which the soak's own process may stand still."""
    do_agents_carry: bool = False
    """True where requests pass through agents, so that faults of these cut
    them."""
    are_timed: bool = True
    """False leaves out the promises with a time, which a busy machine
    can't be held to."""


class Verdict(typing.NamedTuple):
    """How one promise fared."""

    promise: str
    """The promise."""
    tested: int
    """How often it was put to the test."""
    failures: tuple[str, ...]
    """What broke it, the first few."""
    is_timed: bool = False
    """True when it depends on how fast the machine is."""


def check_all(facts: seen.Facts, bounds: Bounds) -> list[Verdict]:
    """Check every promise."""
    verdicts = [
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
        _check_said_leaving(facts, bounds),
        _check_rests(facts, bounds),
        _check_preferred(facts, bounds),
        _check_software(facts),
        _check_taken_up(facts, bounds),
    ]
    return [item for item in verdicts if bounds.are_timed or not item.is_timed]


def _judge(
    promise: str,
    tested: int,
    failures: abc.Iterable[str],
    *,
    is_timed: bool = False,
) -> Verdict:
    named = tuple(itertools.islice(failures, _MOST_NAMED))
    return Verdict(promise, tested, named, is_timed)


def _runs_once(request_id: str) -> bool:
    kind = kinds.find_kind(request_id)
    return kind is not None and not kind.may_run_again


def _check_once(facts: seen.Facts) -> Verdict:
    counts = collections.Counter(
        run.request_id for run in facts.runs if _runs_once(run.request_id)
    )
    twice = (name for name, count in counts.items() if count > 1)
    return _judge("what may run once runs once", len(counts), twice)


def _check_not_run(facts: seen.Facts) -> Verdict:
    ran = {run.request_id for run in facts.runs}
    refused = [
        answer.request_id
        for answer in facts.answers
        if answer.status in _NOT_RUN and _runs_once(answer.request_id)
    ]
    untrue = (name for name in refused if name in ran)
    return _judge(
        "what is refused as not run has not run", len(refused), untrue
    )


def _check_own(facts: seen.Facts) -> Verdict:
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
    return _judge("an answer is of its own request", len(plain), foreign)


def _is_stream(answer: seen.Answer) -> bool:
    kind = kinds.find_kind(answer.request_id)
    return kind is not None and kind.is_stream


def _check_streams(facts: seen.Facts) -> Verdict:
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
    return _judge("a stream is whole and in order", len(streams), broken)


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


def _check_software(facts: seen.Facts) -> Verdict:
    """Check that each stream was written by one software version."""
    versions = _collect_software(facts)
    mixed = (
        f"{name}: {sorted(found)}"
        for name, found in versions.items()
        if len(found) > 1
    )
    several = {item.software for item in facts.servings}
    tested = len(versions) if len(several) > 1 else 0
    return _judge("a stream has events of one software version", tested, mixed)


def _check_taken_up(facts: seen.Facts, bounds: Bounds) -> Verdict:
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
    return _judge("streams that are taken up go on", len(due), failures)


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


def _check_never_back(facts: seen.Facts) -> Verdict:
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
    return _judge("a version never goes back", tested, failures)


def _is_disturbed(
    facts: seen.Facts, entry: str, begins_at: float, ends_at: float
) -> bool:
    return any(
        item.entry in ("", entry)
        and item.begins_at <= ends_at
        and item.ends_at >= begins_at
        for item in facts.disturbances
    )


def _check_in_force(facts: seen.Facts, bounds: Bounds) -> Verdict:
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
    return _judge(
        "a version is in force in time", len(due), late, is_timed=True
    )


def _check_leaving(facts: seen.Facts, bounds: Bounds) -> Verdict:
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
    return _judge(
        "a leaving target gets nothing new",
        len(acked),
        failures,
        is_timed=True,
    )


def _check_recovery(facts: seen.Facts, bounds: Bounds) -> Verdict:
    after = [
        answer.status == 200 and answer.is_whole
        for answer in facts.answers
        if answer.sent_at > facts.calm_from + bounds.recovery_s
    ]
    served = sum(after)
    is_back = served >= bounds.recovered_share * len(after) and after
    failures = () if is_back else (f"{served} of {len(after)} served",)
    return _judge("service is back", len(after), failures, is_timed=True)


def _check_fatal(
    facts: seen.Facts, bounds: Bounds, *, is_part: bool
) -> Verdict:
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
    return _judge(
        f"a {what} that ends targets is kept from others", tested, failures
    )


def _check_limits(facts: seen.Facts, bounds: Bounds) -> Verdict:
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
    return _judge("a target's limit on requests is kept", tested, failures)


def _is_limit_excused(
    facts: seen.Facts, began_at: float, ended_at: float, bounds: Bounds
) -> bool:
    """Tell whether a fault hid a limit, or held requests back."""
    kinds_of_fault = _OF_KNOWLEDGE | _UNSTEADY_LINKS
    if bounds.do_agents_carry:
        kinds_of_fault |= _OF_AGENT
    return any(
        item.kind in kinds_of_fault
        and item.begins_at <= ended_at
        and item.ends_at >= began_at - bounds.calm_s
        for item in facts.disturbances
    )


def _find_processes(
    facts: seen.Facts,
) -> abc.Mapping[str, tuple[str, int]]:
    """Return the entry and the process that each attempt was sent to."""
    return {
        answer.request_id: (answer.entry, answer.pid)
        for answer in facts.answers
    }


def _is_notice_excused(
    facts: seen.Facts, entry: str, began_at: float, ended_at: float
) -> bool:
    """Tell whether an entry did not run, or a link to targets had a fault.

    What a target says of itself is known without the log.
    """
    return any(
        (
            (item.kind in _OF_KNOWLEDGE and item.entry in ("", entry))
            or item.kind in _UNSTEADY_LINKS
        )
        and item.begins_at <= ended_at
        and item.ends_at >= began_at
        for item in facts.disturbances
    )


def _check_said_leaving(facts: seen.Facts, bounds: Bounds) -> Verdict:
    """Check that an entry that passed an answer on sends nothing more."""
    processes = _find_processes(facts)
    told: dict[tuple[str, tuple[str, int]], float] = {}
    for notice in facts.notices:
        process = processes.get(notice.request_id)
        if process is not None and not notice.rest_s:
            told.setdefault((notice.target_id, process), notice.at)
    failures = []
    for run in facts.runs:
        process = processes.get(run.request_id, ("", 0))
        told_at = told.get((run.target_id, process))
        if told_at is None or run.at <= told_at + bounds.drain_s:
            continue
        if not _is_notice_excused(facts, process[0], told_at, run.at):
            failures.append(
                f"{run.request_id} at {run.target_id},"
                f" {run.at - told_at:.1f} s after it said so to {process[0]}"
            )
    return _judge(
        "a target that says that it leaves gets nothing new",
        len(told),
        failures,
        is_timed=True,
    )


def _check_rests(facts: seen.Facts, bounds: Bounds) -> Verdict:
    """Check that targets get the rest that they ask an entry for."""
    processes = _find_processes(facts)
    arrivals = collections.defaultdict(list)
    for item in facts.arrivals:
        process = processes.get(item.request_id)
        arrivals[item.target_id, process].append(item.at)
    asked = [
        (notice, processes[notice.request_id])
        for notice in facts.notices
        if notice.rest_s and notice.request_id in processes
    ]
    failures = []
    for notice, process in asked:
        begins_at = notice.at + bounds.under_way_s
        ends_at = notice.at + notice.rest_s
        count = sum(
            begins_at < at < ends_at
            for at in arrivals[notice.target_id, process]
        )
        if count > bounds.rest_requests and not _is_notice_excused(
            facts, process[0], notice.at, ends_at
        ):
            failures.append(
                f"{notice.target_id}: {count} requests of {process[0]} in"
                f" {notice.rest_s} s of rest from {notice.at:.1f} s on"
            )
    return _judge(
        "a target gets the rest that it asks for",
        len(asked),
        failures,
        is_timed=True,
    )


def _check_preferred(facts: seen.Facts, bounds: Bounds) -> Verdict:
    """Check that as many are served while an entry gets most connections.

    Only calm spans count, in which no target begins to take less either.
    """
    tested = 0
    failures = []
    for item in facts.preferences:
        before = (item.begins_at - bounds.preferred_s, item.begins_at)
        then = (item.begins_at + bounds.preferred_s, item.ends_at)
        if _is_any_disturbed(facts, before[0] - bounds.calm_s, then[1]):
            continue
        shares = [_measure_served(facts, *span) for span in (before, then)]
        if min(count for _, count in shares) < bounds.asked_enough:
            continue
        tested += 1
        if shares[1][0] < bounds.preferred_share * shares[0][0]:
            failures.append(
                f"{item.entry}: {shares[0][0]:.2f} served before,"
                f" {shares[1][0]:.2f} then"
            )
    return _judge(
        "a preferred entry serves what all did",
        tested,
        failures,
        is_timed=True,
    )


def _is_any_disturbed(
    facts: seen.Facts, began_at: float, ended_at: float
) -> bool:
    """Tell whether any fault, or target that takes less, was in a span."""
    times = [(item.begins_at, item.ends_at) for item in facts.disturbances]
    times += [(item.begins_at, item.begins_at) for item in facts.limits]
    times += [(item.at, item.at) for item in facts.notices]
    times += [(item.at, item.at) for item in facts.fatal_runs]
    return any(
        begins_at <= ended_at and ends_at >= began_at
        for begins_at, ends_at in times
    )


def _measure_served(
    facts: seen.Facts, began_at: float, ended_at: float
) -> tuple[float, int]:
    """Return the share that is served of what is sent in a span, and all."""
    sent = [
        answer.status == 200 and answer.is_whole
        for answer in facts.answers
        if began_at <= answer.sent_at < ended_at
        and answer.end in ("answered", "cut")
    ]
    return (sum(sent) / len(sent) if sent else 0.0), len(sent)


def _was_away(
    facts: seen.Facts, entry: str, at: float, bounds: Bounds
) -> bool:
    """Tell whether an entry, "" for any, did not run a short time before."""
    return any(
        item.kind in _OF_KNOWLEDGE
        and (not entry or item.entry in ("", entry))
        and item.begins_at <= at
        and item.ends_at >= at - bounds.calm_s
        for item in facts.disturbances
    )


def _check_retries(facts: seen.Facts, bounds: Bounds) -> Verdict:
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
    return _judge("repeats keep to their budget", len(facts.runs), failures)


def _check_endings(facts: seen.Facts) -> Verdict:
    failures = (
        f"{item.program} with {item.code} at {item.at:.1f} s"
        for item in facts.endings
    )
    tested = len(facts.most_memory_mb)
    return _judge("no program ends by itself", tested, failures)


def _check_memory(facts: seen.Facts, bounds: Bounds) -> Verdict:
    failures = (
        f"{program}: {most:.0f} MB"
        for program, most in facts.most_memory_mb.items()
        if most > bounds.memory_mb
    )
    tested = len(facts.most_memory_mb)
    return _judge("memory is bounded", tested, failures)


def _check_served(facts: seen.Facts, bounds: Bounds) -> Verdict:
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
    return _judge("each kind of request is served", len(due), failures)


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


def _list_cuts(facts: seen.Facts, bounds: Bounds) -> list[_Cut]:
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


def _is_excused(facts: seen.Facts, cut: _Cut, bounds: Bounds) -> bool:
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


def _check_taken(facts: seen.Facts, bounds: Bounds) -> Verdict:
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
    return _judge("what a leaving entry takes is not cut", tested, failures)


def _check_final(facts: seen.Facts, bounds: Bounds) -> Verdict:
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
    return _judge("what an entry has read is answered", tested, failures)


def _check_lag(facts: seen.Facts, bounds: Bounds) -> Verdict:
    """Check that stand-ins and callers were as quick as they pretend.

    Where their process stands still, the log is slow and time-outs of the
    programs say nothing of them.
    """
    late = [lag_s for lag_s in facts.lags_s if lag_s > bounds.lag_s]
    failures = (f"stood still for {lag_s:.1f} s" for lag_s in late)
    return _judge(
        "the soak itself keeps up", len(facts.lags_s), failures, is_timed=True
    )
