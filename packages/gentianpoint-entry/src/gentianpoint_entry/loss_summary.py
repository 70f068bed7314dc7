"""What became of all requests, by route and cause, from log lines.

A complaint of many callers is not explained by one request's way. This counts
them all: which were answered in time, and for the others what kept them from
it, as far as the lines of the entries and agents tell. Each request counts
under one cause, the first that applies.
"""

import collections
from collections import abc
import typing

from gentianpoint_entry import log_lines

__all__ = (
    "Cause",
    "JudgedRequest",
    "LeavingCounts",
    "count_causes",
    "count_leaving",
    "find_causes",
    "list_judged",
    "make_leaving_table",
    "make_table",
)

_ANSWERED: typing.Final = "answered"
_OUTPUT_WEIGHT: typing.Final = 10.0
"""Prompt tokens that keep an engine as busy as one output token."""
_OUT_OF_TIME: typing.Final = frozenset(("refused_504", "timeout"))


class Cause:
    """Names of what became of a request, as the table shows them."""

    IN_TIME: typing.Final = "in time"
    UNDER_WAY: typing.Final = "under way as its entry ended"
    ENTRY_STOPPED: typing.Final = "entry stopped"
    TAKEN_LEAVING: typing.Final = "entry stopped, taken as it left"
    REFUSED_LEAVING: typing.Final = "refused, entry about to stop"
    CALLER_LEFT: typing.Final = "caller left"
    ENGINE_LEFT: typing.Final = "broken off, target had notice"
    TARGET_LOST: typing.Final = "broken off, target lost"
    TARGET_FAILED: typing.Final = "failed by the target"
    NO_RETRY: typing.Final = "refused, no retry left"
    REFUSED: typing.Final = "refused"
    LOST_ANSWER: typing.Final = "answer of the target lost"
    NO_ANSWER: typing.Final = "no answer in its time"
    LATE_MOVE: typing.Final = "late, paused in a move"
    LATE_PAUSE: typing.Final = "late, paused"
    LATE_TRIES: typing.Final = "late, after failed tries"
    LATE_FIRST: typing.Final = "late, waited for the target"


class LeavingCounts(typing.NamedTuple):
    """What became of requests that came to entries told to stop."""

    taken: int = 0
    """Requests that were taken."""
    broken_off: int = 0
    """Requests of these that outlasted their entry."""
    refused: int = 0
    """Requests that were refused, as not run."""


class JudgedRequest(typing.NamedTuple):
    """What became of one request at one entry."""

    route: str
    """Name of its route."""
    cause: str
    """One of the causes."""
    size: typing.Optional[float]
    """What it asks of an engine, in prompt tokens; None if not told."""


