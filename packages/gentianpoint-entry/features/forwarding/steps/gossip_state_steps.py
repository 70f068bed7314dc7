"""Steps for gossip among entries."""

import behave
import fleet_builders
import topic_builders
import trio

from gentianpoint_core.decisions import target_outages
from gentianpoint_entry.forwarding import members

AGENT = "10.9.0.1:7000"
_BYTES_OVER_S = 10.0
_GROUP_SIZE = 10


@behave.given("a fleet of {count:d} entries")
def make_fleet(context, count):
    context.count = count
    context.actions = []


@behave.given(
    "a fleet of {count:d} entries in two groups that do not know each other"
)
def make_groups(context, count):
    make_fleet(context, count)


@behave.when("{seconds:d} seconds pass after its start")
def run_for(context, seconds):
    context.actions.append(lambda fleet: trio.sleep(seconds))


def run_fleet(context, *more):
    async def run():
        context.fleet = fleet_builders.Fleet(context.count)
        async with trio.open_nursery() as nursery:
            context.fleet.start(nursery)
            context.fleet.run_all()
            for action in [*context.actions, *more]:
                await action(context.fleet)
            nursery.cancel_scope.cancel()

    topic_builders.run_on_mock_clock(run)


@behave.then("each entry counts {count:d} members")
def check_count(context, count):
    run_fleet(context)
    counts = {entry.table.count() for entry in get_entries(context)}
    assert counts == {count}, counts


def get_entries(context):
    return context.fleet.entries.values()


@behave.then("each entry has at most {most:d} connections")
def check_links(context, most):
    links = [len(entry.links) for entry in get_entries(context)]
    assert 0 < max(links) <= most, links


@behave.then(
    "an entry sends at most {most:d} bytes a second in the {seconds:d}"
    " seconds after"
)
def check_bytes(context, most, seconds):
    async def measure(fleet):
        before = {entry: entry.sent_bytes for entry in fleet.entries.values()}
        await trio.sleep(seconds)
        context.rates = [
            (entry.sent_bytes - sent) / seconds
            for entry, sent in before.items()
        ]

    run_fleet(context, measure)
    assert 0 < max(context.rates) <= most, max(context.rates)


@behave.when("an entry is told to stop")
def announce_stop(context):
    async def leave(fleet):
        list(fleet.entries.values())[-1].gossip.leave()

    context.actions.append(leave)


@behave.when("{seconds:d} seconds later it has started again at its address")
def restart_entry(context, seconds):
    async def restart(fleet):
        await trio.sleep(seconds)
        fleet.restart(list(fleet.entries.values())[-1])

    context.actions.append(restart)


def check_leaving(context, count, within_ms):
    async def wait(fleet):
        with trio.move_on_after(within_ms / 1000) as scope:
            while set(count_leaving(fleet)) != {count}:
                await trio.sleep(0.01)
        context.is_late = scope.cancelled_caught
        context.counts = count_leaving(fleet)

    context.actions.append(wait)
    run_fleet(context)
    assert not context.is_late, context.counts


def count_leaving(fleet):
    now = trio.current_time()
    return [
        sum(
            duration_ms is not None
            for is_same_data_centre in (True, False)
            for duration_ms in entry.table.list_leaving_durations_ms(
                now, is_same_data_centre=is_same_data_centre
            )
        )
        for entry in fleet.entries.values()
    ]


@behave.then("all know within {within_ms:d} ms that one entry is leaving")
def check_one_leaving(context, within_ms):
    check_leaving(context, 1, within_ms)


@behave.then("all know within {within_ms:d} ms that no entry is leaving")
def check_none_leaving(context, within_ms):
    check_leaving(context, 0, within_ms)


@behave.when("{count:d} entries hear that an engine is leaving")
def report_leaving(context, count):
    async def hear(fleet):
        context.reported_at = trio.current_time()
        report = fleet_builders.make_report(
            number=5, made_at=trio.current_time(), is_leaving=True
        )
        for entry in list(fleet.entries.values())[-count:]:
            entry.gossip.put_report(AGENT, report)
            entry.heard_at[AGENT] = trio.current_time()
        await trio.sleep(1)

    context.actions.append(hear)


@behave.then("all entries know within {within_ms:d} ms")
def check_leaving_known(context, within_ms):
    run_fleet(context)
    heard_at = [
        entry.heard_at.get(AGENT, float("inf"))
        for entry in get_entries(context)
    ]
    assert len(heard_at) == context.count
    took_ms = (max(heard_at) - context.reported_at) * 1000
    assert took_ms <= within_ms, took_ms


