"""Steps for readings of the log that entries share."""

import behave
import fleet_builders
import fleet_log
import topic_builders
import trio

from gentianpoint_entry.forwarding import link_delay
from gentianpoint_entry.forwarding import ranking
from gentianpoint_entry.forwarding import topic_follower

_START_S = 6.0
_PHASES = 16
_PHASE_S = 0.097
_READ_ON_S = 3.0
_PACES = {
    "waiting": topic_follower.make_long_poll_timing,
    "pausing": topic_follower.make_short_poll_timing,
}


@behave.given(
    "{count:d} entries that follow a {kind} topic within {within_ms:d} ms"
)
def make_entries(context, count, kind, within_ms):
    context.make = lambda: fleet_log.ReadingFleet(
        count, _PACES[kind](within_ms)
    )


def play(context, action):
    async def run():
        fleet = context.make()
        async with trio.open_nursery() as nursery:
            fleet.start(nursery)
            await trio.sleep(_START_S)
            await action(fleet)
            nursery.cancel_scope.cancel()

    topic_builders.run_on_mock_clock(run)


@behave.when("they follow it for {seconds:d} seconds")
def follow(context, seconds):
    async def action(fleet):
        before = fleet.log.calls
        await trio.sleep(seconds)
        context.calls_per_s = (fleet.log.calls - before) / seconds

    play(context, action)


@behave.then(
    "the log is called at most {most:d} times a second after the start"
)
def check_calls(context, most):
    assert 0 < context.calls_per_s <= most, context.calls_per_s


def stop(fleet, entry):
    fleet.fleet.stop(entry)


def turn_away(fleet, entry):
    fleet.log.turned_away.add(entry.address)


def cut_off(fleet, entry):
    fleet.fleet.cut_off.add(entry.address)


_FAULTS = {
    "stops": stop,
    "is turned away by the log": turn_away,
    "is cut off from the others": cut_off,
}


async def write_and_wait(context, fleet, later_s, left_out):
    await trio.sleep(later_s)
    written_at = trio.current_time()
    fleet.log.write("latest")
    await trio.sleep(_READ_ON_S)
    for address, reader in fleet.readers.items():
        if address not in left_out:
            came_at = reader.moments.get("latest", float("inf"))
            context.late_ms.append((came_at - written_at) * 1000)


@behave.when(
    "the first reader {fault} at any phase, and a record is written"
    " {later_ms:d} ms later"
)
def fail_reader(context, fault, later_ms):
    context.late_ms = []
    for phase in range(_PHASES):

        async def action(fleet, phase=phase):
            await trio.sleep(phase * _PHASE_S)
            first = fleet.find_first()
            _FAULTS[fault](fleet, first)
            left_out = {first.address} if fault == "stops" else set()
            await write_and_wait(context, fleet, later_ms / 1000, left_out)

        play(context, action)


@behave.when(
    "the log turns all but {served:d} entries away, and a record is written"
    " {later_ms:d} ms later"
)
def turn_most_away(context, served, later_ms):
    context.late_ms = []

    async def action(fleet):
        addresses = list(fleet.readers)
        fleet.log.turned_away.update(addresses[served:])
        await write_and_wait(context, fleet, later_ms / 1000, set())

    play(context, action)


@behave.then("all others have each record within {within_ms:d} ms")
def check_late(context, within_ms):
    assert context.late_ms
    assert max(context.late_ms) <= within_ms, max(context.late_ms)


@behave.given("a connection on which messages take {took_ms:d} ms")
def make_connection(context, took_ms):
    context.delay = link_delay.LinkDelay(0.0)
    for sent_s in range(5):
        context.delay.measure_s(sent_s + 500.0, sent_s + took_ms / 1000)


@behave.when("one message takes {took_ms:d} ms")
def wait_long(context, took_ms):
    context.waited_s = context.delay.measure_s(505.0, 5 + took_ms / 1000)


@behave.then("it counts as having waited {waited_ms:d} ms")
def check_waited(context, waited_ms):
    assert round(context.waited_s * 1000) == waited_ms, context.waited_s


@behave.given("an entry that read a topic without record 1 at 2.0 s")
def make_late_reader(context):
    context.reader = topic_builders.NotingReader()
    context.follower = topic_follower.TopicFollower(
        "topic",
        topic_builders.SleepyTopic(1),
        context.reader,
        topic_follower.make_short_poll_timing(4000),
        lambda: (),
    )


@behave.when("it hears that another entry had record 1 at 1.5 s")
def hear_of_record(context):
    other = topic_builders.FakeTopic(2)

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.follower.run)
            await trio.sleep(2.5)
            context.follower.offer(other, topic_follower.TopicProgress(2, 1.5))
            await trio.sleep(0.1)
            context.keys = set(context.reader.keys)
            nursery.cancel_scope.cancel()

    topic_builders.run_on_mock_clock(run)


@behave.then("it has record 1 at once")
def check_missed_record(context):
    assert "key-1" in context.keys, context.keys


@behave.when(
    "the log turns the first two readers away by turns for {seconds:d} seconds"
)
def turn_away_by_turns(context, seconds):
    async def action(fleet):
        ranked = ranking.rank_members(fleet_builders.TOPIC, fleet.readers)
        context.left_out = set(ranked[:2])
        for second in range(seconds):
            fleet.log.turned_away = {ranked[second % 2]}
            fleet.log.write(f"record-{second}")
            await trio.sleep(1.0)
        context.fleet = fleet

    play(context, action)


@behave.when("the log turns all away for {seconds:d} seconds")
def turn_all_away(context, seconds):
    async def action(fleet):
        context.left_out = set()
        fleet.log.turned_away = set(fleet.readers)
        await trio.sleep(seconds)
        fleet.log.turned_away = set()
        await trio.sleep(_READ_ON_S)
        context.fleet = fleet

    play(context, action)


def list_outages(context):
    return [
        reader.outages
        for address, reader in context.fleet.readers.items()
        if address not in context.left_out
    ]


@behave.then("no other entry takes the log for having been away")
def check_no_outage(context):
    assert max(list_outages(context)) == 0, list_outages(context)


@behave.then("each entry takes the log for having been away")
def check_outage(context):
    assert min(list_outages(context)) > 0, list_outages(context)
