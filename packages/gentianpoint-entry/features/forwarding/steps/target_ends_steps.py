"""Steps for requests under which targets end."""

import itertools

import behave
import crash_builders
import topic_builders
import trio

_SETTLED_S = 8.0
"""Seconds in which the entries find each other."""
_RETURN_S = 0.02
"""Seconds until a caller that got an error is back at another entry."""


@behave.given("{count:d} entries and {places:d} targets")
def make_fleet(context, count, places):
    context.count = count
    context.places = places


@behave.given(
    "{count:d} entries and {places:d} targets behind fronts that go on"
    " listening"
)
def make_fleet_behind_fronts(context, count, places):
    make_fleet(context, count, places)
    context.has_fronts = True


def run_fleet(context, act):
    async def run():
        async with trio.open_nursery() as nursery:
            fleet = crash_builders.CrashFleet(
                nursery, context.count, context.places
            )
            fleet.park.has_fronts = getattr(context, "has_fronts", False)
            context.fleet = fleet
            await trio.sleep(_SETTLED_S)
            await act(fleet)
            nursery.cancel_scope.cancel()

    topic_builders.run_on_mock_clock(run)


def number_entries(context):
    """Return numbers of entries, each far from the one before."""
    return itertools.count(0, max(1, context.count * 2 // 5))


@behave.when(
    "a {kind} that ends each target is sent twice every {every:d} seconds,"
    " {waves:d} times"
)
def send_fatal(context, kind, every, waves):
    async def act(fleet):
        entries = number_entries(context)
        for _ in range(waves):
            begins_at = trio.current_time()
            for _ in range(2):
                await fleet.call(kind, crash_builders.FATAL, next(entries))
                await trio.sleep(_RETURN_S)
            await trio.sleep_until(begins_at + every)

    context.kind = kind
    context.act = act


def play(context):
    """Play what was described, unless that was done before."""
    if context.act is not None:
        act, context.act = context.act, None
        run_fleet(context, act)


@behave.then(
    "from {seconds:d} seconds after the third end on, at most {most:d} more"
    " reach a target"
)
def check_late_sends(context, seconds, most):
    play(context)
    park = context.fleet.park
    assert len(park.ends) >= 3, park.ends
    third_at = sorted(item.at for item in park.ends)[2]
    late = [
        item
        for item in park.sends
        if item.content == crash_builders.FATAL
        and item.at > third_at + seconds
    ]
    assert len(late) <= most, f"{len(late)} of {len(park.sends)}"


@behave.when("an entry starts, and gets the request {seconds:d} seconds later")
def start_entry(context, seconds):
    earlier = context.act

    async def act(fleet):
        await earlier(fleet)
        number = fleet.add_entry()
        await trio.sleep(seconds)
        context.result = await fleet.call(
            context.kind, crash_builders.FATAL, number
        )

    context.act = act


@behave.then("it refuses the request with status {status:d}")
def check_refused(context, status):
    play(context)
    assert context.result.status == status, context.result


@behave.then("the first {count:d} attempts get status {status:d}")
def check_first(context, count, status):
    play(context)
    first = context.fleet.served[:count]
    assert [item.status for item in first] == [status] * count, first


@behave.then(
    "the others get status {status:d} within {within_ms:d} ms, and are told"
    " when to come back"
)
def check_others(context, status, within_ms):
    others = context.fleet.served[3:]
    assert others
    for item in others:
        assert item.status == status, item
        assert item.took_s <= within_ms / 1000, item
        assert item.refusal.retry_after_ms > 0, item


CONTENT = "harmless"


@behave.when(
    "{count:d} callers send the same {kind} for {seconds:d} seconds, and all"
    " targets are killed twice meanwhile"
)
def send_popular(context, count, kind, seconds):
    async def act(fleet):
        async def call_for_ever(number):
            while True:
                await fleet.call(kind, CONTENT, number)
                await trio.sleep(0.02)

        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(call_for_ever, number)
            for _ in range(2):
                await trio.sleep(seconds / 4)
                fleet.park.end_all()
                await trio.sleep(seconds / 4)
            nursery.cancel_scope.cancel()
        await call_at_end(context, fleet, kind)

    run_fleet(context, act)


async def call_at_end(context, fleet, kind):
    """Send the request once all targets are back."""
    await trio.sleep(5)
    context.result = await fleet.call(kind, CONTENT, 1)


@behave.then("the request is answered at the end")
def check_answered(context):
    assert context.result.status == 200, context.result
    assert context.result.is_whole


async def cut_off(fleet, entry):
    entry.link.is_cut = True
    entry.link.reset()
    await trio.sleep(2)
    entry.link.is_cut = False


async def close_connections(fleet, entry):
    entry.link.reset()


async def end_after_notice(fleet, entry):
    for registry in fleet.park.registries:
        for target in registry.list_all():
            target.entry = target.entry._replace(is_leaving=True)
    await trio.sleep(0.01)
    fleet.park.end_all()


CAUSES = {
    "the entry is cut off from all targets": cut_off,
    "the target closes it and goes on": close_connections,
    "the target ends after its notice": end_after_notice,
}


@behave.when(
    "the connection of a {kind} breaks off {times:d} times, as {cause}"
)
def break_off(context, kind, times, cause):
    async def act(fleet):
        for _ in range(times):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.call, kind, CONTENT, 0)
                await trio.sleep(0.02)
                await CAUSES[cause](fleet, fleet.entries[0])
            await trio.sleep(15)
        broken = [item for item in fleet.served if item.status != 200]
        assert len(broken) == times, fleet.served
        await call_at_end(context, fleet, kind)

    run_fleet(context, act)


@behave.when(
    "a {kind} meets {first:d} kills, an answer after more than a minute, and"
    " {second:d} kills after another"
)
def kill_between(context, kind, first, second):
    async def act(fleet):
        for kills in (first, second):
            for _ in range(kills):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(fleet.call, kind, CONTENT, 0)
                    await trio.sleep(0.5)
                    fleet.park.end_all()
                await trio.sleep(6)
            await trio.sleep(70)
            await call_at_end(context, fleet, kind)
            await trio.sleep(70)

    run_fleet(context, act)


@behave.then("{count:d} targets have ended")
def check_ends(context, count):
    assert len(context.fleet.park.ends) == count, context.fleet.park.ends


_WATCHED_S = 30
"""Seconds after the last kill for which requests are sent on."""
_CALL_PAUSE_S = 0.25
"""Seconds between two requests of a caller."""


async def call_for_ever(fleet, kind, content, number, pause_s=_CALL_PAUSE_S):
    while True:
        await fleet.call(kind, content, number)
        await trio.sleep(pause_s)


def start_callers(nursery, fleet, count, kind, content):
    """Start callers, which keep to entries that are far from each other."""
    for number in range(count):
        entry = number * max(1, len(fleet.entries) // count)
        nursery.start_soon(call_for_ever, fleet, kind, content, entry)


@behave.when(
    "{count:d} callers send the same {kind}, and silent targets are killed"
    " {kills:d} times, {every:d} seconds apart"
)
def kill_silent(context, count, kind, kills, every):
    async def act(fleet):
        fleet.park.are_silent = True
        async with trio.open_nursery() as nursery:
            start_callers(nursery, fleet, count, kind, CONTENT)
            for _ in range(kills):
                await trio.sleep(every)
                fleet.park.end_all()
            context.calm_from = trio.current_time()
            fleet.park.are_silent = False
            await trio.sleep(_WATCHED_S)
            nursery.cancel_scope.cancel()

    run_fleet(context, act)


@behave.then(
    "from {seconds:d} seconds after the last kill on, {share:g} of the"
    " requests are served"
)
def check_share_served(context, seconds, share):
    calls = [
        item
        for item in context.fleet.served
        if item.at >= context.calm_from + seconds
    ]
    served = sum(item.status == 200 and item.is_whole for item in calls)
    print(f"{served} of {len(calls)} served")
    assert len(calls) >= 20, len(calls)
    assert served >= share * len(calls), f"{served} of {len(calls)}"


@behave.when(
    "{count:d} callers send a {kind} that ends each target for {seconds:d}"
    " seconds"
)
def send_popular_fatal(context, count, kind, seconds):
    async def act(fleet):
        async with trio.open_nursery() as nursery:
            start_callers(nursery, fleet, count, kind, crash_builders.FATAL)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    context.act = act


@behave.when(
    "callers send {count:d} plain calls while targets end under each request"
    " for {minutes:d} minutes"
)
def send_during_release(context, count, minutes):
    async def act(fleet):
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(
                    call_for_ever,
                    fleet,
                    "repeatable plain call",
                    f"{CONTENT}-{number}",
                    number,
                    5.0,
                )
            fleet.park.are_all_fatal = True
            await trio.sleep(minutes * 60)
            fleet.park.are_all_fatal = False
            await trio.sleep(600)
            nursery.cancel_scope.cancel()
        context.results = [
            await fleet.call(
                "repeatable plain call", f"{CONTENT}-{number}", number
            )
            for number in range(count)
        ]

    run_fleet(context, act)


@behave.then("{minutes:d} minutes later all of them are answered")
def check_all_answered(context, minutes):
    assert all(item.status == 200 for item in context.results), context.results


@behave.then("a caller is told to come back within {seconds:d} seconds")
def check_told(context, seconds):
    earlier, context.act = context.act, None

    async def act(fleet):
        await earlier(fleet)
        context.result = await fleet.call(
            context.kind, crash_builders.FATAL, 1
        )

    run_fleet(context, act)
    result = context.result
    assert result.status == 503, result
    assert 0 < result.refusal.retry_after_ms <= seconds * 1000, result
