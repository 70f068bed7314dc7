"""Steps for answers that end with their connection."""

import itertools
import random
import typing

import behave
import end_builders
import forwarding_builders
from structlog import testing
import topic_builders
import trio

from gentianpoint_entry.forwarding import request_handling
from gentianpoint_entry.forwarding import routes

EVENTS = end_builders.EVENTS
WHOLE = b"".join(EVENTS)
CUT_SHARE = 0.2


class Served(typing.NamedTuple):
    """What came of one request."""

    cut: end_builders.Cut
    answer: forwarding_builders.RecordedAnswer
    took_s: float
    lines: typing.Sequence[typing.Mapping[str, typing.Any]]
    asked: typing.Sequence[str]


def looks_complete(item):
    return item.answer.is_finished and item.answer.status == 200


def serve(context, cut, status=200):
    """Serve a request whose first target answers as cut."""
    answer = forwarding_builders.RecordedAnswer()
    calls = end_builders.CutCalls(cut, status)
    took_s = []

    async def run():
        shared = forwarding_builders.make_forwarder(("a", "b"), calls)
        request = forwarding_builders.make_request(
            context.route, context.engine
        )
        handler = request_handling.RequestHandler(
            shared, forwarding_builders.send_refusal
        )
        began = trio.current_time()
        await handler.serve(request, answer)
        took_s.append(trio.current_time() - began)

    with testing.capture_logs() as lines:
        topic_builders.run_on_mock_clock(run)
    asked = [name for name, _ in calls.sends]
    return Served(cut, answer, took_s[0], lines, asked)


@behave.when(
    "a stream without length and chunks is cut at each byte of its events"
)
def cut_everywhere(context):
    context.served = [
        serve(context, cut)
        for cut in end_builders.list_cuts()
        if cut.is_inside_event()
    ]


@behave.when("a stream in chunks ends at each byte of its events")
def end_chunks_everywhere(context):
    context.served = [
        serve(context, cut._replace(is_delimited=True))
        for cut in end_builders.list_cuts()
        if cut.is_inside_event()
    ]


@behave.when(
    "a stream without length and chunks ends after event {count:d} as its"
    " target {then}"
)
def end_between_events(context, count, then):
    at = len(b"".join(EVENTS[:count]))
    cut = end_builders.Cut(at, ends_target=then == "ends")
    context.served = [serve(context, cut)]


@behave.when(
    "an answer of status {status:d} without length and chunks ends as its"
    " target {then}"
)
def end_answer(context, status, then):
    cut = end_builders.Cut(len(WHOLE), ends_target=then == "ends")
    context.served = [serve(context, cut, status)]
    context.framed = serve(context, cut._replace(is_delimited=True), status)


@behave.when(
    "a stream without length and chunks ends after event {count:d} while its"
    " entry {does}"
)
def end_late(context, count, does):
    at = len(b"".join(EVENTS[:count]))
    context.late = end_builders.LateCut(at, does)


@behave.when(
    "an answer of status 200 without length and chunks ends while its entry"
    " {does}"
)
def end_answer_late(context, does):
    context.late = end_builders.LateCut(len(WHOLE), does)


