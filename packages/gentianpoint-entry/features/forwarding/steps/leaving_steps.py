"""Steps for requests at an entry that leaves."""

import behave
import forwarding_builders
import leaving_builders
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
        request = forwarding_builders.make_request(
            context.route, leaving_builders.ENGINE
        )
        request = request._replace(
            likely_output_tokens=context.tokens,
            most_output_tokens=max(context.tokens, request.most_output_tokens),
        )
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


@behave.given(
    "generations of at most {most:d} tokens with estimates off by seed"
    " {seed:d}"
)
def draw_generations(context, most, seed):
    context.generations = leaving_builders.draw_generations(most, seed)


@behave.when("they come while an entry leaves, which takes {leave_ms:d} ms")
def serve_generations(context, leave_ms):
    context.answers = leaving_builders.serve_while_leaving(
        context.generations, leave_ms
    )


@behave.then("each one is refused as not run, or answered whole")
def check_each_whole(context):
    cut = [
        (generation, answer.status)
        for generation, answer in context.answers
        if not answer.is_finished or answer.status not in (200, 503)
    ]
    assert not cut, f"{len(cut)} of {len(context.answers)} cut: {cut[:3]}"
