"""Steps for events of streams."""

import re

import behave
import forwarding_builders
import hypothesis
from hypothesis import strategies
import topic_builders
import trio

from gentianpoint_core.decisions import answer_ends
from gentianpoint_entry.forwarding import stream_events


@behave.given("the bytes of events 1 to 3 with line ends {ends}")
def make_bytes(context, ends):
    data = b"".join(forwarding_builders.make_event(n) for n in (1, 2, 3))
    context.data = data.replace(b"\n", b"\r\n") if ends == "CRLF" else data


async def send_pieces(pieces):
    for piece in pieces:
        yield piece


async def read_pieces(pieces, reader=None):
    reader = reader or stream_events.EventReader()
    events = reader.read_events(send_pieces(pieces))
    return [event async for event in events]


@behave.when("they arrive in pieces of {size:d} bytes")
def read_events(context, size):
    async def read():
        data = context.data
        return await read_pieces(
            [data[place : place + size] for place in range(0, len(data), size)]
        )

    context.events = topic_builders.run_on_mock_clock(read)


@behave.then("3 events are read, with the numbers 1 to 3 and the same bytes")
def check_events(context):
    assert [event.number for event in context.events] == [1, 2, 3]
    assert b"".join(event.data for event in context.events) == context.data


@behave.given('a caller that has the event "{last}"')
def make_order(context, last):
    context.order = stream_events.EventOrder(last)


@behave.given('a caller that has the event ""')
def make_fresh_order(context):
    context.order = stream_events.EventOrder("")


@behave.when("events arrive with the numbers {numbers}")
def take_events(context, numbers):
    given = []
    for word in numbers.split():
        if word == "then":
            context.order.begin_run()
            continue
        event = stream_events.StreamEvent(b"", int(word))
        try:
            if context.order.accept(event):
                given.append(word)
        except stream_events.EventOrderError:
            given.append("and then a failure")
            break
    context.given_events = " ".join(given)


@behave.then("these are forwarded: {given}")
def check_given(context, given):
    assert context.given_events == given, context.given_events


@behave.given("a caller that has an event of {count:d} digits")
def make_long_order(context, count):
    context.order = stream_events.EventOrder("9" * count)


@behave.when("an event of {count:d} digits arrives")
def take_long_event(context, count):
    data = b"id: " + b"9" * count + b"\n\n"
    (context.event,) = trio.run(read_pieces, [data])


@behave.then("the event is forwarded")
def check_forwarded(context):
    assert context.order.accept(context.event)


def make_pieces():
    return strategies.lists(
        strategies.one_of(
            strategies.binary(max_size=6),
            strategies.sampled_from(
                (
                    b"id: 1\n\n",
                    b"id:2\r\n\r\n",
                    b"id: \xb2\n\n",
                    b"id: -1\n\n",
                    b"id: " + b"9" * 5000,
                    b"data: x",
                    b"\n\n",
                )
            ),
        ),
        max_size=8,
    )


@behave.then(
    "whatever bytes arrive, all are forwarded in order or the stream"
    " breaks off"
)
def check_any_bytes(context):
    @hypothesis.settings(
        max_examples=300, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(make_pieces())
    def check(pieces):
        reader = stream_events.EventReader()
        events = trio.run(read_pieces, pieces, reader)
        data = b"".join(pieces)
        given = b"".join(event.data for event in events)
        rest = data.removeprefix(given)
        assert given + rest == data
        # What is kept back is exactly an event that does not end.
        assert not re.search(rb"\n\r?\n|\r\r", rest)
        assert reader.partial_bytes == len(rest)
        is_partial = bool(rest.strip(b"\r\n"))
        end = reader.find_content_end()
        assert (end is answer_ends.ContentEnd.MISSED) == is_partial
        assert is_partial == bool(rest)
        order = stream_events.EventOrder("")
        try:
            numbers = [
                event.number
                for event in events
                if order.accept(event) and event.number is not None
            ]
        except stream_events.EventOrderError:
            return
        assert numbers == sorted(set(numbers))

    check()
