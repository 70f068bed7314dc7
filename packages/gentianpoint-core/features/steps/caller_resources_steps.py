"""Steps for what callers may use of a process, on a virtual clock."""

import behave
import trio
import trio.testing

from gentianpoint_core import caller_resources
from gentianpoint_core import deadlines
from gentianpoint_core.decisions import memory_account

_MIB = 1 << 20
_KIB = 1 << 10
_WAIT_MS = 500


def run(function):
    trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))


def make_resources(total_mib=24, large_mib=18, connections=100):
    size = memory_account.AccountSize(total_mib * _MIB, large_mib * _MIB)
    return caller_resources.CallerResources(
        size, connections, caller_resources.SharedTime(1.0)
    )


class Caller:
    """A caller that takes memory, and gives it back when told to."""

    def __init__(self, resources, size):
        self.size = size
        self.lease = resources.open_lease()
        self.taken_at = None
        self.refused_at = None
        self.ends = trio.Event()

    async def run(self):
        """Hold the memory once it is there, until told to end."""
        try:
            if await self.lease.take(
                self.size,
                is_large=self.size > 64 * _KIB,
                wait_until=deadlines.make_deadline(_WAIT_MS),
            ):
                self.taken_at = trio.current_time()
                await self.ends.wait()
            else:
                self.refused_at = trio.current_time()
        finally:
            self.lease.close()


@behave.when(
    "a process may use {memory:d} MiB and uses {resident:d} MiB at its start"
)
def find_size(context, memory, resident):
    context.size = memory_account.find_size(
        memory * _MIB, resident * _MIB, 4 * _MIB
    )


@behave.then(
    "callers may use {total:g} MiB, and long bodies {large:g} MiB of them"
)
def check_size(context, total, large):
    assert round(context.size.total_bytes / _MIB, 1) == total, context.size
    assert round(context.size.large_bytes / _MIB, 1) == large, context.size


@behave.given(
    "an account of {total:d} MiB, {large:d} MiB of them for long bodies"
)
def make_account(context, total, large):
    context.resources = make_resources(total, large)


@behave.when(
    "{long:d} long bodies of 4 MiB come at once, and then {short:d} requests"
    " of 64 KiB"
)
def take_both(context, long, short):
    sizes = [4 * _MIB] * long + [64 * _KIB] * short
    take(context, sizes, 0.1)


def take(context, sizes, for_s, end_after_s=None):
    async def play():
        context.began_at = trio.current_time()
        context.callers = [Caller(context.resources, size) for size in sizes]
        with trio.move_on_after(for_s):
            async with trio.open_nursery() as nursery:
                for caller in context.callers:
                    nursery.start_soon(caller.run)
                    # In this order.
                    await trio.testing.wait_all_tasks_blocked()
                if end_after_s is not None:
                    await trio.sleep(end_after_s)
                    context.callers[0].ends.set()

    run(play)


@behave.then(
    "{long:d} long bodies and {short:d} requests are taken in at once"
)
def check_both(context, long, short):
    taken = [c.size for c in context.callers if c.taken_at is not None]
    assert taken.count(4 * _MIB) == long, taken
    assert taken.count(64 * _KIB) == short, taken


@behave.when(
    "{long:d} long bodies of 4 MiB come at once, and then one of 3 MiB"
)
def note_sizes(context, long):
    # Four of them fit, and then nothing of 4 MiB or 3 MiB does.
    context.sizes = [4 * _MIB] * long + [3 * _MIB]


@behave.when("one of them ends after {wait_ms:d} ms")
def end_one(context, wait_ms):
    take(context, context.sizes, 0.4, wait_ms / 1000)


@behave.then("the one of 3 MiB is taken in next")
def check_next(context):
    taken = [c.size for c in context.callers[4:] if c.taken_at is not None]
    assert taken == [3 * _MIB], taken


@behave.when("{long:d} long bodies of 4 MiB come at once")
def take_long(context, long):
    take(context, [4 * _MIB] * long, 2)


@behave.then("the last one is refused after {wait_ms:d} ms")
def check_refused(context, wait_ms):
    waited_s = context.callers[-1].refused_at - context.began_at
    assert abs(waited_s * 1000 - wait_ms) < 5, waited_s


@behave.when("{count:d} callers send bodies of 4 MiB for {for_s:d} s")
def note_slow(context, count, for_s):
    context.slow = (count, for_s)


