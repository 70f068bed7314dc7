"""Steps for polls of the log that entries share."""

import behave
import fleet_builders
import fleet_log
import topic_builders
import trio

from gentianpoint_core import ports
from gentianpoint_core.decisions import ranking
from gentianpoint_entry.forwarding import link_delay
from gentianpoint_entry.forwarding import topic_follower

_START_S = 6.0
_PHASES = 16
_PHASE_STEP_S = 0.097
_SETTLE_S = 3.0
_TIMINGS = {
    "waiting": topic_follower.make_long_poll_timing,
    "pausing": topic_follower.make_short_poll_timing,
}


@behave.given(
    "{count:d} entries that follow a {kind} topic within {within_ms:d} ms"
)
def make_entries(context, count, kind, within_ms):
    context.make_fleet = lambda: fleet_log.PollingFleet(
        count, _TIMINGS[kind](within_ms)
    )


def run_fleet(context, action):
    async def run():
        polling_fleet = context.make_fleet()
        async with trio.open_nursery() as nursery:
            polling_fleet.start(nursery)
            await trio.sleep(_START_S)
            await action(polling_fleet)
            nursery.cancel_scope.cancel()

    topic_builders.run_on_mock_clock(run)


@behave.when("they follow it for {seconds:d} seconds")
def follow(context, seconds):
    async def action(fleet):
        before = fleet.log.calls
        await trio.sleep(seconds)
        context.calls_per_s = (fleet.log.calls - before) / seconds

    run_fleet(context, action)


@behave.then(
    "the log is called at most {most:d} times a second after the start"
)
def check_calls(context, most):
    assert 0 < context.calls_per_s <= most, context.calls_per_s


def stop(fleet, entry):
    fleet.fleet.stop(entry)


def reject(fleet, entry):
    fleet.log.rejected.add(entry.address)


def cut_off(fleet, entry):
    fleet.fleet.cut_off.add(entry.address)


_FAULTS = {
    "stops": stop,
    "is turned away by the log": reject,
    "is cut off from the others": cut_off,
}


async def write_and_wait(context, fleet, later_s, excluded):
    await trio.sleep(later_s)
    written_at = trio.current_time()
    fleet.log.write("latest")
    await trio.sleep(_SETTLE_S)
    for address, consumer in fleet.consumers.items():
        if address not in excluded:
            came_at = consumer.received_at.get("latest", float("inf"))
            context.delays_ms.append((came_at - written_at) * 1000)


@behave.when(
    "the first reader {fault} at any phase, and a record is written"
    " {later_ms:d} ms later"
)
def fail_reader(context, fault, later_ms):
    context.delays_ms = []
    for phase in range(_PHASES):

        async def action(fleet, phase=phase):
            await trio.sleep(phase * _PHASE_STEP_S)
            first = fleet.find_first_reader()
            _FAULTS[fault](fleet, first)
            excluded = {first.address} if fault == "stops" else set()
            await write_and_wait(context, fleet, later_ms / 1000, excluded)

        run_fleet(context, action)


@behave.when(
    "the log rejects all but {served:d} entries, and a record is written"
    " {later_ms:d} ms later"
)
def reject_most(context, served, later_ms):
    context.delays_ms = []

    async def action(fleet):
        addresses = list(fleet.consumers)
        fleet.log.rejected.update(addresses[served:])
        await write_and_wait(context, fleet, later_ms / 1000, set())

    run_fleet(context, action)


@behave.then("all others have each record within {within_ms:d} ms")
def check_delays(context, within_ms):
    assert context.delays_ms
    assert max(context.delays_ms) <= within_ms, max(context.delays_ms)


@behave.given("a connection on which messages take {took_ms:d} ms")
def make_connection(context, took_ms):
    context.link_delay = link_delay.LinkDelay(0.0)
    for sent_s in range(5):
        context.link_delay.measure_s(sent_s + 500.0, sent_s + took_ms / 1000)


