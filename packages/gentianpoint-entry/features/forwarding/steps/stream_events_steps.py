"""Steps for events of streams."""

import behave
import forwarding_builders
import topic_builders

from gentianpoint_entry.forwarding import stream_events


@behave.given("the bytes of events 1 to 3 with line ends {ends}")
def make_bytes(context, ends):
    data = b"".join(forwarding_builders.make_event(n) for n in (1, 2, 3))
    context.data = data.replace(b"\n", b"\r\n") if ends == "CRLF" else data


@behave.when("they come in pieces of {size:d} bytes")
def read_events(context, size):
    async def send_pieces():
        for start in range(0, len(context.data), size):
            yield context.data[start : start + size]

    async def read():
        return [
            event async for event in stream_events.split_events(send_pieces())
        ]

    context.events = topic_builders.run_on_clock(read)


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


@behave.when("events come with the numbers {numbers}")
def take_events(context, numbers):
    given = []
    for number in map(int, numbers.split()):
        event = stream_events.StreamEvent(b"", number)
        try:
            if context.order.take(event):
                given.append(str(number))
        except stream_events.EventOrderError:
            given.append("and then a failure")
            break
    context.given_events = " ".join(given)


@behave.then("these are passed on: {given}")
def check_given(context, given):
    assert context.given_events == given, context.given_events
