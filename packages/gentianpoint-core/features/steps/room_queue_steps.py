"""Steps for requests that wait for room."""

import timeit

import behave

from gentianpoint_core.decisions import room_queue
from gentianpoint_core.decisions import wait_limits

_NEVER = wait_limits.WaitLimits(100.0, 100.0)
_LONG_TOKENS = 3450
_SHORT_TOKENS = 2560
_SHORT_OBJECTIVE_MS = 1500


def make_request(tokens, objective_ms, received_at, urgency, deadline_s):
    pace = wait_limits.Pace()
    return room_queue.WaitingRequest(
        urgency,
        tokens,
        wait_limits.find_limits(
            received_at,
            objective_ms,
            received_at + deadline_s,
            wait_limits.predict_first_event_s(pace, 600),
            wait_limits.predict_first_event_s(pace, 600)
            + wait_limits.predict_events_s(pace, 8),
        ),
    )


@behave.given("{count:d} long generations wait from {at:g} s on")
def add_long(context, count, at):
    context.arrivals = [
        (at, make_request(_LONG_TOKENS, 4000, at, 5, 30.0))
        for _ in range(count)
    ]


@behave.given("{count:d} short generations wait from {at:g} s on")
def add_short(context, count, at):
    context.arrivals += [
        (
            at,
            make_request(_SHORT_TOKENS, _SHORT_OBJECTIVE_MS, at, 1, 6.0),
        )
        for _ in range(count)
    ]


@behave.when("room for one opens every {interval:g} s")
def open_room(context, interval):
    queue = room_queue.RoomQueue()
    context.sent = []
    arrivals = list(context.arrivals)
    now = 0.2
    while arrivals or queue.count():
        now += interval
        while arrivals and arrivals[0][0] <= now:
            queue.join(arrivals.pop(0)[1])
        first = queue.find_first(now)
        queue.note_sent(first, now)
        context.sent.append((now, first))


@behave.then("the short ones are sent by {until:g} s, all of them on time")
def check_short(context, until):
    short = [
        (at, item) for at, item in context.sent if item.tokens == _SHORT_TOKENS
    ]
    assert len(short) == 12
    assert max(at for at, _ in short) <= until, short
    assert not any(item.limits.is_late(at) for at, item in short)


@behave.then(
    "the long ones are sent after them, in the order in which they came"
)
def check_long(context):
    numbers = [item.number for _, item in context.sent[12:]]
    assert numbers == list(range(12)), numbers


@behave.given("requests wait with {traits}")
def add_with_traits(context, traits):
    usage = {"heavy": 1000.0, "": 0.0}
    context.queue = room_queue.RoomQueue(lambda name: usage[name])
    for words in traits.split(", "):
        limits = _NEVER
        if "lateness" in words:
            limits = wait_limits.WaitLimits(-1.0, 100.0)
        context.queue.join(
            room_queue.WaitingRequest(
                1 if "urgency" in words else 5,
                100,
                limits,
                "heavy" if "more usage" in words else "",
                is_retry="retry" in words,
            )
        )


@behave.then("room goes to them in the order {numbers}")
def check_order(context, numbers):
    found = []
    while context.queue.count():
        first = context.queue.find_first(0.0)
        assert context.queue.count_ahead(first, 0.0) == 0
        found.append(str(first.number + 1))
        context.queue.note_sent(first, 0.0)
    assert found == numbers.split(), found


@behave.given("a long generation waits, and a short one always behind it")
def add_long_and_short(context):
    context.queue = room_queue.RoomQueue()
    context.long = room_queue.WaitingRequest(5, _LONG_TOKENS, _NEVER)
    context.queue.join(context.long)


@behave.when("there is room for a short one only, {count:d} times")
def send_short(context, count):
    context.passed = 0
    for _ in range(count):
        short = room_queue.WaitingRequest(5, _SHORT_TOKENS, _NEVER)
        context.queue.join(short)
        assert context.queue.find_first(0.0) is context.long
        following = context.queue.find_next(context.long, 0.0)
        if following is not None:
            context.queue.note_sent(following, 0.0)
            context.passed += 1


@behave.then("the long one is passed {count:d} times")
def check_passed(context, count):
    assert context.passed == context.long.overtaken == count, context.passed


@behave.given("requests of 900, 500 and 100 tokens wait")
def add_three(context):
    context.queue = room_queue.RoomQueue()
    context.three = [
        room_queue.WaitingRequest(5, tokens, _NEVER)
        for tokens in (900, 500, 100)
    ]
    for request in context.three:
        context.queue.join(request)


@behave.given("the second was passed too often")
def pass_second(context):
    context.three[1].overtaken = room_queue.MAX_OVERTAKES


@behave.then("after the first one the second is tried, and no other")
def check_three(context):
    first, second, _ = context.three
    assert context.queue.find_next(first, 0.0) is second
    assert context.queue.find_next(second, 0.0) is None


@behave.when("a generation with an objective of {objective_ms:d} ms waits")
def find_limits(context, objective_ms):
    context.limits = wait_limits.find_limits(0.0, objective_ms, 5.0, 0.5, 1.0)


@behave.then("it is late after {late_s:g} s and given up after {end_s:g} s")
def check_limits(context, late_s, end_s):
    assert context.limits == (late_s, end_s), context.limits


@behave.when("100 requests wait for room at 200 targets")
def add_many(context):
    context.queue = room_queue.RoomQueue()
    for number in range(100):
        context.queue.join(
            room_queue.WaitingRequest(
                number % 6, 100 + number, _NEVER, f"customer-{number % 40}"
            )
        )
    context.openings = [0.1 + number / 300 for number in range(200)]


@behave.then("a decision takes less than {limit_ms:g} ms")
def check_time(context, limit_ms):
    first = context.queue.find_first(0.0)
    for decide in (
        lambda: context.queue.find_first(0.0),
        lambda: context.queue.find_next(first, 0.0),
        lambda: wait_limits.find_opening(context.openings, 200, 90, 0.0),
    ):
        took_s = min(timeit.repeat(decide, number=20, repeat=20)) / 20
        assert took_s < limit_ms / 1000, took_s
