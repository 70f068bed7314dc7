"""Steps for limits on requests that targets name."""

import itertools
import math

import behave
import limit_builders
import topic_builders
import trio

_PLAIN_VALUES = {"no limit": None}
_PREFERRED_SHARE = 0.9
_SETTLED_S = 3.0
"""Seconds after a limit is first named in which entries learn of it."""


@behave.given("{count:d} entries before {targets:d} targets")
def prepare(context, count, targets):
    context.count = count
    context.names = [f"target-{number}" for number in range(targets)]
    # What each target names from some time on, as texts and limits.
    context.phases = {name: [(0.0, None, math.inf)] for name in context.names}
    context.events = []
    # What changes a target, by its name.
    context.notices = {}
    context.choose = None
    context.may_repeat = False
    context.failing = ()


def add_phase(context, name, from_s, text):
    """Let a target name a limit, a raw value, or nothing from a time on."""
    value = text.removeprefix("a limit of ").removeprefix("the value ")
    value = _PLAIN_VALUES.get(value, value)
    limit = context.phases[name][-1][2]
    if value is None:
        limit = math.inf
    elif "value" not in text:
        limit = float(value)
    context.phases[name].append((from_s, value, limit))


@behave.given(
    "from {from_s:d} s on two of them name limits of {first} and {second}"
)
def name_two(context, from_s, first, second):
    add_phase(context, "target-0", from_s, first)
    add_phase(context, "target-1", from_s, second)


@behave.given("from {from_s:d} s on all of them name {text}")
def name_all(context, from_s, text):
    for name in context.names:
        add_phase(context, name, from_s, text)


@behave.given("from {from_s:d} s on the first one names a limit of {limit}")
def name_first(context, from_s, limit):
    add_phase(context, "target-0", from_s, limit)


@behave.given("at {at_s:d} s the first one starts again without a limit")
def restart_first(context, at_s):
    async def restart(fleet):
        await trio.sleep_until(context.began + at_s)
        fleet.restart_target("target-0", limit_builders.name_nothing)

    context.events.append(restart)
    add_phase(context, "target-0", at_s, "no limit")


@behave.given("the others answer repeatable requests with failures")
def fail(context):
    context.may_repeat = True
    context.failing = context.names[1:]


@behave.given(
    "one of the entries starts at {start_s:d} s, and gets all requests from"
    " {from_s:d} s on"
)
def start_late(context, start_s, from_s):
    async def start(fleet):
        await trio.sleep_until(context.began + start_s)
        context.late = fleet.add_entry()

    def choose(fleet):
        if trio.current_time() < context.began + from_s:
            return fleet.choose_entry() % context.count
        return context.late

    context.events.append(start)
    context.choose = choose


def cut_off(context, from_s, to_s):
    async def cut(fleet):
        await trio.sleep_until(context.began + from_s)
        address = fleet.entries[0].gossip.address
        fleet.gossip.cut_off.add(address)
        await trio.sleep_until(context.began + to_s)
        fleet.gossip.cut_off.discard(address)

    context.events.append(cut)


@behave.given(
    "one of the entries hears from no other from {from_s:d} s to {to_s:d} s"
)
def cut_some_time(context, from_s, to_s):
    cut_off(context, from_s, to_s)


@behave.given(
    "one of the entries hears from no other from {from_s:d} s on, and gets all"
    " requests"
)
def cut_for_good(context, from_s):
    cut_off(context, from_s, 1000)
    context.choose = lambda fleet: 0


@behave.given(
    "one of the entries stands still from {from_s:d} s to {to_s:d} s, and then"
    " gets all requests"
)
def freeze(context, from_s, to_s):
    cut_off(context, from_s, to_s)

    def choose(fleet):
        now = trio.current_time() - context.began
        if now >= to_s:
            return 0
        number = fleet.choose_entry()
        return max(1, number) if now >= from_s else number

    context.choose = choose


