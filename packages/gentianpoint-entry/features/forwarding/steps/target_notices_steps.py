"""Steps for what targets ask for in their answers."""

import math

import behave

from gentianpoint_standins import windows

_UNDER_WAY_S = 0.5
"""Seconds after an answer for which requests may still arrive that were under
way."""
_MAX_IN_REST = 2


@behave.given(
    "from {from_s:d} s on the first one says in its answers that it leaves"
)
def say_leaving(context, from_s):
    context.notices["target-0"] = lambda place: place.say_leaving(
        context.began + from_s
    )


@behave.given(
    "from {from_s:d} s to {to_s:d} s all of them say in their answers that"
    " they leave"
)
def say_all_leave(context, from_s, to_s):
    for name in context.names:
        context.notices[name] = lambda place: place.say_leaving(
            context.began + from_s, context.began + to_s
        )


@behave.then(
    "from {from_s:d} s to {to_s:d} s each request is refused within {most:d}"
    " ms"
)
def check_refused(context, from_s, to_s, most):
    calls = [
        call
        for call in context.fleet.calls
        if from_s <= call.at - context.began < to_s
    ]
    assert calls
    for call in calls:
        assert call.status == 503, call
        assert call.last_took_s <= most / 1000, call


@behave.then("from {from_s:d} s on the other start gets requests")
def check_other_start(context, from_s):
    sent = context.fleet.park["target-0-again"].sent
    assert any(item.at > context.began + from_s for item in sent)


@behave.given(
    "from {from_s:d} s on the first one refuses requests and asks for"
    " {rest_s:g} s of rest"
)
def ask_for_rest(context, from_s, rest_s):
    context.rest_s = rest_s
    context.notices["target-0"] = lambda place: place.ask_for_rest(
        context.began + from_s, rest_s
    )


@behave.given(
    "from {from_s:d} s on all of them refuse one request in ten, and ask for"
    " {rest_s:g} s of rest"
)
def refuse_some(context, from_s, rest_s):
    ask_all(context, from_s, math.inf, rest_s, 0.1)


@behave.given(
    "from {from_s:d} s to {to_s:d} s all of them refuse requests and ask for"
    " {rest_s:g} s of rest"
)
def refuse_all(context, from_s, to_s, rest_s):
    ask_all(context, from_s, to_s, rest_s, 1.0)


def ask_all(context, from_s, to_s, rest_s, chance):
    context.rest_s = rest_s
    for name in context.names:
        context.notices[name] = lambda place: place.ask_for_rest(
            context.began + from_s, rest_s, context.began + to_s, chance
        )


def find_first(context):
    return context.fleet.park["target-0"]


@behave.then(
    "no entry sends it anything from {within_s:d} s after it has passed that"
    " on"
)
def check_drain(context, within_s):
    place = find_first(context)
    assert place.told
    first = {}
    for told in place.told:
        first.setdefault(told.entry, told.at)
    late = [
        item
        for item in place.sent
        if item.at > first.get(item.entry, item.at) + within_s
    ]
    assert not late, (len(late), late[-1])


@behave.then("from {from_s:d} s on it gets nothing")
def check_nothing(context, from_s):
    late = [
        item
        for item in find_first(context).sent
        if item.at > context.began + from_s
    ]
    assert not late, (len(late), late[-1])


@behave.then(
    "from half a second after it has asked until the end of its rest no entry"
    " sends it more than two requests"
)
def check_rest(context):
    check_place(context, find_first(context))


@behave.then(
    "from half a second after any has asked until the end of its rest no entry"
    " sends it more than two requests"
)
def check_rests(context):
    for place in context.fleet.park.values():
        check_place(context, place)


@behave.then("from {from_s:d} s on it gets at most {most:d} requests a second")
def check_rate(context, from_s, most):
    times = [
        item.at
        for item in find_first(context).sent
        if item.at > context.began + from_s
    ]
    found = windows.count_most(times, 1.0)
    assert 0 < found <= most, found


@behave.then("from {from_s:d} s on each target gets requests")
def check_used(context, from_s):
    for place in context.fleet.park.values():
        assert any(item.at > context.began + from_s for item in place.sent), (
            place.entry.target_id
        )


@behave.then(
    "each refused caller of an entry that knows all to rest is told when the"
    " first is back"
)
def check_told_rest(context):
    park = context.fleet.park.values()
    checked = 0
    for told in context.fleet.told:
        # When the entry heard last from each target that it rests.
        known = [
            [
                item.at
                for item in place.told
                if item.entry == told.entry and item.at < told.refusal_at
            ]
            for place in park
        ]
        if not all(known):
            continue
        back_at = min(times[-1] for times in known) + context.rest_s
        if back_at > told.refusal_at:
            checked += 1
            latest_at = told.refusal_at + told.left_s / 3
            assert told.opens_at >= min(back_at, latest_at) - 0.01, told
    assert checked


def check_place(context, place):
    assert place.told
    most = max(
        sum(
            item.entry == told.entry
            and told.at + _UNDER_WAY_S < item.at < told.at + context.rest_s
            for item in place.sent
        )
        for told in place.told
    )
    assert most <= _MAX_IN_REST, most