@behave.when("a connection of one entry to a target breaks off")
def break_off(context):
    async def fail(fleet):
        entries = list(fleet.entries.values())
        for entry in entries:
            entry.gossip.outages = target_outages.TargetOutages(
                entry.address, lambda: frozenset(fleet.entries)
            )
        entries[-1].gossip.outages.note_failure(AGENT, trio.current_time())
        entries[-1].gossip.notify_urgent()
        await trio.sleep(0.1)
        context.unaware = [
            entry.address
            for entry in entries
            if entry.gossip.outages.may_send(AGENT, trio.current_time())
        ]

    context.actions.append(fail)


@behave.then("all entries leave the target out within 100 ms")
def check_outage_known(context):
    run_fleet(context)
    assert context.unaware == []


def put_reports(context, *versions):
    async def hear(fleet):
        entry = next(iter(fleet.entries.values()))
        for run, number in versions:
            report = fleet_builders.make_report(
                run=run, number=number, made_at=trio.current_time()
            )
            entry.gossip.put_report(AGENT, report)
            await trio.sleep(1)

    context.actions.append(hear)


@behave.when(
    "an entry hears report {first:d} and then report {second:d} of an agent"
)
def report_late(context, first, second):
    put_reports(context, (1, first), (1, second))


@behave.when(
    "an entry hears report {first:d} of an agent, and report {second:d} of"
    " its next run"
)
def report_next_run(context, first, second):
    put_reports(context, (2, first), (1, second))


@behave.then("no entry accepts report {number:d}")
def check_rejected(context, number):
    run_fleet(context)
    others = list(get_entries(context))[1:]
    assert {entry.reports[AGENT].sequence_number for entry in others} == {
        number + 1
    }


@behave.then("all entries accept report {number:d}")
def check_accepted(context, number):
    run_fleet(context)
    others = list(get_entries(context))[1:]
    assert {entry.reports[AGENT].sequence_number for entry in others} == {
        number
    }


@behave.when("an entry stops and {seconds:d} seconds pass")
def stop_entry(context, seconds):
    async def stop(fleet):
        stopped = list(fleet.entries.values())[-1]
        context.stopped = stopped.address
        fleet.stop(stopped)
        await trio.sleep(seconds)

    context.actions.append(stop)


@behave.then("no other entry counts it as live")
def check_stopped(context):
    run_fleet(context)
    assert not any(
        context.stopped in entry.table.list_live()
        for entry in get_entries(context)
    )


@behave.given(
    "a table of members that has heard of beat {beat:d} of its own entry"
)
def make_table(context, beat):
    context.members = members.MemberTable("10.0.0.1:80", "north")
    context.members.tick(1.0)
    context.members.merge(members.Member("10.0.0.1:80", "north", beat), 1.1)


@behave.given("a table of {count:d} members that have just been heard")
def make_heard_table(context, count):
    context.members = members.MemberTable("10.0.0.1:80", "north")
    for number in range(count - 1):
        address = f"10.1.{number // 200}.{number % 200}:80"
        context.members.merge(members.Member(address, "north", 1), 10.0)


@behave.when("nothing is heard for {seconds:d} seconds")
def hear_nothing(context, seconds):
    context.members.tick(10.0 + seconds)


@behave.then("it counts {count:d} members")
def check_table(context, count):
    assert context.members.count() == count, context.members.count()


@behave.then("its own beat is above {beat:d}")
def check_beat(context, beat):
    assert context.members.find("10.0.0.1:80").beat > beat


@behave.when("an entry of each is told the address of one of the other")
def merge_groups(context):
    async def join(fleet):
        await trio.sleep(6)
        first, *_, last = fleet.entries.values()
        first.seeds += (last.address,)
        last.seeds += (first.address,)

    def split(fleet):
        entries = list(fleet.entries.values())
        for number, entry in enumerate(entries):
            group = (
                entries[:_GROUP_SIZE]
                if number < _GROUP_SIZE
                else entries[_GROUP_SIZE:]
            )
            entry.seeds = (group[0].address,)
        return trio.sleep(0)

    context.actions += [split, join]


@behave.then("each entry counts {count:d} members within {seconds:d} seconds")
def check_joined(context, count, seconds):
    context.actions.append(lambda fleet: trio.sleep(seconds))
    check_count(context, count)