def prefer_few(context, from_s, count):
    """Let nine in ten callers come to the first ``count`` live entries."""
    context.preferred = [(from_s, count)]

    def choose(fleet):
        now = trio.current_time() - context.began
        live = fleet.list_live()
        count = 0
        for since_s, more in context.preferred:
            if now >= since_s:
                count = more
        if count and fleet.draw() < _PREFERRED_SHARE:
            return live[int(fleet.draw() * count)]
        return live[int(fleet.draw() * len(live))]

    context.choose = choose


@behave.given(
    "from {from_s:d} s on nine in ten callers come to {count:d} of the entries"
)
def prefer_from(context, from_s, count):
    context.uneven_s = from_s
    prefer_few(context, from_s, count)


@behave.given("from {from_s:d} s on callers come to all entries alike")
def prefer_none(context, from_s):
    context.preferred.append((from_s, 0))


@behave.given(
    "at {at_s:d} s each entry gets datagrams on turns with odd values"
)
def send_odd(context, at_s):
    async def send(fleet):
        await trio.sleep_until(context.began + at_s)
        fleet.send_odd_datagrams()

    context.events.append(send)


@behave.given("at {at_s:d} s that one is killed, and another one gets them")
def kill_preferred(context, at_s):
    async def kill(fleet):
        await trio.sleep_until(context.began + at_s)
        fleet.kill(0)

    context.events.append(kill)


def make_header(context, name):
    def read(now):
        value = None
        for from_s, text, _ in context.phases[name]:
            if now >= context.began + from_s:
                value = text
        return () if value is None else (value.encode(),)

    return read


def play(context, act):
    async def run():
        async with trio.open_nursery() as nursery:
            context.began = trio.current_time()
            fleet = limit_builders.LimitFleet(
                nursery,
                context.count,
                {name: make_header(context, name) for name in context.names},
            )
            fleet.may_repeat = context.may_repeat
            for name in context.failing:
                fleet.park[name].fails = True
            for name, change in context.notices.items():
                change(fleet.park[name])
            for event in context.events:
                nursery.start_soon(event, fleet)
            context.fleet = fleet
            await act(fleet)
            context.ended = trio.current_time()
            nursery.cancel_scope.cancel()

    topic_builders.run_on_mock_clock(run)


def send_load(context, per_s, seconds, **more):
    async def act(fleet):
        def choose():
            if context.choose is None:
                return fleet.choose_entry()
            return context.choose(fleet)

        await fleet.send_load(per_s, seconds, choose, **more)

    play(context, act)


@behave.when("{per_s:d} requests a second come for {seconds:d} seconds")
def send_equal(context, per_s, seconds):
    send_load(context, per_s, seconds)


@behave.when(
    "{per_s:d} requests a second of 2 priorities come for {seconds:d} seconds"
)
def send_urgent(context, per_s, seconds):
    send_load(context, per_s, seconds, priorities=(0, 3))


@behave.when(
    "{per_s:d} requests a second come for {seconds:d} seconds, nine in ten of"
    " one customer"
)
def send_unequal(context, per_s, seconds):
    customers = ("large",) * 9 + ("small",)
    send_load(context, per_s, seconds, customers=customers)


@behave.then(
    "from {settled_s:d} s after that on no target gets more in any 4 s than it"
    " may"
)
def check_most(context, settled_s):
    for name, phases in context.phases.items():
        ends = [phase[0] for phase in phases[1:]] + [math.inf]
        times = [item.at for item in context.fleet.park[name].sent]
        for (from_s, _, limit), to_s in zip(phases, ends, strict=True):
            if math.isinf(limit):
                continue
            counted = [at for at in times if at < context.began + to_s]
            most = limit_builders.count_most(
                counted, context.began + from_s + settled_s
            )
            allowed = limit_builders.find_most_allowed(limit)
            assert most <= allowed, (name, from_s, limit, most, allowed)