@behave.when("one message takes {took_ms:d} ms")
def delay_message(context, took_ms):
    context.delay_s = context.link_delay.measure_s(505.0, 5 + took_ms / 1000)


@behave.then("it counts as delayed by {delay_ms:d} ms")
def check_delay(context, delay_ms):
    assert round(context.delay_s * 1000) == delay_ms, context.delay_s


@behave.given("an entry that read a topic without record 1 at 2.0 s")
def make_late_entry(context):
    context.consumer = topic_builders.RecordingConsumer()
    context.follower = topic_follower.TopicFollower(
        "topic",
        topic_builders.UnnotifiedTopic(1),
        context.consumer,
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
            progress = topic_follower.TopicProgress(
                ports.LogPosition(0, 2), 1.5
            )
            context.follower.offer(other, progress)
            await trio.sleep(0.1)
            context.keys = set(context.consumer.keys)
            nursery.cancel_scope.cancel()

    topic_builders.run_on_mock_clock(run)


@behave.then("it has record 1 at once")
def check_missed_record(context):
    assert "key-1" in context.keys, context.keys


@behave.when(
    "the log rejects the first two readers by turns for {seconds:d} seconds"
)
def reject_by_turns(context, seconds):
    async def action(fleet):
        ranked = ranking.rank_members(fleet_builders.TOPIC, fleet.consumers)
        context.excluded = set(ranked[:2])
        for second in range(seconds):
            fleet.log.rejected = {ranked[second % 2]}
            fleet.log.write(f"record-{second}")
            await trio.sleep(1.0)
        context.fleet = fleet

    run_fleet(context, action)


@behave.when("the log rejects all entries for {seconds:d} seconds")
def reject_all(context, seconds):
    async def action(fleet):
        context.excluded = set()
        fleet.log.rejected = set(fleet.consumers)
        await trio.sleep(seconds)
        fleet.log.rejected = set()
        await trio.sleep(_SETTLE_S)
        context.fleet = fleet

    run_fleet(context, action)


@behave.when(
    "the log is away for {away_s:f} s and loses {lost:d} of 9 records, while"
    " {count:d} are turned away"
)
def restore_log(context, away_s, lost, count):
    context.delays_ms = []
    context.excluded = set()

    async def action(fleet):
        for number in range(8):
            fleet.log.write(f"record-{number}")
        await trio.sleep(_SETTLE_S)
        addresses = set(fleet.consumers)
        fleet.log.rejected = addresses
        await trio.sleep(away_s)
        fleet.log.restore(9 - lost)
        fleet.log.rejected = set(sorted(addresses)[:count])
        calls = fleet.log.calls
        for number in range(4):
            key = f"later-{number}"
            written_at = trio.current_time()
            fleet.log.write(key)
            await trio.sleep(1.5)
            context.delays_ms += [
                (consumer.received_at.get(key, float("inf")) - written_at)
                * 1000
                for consumer in fleet.consumers.values()
            ]
        context.calls = fleet.log.calls - calls
        await trio.sleep(_SETTLE_S)
        context.fleet = fleet

    run_fleet(context, action)


@behave.then("each entry notes one return of the log")
def check_returns(context):
    found = {
        consumer.restorations for consumer in context.fleet.consumers.values()
    }
    assert found == {1}, found


@behave.then(
    "the log was called at most {most:d} times in the 6 s after its return"
)
def check_calls_after_return(context, most):
    assert context.calls <= most, context.calls


def list_outages(context):
    return [
        consumer.outages
        for address, consumer in context.fleet.consumers.items()
        if address not in context.excluded
    ]


@behave.then("no other entry notes an outage of the log")
def check_no_outage(context):
    assert max(list_outages(context)) == 0, list_outages(context)


@behave.then("each entry notes an outage of the log")
def check_outage(context):
    assert min(list_outages(context)) > 0, list_outages(context)
