"""Steps for ends of targets that entries share through the log."""

import math
import time

import behave
import cbor2
import suspect_builders
import trio
import trio.testing

CONTENT = "request"


@behave.given("{count:d} entries that follow one log")
def make_entries(context, count):
    context.count = count
    context.actions = []
    context.log = suspect_builders.SharedLog()


def run_entries(context, judge):
    """Play what was described, and return what ``judge`` makes of it."""

    async def run():
        async with trio.open_nursery() as nursery:
            start_entries(context, nursery)
            await trio.sleep(1)
            for action in context.actions:
                await action()
            result = await judge()
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def start_entries(context, nursery):
    context.nursery = nursery
    context.entries = [
        suspect_builders.make_entry(context.log, nursery)
        for _ in range(context.count)
    ]


@behave.when("a request ends 3 targets, each at another entry")
@behave.when("a request ends 3 targets, each at another entry, meanwhile")
def end_targets(context):
    async def act():
        for number in range(3):
            context.entries[number].note_end(f"target-{number}", CONTENT)

    context.actions.append(act)


@behave.when("all entries stop, and others start")
def restart(context):
    async def act():
        await trio.sleep(1)
        start_entries(context, context.nursery)

    context.actions.append(act)


def count_refusing(context):
    now = trio.current_time()
    return sum(
        entry.suspects.find_refused_until(CONTENT, now) is not None
        for entry in context.entries
    )


@behave.then("all entries refuse it within {within_ms:d} ms")
def check_refused(context, within_ms):
    async def judge():
        await trio.sleep(within_ms / 1000)
        return count_refusing(context)

    assert run_entries(context, judge) == context.count


@behave.when("the log is out for {seconds:d} seconds")
def take_out(context, seconds):
    async def act():
        context.log.is_out = True
        context.back_at = trio.current_time() + seconds
        context.nursery.start_soon(bring_back)

    async def bring_back():
        await trio.sleep(seconds)
        context.log.is_out = False

    context.actions.append(act)


@behave.then("all entries refuse it {seconds:d} seconds after the log is back")
def check_refused_later(context, seconds):
    async def judge():
        await trio.sleep_until(context.back_at + seconds)
        return count_refusing(context)

    assert run_entries(context, judge) == context.count


@behave.when(
    "all entries have answered a request, and {count:d} targets end under it"
)
def answer_and_end(context, count):
    async def act():
        for entry in context.entries:
            entry.note_answered(CONTENT)
        # These entries have started since and have seen no answer.
        for number in range(count):
            entry = suspect_builders.make_entry(context.log, context.nursery)
            entry.note_end(f"target-{number}", CONTENT)
            context.entries.append(entry)

    context.actions.append(act)


@behave.then("no entry refuses it {seconds:d} seconds later")
def check_not_refused(context, seconds):
    async def judge():
        await trio.sleep(seconds)
        return count_refusing(context)

    assert run_entries(context, judge) == 0


@behave.then("at most {most:d} records were appended")
def check_records(context, most):
    assert len(context.log.records) <= most, len(context.log.records)


@behave.when("a record that can't be read is appended")
def append_unreadable(context):
    async def act():
        for data in (b"", b"x", b"\xa1", b"\x81\x01"):
            await context.log.append_record("", data)

    context.actions.append(act)


@behave.when(
    "an entry whose clock is {behind:d} seconds behind claims a trial"
    " {seconds:d} seconds later"
)
def claim_by_other_clock(context, behind, seconds):
    async def act():
        await trio.sleep(seconds)
        claimed_ms = math.floor((time.time() - behind) * 1000)
        rows = [[CONTENT, "trial~1~behind", claimed_ms, True]]
        await context.log.append_record("", cbor2.dumps(rows))
        await trio.sleep(0.1)

    context.actions.append(act)


async def try_everywhere(entries):
    """Return the entries that may try the request, asked all at once."""
    trying = []

    async def ask(number, entry):
        if await entry.trials.take(f"request-{number}", [CONTENT]):
            entry.trials.begin(f"request-{number}")
            trying.append(entry)

    async with trio.open_nursery() as nursery:
        for number, entry in enumerate(entries):
            nursery.start_soon(ask, number, entry)
    return trying


@behave.when("all entries get the request {seconds:d} seconds later")
def ask_all(context, seconds):
    async def act():
        await trio.sleep(seconds)
        context.trying = await try_everywhere(context.entries)

    context.actions.append(act)


@behave.then("{count:d} of them may try it")
def check_trying(context, count):
    async def judge():
        context.trying_again = await try_everywhere(context.entries)

    run_entries(context, judge)
    assert len(context.trying) == count, len(context.trying)


@behave.then("it may be tried once more only after that")
def check_not_tried_again(context):
    assert not context.trying_again


@behave.when("the entry that tries it has an answer")
def answer_trial(context):
    async def act():
        for entry in context.trying:
            entry.note_answered(CONTENT)

    context.actions.append(act)
