"""Steps for generations that go on at their backup."""

import math
import re

import backup_builders
import behave
import fleet_builders
import forwarding_builders
from structlog import testing
import topic_builders
import trio

from gentianpoint_entry.forwarding import request_handling
from gentianpoint_entry.forwarding import routes

NOTICE_MS = 800


class SlowAnswer(forwarding_builders.RecordedAnswer):
    """Records what a caller receives, which stops reading for a while."""

    pause_s = 0.0
    pause_after = 0

    async def send(self, data):
        """Record a part of the body, and wait once."""
        await super().send(data)
        number = find_last(data)
        if self.pause_s and number > self.pause_after:
            pause_s, self.pause_s = self.pause_s, 0.0
            await trio.sleep(pause_s)


def find_last(data):
    return int(re.findall(rb"^id: (\d+)$", data, re.MULTILINE)[-1])


@behave.given(
    "a generation that may run once, whose backup {reaction} after {seconds} s"
)
def make_generation(context, reaction, seconds):
    context.reaction = reaction.removeprefix("answers ")
    context.reacts_after_s = float(seconds)
    context.last = backup_builders.EVENTS
    context.answer = SlowAnswer()
    context.works_on = False
    context.can_move = False
    context.stop_answers = []
    context.route = {}


@behave.given("a generation that may run again, whose target works on")
def make_resumable(context):
    make_generation(context, "takes over", "0.02")
    context.route = {"may_resume": True, "max_attempts": 2}
    context.works_on = context.can_move = True


@behave.given("its target drops a request whose connection closes")
def set_drops(context):
    context.can_move = True


@behave.given("its target works on without a connection, and {answers} first")
def set_works_on(context, answers):
    context.works_on = context.can_move = True
    if answers != "stops when told":
        context.stop_answers = [answers]


@behave.given(
    "its backup may be sent requests for {seconds:g} s after a notice"
)
def set_drain(context, seconds):
    context.drain_s = seconds


@behave.when(
    "it is served, and its backup gives notice {by} after event {number:d}"
)
def serve_with_leaving_backup(context, by, number):
    async def give_notice(shared):
        wanted = forwarding_builders.make_event(number)
        while wanted not in context.answer.data:
            await trio.sleep(0.01)
        backup = shared.registry.find("b")
        now = trio.current_time()
        if by == "its entry":
            entry = backup.entry._replace(is_leaving=True)
            shared.registry.put_entry(entry, now)
        elif by == "its report":
            report = fleet_builders.make_report(
                number=1, made_at=now, is_leaving=True
            )
            backup.take_report(report)
        else:
            backup.is_said_to_leave = True

    context.give_notice = give_notice
    serve(context, 1000)


@behave.given("its target ends after event {last:d}")
def set_end(context, last):
    context.last = last


@behave.given(
    "a caller that reads nothing for {seconds:g} s after event {last:d}"
)
def set_slow_caller(context, seconds, last):
    context.answer.pause_s = seconds
    context.answer.pause_after = last


@behave.when("it is served, and its target gets notice after event {number:d}")
def serve(context, number, seconds=60.0):
    async def run():
        context.calls = backup_builders.BackupCalls(
            context.reaction, context.reacts_after_s, context.last
        )
        context.calls.works_on = context.works_on
        context.calls.stop_answers.extend(context.stop_answers)
        shared = forwarding_builders.make_forwarder(("a", "b"), context.calls)
        shared.registry.drain_s = getattr(context, "drain_s", math.inf)
        request = forwarding_builders.make_request(
            forwarding_builders.make_route(
                routes.RouteKind.STREAM, **context.route
            ),
            forwarding_builders.ENGINE._replace(can_move=context.can_move),
        )
        handler = request_handling.RequestHandler(
            shared, forwarding_builders.send_refusal
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(shared.release_unused_copies)
            nursery.start_soon(shared.run_stopper.run)
            nursery.start_soon(
                forwarding_builders.give_notice,
                context.answer,
                shared,
                number,
                NOTICE_MS,
            )
            if hasattr(context, "give_notice"):
                nursery.start_soon(context.give_notice, shared)
            with trio.move_on_after(seconds):
                await handler.serve(request, context.answer)
            nursery.cancel_scope.cancel()
        context.open_requests = [
            target.open_requests - place * 4
            for place, target in enumerate(shared.registry.list_all())
        ]

    with testing.capture_logs() as context.lines:
        topic_builders.run_on_mock_clock(run)


@behave.when(
    "it is served for {seconds:g} s, and its target gets notice after"
    " event {number:d}"
)
def serve_for(context, seconds, number):
    serve(context, number, seconds)
    assert [name for name, _ in context.calls.sends] == ["a", "b"]


def list_numbers(context):
    found = re.findall(rb"^id: (\d+)$", context.answer.data, re.MULTILINE)
    return [int(number) for number in found]


@behave.then("the caller has the whole report, each event once")
def check_whole(context):
    expected = list(range(1, backup_builders.EVENTS + 1))
    assert list_numbers(context) == expected, list_numbers(context)
    assert context.answer.is_finished


@behave.then("the caller has events 1 to {last:d}, and then a cut")
def check_cut(context, last):
    assert list_numbers(context) == list(range(1, last + 1))
    assert not context.answer.is_finished


@behave.then("no connection is left open")
def check_closed(context):
    assert not context.calls.open, context.calls.open
    assert context.open_requests == [0, 0], context.open_requests


@behave.then(
    "the run of its target was closed within {limit_ms:d} ms of the backup's"
    " answer"
)
def check_overlap(context, limit_ms):
    overlap_s = context.calls.closed_at["a"] - context.calls.reacted_at
    assert 0 <= overlap_s <= limit_ms / 1000, overlap_s


@behave.then("its target was told to stop within {limit_ms:d} ms")
def check_stopped(context, limit_ms):
    overlap_s = context.calls.stopped_at - context.calls.reacted_at
    assert 0 <= overlap_s <= limit_ms / 1000, overlap_s


@behave.then("the copy that the stop has made was freed")
def check_freed(context):
    assert ("a", "handle-1") in context.calls.freed_copies


@behave.then("its target was asked once, and had dropped the request")
def check_asked_once(context):
    assert context.calls.stops == 1, context.calls.stops
    assert not any(line["event"] == "run_left" for line in context.lines)