@behave.when("{others} come after {after_s:d} s")
def send_slowly(context, others, after_s):
    count, for_s = context.slow
    sizes = {
        "nobody": [],
        "2 of 64 KiB": [64 * _KIB] * 2,
        "1 of 4 MiB": [4 * _MIB],
        "2 of 4 MiB": [4 * _MIB] * 2,
    }[others]
    evicted = []

    async def send(lease):
        await lease.take(
            4 * _MIB, is_large=True, wait_until=deadlines.NO_DEADLINE
        )
        with trio.CancelScope() as scope:
            lease.begin_reading(scope.cancel, 4 * _MIB)
            await trio.sleep(for_s)
        evicted.append(lease.was_evicted)
        lease.close()

    async def play():
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(send, context.resources.open_lease())
            await trio.sleep(after_s)
            for size in sizes:
                caller = Caller(context.resources, size)
                caller.ends.set()
                nursery.start_soon(caller.run)

    run(play)
    context.evicted = sum(evicted)


@behave.then("{ended:d} of the slow callers lose what they hold")
def check_evicted(context, ended):
    assert context.evicted == ended, context.evicted


@behave.when(
    "{long:d} long bodies of 4 MiB come at once, and all leave after"
    " {after_ms:d} ms"
)
def leave(context, long, after_ms):
    take(context, [4 * _MIB] * long, after_ms / 1000)


@behave.then("nothing is taken any more")
def check_nothing(context):
    account = context.resources.account
    assert account.held_bytes == 0, account.held_bytes
    assert account.large_held_bytes == 0, account.large_held_bytes
    assert not account.has_waiters()


@behave.given("an account for {count:d} connections")
def make_small_account(context, count):
    context.resources = make_resources(connections=count)
    context.closed = 0


@behave.when("{count:d} connections come, of which one may be closed")
def connect(context, count):
    def close_another():
        context.closed += 1
        context.resources.give_connection_back()
        return True

    context.taken = [
        context.resources.take_connection(close_another) for _ in range(count)
    ]


@behave.then("all are taken, and one is closed")
def check_taken(context):
    assert all(context.taken)
    assert context.closed == 1


@behave.when("another one comes, and none may be closed")
def connect_another(context):
    context.is_taken = context.resources.take_connection(lambda: False)


@behave.then("it is not taken")
def check_not_taken(context):
    assert not context.is_taken
    assert context.resources.connections == 3


@behave.when(
    "{count:d} callers take turns of {turn_ms:d} ms each while the process is"
    " busy by {busy:g}"
)
def take_turns(context, count, turn_ms, busy):
    context.turns = 0
    shared = caller_resources.SharedTime(1.0, lambda: busy)

    async def take():
        while True:
            await shared.take_turn()
            shared.charge(turn_ms / 1000)
            context.turns += 1

    async def play():
        with trio.move_on_after(1):
            async with trio.open_nursery() as nursery:
                for _ in range(count):
                    nursery.start_soon(take)

    run(play)
    context.taken_ms = context.turns * turn_ms


@behave.then("they take {least:d} to {most:d} ms of a second")
def check_turns(context, least, most):
    assert least <= context.taken_ms <= most, context.taken_ms


@behave.given(
    "a process that may use {memory:d} MiB and uses {resident:d} MiB at its"
    " start"
)
def make_process(context, memory, resident):
    context.resources = caller_resources.CallerResources(
        memory_account.find_size(memory * _MIB, resident * _MIB, 4 * _MIB),
        1000,
        caller_resources.SharedTime(1.0),
    )


@behave.when("two parts for {count:d} connections each are set aside")
def set_aside(context, count):
    for _ in range(2):
        context.resources.set_aside(count)


@behave.then(
    "a body of {long:d} MiB is taken in, and {short:d} requests of 64 KiB"
    " beside it"
)
def check_fits(context, long, short):
    account = context.resources.account
    assert account.try_take(long * _MIB, is_large=True), account.held_bytes
    for _ in range(short):
        assert account.try_take(64 * _KIB, is_large=False), account.held_bytes


@behave.when("as many answers of 256 KiB as may are held")
def hold_spare(context):
    lease = context.resources.open_lease()
    context.answers = 0
    while lease.try_take_spare(256 * _KIB):
        context.answers += 1


@behave.then("{count:d} answers are held")
def check_answers(context, count):
    assert context.answers == count, context.answers


@behave.when("{count:d} answers of 64 KiB are under way")
def take_for_answers(context, count):
    context.answer = context.resources.open_lease()
    for _ in range(count):
        context.answer.take_unconditionally(64 * _KIB, is_large=True)


@behave.then("they are taken in once the answers have ended")
def check_after_answers(context):
    context.answer.close()
    take(context, [caller.size for caller in context.callers], 0.1)
    assert all(c.taken_at is not None for c in context.callers)
