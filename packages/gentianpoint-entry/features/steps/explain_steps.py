"""Steps for the timeline of a request."""

import behave
import log_line_builders

from gentianpoint_entry import explain_command


@behave.given("log lines of two processes, mixed with other output")
def make_lines(context):
    context.lines = [
        log_line_builders.make_line(
            9, "entry-1", "request_ended", request="r-1", outcome="broken_off"
        ),
        "Traceback (most recent call last):",
        log_line_builders.make_line(
            3, "agent-1", "target_leaving", target="t-1"
        ),
        log_line_builders.make_line(
            1, "entry-1", "request_sent", request="r-1", target="t-1"
        ),
        log_line_builders.make_line(
            2, "entry-1", "request_sent", request="r-2", target="t-1"
        ),
        log_line_builders.make_line(
            20, "agent-1", "target_leaving", target="t-1"
        ),
        '{"event": "cut off',
    ]


@behave.when("the timeline of request {request} is requested")
def explain(context, request):
    context.steps = explain_command.explain_request(context.lines, request)


def list_events(context):
    return [step.split()[3].rstrip(":") for step in context.steps[:-1]]


@behave.given("log lines of a request whose entry stopped before its end")
def make_stopped(context):
    make = log_line_builders.make_line
    context.lines = [
        make(1, "entry-1", "request_sent", request="r-1", target="t-1"),
        make(2, "entry-1", "leaving_started"),
        make(2, "entry-2", "leaving_started"),
        make(3, "entry-2", "target_listed", target="t-1"),
        make(8, "entry-1", "shutdown_overdue"),
        make(
            9,
            "entry-1",
            "request_ended",
            request="r-1",
            outcome="entry_stopped",
        ),
    ]


@behave.given("log lines of a request whose entry was killed")
def make_killed(context):
    make = log_line_builders.make_line
    context.lines = [
        make(1, "entry-1", "request_sent", request="r-1", target="t-1"),
        make(4, "entry-2", "entry_started"),
        make(6, "entry-1", "entry_started"),
        make(30, "entry-1", "entry_started"),
    ]


@behave.given("log lines whose fields have unexpected types")
def make_foreign(context):
    context.lines = [
        '{"event": ["a"], "request": "r-1"}',
        '{"event": "x", "timestamp": 3, "host": {}, "target": ["t-1"]}',
        "{" * 100000,
        '{"event": "x", "a": ' + "[" * 100000,
        log_line_builders.make_line(
            1, "entry-1", "request_sent", request="r-1", target="t-1"
        ),
    ]


@behave.then(
    "it shows that r-1 was sent, that its target was leaving, and its end"
)
def check_events_and_cause(context):
    names = list_events(context)
    assert names == ["request_sent", "target_leaving", "request_ended"], names
    assert context.steps[-1] == "entry-1: broken off, target was leaving"


@behave.then("it shows no other request and no later event of the target")
def check_no_others(context):
    assert len(context.steps) == 4


@behave.then("it shows {names}, in this order")
def check_events(context, names):
    assert list_events(context) == names.split(", "), context.steps


@behave.then('its last line gives the cause at entry-1 as "{cause}"')
def check_cause(context, cause):
    assert context.steps[-1] == f"entry-1: {cause}", context.steps[-1]


@behave.then("the timeline is empty")
def check_empty(context):
    assert context.steps == []