@behave.when("a process listens at its target's address, and {news}")
def serve_late(context, news):
    answer = end_builders.PausingAnswer()
    calls = end_builders.LateCalls(context.late, answer, news)

    async def run():
        shared = forwarding_builders.make_forwarder(("a", "b"), calls)
        calls.registry = shared.registry
        request = forwarding_builders.make_request(
            context.route, context.engine
        )
        handler = request_handling.RequestHandler(
            shared, forwarding_builders.send_refusal
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(calls.tell_news)
            await handler.serve(request, answer)
            nursery.cancel_scope.cancel()

    with testing.capture_logs() as lines:
        topic_builders.run_on_mock_clock(run)
    asked = [name for name, _ in calls.sends]
    context.served = [Served(calls.cut, answer, 0.0, lines, asked)]


@behave.when(
    "{count:d} streams are served in chunks and without framing, cut and whole"
)
def serve_many(context, count):
    source = random.Random(1)
    places = end_builders.list_cuts()
    context.route = forwarding_builders.make_route(
        routes.RouteKind.STREAM, may_resume=True, max_attempts=2
    )
    context.engine = forwarding_builders.ENGINE
    context.served = []
    for number, is_delimited in itertools.product(range(count), (True, False)):
        cut = end_builders.Cut(len(WHOLE))
        if number % 2 and source.random() < 2 * CUT_SHARE:
            cut = source.choice(places)
            cut = cut._replace(ends_target=not cut.is_inside_event())
        context.served.append(
            serve(
                context,
                cut._replace(
                    is_delimited=is_delimited, is_broken=cut.at < len(WHOLE)
                ),
            )
        )


@behave.then("no caller gets a cut stream as complete, nor a part of an event")
def check_cuts(context):
    assert len(context.served) > 80
    whole = [b"".join(EVENTS[:count]) for count in range(4)]
    wrong = [
        item.cut
        for item in context.served
        if looks_complete(item)
        or (item.answer.status == 200 and item.answer.data not in whole)
    ]
    assert not wrong, f"{len(wrong)} of {len(context.served)}: {wrong[:3]}"


@behave.then("every caller gets all events, each once, as a complete answer")
def check_went_on(context):
    assert len(context.served) > 80
    wrong = [
        (item.cut, item.answer.data)
        for item in context.served
        if not looks_complete(item) or item.answer.data != WHOLE
    ]
    assert not wrong, f"{len(wrong)} of {len(context.served)}: {wrong[:3]}"


@behave.then("the caller has events 1 to {last:d} in an answer that is {how}")
def check_events(context, last, how):
    (item,) = context.served
    assert item.answer.data == b"".join(EVENTS[:last]), item.answer.data
    assert item.answer.is_finished == (how == "complete")


@behave.then(
    "the caller is given the status {status:d} with the body of {name}"
)
def check_answer(context, status, name):
    (item,) = context.served
    assert item.answer.is_finished
    assert item.answer.status == status, item.answer.status
    if name != "none":
        assert item.answer.data == WHOLE
        assert item.asked[-1] == name, item.asked
    else:
        assert WHOLE not in item.answer.data


@behave.then("it waits {wait_ms:d} ms longer for the end than with a length")
def check_wait(context, wait_ms):
    (item,) = context.served
    longer_ms = (item.took_s - context.framed.took_s) * 1000
    assert abs(longer_ms - wait_ms) < 20, longer_ms


@behave.then(
    "each cut is noted as a failure of its target, whose connection closed"
)
def check_failures(context):
    for item in context.served:
        failed = [
            line["disconnected"]
            for line in item.lines
            if line["event"] == "attempt_failed"
        ]
        assert failed == [True], failed


def list_by_framing(context, *, is_broken):
    for is_delimited in (True, False):
        yield [
            item
            for item in context.served
            if item.cut.is_delimited == is_delimited
            and item.cut.is_broken == is_broken
        ]


def measure_complete(items):
    whole = [
        looks_complete(item) and item.answer.data == WHOLE for item in items
    ]
    return sum(whole) / len(items)


@behave.then("at least {share:g} of those that are cut go on, by each framing")
def check_going_on(context, share):
    for items in list_by_framing(context, is_broken=True):
        assert len(items) >= 30
        assert measure_complete(items) >= share, measure_complete(items)


@behave.then(
    "at least {share:g} of those that are not cut are complete, by each"
    " framing"
)
def check_whole(context, share):
    for items in list_by_framing(context, is_broken=False):
        assert len(items) >= 100
        assert measure_complete(items) >= share, measure_complete(items)


@behave.then("no answer looks complete that is not")
def check_none_false(context):
    wrong = [
        item.cut
        for item in context.served
        if looks_complete(item) and item.answer.data != WHOLE
    ]
    assert not wrong, wrong
