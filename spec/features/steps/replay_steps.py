"""Steps that replay recorded events."""

import json

import behave

from spec import replay
from spec.features import recordings


@behave.when("the recording {name} is replayed")
def replay_recording(context, name):
    context.result = replay.replay_events(recordings.RECORDINGS[name]())


@behave.when("the recording {name} is forged by {change} and replayed")
def replay_forged(context, name, change):
    events = recordings.forge(recordings.RECORDINGS[name](), change)
    context.result = replay.replay_events(events)


@behave.when("a recording with {fault} is replayed")
def replay_fault(context, fault):
    context.result = replay.replay_events(recordings.FAULTS[fault]())


@behave.then(
    "it is allowed with {steps:d} steps and {ran:d} generations that ran"
)
def check_allowed(context, steps, ran):
    assert context.result.is_ok(), context.result.error
    summary = context.result.ok
    assert (summary.steps, summary.ran) == (steps, ran), summary
    assert summary.unknown_homes == 0, summary


@behave.then("it is refused since {reason}")
def check_refused(context, reason):
    assert context.result.is_error(), context.result.ok
    print(context.result.error)
    assert reason in str(context.result.error), context.result.error


@behave.when("log lines with other text between them are read")
def read_lines(context):
    event = {"event": "call_offered", "number": 1200, "request": "r1"}
    lines = ["Traceback", json.dumps(event), "[]", json.dumps({"a": 1})]
    context.events = replay.read_events(lines, "entry-1")


@behave.then(
    "only the numbered events are kept, with the name of their process"
)
def check_read(context):
    assert [event["process"] for event in context.events] == ["entry-1"]
    assert context.events[0]["request"] == "r1"
