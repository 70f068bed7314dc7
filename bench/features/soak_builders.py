"""What a soak has seen, written down by hand."""

import typing

from bench.soak import facts as seen

__all__ = ()

_ENTRY: typing.Final = "entry-0"
_PID: typing.Final = 7
_TARGET: typing.Final = "i-1-1"
_CHANGED_AT: typing.Final = 20.0
_STOPPED_AT: typing.Final = 12.0
_CALM_FROM: typing.Final = 40.0


def make_stream(
    request_id: str, places: typing.Sequence[int], most: int
) -> bytes:
    """Return the events of a stream, with these numbers."""
    return b"".join(
        f"id: {place}\ndata: {request_id}/{place}/{most}\n\n".encode()
        for place in places
    )


def make_answer(
    request_id: str,
    body: bytes,
    *,
    status: int = 200,
    is_whole: bool = True,
    sent_at: float = 10.0,
) -> seen.Answer:
    """Return what a caller got."""
    kind = request_id.partition("-")[0]
    return seen.Answer(request_id, kind, sent_at, status, body, is_whole)


def make_run(
    request_id: str, at: float = 10.0, after_event: int = 0
) -> seen.Run:
    """Return a run at the one target."""
    return seen.Run(request_id, "plain", _TARGET, at, after_event)


def make_probe(
    version: int, sent_at: float, *, is_in_force: bool, pid: int = _PID
) -> seen.Probe:
    """Return a probe of the one entry."""
    return seen.Probe(
        _ENTRY, pid, version, sent_at, sent_at + 0.01, is_in_force
    )


def make_facts() -> seen.Facts:
    """Return what was seen where every promise was kept."""
    facts = seen.Facts()
    facts.runs.extend([make_run("lookup-1"), make_run("report-1")])
    facts.answers.extend(
        [
            make_answer("lookup-1", b"lookup-1"),
            make_answer("report-1", make_stream("report-1", (1, 2, 3), 3)),
            make_answer("lookup-2", b"busy", status=503),
            make_answer("status-9", b"status-9", sent_at=_CALM_FROM + 13),
        ]
    )
    facts.changes.append(seen.Change(1, _CHANGED_AT))
    facts.probes.append(make_probe(1, _CHANGED_AT + 1, is_in_force=True))
    facts.most_memory_mb[_ENTRY] = 90.0
    facts.calm_from = _CALM_FROM
    return facts


def _add_stream(
    facts: seen.Facts, places: typing.Sequence[int], *, is_whole: bool = True
) -> None:
    body = make_stream("tag-5", places, 3)
    facts.answers.append(make_answer("tag-5", body, is_whole=is_whole))


def _add_versions(
    facts: seen.Facts, *softwares: str, went_on: bool = True, count: int = 1
) -> None:
    """Let streams break off and be taken up, while versions serve.

    Event 1 of each is of the first version, event 2 of the second one.
    """
    for number in range(3):
        for software in set(softwares):
            facts.servings.append(
                seen.Serving(f"i-{number}-{software}", software, 0.0, 99.0)
            )
    facts.answers.append(
        make_answer("tag-1-1", make_stream("tag-1-1", (1,), 1))
    )
    for number in range(count):
        first = make_answer(
            f"tag-2-{number}",
            f"id: 1\ndata: tag-2-{number}/1/2/{softwares[0]}\n\n".encode(),
            is_whole=False,
        )
        second = make_answer(
            f"tag-2-{number}x",
            f"id: 2\ndata: tag-2-{number}/2/2/{softwares[-1]}\n\n".encode(),
        )
        if not went_on:
            second = second._replace(status=503, body=b"")
        facts.answers.extend(
            (
                first._replace(end="given_up"),
                second._replace(stream_id=f"tag-2-{number}", after_event=1),
            )
        )


