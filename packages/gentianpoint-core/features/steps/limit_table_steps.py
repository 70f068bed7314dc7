"""Steps for the table of targets' limits."""

import itertools

import behave

from gentianpoint_core import limit_table
from gentianpoint_core import named_limits
from gentianpoint_core.decisions import request_turns

_KEY = "target/1"
_WINDOW_S = 4.0


def read_limit(text):
    if text == "nothing":
        return named_limits.UNNAMED
    return named_limits.read_named_limit([text.encode()])


def make_news(per_s, said_at, *, is_over=False, turn_at=10.0, turn=0):
    clock = request_turns.TurnClock(per_s, _WINDOW_S, turn, turn_at)
    return limit_table.LimitNews(_KEY, clock, said_at, is_over)


@behave.given("an empty table")
def make_table(context):
    context.told = 0

    def notify():
        context.told += 1

    context.limits = limit_table.LimitTable(notify)


@behave.given("a table that met a limit of {limit} at {at:g} s")
def make_known(context, limit, at):
    make_table(context)
    context.limits.note_answer(_KEY, read_limit(limit), at - 0.1, at)
    context.told = 0


@behave.when(
    "an answer that names {named} to a request of {asked_at:g} s comes at"
    " {at:g} s"
)
def answer(context, named, asked_at, at):
    context.limits.note_answer(_KEY, read_limit(named), asked_at, at)


@behave.then("it knows no limit")
def check_none(context):
    assert context.limits.find(_KEY) is None, context.limits.find(_KEY)


@behave.then("it knows a limit of {per_s:g}")
def check_limit(context, per_s):
    clock = context.limits.find(_KEY)
    assert clock is not None and clock.per_s == per_s, clock


@behave.given(
    "news of a limit of 2, of its change to 5, of its end and of a new one"
)
def make_all_news(context):
    context.news = [
        make_news(2.0, 10.0),
        make_news(5.0, 20.0, turn_at=20.0, turn=20),
        make_news(5.0, 30.0, is_over=True, turn_at=20.0, turn=20),
        make_news(3.0, 40.0, turn_at=40.0, turn=120),
        make_news(3.0, 41.0, turn_at=40.1, turn=120),
    ]


@behave.when("tables learn them in every order")
def learn_all(context):
    context.tables = []
    for order in itertools.permutations(context.news):
        table = limit_table.LimitTable()
        for news in order:
            table.merge(news)
        context.tables.append(table)


@behave.then("all of them know the same limit, with turns that begin together")
def check_same(context):
    found = {table.find(_KEY) for table in context.tables}
    assert found == {request_turns.TurnClock(3.0, 4.0, 120, 40.0)}, found


@behave.when(
    "another entry tells the same limit with turns from {from_s:g} s on"
)
def tell_turns(context, from_s):
    context.seen = context.limits.changes
    context.limits.merge(make_news(2.0, 10.0, turn_at=from_s))


@behave.then("its turns begin at {begin_s:g} s")
def check_turns(context, begin_s):
    assert context.limits.find(_KEY).find_start(0) == begin_s


@behave.then("the other entries are {told}")
def check_told(context, told):
    changed = context.limits.changes != context.seen
    assert changed == (told == "told")


@behave.when(
    "another entry tells a limit of {per_s} over {window} s in turn {turn}"
)
def tell_any(context, per_s, window, turn):
    clock = request_turns.TurnClock(
        float(per_s), float(window), int(float(turn)), 10.0
    )
    news = limit_table.LimitNews(_KEY, clock, 10.0, is_over=False)
    assert not context.limits.merge(news)


@behave.when(
    "100 answers a second name {first} and {second} in turn for {seconds:d}"
    " seconds"
)
def answer_often(context, first, second, seconds):
    context.seen = context.limits.changes
    for number in range(seconds * 100):
        at = 10 + number / 100
        named = read_limit(second if number % 2 else first)
        context.limits.note_answer(_KEY, named, at - 0.01, at)


@behave.then("others are told at most {most:d} times")
def check_told_times(context, most):
    assert context.limits.changes - context.seen <= most


@behave.given("a table that knows of {count:d} targets at {at:g} s")
def meet_many(context, count, at):
    make_table(context)
    for number in range(count):
        context.limits.note_answer(f"target-{number}", read_limit("2"), at, at)


@behave.then("it knows at most {most:d} limits")
def check_count(context, most):
    assert len(context.limits.list_since(0)) <= most


@behave.when(
    "it looks {seconds:d} s later which targets are listed, and none is"
)
def prune(context, seconds):
    context.limits.prune((), 10.0 + seconds)