@behave.then("each target gets at least half of what its limit allows")
def check_use(context):
    for name, phases in context.phases.items():
        from_s, _, limit = phases[-1]
        from_s += context.began + 3
        sent = context.fleet.park[name].sent
        count = sum(item.at >= from_s for item in sent)
        used = count / (limit * (context.ended - from_s))
        assert used >= 0.5, (name, used)


def list_refused(context):
    return [call for call in context.fleet.calls if call.status != 200]


@behave.then("each request that is not served is refused within {most:d} ms")
def check_refused(context, most):
    refused = list_refused(context)
    assert refused
    for call in refused:
        assert call.status == 503, call
        # Waiting, and coming back after a refusal, are the caller's choice.
        assert call.last_took_s <= most / 1000, call


@behave.then("it is told a time to come back of its own")
def check_told(context):
    by_entry = itertools.groupby(
        sorted(
            context.fleet.told,
            key=lambda told: (told.entry, told.refusal_at),
        ),
        key=lambda told: told.entry,
    )
    for entry, group in by_entry:
        times = [round(told.opens_at, 4) for told in group]
        # Turns at three targets may begin at the same time.
        most = max(times.count(at) for at in set(times))
        assert most <= len(context.names), (entry, most)


@behave.then("all requests are served")
def check_served(context):
    lost = list_refused(context)
    assert not lost, (len(lost), len(context.fleet.calls), lost[:3])


@behave.then("from {from_s:d} s on all requests are served")
def check_served_from(context, from_s):
    lost = [
        call
        for call in list_refused(context)
        if call.at >= context.began + from_s
    ]
    assert not lost, (len(lost), lost[:3])


def measure_first_tries(context, from_s, to_s=math.inf):
    """Return which share of the calls were served at their first try."""
    calls = [
        call
        for call in context.fleet.calls
        if from_s <= call.at - context.began < to_s
    ]
    served = [call for call in calls if call.status == 200 and call.tries == 1]
    return len(served) / len(calls)


def check_share(context, from_s, least):
    limited_s = max(phases[-1][0] for phases in context.phases.values())
    before = measure_first_tries(
        context, limited_s + _SETTLED_S, context.uneven_s
    )
    then = measure_first_tries(context, from_s)
    assert then >= least * before, (before, then)


@behave.then(
    "from {from_s:d} s on at least three quarters as many are served as before"
)
def check_three_quarters(context, from_s):
    check_share(context, from_s, 0.75)


@behave.then(
    "from {from_s:d} s on at least nine tenths as many are served as before"
)
def check_nine_tenths(context, from_s):
    check_share(context, from_s, 0.9)


@behave.then(
    "from {from_s:d} s on at least three quarters of all requests are served"
)
def check_served_share(context, from_s):
    share = measure_first_tries(context, from_s)
    assert share >= 0.75, share


def list_late(context):
    """Return the calls that came 3 s after the last change of a limit."""
    changed_s = max(phases[-1][0] for phases in context.phases.values())
    from_s = context.began + changed_s + 3
    return [call for call in context.fleet.calls if call.at >= from_s]


@behave.then("from 3 s after that on all requests are served")
def check_late_served(context):
    late = list_late(context)
    lost = [call for call in late if call.status != 200]
    assert late and not lost, (len(lost), len(late), lost[:3])


@behave.then("from 3 s after that on some requests are refused")
def check_late_refused(context):
    assert any(call.status == 503 for call in list_late(context))


def measure_served(calls):
    return sum(call.status == 200 for call in calls) / len(calls)


@behave.then("urgent requests are served more often than others")
def check_urgent(context):
    urgent = [call for call in context.fleet.calls if not call.priority]
    others = [call for call in context.fleet.calls if call.priority]
    assert measure_served(urgent) > measure_served(others), (
        measure_served(urgent),
        measure_served(others),
    )


@behave.then("the others' requests are served more often than that one's")
def check_fair(context):
    small = [call for call in context.fleet.calls if call.customer == "small"]
    large = [call for call in context.fleet.calls if call.customer == "large"]
    assert measure_served(small) > measure_served(large), (
        measure_served(small),
        measure_served(large),
    )
