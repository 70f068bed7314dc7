"""Recordings of log events, good ones and forged ones."""

from collections import abc
import typing

from gentianpoint_core.generated import events as catalogue
from spec import replay

_HOME: typing.Final = "agent-1"
_LATER: typing.Final = "agent-1/later"
_ENTRY: typing.Final = "entry-1"
FIRST: typing.Final = "target-1~aa~1~5ec1"
SECOND: typing.Final = "target-1~aa~2~5ec2"

_Events: typing.TypeAlias = list[replay.RecordedEvent]

_NUMBERS: typing.Final = {
    value.name: value.number
    for value in vars(catalogue).values()
    if isinstance(value, catalogue.Event)
}


def make_event(
    process: str, name: str, **fields: typing.Any
) -> replay.RecordedEvent:
    """Return an event as a process logs it."""
    event = {"event": name, "number": _NUMBERS[name], "process": process}
    return typing.cast(replay.RecordedEvent, {**event, **fields})


def _agent(
    name: str, generation: str = FIRST, **fields: typing.Any
) -> replay.RecordedEvent:
    return make_event(_HOME, name, generation=generation, **fields)


def _entry(
    name: str, request: str = "r1", **fields: typing.Any
) -> replay.RecordedEvent:
    return make_event(_ENTRY, name, request=request, **fields)


def _begin() -> _Events:
    return [make_event(_HOME, "agent_started", incarnation="aa")]


def _run(generation: str = FIRST, items: int = 3) -> _Events:
    return [
        _agent("call_admitted", generation, attached=False),
        _agent("generation_started", generation),
        _agent("generation_ended", generation, items=items),
    ]


def _finish(outcome: str, **fields: typing.Any) -> replay.RecordedEvent:
    return _entry("call_finished", outcome=outcome, **fields)


def make_plain() -> _Events:
    """One request that runs once."""
    return [
        *_begin(),
        _entry("call_offered", repeatable=True, generation=""),
        *_run(),
        _finish("ok", generation=FIRST, items=3),
    ]


def make_prepared() -> _Events:
    """A billed report whose entry lost the connection and asked again."""
    return [
        *_begin(),
        _agent("call_prepared"),
        _entry("call_offered", repeatable=False, generation=FIRST),
        _agent("call_admitted", attached=False),
        _entry("call_offered", repeatable=False, generation=FIRST),
        _agent("call_admitted", attached=True),
        _agent("generation_started"),
        _agent("generation_ended", items=3),
        _finish("ok", generation=FIRST, items=3),
    ]


def make_refused() -> _Events:
    """A billed report whose start came too late, run under another one."""
    return [
        *_begin(),
        _agent("call_prepared"),
        _entry("call_offered", repeatable=False, generation=FIRST),
        _agent("call_admitted", attached=False),
        _agent("start_too_late"),
        _agent("call_refused", items=0),
        _entry("call_retried"),
        _agent("call_prepared", SECOND),
        _entry("call_offered", repeatable=False, generation=SECOND),
        *_run(SECOND),
        _finish("ok", generation=SECOND, items=3),
    ]


def make_full() -> _Events:
    """A billed report that the engine refused after it was asked."""
    return [
        *_begin(),
        _agent("call_prepared"),
        _entry("call_offered", repeatable=False, generation=FIRST),
        _agent("call_admitted", attached=False),
        _agent("generation_started"),
        _agent("call_refused", items=0),
        _finish("not_run", items=0, repeatable=False),
    ]


def make_resumed() -> _Events:
    """A stream that was cut twice and read on at its home."""
    return [
        *_begin(),
        _entry("call_offered", repeatable=True, generation=""),
        _agent("call_admitted", attached=False),
        _agent("generation_started"),
        _agent("generation_resumed", after=1),
        _entry("generation_resumed", generation=FIRST, after=1),
        _entry("generation_resumed", generation=FIRST, after=2),
        _agent("generation_ended", items=3),
        _finish("ok", generation=FIRST, items=3),
    ]


def make_retried() -> _Events:
    """A phrase that may run twice and was offered elsewhere."""
    return [
        *_begin(),
        _entry("call_offered", repeatable=True, generation=""),
        *_run(FIRST),
        _entry("call_retried"),
        _entry("call_offered", repeatable=True, generation=""),
        *_run(SECOND),
        _finish("ok", generation=SECOND, items=3),
    ]


def make_again() -> _Events:
    """A phrase whose connection broke and was offered again to its agent."""
    return [
        *_begin(),
        _entry("call_offered", repeatable=True, generation="", attempt="r1-1"),
        _agent("call_admitted", attached=False),
        _entry("call_offered", repeatable=True, generation="", attempt="r1-1"),
        _agent("call_admitted", attached=True),
        _agent("generation_started"),
        _agent("generation_ended", items=3),
        _finish("ok", generation=FIRST, items=3),
    ]


def make_adopted() -> _Events:
    """A billed report whose agent died and whose next run read it on."""
    return [
        *_begin(),
        _agent("call_prepared"),
        _entry("call_offered", repeatable=False, generation=FIRST),
        _agent("call_admitted", attached=False),
        _agent("generation_started"),
        make_event(_LATER, "agent_started", incarnation="bb"),
        make_event(_LATER, "generation_adopted", generation=FIRST),
        make_event(_LATER, "generation_resumed", generation=FIRST, after=0),
        _entry("call_offered", repeatable=False, generation=FIRST),
        make_event(_LATER, "call_admitted", generation=FIRST, attached=True),
        make_event(_LATER, "generation_ended", generation=FIRST, items=3),
        _finish("ok", generation=FIRST, items=3),
    ]


