"""Classifies requests by how they ended, from log lines.

When many callers complain, the timeline of a single request does not explain
enough. This module counts all requests: those answered in time and, for the
others, the reason, as far as the log lines of entries and agents show it.
Each request is counted under exactly one cause, the first that applies.
"""

import collections
from collections import abc
import typing

from gentianpoint_entry import log_lines

__all__ = (
    "Cause",
    "ClassifiedRequest",
    "LeavingCounts",
    "classify_requests",
    "count_causes",
    "count_leaving",
    "find_causes",
    "format_leaving_table",
    "format_table",
)

_ANSWERED: typing.Final = "answered"
_PROMPT_TOKENS_PER_OUTPUT_TOKEN: typing.Final = 10.0
"""Prompt tokens that take an engine as much work as one output token."""
_TIMEOUT_OUTCOMES: typing.Final = frozenset(("refused_504", "timeout"))


class Cause:
    """How a request ended, in the words that the tables show."""

    IN_TIME: typing.Final = "in time"
    UNFINISHED: typing.Final = "unfinished when its entry ended"
    ENTRY_STOPPED: typing.Final = "entry stopped"
    ACCEPTED_LEAVING: typing.Final = "entry stopped, accepted too late"
    """The entry accepted it after it had been told to stop."""
    REFUSED_LEAVING: typing.Final = "refused, entry was leaving"
    CALLER_LEFT: typing.Final = "caller left"
    TARGET_LEAVING: typing.Final = "broken off, target was leaving"
    TARGET_LOST: typing.Final = "broken off, target lost"
    SERVER_ERROR: typing.Final = "server error from the target"
    NO_RETRY: typing.Final = "refused, retry budget spent"
    NO_ROOM: typing.Final = "refused, no room at targets"
    REFUSED: typing.Final = "refused"
    LOST_ANSWER: typing.Final = "answer from the target lost"
    TIMED_OUT: typing.Final = "timed out"
    LATE_MOVE: typing.Final = "late, paused during a move"
    LATE_PAUSE: typing.Final = "late, paused"
    LATE_AFTER_FAILURE: typing.Final = "late, after a failed attempt"
    LATE_ROOM: typing.Final = "late, waited for room"
    LATE_START: typing.Final = "late, waited for the target"


class LeavingCounts(typing.NamedTuple):
    """Requests that reached entries which had been told to stop."""

    taken: int = 0
    """Requests that were accepted."""
    broken_off: int = 0
    """Accepted requests that were unfinished when their entry stopped."""
    refused: int = 0
    """Requests that were refused without being run."""


class ClassifiedRequest(typing.NamedTuple):
    """How one request ended at one entry."""

    route: str
    """Name of its route."""
    cause: str
    """One of the values of ``Cause``."""
    size: typing.Optional[float]
    """Work for an engine, in prompt tokens; None if the log has no size."""


class _Request:
    """The log lines of one request at one entry."""

    def __init__(self, name: str, host: str) -> None:
        self.name: typing.Final = name
        self.host: typing.Final = host
        self.route = "?"
        self.events: typing.Final[list[log_lines.Line]] = []

    def find(self, event: str) -> typing.Optional[log_lines.Line]:
        for line in self.events:
            if line.fields["event"] == event:
                return line
        return None


def count_causes(
    texts: abc.Iterable[str],
) -> abc.Mapping[str, abc.Mapping[str, int]]:
    """Return the number of requests by route and cause.

    Lines may come from several processes and be in any order.
    """
    counts: dict[str, collections.Counter[str]] = {}
    for request, cause in _pair_with_causes(log_lines.parse_sorted(texts)):
        counts.setdefault(request.route, collections.Counter())[cause] += 1
    return counts


def classify_requests(
    texts: abc.Iterable[str],
) -> abc.Sequence[ClassifiedRequest]:
    """Return how each request ended; lines may be in any order."""
    return [
        ClassifiedRequest(request.route, cause, _estimate_size(request))
        for request, cause in _pair_with_causes(log_lines.parse_sorted(texts))
    ]


def _estimate_size(request: _Request) -> typing.Optional[float]:
    """Return the size that the entry assumed when it sent the request."""
    sent = request.find("request_sent")
    if sent is None or "prompt_tokens" not in sent.fields:
        return None
    prompt = float(sent.fields["prompt_tokens"])
    output = float(sent.fields.get("likely_output_tokens") or 0)
    return prompt + _PROMPT_TOKENS_PER_OUTPUT_TOKEN * output


def find_causes(
    lines: abc.Sequence[log_lines.Line], name: str
) -> abc.Sequence[tuple[str, str]]:
    """Return how one request ended at each entry that handled it.

    Each item is the entry's host and the cause. ``lines`` must be sorted by
    time.
    """
    return [
        (request.host, cause)
        for request, cause in _pair_with_causes(lines)
        if request.name == name
    ]


