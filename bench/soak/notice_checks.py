"""Promises on targets that ask for less work, and on entries that get most."""

import collections
from collections import abc

from bench.soak import facts as seen
from bench.soak import verdicts

__all__ = ("check_preferred", "check_rests", "check_said_leaving")


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
            (item.kind in verdicts.OF_KNOWLEDGE and item.entry in ("", entry))
            or item.kind in verdicts.UNSTEADY_LINKS
        )
        and item.begins_at <= ended_at
        and item.ends_at >= began_at
        for item in facts.disturbances
    )


def check_said_leaving(
    facts: seen.Facts, bounds: verdicts.Bounds
) -> verdicts.Verdict:
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
    return verdicts.judge(
        "a target that says that it leaves gets nothing new",
        len(told),
        failures,
        is_timed=True,
    )


def check_rests(
    facts: seen.Facts, bounds: verdicts.Bounds
) -> verdicts.Verdict:
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
    return verdicts.judge(
        "a target gets the rest that it asks for",
        len(asked),
        failures,
        is_timed=True,
    )


def check_preferred(
    facts: seen.Facts, bounds: verdicts.Bounds
) -> verdicts.Verdict:
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
    return verdicts.judge(
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
