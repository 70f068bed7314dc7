"""Steps for requests that are answered with one body."""

import behave
import forwarding_builders

from gentianpoint_entry.forwarding import routes


@behave.given("a plain request that may be repeated")
def make_idempotent(context):
    start_plain(context, routes.RouteKind.IDEMPOTENT)


@behave.given(
    "a plain request that may be repeated, whose caller waits {wait_ms:d} ms"
)
def make_impatient(context, wait_ms):
    start_plain(context, routes.RouteKind.IDEMPOTENT)
    context.wait_ms = wait_ms


@behave.given("a plain request that may run once only")
def make_once(context):
    start_plain(context, routes.RouteKind.ONCE)


def start_plain(context, kind):
    context.route = forwarding_builders.make_route(kind, max_attempts=2)
    context.engine = None
    context.calls = forwarding_builders.ScriptedCalls()


@behave.given("no retry is left")
def spend_retries(context):
    context.retry_slack = 0.0


@behave.then("the caller is given the body of {name}")
def check_body(context, name):
    assert context.answer.data == f"body of {name}".encode()
    assert context.answer.status == 200
    assert context.answer.is_finished


@behave.then("the caller is given status {status:d}")
def check_status(context, status):
    assert context.answer.status == status, context.answer.status
    assert context.answer.is_finished


@behave.then("{count:d} targets were asked")
def check_count(context, count):
    assert len(context.calls.sends) == count, context.calls.sends


@behave.then("it took less than half a second")
def check_quick(context):
    assert context.took_s < 0.5


@behave.then(
    "a log line tells of status {status:d} at {name}, which may have run it"
)
def check_failure_line(context, status, name):
    (line,) = [
        line for line in context.lines if line["event"] == "attempt_failed"
    ]
    assert line["target"] == name, line
    assert line["reason"].endswith(f"status {status}"), line
    assert line["may_have_run"], line
