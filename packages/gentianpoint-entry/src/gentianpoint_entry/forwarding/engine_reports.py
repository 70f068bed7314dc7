"""Encodings of engines' reports, from agents and between entries.

An agent's message names its fields. Entries pass on the reports of all
engines several times a second, and names would be most of the bytes there, so
between entries a report is a row of numbers.
"""

from collections import abc
import typing

from gentianpoint_core import deadlines
from gentianpoint_entry.forwarding import targets

__all__ = ("is_newer", "make_report", "pack_report", "unpack_report")

_UNKNOWN_MS: typing.Final = -1
"""Stands for an unknown time in a row."""
_ROW_LENGTH: typing.Final = 11
"""Least numbers in a row."""
_PACE_ROW_LENGTH: typing.Final = 13
"""Numbers in a row that ends with the pace of the engine."""
_MAX_NUMBER: typing.Final = 1 << 62
"""Largest number of a report, positive or negative; arithmetic with larger
ones can fail."""


_NUMBER_FIELDS: typing.Final = (
    "age_ms",
    "running",
    "waiting",
    "used_tokens",
    "total_tokens",
    "leaves_in_ms",
    "unread_tokens",
    "born_ms",
    "run",
    "number",
)
"""Fields with numbers in an agent's message."""
_PACE_FIELDS: typing.Final = ("step_us", "prefill_us_per_k")
"""Fields with the pace of the engine, which may be absent."""


def make_report(
    message: abc.Mapping[str, typing.Any], now: float
) -> targets.EngineReport:
    """Return the report in an agent's message that arrived at ``now``.

    Raises OverflowError if a number is out of range.
    """
    _check_range([message[name] for name in _NUMBER_FIELDS])
    _check_range([message.get(name, 0) for name in _PACE_FIELDS])
    sampled_at = now - message["age_ms"] / 1000
    return targets.EngineReport(
        sampled_at=sampled_at,
        running=message["running"],
        waiting=message["waiting"],
        used_tokens=message["used_tokens"],
        total_tokens=message["total_tokens"],
        is_leaving=message["leaving"],
        leaves_at=_make_deadline(message["leaves_in_ms"], now),
        is_silent=message["silent"],
        pending_prefill_tokens=message["unread_tokens"],
        started_ms=message["born_ms"],
        agent_run=message["run"],
        sequence_number=message["number"],
        step_us=message.get("step_us", 0),
        prefill_us_per_k=message.get("prefill_us_per_k", 0),
    )


def pack_report(report: targets.EngineReport, now: float) -> list[int]:
    """Return the row of a report that is sent at ``now``."""
    leaves_in_ms = _UNKNOWN_MS
    if report.leaves_at is not None:
        leaves_in_ms = max(0, round((report.leaves_at.at - now) * 1000))
    return [
        report.agent_run,
        report.sequence_number,
        max(0, round((now - report.sampled_at) * 1000)),
        report.running,
        report.waiting,
        report.used_tokens,
        report.total_tokens,
        report.pending_prefill_tokens,
        report.started_ms,
        report.is_leaving + 2 * report.is_silent,
        leaves_in_ms,
        report.step_us,
        report.prefill_us_per_k,
    ]


def unpack_report(
    row: abc.Sequence[int], now: float
) -> typing.Optional[targets.EngineReport]:
    """Return the report in a row that was sent at ``now``, by this clock.

    None if the row is too short. Later versions may send longer rows; the
    additional numbers are ignored. Raises OverflowError if a number is out of
    range.
    """
    if len(row) < _ROW_LENGTH:
        return None
    _check_range(row[:_PACE_ROW_LENGTH])
    has_pace = len(row) >= _PACE_ROW_LENGTH
    return targets.EngineReport(
        agent_run=row[0],
        sequence_number=row[1],
        sampled_at=now - row[2] / 1000,
        running=row[3],
        waiting=row[4],
        used_tokens=row[5],
        total_tokens=row[6],
        pending_prefill_tokens=row[7],
        started_ms=row[8],
        is_leaving=bool(row[9] & 1),
        is_silent=bool(row[9] & 2),
        leaves_at=_make_deadline(row[10], now),
        step_us=row[11] if has_pace else 0,
        prefill_us_per_k=row[12] if has_pace else 0,
    )


def is_newer(
    report: targets.EngineReport,
    known: typing.Optional[targets.EngineReport],
) -> bool:
    """Tell whether a report was made after the one that is known.

    Reports of one run of an agent are compared by their sequence numbers;
    those of two runs by the time at which the engine was queried, whichever
    way they arrived.
    """
    if known is None:
        return True
    if report.agent_run == known.agent_run:
        return report.sequence_number > known.sequence_number
    return report.sampled_at > known.sampled_at


def _check_range(numbers: abc.Sequence[int]) -> None:
    if min(numbers) < -_MAX_NUMBER or max(numbers) > _MAX_NUMBER:
        raise OverflowError("a number of the report is out of range")


def _make_deadline(
    leaves_in_ms: int, now: float
) -> typing.Optional[deadlines.Deadline]:
    if leaves_in_ms < 0:
        return None
    return deadlines.Deadline(now + leaves_in_ms / 1000)
