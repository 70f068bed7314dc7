"""Steps for limits on requests that targets name."""

import behave
import limit_builders
import topic_builders
import trio

_SETTLED_S = 3.0


@behave.given("{count:d} entries before {targets:d} targets")
def prepare(context, count, targets):
    context.count = count
    context.headers = {
        f"target-{number}": limit_builders.name_nothing
        for number in range(targets)
    }
    context.limits = {}
    context.from_s = 0.0


def name_limit(context, name, value, from_s):
    def read(now):
        is_named = now >= context.began + from_s
        return (value.encode(),) if is_named else ()

    context.headers[name] = read
    context.limits[name] = float(value)
    context.from_s = from_s


@behave.given(
    "from {from_s:d} s on two of them name limits of {first} and {second}"
)
def name_two(context, from_s, first, second):
    name_limit(context, "target-0", first, from_s)
    name_limit(context, "target-1", second, from_s)


def play(context, act):
    async def run(nursery):
        context.began = trio.current_time()
        context.fleet = limit_builders.LimitFleet(
            nursery, context.count, context.headers
        )
        await act(context.fleet)
        nursery.cancel_scope.cancel()

    async def open_nursery():
        async with trio.open_nursery() as nursery:
            await run(nursery)

    topic_builders.run_on_mock_clock(open_nursery)


@behave.when("{per_s:d} requests a second come for {seconds:d} seconds")
def send_load(context, per_s, seconds):
    async def act(fleet):
        await fleet.send_load(per_s, seconds, fleet.choose_entry)

    play(context, act)


@behave.then(
    "from {settled_s:d} s after that on no target gets more in any 4 s than it"
    " may"
)
def check_most(context, settled_s):
    from_s = context.began + context.from_s + settled_s
    for name, limit in context.limits.items():
        times = [item.at for item in context.fleet.park[name].sent]
        most = limit_builders.count_most(times, from_s)
        allowed = limit_builders.find_most_allowed(limit)
        assert most <= allowed, (name, limit, most, allowed)


@behave.then("all requests are served")
def check_served(context):
    lost = [call for call in context.fleet.calls if call.status != 200]
    assert not lost, (len(lost), len(context.fleet.calls), lost[:3])
