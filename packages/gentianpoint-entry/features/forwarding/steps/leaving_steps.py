"""Steps for requests at an entry that leaves."""

import behave
import forwarding_builders
from structlog import testing
import topic_builders
import trio

from gentianpoint_entry.forwarding import request_handling
from gentianpoint_entry.forwarding import routes


@behave.given("a {kind} of about {tokens:d} tokens")
def make_kind(context, kind, tokens):
    context.tokens = tokens
    is_plain = kind == "plain call"
    route_kind = routes.RouteKind.ONCE if is_plain else routes.RouteKind.STREAM
    context.route = forwarding_builders.make_route(route_kind)
    context.calls = forwarding_builders.ScriptedCalls()


@behave.when("it comes {left:d} ms before the entry ends")
def serve_late(context, left):
    context.answer = forwarding_builders.NotedAnswer()

    async def run():
        shared = forwarding_builders.make_forwarder(["a"], context.calls)
        request = forwarding_builders.make_request(context.route, None)
        request = request._replace(likely_output_tokens=context.tokens)
        ends_at = trio.current_time() + left / 1000
        handling = request_handling.RequestHandling(
            shared, forwarding_builders.send_refusal, lambda: ends_at
        )
        await handling.serve(request, context.answer)

    with testing.capture_logs() as lines:
        topic_builders.run_on_clock(run)
    context.lines = lines


def find_decision(context):
    (line,) = [
        line for line in context.lines if line["event"] == "leaving_decision"
    ]
    return line


@behave.then("the line of the decision says that the request was {decision}")
def check_decision(context, decision):
    line = find_decision(context)
    assert line["is_taken"] is (decision == "taken"), line


@behave.then(
    "that about {likely:d} of {most:d} tokens were expected, with {left:d} ms"
    " left"
)
def check_inputs(context, likely, most, left):
    line = find_decision(context)
    assert line["likely_output_tokens"] == likely, line
    assert line["most_output_tokens"] == most, line
    assert line["left_ms"] == left, line