def _add_missing(facts: seen.Facts, after_s: float, pid: int = 8) -> None:
    """Let version 2 be missing some time after it was acknowledged."""
    facts.changes.append(seen.Change(2, 30.0))
    facts.probes.append(
        make_probe(2, 30 + after_s, is_in_force=False, pid=pid)
    )


def _add_late_run(facts: seen.Facts, after_s: float) -> None:
    facts.leavings.append(seen.Leaving(_TARGET, 30.0))
    facts.runs.append(make_run("status-6", 30 + after_s))


def _add_repeats(facts: seen.Facts) -> None:
    for number in range(100):
        at = 10 + number / 100
        facts.runs.append(make_run(f"status-{number}", at))
        facts.runs.append(make_run(f"status-{number}", at))


def _add_foreign_event(facts: seen.Facts) -> None:
    body = make_stream("tag-5", (1,), 2) + make_stream("tag-6", (2,), 2)
    facts.answers.append(make_answer("tag-5", body))


def _refuse_tags(facts: seen.Facts) -> None:
    for number in range(20):
        refusal = make_answer(f"tag-{number}", b"busy", status=503)
        facts.answers.append(refusal)


def _stand_still(facts: seen.Facts) -> None:
    facts.lags_s.append(1.1)


def _add_cut(
    facts: seen.Facts,
    sent_after_s: float,
    cut_after_s: float,
    *,
    status: int = 200,
    pid: int = _PID,
    kind: str = "",
) -> None:
    """Let a report be cut, at times after SIGTERM of the one process.

    With a fault's ``kind``, that comes 3.5 s after SIGTERM for half a second.
    """
    facts.stops.append(seen.Stop(_ENTRY, _PID, _STOPPED_AT))
    body = make_stream("report-7", (1,), 3) if status else b""
    sent_at = _STOPPED_AT + sent_after_s
    answer = make_answer(
        "report-7", body, status=status, is_whole=False, sent_at=sent_at
    )
    facts.answers.append(
        answer._replace(
            entry=_ENTRY,
            pid=pid,
            ended_at=_STOPPED_AT + cut_after_s,
            end="cut",
        )
    )
    if kind:
        concerned = _ENTRY if kind.startswith("entry") else seen.TARGETS
        begins_at = _STOPPED_AT + 3.5
        facts.disturbances.append(
            seen.Disturbance(concerned, kind, begins_at, begins_at + 0.5)
        )


def _add_headless(facts: seen.Facts) -> None:
    _add_cut(facts, 2.0, 2.1, status=0)
    facts.runs.append(make_run("report-7", _STOPPED_AT + 2))


def _add_unanswered(facts: seen.Facts) -> None:
    _add_cut(facts, 2.0, 2.1, status=0, pid=8)
    facts.runs.append(make_run("report-7", _STOPPED_AT + 2))


def _add_refusal(facts: seen.Facts) -> None:
    facts.stops.append(seen.Stop(_ENTRY, _PID, _STOPPED_AT))
    refusal = make_answer(
        "report-7", b"leaving", status=503, sent_at=_STOPPED_AT + 2
    )
    facts.answers.append(refusal._replace(entry=_ENTRY, pid=_PID))


def _add_fatal_runs(
    facts: seen.Facts,
    late_s: float,
    late_count: int,
    started_s: float = 99.0,
    *,
    name: str = "1",
    ends: int = 3,
) -> None:
    """Let a request end some targets, and more of them some time later.

    All late attempts go to the one entry, which started ``started_s`` before.
    """
    last_at = _CALM_FROM
    times = [last_at] * ends + [last_at + late_s] * late_count
    for number, at in enumerate(times):
        request_id = f"tag-20-fatal-{name}-{number}"
        facts.fatal_calls.append(seen.FatalCall(request_id, _ENTRY, at))
        facts.fatal_runs.append(
            seen.FatalRun(f"tag-{name}", request_id, _TARGET, at)
        )
    started_at = last_at + late_s - started_s
    facts.disturbances.append(
        seen.Disturbance(_ENTRY, "entry_kill", started_at, started_at)
    )


