"""Steps for evacuations that entries share through the log.

Each check replays all that was described before it from the start.
"""

import behave
import evacuation_log
import msgspec
import trio
import trio.testing


@behave.given("{count:d} entries that follow the evacuations in one log")
def make_entries(context, count):
    context.count = count
    context.actions = []
    context.make_log = evacuation_log.ExpiringLog


def replay(context, judge):
    """Play what was described, and return what ``judge`` makes of it."""

    async def run():
        context.log = context.make_log()
        async with trio.open_nursery() as nursery:
            context.nursery = nursery
            context.entries = [
                evacuation_log.start_entry(nursery, context.log)
                for _ in range(context.count)
            ]
            await trio.sleep(1)
            for action in context.actions:
                await action()
            result = await judge()
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.when("the first entry evacuates {name}")
def evacuate(context, name):
    async def act():
        await context.entries[0].write(name, is_evacuated=True)

    context.actions.append(act)


@behave.when("the last entry takes {name} back")
def take_back(context, name):
    async def act():
        await context.entries[-1].write(name, is_evacuated=False)

    context.actions.append(act)


@behave.then("all entries have {name} as evacuated within {within_ms:d} ms")
def check_all(context, name, within_ms):
    async def judge():
        await trio.sleep(within_ms / 1000)
        return [
            set(entry.evacuations.data_centres) for entry in context.entries
        ]

    expected = set() if name == "nothing" else {name}
    found = replay(context, judge)
    assert found == [expected] * context.count, found[:3]


@behave.when("another entry starts")
def start_another(context):
    async def act():
        context.late = evacuation_log.start_entry(context.nursery, context.log)

    context.actions.append(act)


@behave.then("it is ready only once it has {name} as evacuated")
def check_late(context, name):
    async def judge():
        with trio.fail_after(5):
            while not context.late.is_ready():
                await trio.sleep(0.001)
        return context.late.evacuations.data_centres

    assert name in replay(context, judge)


@behave.when("the log is out")
def take_out(context):
    async def act():
        context.log.is_out = True

    context.actions.append(act)


@behave.then("it is ready within {within_ms:d} ms")
def check_ready(context, within_ms):
    async def judge():
        await trio.sleep(within_ms / 1000)
        return context.late.is_ready()

    assert replay(context, judge)


@behave.when(
    "the log drops the records of more than {kept_s:d} s ago, for {all_s:d} s"
)
def expire(context, kept_s, all_s):
    async def act():
        context.log.kept_s = kept_s
        await trio.sleep(all_s)

    context.actions.append(act)


@behave.when("a state from before that is repeated")
def repeat_state(context):
    append(context, msgspec.json.encode({"since": {"north": 1}, "through": 1}))


def append(context, data):
    async def act():
        await context.log.append_record("", data)

    context.actions.append(act)


@behave.when("records that can't be read are appended")
def append_unreadable(context):
    for data in (b"", b"x", b"{}", b"[1]", b'{"since": {"a": "b"}}'):
        append(context, data)
