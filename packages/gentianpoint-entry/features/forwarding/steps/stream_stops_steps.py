"""Steps for streams that are stopped for a move."""

import re

import behave
import forwarding_builders
import stop_builders
from structlog import testing
import topic_builders
import trio

from gentianpoint_entry.forwarding import request_handling
from gentianpoint_entry.forwarding import routes

NOTICE_MS = 2000


class TimedAnswer(forwarding_builders.RecordedAnswer):
    """Records what a caller receives, and when the last part came."""

    last_at = 0.0

    async def send(self, data):
        """Record a part of the body, and when it came."""
        self.last_at = trio.current_time()
        await super().send(data)


@behave.given("a stream {framing} that may run once, at target a")
def make_stream(context, framing):
    context.is_delimited = framing == "in chunks"
    context.last_copy = stop_builders.LastCopy()


@behave.given('the last copy is answered with "{words}" after {seconds} s')
def set_last_copy(context, words, seconds):
    context.last_copy = context.last_copy._replace(
        answer=words, answers_after_s=float(seconds)
    )


@behave.given("of a and b, those that go on from the copy are: {names}")
def set_takers(context, names):
    names = "" if names == "none" else names
    context.last_copy = context.last_copy._replace(taken_up_by=names)


@behave.when("the request is served, and a gets notice after event {number:d}")
def serve(context, number):
    context.answer = TimedAnswer()

    async def run():
        calls = stop_builders.StoppingCalls(
            context.last_copy, is_delimited=context.is_delimited
        )
        shared = forwarding_builders.make_forwarder(("a", "b"), calls)
        request = forwarding_builders.make_request(
            forwarding_builders.make_route(routes.RouteKind.STREAM),
            forwarding_builders.ENGINE._replace(can_back_up=False),
        )
        handler = request_handling.RequestHandler(
            shared, forwarding_builders.send_refusal
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(shared.release_unused_copies)
            nursery.start_soon(
                forwarding_builders.give_notice,
                context.answer,
                shared,
                number,
                NOTICE_MS,
            )
            await handler.serve(request, context.answer)
            context.ended_at = trio.current_time()
            nursery.cancel_scope.cancel()
        context.open_requests = [
            target.open_requests for target in shared.registry.list_all()
        ]

    with testing.capture_logs():
        topic_builders.run_on_mock_clock(run)


def list_numbers(context):
    found = re.findall(rb"^id: (\d+)$", context.answer.data, re.MULTILINE)
    return [int(number) for number in found]


@behave.then("the caller has all events, each once")
def check_whole(context):
    assert list_numbers(context) == list(range(1, stop_builders.EVENTS + 1))
    assert context.answer.is_finished


@behave.then("the caller has a part, in an answer that is cut")
def check_cut(context):
    numbers = list_numbers(context)
    assert 20 <= len(numbers) < stop_builders.EVENTS, numbers
    assert numbers == list(range(1, len(numbers) + 1)), numbers
    assert not context.answer.is_finished


@behave.then("the caller waits for at most {seconds:g} s after its last event")
def check_wait(context, seconds):
    waited_s = context.ended_at - context.answer.last_at
    assert waited_s <= seconds, waited_s
