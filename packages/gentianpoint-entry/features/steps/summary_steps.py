"""Steps for the table of what became of requests."""

import behave
import explain_lines

from gentianpoint_entry import loss_summary
from gentianpoint_entry import lost_worth

ROUTE = "reports"
_SENT = ("request_sent", {"target": "t-1"})
_NOTICE = ("target_leaving", {"target": "t-1", "request": None})
_MOVED = ("generation_moved", {"target": "t-2"})
_FAILED = ("attempt_failed", {"target": "t-1"})
_SPENT = ("retry_budget_spent", {})
_DECIDED_FOR = ("leaving_decision", {"is_taken": True, "left_ms": 900})
_DECIDED_AGAINST = ("leaving_decision", {"is_taken": False, "left_ms": 9})


def end(outcome, **fields):
    return ("request_ended", {"outcome": outcome, "status": 200, **fields})


_STORIES = {
    "was answered": [_SENT, end("answered", late="")],
    "was sent and has no end": [_SENT],
    "broke off after its target had notice": [
        _SENT,
        _NOTICE,
        end("broken_off"),
    ],
    "broke off at a target that had none": [_SENT, end("broken_off")],
    "was answered by its target with 500": [
        _SENT,
        end("answered", status=500),
    ],
    "was refused with no retry left": [
        _SENT,
        _FAILED,
        _SPENT,
        end("refused_503", status=503),
    ],
    "was refused as no target took it": [end("refused_503", status=503)],
    "lost its answer": [_SENT, _FAILED, end("refused_502", status=502)],
    "was late as it paused": [_SENT, end("answered", late="pause")],
    "was late as it paused and had moved": [
        _SENT,
        _MOVED,
        end("answered", late="pause"),
    ],
    "was late at its start": [_SENT, end("answered", late="start")],
    "was late at its start after a failed attempt": [
        _SENT,
        _FAILED,
        end("answered", late="start"),
    ],
    "outlasted the leaving of its entry": [_SENT, end("entry_stopped")],
    "was taken by a leaving entry and outlasted it": [
        _DECIDED_FOR,
        _SENT,
        end("entry_stopped"),
    ],
    "was taken by a leaving entry and answered": [
        _DECIDED_FOR,
        _SENT,
        end("answered", late=""),
    ],
    "was refused by a leaving entry": [
        _DECIDED_AGAINST,
        end("refused_leaving", status=503),
    ],
    "had no answer at its deadline": [_SENT, end("refused_504", status=504)],
    "lost its answer with no retry left": [
        _SENT,
        _FAILED,
        _SPENT,
        end("refused_502", status=502),
    ],
    "was left by its caller": [_SENT, end("caller_left")],
}


def make_lines(story, host):
    lines = []
    for second, (event, fields) in enumerate(_STORIES[story]):
        fields = {"request": "r-1", "route": ROUTE, **fields}
        if fields["request"] is None:
            del fields["request"], fields["route"]
        lines.append(explain_lines.make_line(second, host, event, **fields))
    return lines


@behave.given("log lines of a request that {story}, at two entries")
def make_two(context, story):
    context.lines = make_lines(story, "entry-1") + make_lines(story, "entry-2")


@behave.given("log lines of a request that {story}")
def make_one(context, story):
    context.lines = make_lines(story, "entry-1")


@behave.given("log lines of requests that came to leaving entries")
def make_leaving(context):
    stories = (
        "was taken by a leaving entry and outlasted it",
        "was taken by a leaving entry and answered",
        "was refused by a leaving entry",
        "was answered",
    )
    context.lines = [
        line
        for number, story in enumerate(stories)
        for line in make_lines(story, f"entry-{number}")
    ]


@behave.when("the requests at leaving entries are counted")
def count_leaving(context):
    context.counts = loss_summary.count_leaving(reversed(context.lines))


@behave.then(
    "{taken:d} were taken, of which {broken:d} broke off, and {refused:d} was"
    " refused"
)
def check_leaving(context, taken, broken, refused):
    assert context.counts == {ROUTE: (taken, broken, refused)}
    _, row = loss_summary.make_leaving_table(context.counts)
    assert row.split() == [ROUTE, str(taken), str(broken), str(refused)], row


@behave.then("there is no table of them")
def check_no_table(context):
    assert loss_summary.make_leaving_table(context.counts) == []


@behave.when("the causes are counted")
def count(context):
    context.counts = loss_summary.count_causes(reversed(context.lines))


@behave.then('one request of the route counts as "{cause}"')
def check_one(context, cause):
    assert context.counts == {ROUTE: {cause: 1}}, context.counts
    (row,) = loss_summary.make_table(context.counts)
    assert row.split() == [ROUTE, *cause.split(), "1", "100.0%"], row


@behave.then('two requests of the route count as "{cause}"')
def check_two(context, cause):
    assert context.counts == {ROUTE: {cause: 2}}, context.counts


@behave.given("log lines of requests for 100 tokens each")
def make_sized(context):
    context.lines = []
    for row in context.table:
        events = (
            ("request_sent", make_size(int(row["output tokens"]))),
            end(**make_end(row["end"])),
        )
        for second, (event, fields) in enumerate(events):
            context.lines.append(
                explain_lines.make_line(
                    second,
                    "entry-1",
                    event,
                    request=row["request"],
                    route=row["route"],
                    **fields,
                )
            )


def make_size(output_tokens):
    return {
        "target": "t-1",
        "prompt_tokens": 100,
        "likely_output_tokens": output_tokens,
    }


def make_end(text):
    if text == "late":
        return {"outcome": "answered", "late": "start"}
    return {"outcome": text, "late": ""}


@behave.when('the losses are weighed with "{worths}"')
def weigh(context, worths):
    parsed = dict(lost_worth.parse_worth(text) for text in worths.split())
    judged = loss_summary.list_judged(reversed(context.lines))
    context.losses = lost_worth.weigh_losses(judged, parsed)


@behave.then("the shares of all worth that were lost are")
def check_losses(context):
    wanted = {
        (row["route"], row["cause"]): row["lost"] for row in context.table
    }
    found = {
        (route, cause): f"{lost:.3f}"
        for route, causes in context.losses.items()
        for cause, lost in causes.items()
    }
    assert found == wanted, found
    counts = loss_summary.count_causes(reversed(context.lines))
    table = loss_summary.make_table(counts, context.losses)
    weighed = [row for row in table if row.count("%") == 2]
    assert len(weighed) == len(wanted), table
