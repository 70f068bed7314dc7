"""Steps for the registry of targets and the list that it follows."""

import behave
import forwarding_builders
import topic_builders
import trio

from gentianpoint_core import ports
from gentianpoint_entry.forwarding import target_listing
from gentianpoint_entry.forwarding import targets


@behave.given("a listed target a that takes work")
def make_registry(context):
    context.registry = targets.TargetRegistry()
    context.first = list_target(context)


def list_target(context, **changes):
    entry = forwarding_builders.make_entry("a", **changes)
    return context.registry.put_entry(entry, 1.0)


@behave.when("another target answers in place of a")
def answer_in_place(context):
    calls = forwarding_builders.ScriptedCalls()

    async def note():
        shared = forwarding_builders.make_forwarder([], calls)
        answer = forwarding_builders.ScriptedAnswer(
            "other target", context.first
        )
        shared.note_refusal(context.first, answer)

    topic_builders.run_on_mock_clock(note)


@behave.then("a gets no more work")
def check_gets_no_work(context):
    assert not context.first.accepts_work()


@behave.then("a gets work again once it writes its entry")
def check_gets_work(context):
    assert list_target(context) is context.first
    assert context.first.accepts_work()


def list_start(context, name, offset):
    entry = forwarding_builders.make_entry(
        f"start-{name}", address="10.0.0.7:80"
    )
    context.starts[name] = context.registry.put_entry(
        entry, 1.0, ports.LogPosition(0, offset)
    )


def list_accepting(context):
    return [
        name for name, start in context.starts.items() if start.accepts_work()
    ]


@behave.given(
    "a list that names the start with record {first:d} and then that with"
    " record {second:d} at one address"
)
def list_starts(context, first, second):
    context.registry = targets.TargetRegistry()
    context.starts = {}
    for offset in (first, second):
        list_start(context, offset, offset)


@behave.then("only the start with record {offset:d} gets work")
def check_later_start(context, offset):
    assert list_accepting(context) == [offset]


@behave.then(
    "the start with record {name:d} alone gets work once it writes record"
    " {offset:d}"
)
def check_earlier_start(context, name, offset):
    list_start(context, name, offset)
    assert list_accepting(context) == [name]


@behave.when("a is listed with a later start")
def start_again(context):
    context.second = list_target(context, started_ms=2)


@behave.then("a new target replaces a, and the one before is gone")
def check_second(context):
    assert context.second is not context.first
    assert context.first.is_gone
    assert context.registry.find("a") is context.second
    assert (
        len(context.registry.list_by_service(forwarding_builders.SERVICE)) == 1
    )


@behave.given("a list with targets a and b that the log stops serving")
def make_listing(context):
    context.registry = targets.TargetRegistry()
    context.listing = target_listing.TargetListing(
        context.registry,
        lambda record: forwarding_builders.make_entry(record.key),
    )


def make_records(names):
    return [ports.KeyedRecord(name, b"x", 0) for name in names]


@behave.when("the log returns without a, and {then}")
def return_without(context, then):
    async def run():
        listing = context.listing
        listing.apply_snapshot(make_records("ab"))
        listing.note_log_availability(is_available=False)
        await trio.sleep(5)
        listing.apply_snapshot(make_records("b"))
        listing.note_log_availability(is_available=True)
        await trio.sleep(0.5)
        if "writes" in then:
            listing.apply_change(make_records("a")[0])
        await trio.sleep(3.5 if "four" in then else 0.5)
        listing.note_log_availability(is_available=True)

    topic_builders.run_on_mock_clock(run)


@behave.then("a is still listed")
def check_listed(context):
    assert context.registry.find("a") is not None


@behave.then("a is gone")
def check_gone(context):
    assert context.registry.find("a") is None
    assert context.registry.find("b") is not None


@behave.given("a list that names no target")
def make_empty_listing(context):
    context.registry = targets.TargetRegistry()
    context.listing = target_listing.TargetListing(
        context.registry,
        lambda record: forwarding_builders.make_entry(record.key),
    )


def read_list(context, names):
    context.listing.apply_snapshot(make_records(names))
    context.listing.note_log_availability(is_available=True)


def announce(context):
    context.listing.add_announced(
        forwarding_builders.make_entry("a", started_ms=0)
    )


@behave.when("target a is announced")
def announce_target(context):
    async def run():
        read_list(context, "")
        announce(context)

    topic_builders.run_on_mock_clock(run)


@behave.then("a is used at once")
def check_used(context):
    context.first = context.registry.find("a")
    assert context.first.accepts_work()


@behave.then("a is the same target once the list names it")
def check_same(context):
    async def run():
        read_list(context, "a")

    topic_builders.run_on_mock_clock(run)
    assert context.registry.find("a") is context.first
    assert not context.first.is_gone


@behave.when("target a is announced, and {then}")
def announce_and_wait(context, then):
    async def run():
        read_list(context, "")
        announce(context)
        seconds = {"three": 3, "five": 5, "ten": 10}[then.split(" ")[-2]]
        for _ in range(seconds):
            await trio.sleep(1)
            if "unavailable" in then:
                context.listing.note_log_availability(is_available=False)
            else:
                read_list(context, "")

    topic_builders.run_on_mock_clock(run)


@behave.when("target a was listed and dropped, and is announced then")
def announce_dropped(context):
    async def run():
        read_list(context, "a")
        await trio.sleep(3)
        read_list(context, "")
        announce(context)

    topic_builders.run_on_mock_clock(run)


@behave.then("a is not listed")
def check_not_listed(context):
    assert context.registry.find("a") is None


@behave.when(
    "target b was listed at a's address and dropped, and a is announced"
)
def announce_at_address(context):
    address = forwarding_builders.make_entry("a").address
    context.listing = target_listing.TargetListing(
        context.registry,
        lambda record: forwarding_builders.make_entry(
            record.key, address=address
        ),
    )

    async def run():
        read_list(context, "b")
        await trio.sleep(3)
        read_list(context, "")
        announce(context)

    topic_builders.run_on_mock_clock(run)


@behave.then("a is used once the list names it")
def check_used_once_listed(context):
    async def run():
        read_list(context, "a")

    topic_builders.run_on_mock_clock(run)
    assert context.registry.find("a").accepts_work()