class _Request:
    """The lines of one request at one entry."""

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

    Lines may be mixed, and in any order.
    """
    counts: dict[str, collections.Counter[str]] = {}
    for request, cause in _judge_requests(log_lines.sort_lines(texts)):
        counts.setdefault(request.route, collections.Counter())[cause] += 1
    return counts


def list_judged(texts: abc.Iterable[str]) -> abc.Sequence[JudgedRequest]:
    """Return what became of each request; lines may be in any order."""
    return [
        JudgedRequest(request.route, cause, _find_size(request))
        for request, cause in _judge_requests(log_lines.sort_lines(texts))
    ]


def _find_size(request: _Request) -> typing.Optional[float]:
    """Return its size as the entry knew it when it sent the request."""
    sent = request.find("request_sent")
    if sent is None or "prompt_tokens" not in sent.fields:
        return None
    prompt = float(sent.fields["prompt_tokens"])
    output = float(sent.fields.get("likely_output_tokens") or 0)
    return prompt + _OUTPUT_WEIGHT * output


def find_causes(
    lines: abc.Sequence[log_lines.Line], name: str
) -> abc.Sequence[tuple[str, str]]:
    """Return what became of one request, for each entry that had it.

    Each is the entry's host and the cause; ``lines`` are in order of time.
    """
    return [
        (request.host, cause)
        for request, cause in _judge_requests(lines)
        if request.name == name
    ]


def count_leaving(
    texts: abc.Iterable[str],
) -> abc.Mapping[str, LeavingCounts]:
    """Return what leaving entries did with requests, by route."""
    counts: dict[str, LeavingCounts] = {}
    for request, cause in _judge_requests(log_lines.sort_lines(texts)):
        decision = request.find("leaving_decision")
        if decision is None:
            continue
        known = counts.get(request.route, LeavingCounts())
        if decision.fields.get("is_taken"):
            is_broken = cause == Cause.TAKEN_LEAVING
            known = known._replace(
                taken=known.taken + 1,
                broken_off=known.broken_off + is_broken,
            )
        else:
            known = known._replace(refused=known.refused + 1)
        counts[request.route] = known
    return counts


def _judge_requests(
    lines: abc.Sequence[log_lines.Line],
) -> abc.Iterator[tuple[_Request, str]]:
    leaving = {
        str(line.fields.get("target"))
        for line in lines
        if line.fields["event"] == "target_leaving"
    }
    for request in _gather(lines):
        yield request, _find_cause(request, leaving)


def _gather(lines: abc.Sequence[log_lines.Line]) -> abc.Iterable[_Request]:
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
        return Cause.UNDER_WAY
    outcome = str(end.fields.get("outcome", ""))
    if outcome == "entry_stopped":
        was_leaving = request.find("leaving_decision") is not None
        return Cause.TAKEN_LEAVING if was_leaving else Cause.ENTRY_STOPPED
    if outcome == "refused_leaving":
        return Cause.REFUSED_LEAVING
    if outcome == "caller_left":
        return Cause.CALLER_LEFT
    if outcome in _OUT_OF_TIME:
        return Cause.NO_ANSWER
    if outcome == "broken_off":
        is_noticed = _find_last_target(request) in leaving
        return Cause.ENGINE_LEFT if is_noticed else Cause.TARGET_LOST
    if outcome == _ANSWERED:
        return _judge_answer(request, end)
    if outcome == "refused_502":
        # It may have run, with retries left or without.
        return Cause.LOST_ANSWER
    if request.find("retry_budget_spent") is not None:
        return Cause.NO_RETRY
    return Cause.REFUSED


def _find_last_target(request: _Request) -> str:
    for line in reversed(request.events):
        if line.fields["event"] in ("request_sent", "generation_moved"):
            return str(line.fields.get("target", ""))
    return ""


def _judge_answer(request: _Request, end: log_lines.Line) -> str:
    if int(end.fields.get("status") or 0) >= 500:
        return Cause.TARGET_FAILED
    if not end.fields.get("late"):
        return Cause.IN_TIME
    if end.fields.get("late") == "pause":
        moved = request.find("generation_moved")
        return Cause.LATE_PAUSE if moved is None else Cause.LATE_MOVE
    if request.find("attempt_failed") is not None:
        return Cause.LATE_TRIES
    return Cause.LATE_FIRST


def make_table(
    counts: abc.Mapping[str, abc.Mapping[str, int]],
    losses: typing.Optional[abc.Mapping[str, abc.Mapping[str, float]]] = None,
) -> abc.Sequence[str]:
    """Return the lines of a table, the most frequent causes first.

    ``losses`` adds a column: the share of all worth that a cause took.
    """
    table = []
    for route, causes in sorted(counts.items()):
        asked = sum(causes.values())
        ranked = sorted(causes.items(), key=lambda item: (-item[1], item[0]))
        for cause, number in ranked:
            row = f"{route:24} {cause:32} {number:7} {number / asked:6.1%}"
            lost = (losses or {}).get(route, {}).get(cause)
            table.append(row if lost is None else f"{row} {lost:7.2%}")
    return table


def make_leaving_table(
    counts: abc.Mapping[str, LeavingCounts],
) -> abc.Sequence[str]:
    """Return the lines of a table with its head; none without counts."""
    if not counts:
        return []
    head = f"{'at entries told to stop':24}" + "".join(
        f" {name:>10}" for name in ("taken", "broken off", "refused")
    )
    return [
        head,
        *(
            f"{route:24} {row.taken:10} {row.broken_off:10} {row.refused:10}"
            for route, row in sorted(counts.items())
        ),
    ]