def make_closed() -> _Events:
    """A stream whose caller went away early."""
    return [
        *_begin(),
        _entry("call_offered", repeatable=True, generation=""),
        _agent("call_admitted", attached=False),
        _entry("call_closed", generation=FIRST, items=0),
        _agent("call_refused", items=0),
    ]


def make_false_refusal() -> _Events:
    """A phrase that runs while its caller hears that it did not."""
    return [
        *_begin(),
        _entry("call_offered", generation="", attempt="r1-1"),
        _agent("call_admitted", attached=False, attempt="r1-1"),
        _agent("generation_started"),
        _entry("call_retried"),
        _finish("not_run", items=0, repeatable=True),
    ]


def make_elsewhere() -> _Events:
    """A phrase offered to two agents at the same time."""
    return [
        *_begin(),
        _entry("call_offered", repeatable=True, generation="", attempt="r1-1"),
        _entry("call_offered", repeatable=True, generation="", attempt="r1-2"),
    ]


def make_lost() -> _Events:
    """A billed report whose agent died."""
    return [
        *_begin(),
        _agent("call_prepared"),
        _entry("call_offered", repeatable=False, generation=FIRST),
        _agent("call_admitted", attached=False),
        _agent("generation_started"),
        _entry(
            "outcome_unknown",
            outcome="outcome_unknown",
            generation=FIRST,
            items=0,
        ),
    ]


def make_abandoned() -> _Events:
    """A stream whose caller went away."""
    return [
        *_begin(),
        _entry("call_offered", repeatable=True, generation=""),
        _agent("call_admitted", attached=False),
        _agent("generation_started"),
        _agent("generation_abandoned"),
        _agent("generation_cancelled", items=1),
    ]


def make_once() -> _Events:
    """A call that may run once, refused without an identifier."""
    return [
        *_begin(),
        _entry("call_offered", repeatable=False, generation=""),
        _entry("call_refused"),
        _entry("call_retried"),
        _finish("not_run", items=0),
    ]


def make_two_runs() -> _Events:
    """A billed report that ran under two identifiers."""
    events = make_refused()
    names = [event["event"] for event in events]
    late = names.index("start_too_late")
    events[late : late + 2] = [_agent("generation_started")]
    return events


def make_splice() -> _Events:
    """A stream that goes on with the items of another generation."""
    return [
        *_begin(),
        _entry("call_offered", repeatable=True, generation=""),
        _entry("generation_resumed", generation=FIRST, after=1),
        _entry("generation_resumed", generation=SECOND, after=2),
    ]


def make_late_offer() -> _Events:
    """A stream whose request is offered again after its first item."""
    return [
        *_begin(),
        _entry("call_offered", repeatable=True, generation=""),
        _entry("generation_resumed", generation=FIRST, after=1),
        _entry("call_offered", repeatable=True, generation=""),
    ]


def make_foreign_start() -> _Events:
    """A new incarnation that starts what the old one gave out."""
    return [
        *_begin(),
        _agent("call_prepared"),
        make_event("agent-1b", "agent_started", incarnation="bb"),
        make_event("agent-1b", "call_admitted", generation=FIRST),
    ]


def make_false_not_run() -> _Events:
    """A billed report that runs while its caller hears that it did not."""
    return [
        *make_lost()[:-1],
        _finish("not_run", items=0, repeatable=False),
    ]


FAULTS: typing.Final[typing.Mapping[str, abc.Callable[[], _Events]]] = {
    "two runs of a billed report": make_two_runs,
    "a splice of two generations": make_splice,
    "an offer after the first item": make_late_offer,
    "a start by another incarnation": make_foreign_start,
    "a false not run": make_false_not_run,
    "a false refusal of a phrase": make_false_refusal,
    "an offer to two agents at once": make_elsewhere,
}

RECORDINGS: typing.Final[typing.Mapping[str, abc.Callable[[], _Events]]] = {
    "plain": make_plain,
    "prepared": make_prepared,
    "refused": make_refused,
    "full": make_full,
    "resumed": make_resumed,
    "retried": make_retried,
    "again": make_again,
    "adopted": make_adopted,
    "closed": make_closed,
    "lost": make_lost,
    "abandoned": make_abandoned,
    "once": make_once,
}


def forge(events: abc.Sequence[replay.RecordedEvent], change: str) -> _Events:
    """Return a recording with one change.

    Changes are ``repeat NAME``, ``drop NAME`` and ``append NAME``, which
    takes the first event of that name, and ``set NAME FIELD VALUE``, which
    changes it in all events of that name.
    """
    verb, name, *rest = change.split()
    index = [event["event"] for event in events].index(name)
    forged: list[dict[str, typing.Any]] = [dict(event) for event in events]
    if verb == "repeat":
        forged.insert(index, dict(forged[index]))
    elif verb == "drop":
        del forged[index]
    elif verb == "append":
        forged.append(dict(forged[index]))
    elif verb == "set":
        field, value = rest
        for event in forged:
            if event["event"] == name:
                event[field] = int(value) if value.isdecimal() else value
    return typing.cast(_Events, forged)
