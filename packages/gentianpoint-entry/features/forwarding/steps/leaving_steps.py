"""Steps for requests at an entry that was told to stop."""

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


@behave.when("it arrives {left:d} ms before the entry ends, which then ends")
def serve_to_end(context, left):
    context.answer = forwarding_builders.RecordedAnswer()

    async def run():
        shared = forwarding_builders.make_forwarder(["a"], context.calls)
        ends_at = trio.current_time() + left / 1000
        handler = request_handling.RequestHandler(
            shared, forwarding_builders.send_refusal, lambda: ends_at
        )
        request = forwarding_builders.make_request(
            context.route, leaving_builders.ENGINE
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(handler.serve, request, context.answer)
            await trio.sleep_until(ends_at)
            await handler.give_up_unanswered()
            nursery.cancel_scope.cancel()

    topic_builders.run_on_mock_clock(run)


@behave.then("the caller has the whole answer")
def check_whole_answer(context):
    assert context.answer.status == 200, context.answer.status
    assert context.answer.is_finished
    for number in range(1, 10):
        event = forwarding_builders.make_event(number)
        assert event in context.answer.data, context.answer.data


@behave.then("the caller has a final answer that the entry ends, only")
def check_final_answer(context):
    assert context.answer.status == 504, context.answer.status
    assert context.answer.is_finished
    assert context.answer.data == b"this entry ends before the answer"


@behave.given("a plain call of a route without objectives")
def make_without_objectives(context):
    make_kind(context, "plain call", 0)
    context.route = context.route._replace(objective_ms=0.0)


@behave.when("it arrives {left:d} ms before the entry ends")
def serve_late(context, left):
    context.answer = forwarding_builders.RecordedAnswer()

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
        handler = request_handling.RequestHandler(
            shared, forwarding_builders.send_refusal, lambda: ends_at
        )
        await handler.serve(request, context.answer)

    with testing.capture_logs() as lines:
        topic_builders.run_on_mock_clock(run)
    context.lines = lines


def find_decision(context):
    (line,) = [
        line for line in context.lines if line["event"] == "leaving_decision"
    ]
    return line


@behave.then(
    "the log line of the decision says that the request was {decision}"
)
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


@behave.when("they arrive while an entry leaves, which takes {leave_ms:d} ms")
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


@behave.given(
    "a data centre of which {count:d} have been leaving for {passed_ms:d} ms"
    " of {leave_ms:d}"
)
def set_leaving_entries(context, count, passed_ms, leave_ms):
    context.leaving_for_ms = [passed_ms] * count
    context.leave_ms = leave_ms


@behave.given("one more has been leaving for {passed_ms:d} ms")
def add_leaving_entry(context, passed_ms):
    context.leaving_for_ms.append(passed_ms)


@behave.given("{near:d} stay, and {far:d} stay in other data centres")
def add_staying(context, near, far):
    context.leaving_for_ms += [None] * near
    context.far = [None] * far


@behave.when("a caller is refused whose request takes {needed_ms:d} ms")
def refuse_caller(context, needed_ms):
    context.returns_ms = leaving_builders.draw_returns_ms(
        context.leaving_for_ms, context.far, context.leave_ms, needed_ms
    )


@behave.then("the caller comes back after {after:d} to {before:d} ms")
def check_returns(context, after, before):
    first, last = min(context.returns_ms), max(context.returns_ms)
    assert after <= first and last <= before, (first, last)
