"""Steps for the summary of how requests ended."""

import behave
import log_line_builders

from gentianpoint_entry import lost_worth
from gentianpoint_entry import outcome_summary

ROUTE = "reports"
_SENT = ("request_sent", {"target": "t-1"})
_TARGET_LEAVING = ("target_leaving", {"target": "t-1", "request": None})
_MOVED = ("generation_moved", {"target": "t-2"})
_FAILED = ("attempt_failed", {"target": "t-1"})
_BUDGET_SPENT = ("retry_budget_spent", {})
_ACCEPTED_LEAVING = ("leaving_decision", {"is_taken": True, "left_ms": 900})
_REFUSED_LEAVING = ("leaving_decision", {"is_taken": False, "left_ms": 9})


def end(outcome, **fields):
    return ("request_ended", {"outcome": outcome, "status": 200, **fields})


_BEHAVIOURS = {
    "was answered in time": [_SENT, end("answered", late="")],
    "was sent and has no end": [_SENT],
    "broke off after its target was leaving": [
        _SENT,
        _TARGET_LEAVING,
        end("broken_off"),
    ],
    "broke off at a target that was not leaving": [_SENT, end("broken_off")],
    "was answered by its target with 500": [
        _SENT,
        end("answered", status=500),
    ],
    "was refused with the retry budget spent": [
        _SENT,
        _FAILED,
        _BUDGET_SPENT,
        end("refused_503", status=503),
    ],
    "was refused as no target accepted it": [end("refused_503", status=503)],
    "was refused as no target had room": [
        ("room_refused", {"opens_in_ms": 8000}),
        end("refused_503", status=503),
    ],
    "ended with its entry while it waited for room": [
        ("room_wait_began", {"ahead": 2}),
        ("room_wait_ended", {"waited_ms": 900}),
        end("refused_503", status=503),
    ],
    "was late as it had waited for room": [
        ("room_wait_began", {"ahead": 2}),
        ("room_wait_ended", {"waited_ms": 900}),
        _SENT,
        end("answered", late="start"),
    ],
    "lost its answer": [_SENT, _FAILED, end("refused_502", status=502)],
    "was late because of a pause": [_SENT, end("answered", late="pause")],
    "was late because of a pause and had moved": [
        _SENT,
        _MOVED,
        end("answered", late="pause"),
    ],
    "was late from its start": [_SENT, end("answered", late="start")],
    "was late from its start after a failed attempt": [
        _SENT,
        _FAILED,
        end("answered", late="start"),
    ],
    "was unfinished when its entry stopped": [_SENT, end("entry_stopped")],
    "was accepted by a leaving entry and unfinished": [
        _ACCEPTED_LEAVING,
        _SENT,
        end("entry_stopped"),
    ],
    "was accepted by a leaving entry and answered": [
        _ACCEPTED_LEAVING,
        _SENT,
        end("answered", late=""),
    ],
    "was refused by a leaving entry": [
        _REFUSED_LEAVING,
        end("refused_leaving", status=503),
    ],
    "had no answer by its deadline": [_SENT, end("refused_504", status=504)],
    "lost its answer with the retry budget spent": [
        _SENT,
        _FAILED,
        _BUDGET_SPENT,
        end("refused_502", status=502),
    ],
    "was abandoned by its caller": [_SENT, end("caller_left")],
}


def make_lines(behaviour, host):
    lines = []
    for second, (event, fields) in enumerate(_BEHAVIOURS[behaviour]):
        fields = {"request": "r-1", "route": ROUTE, **fields}
        if fields["request"] is None:
            del fields["request"], fields["route"]
        lines.append(
            log_line_builders.make_line(second, host, event, **fields)
        )
    return lines


@behave.given("log lines of a request that {behaviour}, at two entries")
def make_at_two_entries(context, behaviour):
    context.lines = make_lines(behaviour, "entry-1") + make_lines(
        behaviour, "entry-2"
    )


@behave.given("log lines of a request that {behaviour}")
def make_at_one_entry(context, behaviour):
    context.lines = make_lines(behaviour, "entry-1")


@behave.given("log lines of requests that reached leaving entries")
def make_leaving(context):
    behaviours = (
        "was accepted by a leaving entry and unfinished",
        "was accepted by a leaving entry and answered",
        "was refused by a leaving entry",
        "was answered in time",
    )
    context.lines = [
        line
        for number, behaviour in enumerate(behaviours)
        for line in make_lines(behaviour, f"entry-{number}")
    ]


@behave.when("the requests at leaving entries are counted")
def count_leaving(context):
    context.counts = outcome_summary.count_leaving(reversed(context.lines))


@behave.then(
    "{accepted:d} were accepted, of which {broken:d} broke off, and"
    " {refused:d} was refused"
)
def check_leaving(context, accepted, broken, refused):
    assert context.counts == {ROUTE: (accepted, broken, refused)}
    _, row = outcome_summary.format_leaving_table(context.counts)
    assert row.split() == [ROUTE, str(accepted), str(broken), str(refused)], (
        row
    )


@behave.then("no table of leaving entries is printed")
def check_no_table(context):
    assert outcome_summary.format_leaving_table(context.counts) == []


@behave.when("the causes are counted")
def count_causes(context):
    context.counts = outcome_summary.count_causes(reversed(context.lines))


@behave.then('one request of the route counts as "{cause}"')
def check_one_request(context, cause):
    assert context.counts == {ROUTE: {cause: 1}}, context.counts
    (row,) = outcome_summary.format_table(context.counts)
    assert row.split() == [ROUTE, *cause.split(), "1", "100.0%"], row


@behave.then('two requests of the route count as "{cause}"')
def check_two_requests(context, cause):
    assert context.counts == {ROUTE: {cause: 2}}, context.counts


@behave.given("log lines of requests for 100 tokens each")
def make_sized(context):
    context.lines = []
    for row in context.table:
        events = (
            ("request_sent", make_size_fields(int(row["output tokens"]))),
            end(**make_end_fields(row["end"])),
        )
        for second, (event, fields) in enumerate(events):
            context.lines.append(
                log_line_builders.make_line(
                    second,
                    "entry-1",
                    event,
                    request=row["request"],
                    route=row["route"],
                    **fields,
                )
            )


def make_size_fields(output_tokens):
    return {
        "target": "t-1",
        "prompt_tokens": 100,
        "likely_output_tokens": output_tokens,
    }


def make_end_fields(text):
    if text == "late":
        return {"outcome": "answered", "late": "start"}
    return {"outcome": text, "late": ""}


@behave.when('the lost value is computed with "{values}"')
def compute_lost_value(context, values):
    parsed = dict(
        lost_worth.parse_answer_value(text) for text in values.split()
    )
    classified = outcome_summary.classify_requests(reversed(context.lines))
    context.losses = lost_worth.compute_lost_shares(classified, parsed)


@behave.then("the lost shares of the total value are")
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
    counts = outcome_summary.count_causes(reversed(context.lines))
    table = outcome_summary.format_table(counts, context.losses)
    rows_with_loss = [row for row in table if row.count("%") == 2]
    assert len(rows_with_loss) == len(wanted), table
