"""Steps for the way of a request."""

import behave
import explain_lines

from gentianpoint_entry import explain_command


@behave.given("log lines of two processes, mixed with other output")
def make_lines(context):
    context.lines = [
        explain_lines.make_line(
            9, "entry-1", "request_ended", request="r-1", outcome="broken_off"
        ),
        "Traceback (most recent call last):",
        explain_lines.make_line(3, "agent-1", "target_leaving", target="t-1"),
        explain_lines.make_line(
            1, "entry-1", "request_sent", request="r-1", target="t-1"
        ),
        explain_lines.make_line(
            2, "entry-1", "request_sent", request="r-2", target="t-1"
        ),
        explain_lines.make_line(20, "agent-1", "target_leaving", target="t-1"),
        '{"event": "cut off',
    ]


@behave.when("the way of request {request} is asked for")
def explain(context, request):
    context.steps = explain_command.explain_request(context.lines, request)


def list_events(context):
    return [step.split()[3].rstrip(":") for step in context.steps[:-1]]


@behave.given("log lines of a request that was cut as its entry ended")
def make_cut(context):
    make = explain_lines.make_line
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
    make = explain_lines.make_line
    context.lines = [
        make(1, "entry-1", "request_sent", request="r-1", target="t-1"),
        make(4, "entry-2", "entry_started"),
        make(6, "entry-1", "entry_started"),
        make(30, "entry-1", "entry_started"),
    ]


@behave.given("log lines whose fields are of foreign types")
def make_foreign(context):
    context.lines = [
        '{"event": ["a"], "request": "r-1"}',
        '{"event": "x", "timestamp": 3, "host": {}, "target": ["t-1"]}',
        "{" * 100000,
        '{"event": "x", "a": ' + "[" * 100000,
        explain_lines.make_line(
            1, "entry-1", "request_sent", request="r-1", target="t-1"
        ),
    ]


@behave.then(
    "it shows that r-1 was sent, that its target got notice, and its end"
)
def check_steps(context):
    names = list_events(context)
    assert names == ["request_sent", "target_leaving", "request_ended"], names
    assert context.steps[-1] == "entry-1: broken off, target had notice"


@behave.then("it shows nothing of another request or a later notice")
def check_others(context):
    assert len(context.steps) == 4


@behave.then("it shows {names}, in this order")
def check_names(context, names):
    assert list_events(context) == names.split(", "), context.steps


@behave.then('it says at the end that entry-1 left it "{cause}"')
def check_cause(context, cause):
    assert context.steps[-1] == f"entry-1: {cause}", context.steps[-1]


@behave.then("nothing is shown")
def check_nothing(context):
    assert context.steps == []
