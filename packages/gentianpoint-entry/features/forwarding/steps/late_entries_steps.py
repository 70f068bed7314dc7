"""Steps for entries of targets that the log has in another order."""

import json

import behave
import fleet_builders
import forwarding_builders
import topic_builders
import trio

from gentianpoint_core import ports
from gentianpoint_entry.forwarding import entry_order
from gentianpoint_entry.forwarding import target_listing
from gentianpoint_entry.forwarding import targets

START_MS = 5
DRAIN_S = 2.0


@behave.given("an entry of start {start:d} with number {number:d}")
def make_compared(context, start, number):
    context.compared = forwarding_builders.make_entry(
        "a", started_ms=start, sequence_number=number
    )


@behave.given("a known one of start {start:d} with number {number:d}")
def make_known(context, start, number):
    context.known = forwarding_builders.make_entry(
        "a", started_ms=start, sequence_number=number
    )


@behave.then("the entry counts as {order}")
def check_order(context, order):
    found = entry_order.compare_entries(context.compared, context.known)
    assert found.value == order, found


class ReadList:
    """A list of targets that one entry reads."""

    def __init__(self):
        self.registry = targets.TargetRegistry()
        self.listing = target_listing.TargetListing(
            self.registry,
            lambda record: forwarding_builders.make_entry(
                record.key, **json.loads(record.value)
            ),
        )
        self._records = {}
        self._offset = 0

    def write(self, fields):
        """Write the entry of a; None removes it."""
        self._offset += 1
        value = None if fields is None else json.dumps(fields).encode()
        record = ports.KeyedRecord("a", value, self._offset)
        if value is None:
            self._records.pop("a", None)
        else:
            self._records["a"] = record
        self.listing.apply_change(record)

    def read_whole(self):
        """Read the whole list again."""
        self.listing.apply_snapshot(list(self._records.values()))

    def accepts_work(self):
        """Tell whether a gets work."""
        target = self.registry.find("a")
        return target is not None and target.accepts_work()


def make_fields(words, start_ms=START_MS):
    """Return what an entry says, for example "number 5 and serves"."""
    fields = {"started_ms": start_ms, "is_leaving": "leaves" in words}
    found = words.replace(",", "").split(" ")
    if "no number" not in words:
        fields["sequence_number"] = int(found[found.index("number") + 1])
    if "slots" in found:
        fields["slots"] = int(found[found.index("slots") - 1])
    return fields


def plan(context, act):
    context.actions.append(act)


@behave.given("a list in which a has {words}")
def make_list(context, words):
    context.actions = []

    async def act(read):
        read.write(make_fields(words))

    plan(context, act)


@behave.given("a list that names no target yet")
def make_empty_list(context):
    context.actions = []


@behave.when("a writes {words}")
@behave.when("the log executes {words} late")
def write(context, words):
    async def act(read):
        read.write(make_fields(words))

    plan(context, act)


@behave.when(
    "a counts its entries from {first:d} to {last:d}, one each {seconds:g} s"
)
def write_some(context, first, last, seconds):
    async def act(read):
        for number in range(first, last + 1):
            read.write(make_fields(f"number {number} and serves"))
            await trio.sleep(seconds)
            read.listing.note_log_availability(is_available=True)

    plan(context, act)


@behave.when("a later start of a writes {words}")
def write_later_start(context, words):
    async def act(read):
        read.write(make_fields(words, START_MS + 1))

    plan(context, act)


@behave.when("the whole list is read again")
def read_again(context):
    async def act(read):
        read.read_whole()

    plan(context, act)


@behave.when("the entry of a is removed")
def remove(context):
    async def act(read):
        read.write(None)

    plan(context, act)


@behave.when("the entry of a expires {after:g} s later")
def expire(context, after):
    context.expires_after_s = after


@behave.when("the entry of a is written with number {number:d}")
def write_again(context, number):
    write(context, f"number {number} and serves")


@behave.when(
    "the entry of a is removed and written with numbers {first:d}"
    " and {second:d}"
)
def remove_and_write(context, first, second):
    remove(context)
    write_again(context, first)
    write_again(context, second)


@behave.when("a is announced with a later start")
def announce(context):
    async def act(read):
        read.listing.add_announced(
            forwarding_builders.make_entry("a", started_ms=START_MS + 1)
        )

    plan(context, act)


@behave.when("an agent that names no start reports that a {state}")
def report_unnamed(context, state):
    report(context, state, started_ms=0)


@behave.when("the agent of a reports that it {state}")
def report(context, state, started_ms=START_MS):
    async def act(read):
        target = read.registry.find("a")
        target.take_report(
            fleet_builders.make_report(
                number=len(context.actions),
                made_at=trio.current_time(),
                is_leaving=state == "leaves",
            )._replace(started_ms=started_ms)
        )

    plan(context, act)


def play(context, seconds, expires_after_s=None):
    """Return the list, and whether a got work at each tenth of a second."""
    got_work = []

    async def run():
        read = ReadList()
        for act in context.actions:
            await trio.sleep(0.1)
            await act(read)
        for tenth in range(round(seconds * 10) + 1):
            if expires_after_s is not None and tenth >= expires_after_s * 10:
                read.write(None)
            read.listing.note_log_availability(is_available=True)
            got_work.append(read.accepts_work())
            await trio.sleep(0.1)
        context.registry = read.registry
        context.ended_at = trio.current_time()

    topic_builders.run_on_mock_clock(run)
    return got_work


@behave.then("a gets no work for {seconds:g} s")
def check_no_work(context, seconds):
    expires_after_s = getattr(context, "expires_after_s", None)
    got_work = play(context, seconds, expires_after_s)
    assert not any(got_work), got_work


@behave.then("a gets work at once")
def check_work_at_once(context):
    assert play(context, 0) == [True]


@behave.then("a gets work within {seconds:g} s")
def check_work_later(context, seconds):
    assert play(context, seconds)[-1]


@behave.then("a has {slots:d} slots")
def check_slots(context, slots):
    play(context, 0)
    target = context.registry.find("a")
    assert target.entry.slots == slots, target.entry


@behave.then("a {may} be sent what has to go there {seconds:g} s later")
def check_may_be_sent(context, may, seconds):
    play(context, seconds)
    target = context.registry.find("a")
    may_be_sent = target.may_be_sent(context.ended_at, DRAIN_S)
    assert may_be_sent == (may == "may"), target.notice_at