def count_leaving(
    texts: abc.Iterable[str],
) -> abc.Mapping[str, LeavingCounts]:
    """Return what entries that had been told to stop did, by route."""
    counts: dict[str, LeavingCounts] = {}
    for request, cause in _pair_with_causes(log_lines.parse_sorted(texts)):
        decision = request.find("leaving_decision")
        if decision is None:
            continue
        updated = counts.get(request.route, LeavingCounts())
        if decision.fields.get("is_taken"):
            is_broken_off = cause == Cause.ACCEPTED_LEAVING
            updated = updated._replace(
                taken=updated.taken + 1,
                broken_off=updated.broken_off + is_broken_off,
            )
        else:
            updated = updated._replace(refused=updated.refused + 1)
        counts[request.route] = updated
    return counts


def _pair_with_causes(
    lines: abc.Sequence[log_lines.Line],
) -> abc.Iterator[tuple[_Request, str]]:
    leaving = {
        str(line.fields.get("target"))
        for line in lines
        if line.fields["event"] == "target_leaving"
    }
    for request in _group_by_request(lines):
        yield request, _find_cause(request, leaving)


def _group_by_request(
    lines: abc.Sequence[log_lines.Line],
) -> abc.Iterable[_Request]:
    found: dict[tuple[str, str], _Request] = {}
    for line in lines:
        name = line.fields.get("request")
        if not name:
            continue
        key = (str(line.fields.get("host", "")), str(name))
        request = found.setdefault(key, _Request(key[1], key[0]))
        request.events.append(line)
        request.route = str(line.fields.get("route") or request.route)
    return found.values()


def _find_cause(request: _Request, leaving: abc.Collection[str]) -> str:
    end = request.find("request_ended")
    if end is None:
        return Cause.UNFINISHED
    outcome = str(end.fields.get("outcome", ""))
    if outcome == "entry_stopped":
        was_leaving = request.find("leaving_decision") is not None
        return Cause.ACCEPTED_LEAVING if was_leaving else Cause.ENTRY_STOPPED
    if outcome == "refused_leaving":
        return Cause.REFUSED_LEAVING
    if outcome == "caller_left":
        return Cause.CALLER_LEFT
    if outcome in _TIMEOUT_OUTCOMES:
        return Cause.TIMED_OUT
    if outcome == "broken_off":
        is_leaving = _find_last_target(request) in leaving
        return Cause.TARGET_LEAVING if is_leaving else Cause.TARGET_LOST
    if outcome == _ANSWERED:
        return _find_cause_of_answered(request, end)
    if outcome == "refused_502":
        # The target may have run it, whether or not retries were left.
        return Cause.LOST_ANSWER
    if request.find("room_refused") is not None:
        return Cause.NO_ROOM
    if request.find("retry_budget_spent") is not None:
        return Cause.NO_RETRY
    waited = request.find("room_wait_began") is not None
    if waited and request.find("request_sent") is None:
        # Its time was over, or its entry ended, while it waited.
        return Cause.NO_ROOM
    return Cause.REFUSED


def _find_last_target(request: _Request) -> str:
    for line in reversed(request.events):
        if line.fields["event"] in ("request_sent", "generation_moved"):
            return str(line.fields.get("target", ""))
    return ""


def _find_cause_of_answered(request: _Request, end: log_lines.Line) -> str:
    if int(end.fields.get("status") or 0) >= 500:
        return Cause.SERVER_ERROR
    if not end.fields.get("late"):
        return Cause.IN_TIME
    if end.fields.get("late") == "pause":
        moved = request.find("generation_moved")
        return Cause.LATE_PAUSE if moved is None else Cause.LATE_MOVE
    if request.find("attempt_failed") is not None:
        return Cause.LATE_AFTER_FAILURE
    if request.find("room_wait_ended") is not None:
        return Cause.LATE_ROOM
    return Cause.LATE_START


def format_table(
    counts: abc.Mapping[str, abc.Mapping[str, int]],
    losses: typing.Optional[abc.Mapping[str, abc.Mapping[str, float]]] = None,
) -> abc.Sequence[str]:
    """Return the lines of a table, the most frequent causes first.

    ``losses`` adds a column: the share of all value that a cause lost.
    """
    table = []
    for route, causes in sorted(counts.items()):
        total = sum(causes.values())
        ranked = sorted(causes.items(), key=lambda item: (-item[1], item[0]))
        for cause, number in ranked:
            row = f"{route:24} {cause:32} {number:7} {number / total:6.1%}"
            lost = (losses or {}).get(route, {}).get(cause)
            table.append(row if lost is None else f"{row} {lost:7.2%}")
    return table


def format_leaving_table(
    counts: abc.Mapping[str, LeavingCounts],
) -> abc.Sequence[str]:
    """Return the lines of a table with a header; none without counts."""
    if not counts:
        return []
    head = f"{'at leaving entries':24}" + "".join(
        f" {name:>10}" for name in ("taken", "broken off", "refused")
    )
    return [
        head,
        *(
            f"{route:24} {row.taken:10} {row.broken_off:10} {row.refused:10}"
            for route, row in sorted(counts.items())
        ),
    ]