def _add_limit(
    facts: seen.Facts,
    count: int,
    *,
    within_s: float = 3.9,
    after_s: float = 3.1,
    started_s: float = 99.0,
) -> None:
    """Let a target name a limit of 2, and ``count`` requests reach it.

    They begin ``after_s`` after it named the limit and ``started_s`` after
    an entry started.
    """
    named_at = 30.0
    facts.limits.append(seen.NamedLimit(_TARGET, 2.0, named_at, 60.0))
    first_at = named_at + after_s
    step_s = within_s / (count - 1)
    facts.arrivals.extend(
        seen.Arrival(_TARGET, first_at + number * step_s)
        for number in range(count)
    )
    started_at = first_at - started_s
    facts.disturbances.append(
        seen.Disturbance(_ENTRY, "entry_kill", started_at, started_at)
    )


def _make_sent(
    request_id: str, sent_at: float, pid: int = _PID
) -> seen.Answer:
    """Return the answer to a request that was sent to the one entry."""
    answer = make_answer(request_id, request_id.encode(), sent_at=sent_at)
    return answer._replace(entry=_ENTRY, pid=pid)


def _add_told(
    facts: seen.Facts,
    after_s: float,
    *,
    pid: int = _PID,
    was_killed: bool = False,
) -> None:
    """Let a request reach a target after it said that it leaves."""
    told_at = 30.0
    facts.answers.append(_make_sent("lookup-7", told_at))
    facts.answers.append(_make_sent("lookup-8", told_at + after_s, pid))
    facts.notices.append(seen.Notice(_TARGET, "lookup-7", told_at, 0.0))
    facts.runs.append(make_run("lookup-8", told_at + after_s))
    if was_killed:
        facts.disturbances.append(
            seen.Disturbance(_ENTRY, "entry_kill", told_at + 1, told_at + 1)
        )


def _add_rest(facts: seen.Facts, count: int, after_s: float) -> None:
    """Let requests reach a target that has asked for 3 s of rest."""
    asked_at = 30.0
    facts.answers.append(_make_sent("lookup-7", asked_at))
    facts.notices.append(seen.Notice(_TARGET, "lookup-7", asked_at, 3.0))
    for number in range(count):
        name = f"lookup-1{number}"
        facts.answers.append(_make_sent(name, asked_at + after_s))
        facts.arrivals.append(seen.Arrival(_TARGET, asked_at + after_s, name))


def _add_preferred(facts: seen.Facts, served: int) -> None:
    """Let an entry be preferred, and serve ``served`` of 20 requests."""
    begins_at = 40.0
    facts.preferences.append(
        seen.Preference(_ENTRY, begins_at, begins_at + 8.0)
    )
    for number in range(20):
        facts.answers.append(_make_sent(f"lookup-2{number}", begins_at - 1))
        answer = _make_sent(f"lookup-3{number}", begins_at + 5)
        if number >= served:
            answer = answer._replace(status=503, body=b"busy")
        facts.answers.append(answer)


def _lose_service(facts: seen.Facts) -> None:
    facts.answers[-1] = facts.answers[-1]._replace(status=0, body=b"")


def _end_by_itself(facts: seen.Facts) -> None:
    facts.endings.append(seen.Ending(_ENTRY, 12.0, 1))


def _take_memory(facts: seen.Facts) -> None:
    facts.most_memory_mb[_ENTRY] = 151.0


def _disturb_and_miss(facts: seen.Facts) -> None:
    facts.disturbances.append(seen.Disturbance("", "log_silent", 30.0, 31.0))
    _add_missing(facts, 3.9)


def _add_behind(facts: seen.Facts) -> None:
    """Let the process that had version 1 answer by an older one."""
    facts.probes.append(make_probe(1, _CHANGED_AT + 1.5, is_in_force=False))


PLANTS: typing.Final[dict[str, typing.Callable[[seen.Facts], None]]] = {
    "a lookup that runs twice": lambda facts: facts.runs.append(
        make_run("lookup-1", 10.5)
    ),
    "a report that goes on after event 3 in a new run": (
        lambda facts: facts.runs.append(make_run("report-1", 10.5, 3))
    ),
    "a lookup that runs after it was refused": (
        lambda facts: facts.runs.append(make_run("lookup-2"))
    ),
    "a run 2.1 s after a target said to its entry that it leaves": (
        lambda facts: _add_told(facts, 2.1)
    ),
    "a run 1.9 s after a target said to its entry that it leaves": (
        lambda facts: _add_told(facts, 1.9)
    ),
    "a run 2.1 s after a target said so to an earlier start of its entry": (
        lambda facts: _add_told(facts, 2.1, pid=_PID + 1)
    ),
    "a run 2.1 s after a target said so to its entry, killed meanwhile": (
        lambda facts: _add_told(facts, 2.1, was_killed=True)
    ),
    "3 requests 0.6 s after a target asked for rest": (
        lambda facts: _add_rest(facts, 3, 0.6)
    ),
    "2 requests 0.6 s after a target asked for rest": (
        lambda facts: _add_rest(facts, 2, 0.6)
    ),
    "3 requests 0.4 s after a target asked for rest": (
        lambda facts: _add_rest(facts, 3, 0.4)
    ),
    "3 requests 3.1 s after a target asked for rest": (
        lambda facts: _add_rest(facts, 3, 3.1)
    ),
    "a preferred entry that serves 14 of 20": (
        lambda facts: _add_preferred(facts, 14)
    ),
    "a preferred entry that serves 15 of 20": (
        lambda facts: _add_preferred(facts, 15)
    ),
    "a status with the answer of another": lambda facts: facts.answers.append(
        make_answer("status-3", b"status-4")
    ),
    "a stream of two software versions": (
        lambda facts: _add_versions(facts, "v1", "v2")
    ),
    "a stream of one version beside another": (
        lambda facts: _add_versions(facts, "v1", "v1")
    ),
    "12 streams of which none goes on": (
        lambda facts: _add_versions(facts, "v1", went_on=False, count=12)
    ),
    "11 streams of which none goes on": (
        lambda facts: _add_versions(facts, "v1", went_on=False, count=11)
    ),
    "a stream that lacks event 2": lambda facts: _add_stream(facts, (1, 3)),
    "a stream that has event 2 twice": (
        lambda facts: _add_stream(facts, (1, 2, 2, 3))
    ),
    "a stream that ends as complete after event 2 of 3": (
        lambda facts: _add_stream(facts, (1, 2))
    ),
    "a stream with an event of another": _add_foreign_event,
    "a version that is older than one before": _add_behind,
    "a key that a version before had taken away": _add_behind,
    "an entry that ends by itself": _end_by_itself,
    "an entry with 151 MB": _take_memory,
    "a version that is missing after 2.1 s": (
        lambda facts: _add_missing(facts, 2.1)
    ),
    "a run 2.1 s after the target's notice": (
        lambda facts: _add_late_run(facts, 2.1)
    ),
    "a service that never comes back": _lose_service,
    "tags of which none is served": _refuse_tags,
    "a second in which the soak stood still": _stand_still,
    "100 repeats within a second": _add_repeats,
    "a status that runs twice": lambda facts: facts.runs.extend(
        [make_run("status-7"), make_run("status-7", 10.2)]
    ),
    "a report cut that was sent 2 s after SIGTERM": (
        lambda facts: _add_cut(facts, 2.0, 4.0)
    ),
    "a report without a head that ran, sent 2 s after SIGTERM": _add_headless,
    "a report cut 6 s after SIGTERM, sent before it": (
        lambda facts: _add_cut(facts, -1.0, 6.0)
    ),
    "a report cut by an entry that stays": (
        lambda facts: _add_cut(facts, 2.0, 4.0, pid=8)
    ),
    "a report that ran and got no answer": _add_unanswered,
    "a connection closed 1.1 s after a request": (
        lambda facts: _add_cut(facts, 2.0, 3.1, status=0)
    ),
    "a stream that breaks off as its target ends": (
        lambda facts: _add_cut(facts, 2.0, 4.0, kind="target_kill")
    ),
    "a stream that breaks off as its entry is killed": (
        lambda facts: _add_cut(facts, 2.0, 4.0, kind="entry_kill")
    ),
    "a report cut 7 s after SIGTERM, sent before it": (
        lambda facts: _add_cut(facts, -1.0, 7.0)
    ),
    "a report cut at an entry paused as it was leaving": (
        lambda facts: _add_cut(facts, 6.0, 8.0, kind="entry_pause")
    ),
    "a report refused 2 s after SIGTERM": _add_refusal,
    "a report cut at its deadline": (
        lambda facts: _add_cut(facts, 2.0, 14.0, pid=8)
    ),
    "a connection closed 0.9 s after a request": (
        lambda facts: _add_cut(facts, 2.0, 2.9, status=0)
    ),
    "a version that is missing after 1.9 s": (
        lambda facts: _add_missing(facts, 1.9)
    ),
    "a version that is missing 2.9 s after a fault": _disturb_and_miss,
    "a version that is missing at an entry that started again": (
        lambda facts: facts.probes.append(
            make_probe(1, _CHANGED_AT + 1.5, is_in_force=False, pid=8)
        )
    ),
    "a run 1.9 s after the target's notice": (
        lambda facts: _add_late_run(facts, 1.9)
    ),
    "a target with a limit of 2 that gets 18 in 4 s,"
    " 3.1 s after it named it": (lambda facts: _add_limit(facts, 18)),
    "a target with a limit of 2 that gets 17 in 4 s,"
    " 3.1 s after it named it": (lambda facts: _add_limit(facts, 17)),
    "a target with a limit of 2 that gets 18 in 4 s, 1 s after it named it": (
        lambda facts: _add_limit(facts, 18, after_s=1.0)
    ),
    "a target with a limit of 2 that gets 18 in 4 s, 3.2 s after an entry"
    " started": lambda facts: _add_limit(
        facts, 18, after_s=10.0, started_s=3.2
    ),
    "a target with a limit of 2 that gets 18 in 4 s, 2.9 s after an entry"
    " started": lambda facts: _add_limit(
        facts, 18, after_s=10.0, started_s=-1.0
    ),
    "a target with a limit of 2 that gets 18 in 4.2 s": (
        lambda facts: _add_limit(facts, 18, within_s=4.3)
    ),
    "a request that ends 4 more targets 3.1 s after the third": (
        lambda facts: _add_fatal_runs(facts, 3.1, 4)
    ),
    "a request that ends 3 more targets 3.1 s after the third": (
        lambda facts: _add_fatal_runs(facts, 3.1, 3)
    ),
    "a request that ends 4 more targets 2.9 s after the third": (
        lambda facts: _add_fatal_runs(facts, 2.9, 4)
    ),
    "a request that ends 4 more targets 3.1 s after the third,"
    " 2.9 s after its entry started": (
        lambda facts: _add_fatal_runs(facts, 3.1, 4, 2.9)
    ),
    "a part that ends 4 more targets 3.1 s after the fifth": (
        lambda facts: _add_fatal_runs(facts, 3.1, 4, name="part.1", ends=5)
    ),
    "a part that ends 3 more targets 3.1 s after the fifth": (
        lambda facts: _add_fatal_runs(facts, 3.1, 3, name="part.1", ends=5)
    ),
    "a part that ends 4 more targets 2.9 s after the fifth": (
        lambda facts: _add_fatal_runs(facts, 2.9, 4, name="part.1", ends=5)
    ),
}
"""What is seen besides, by its name."""
