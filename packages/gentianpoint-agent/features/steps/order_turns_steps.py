"""Steps for turns through the log, on a clock that the test moves."""

import functools
import statistics

import behave
import order_builders
import trio
import trio_stage

from gentianpoint_agent import order_records
from gentianpoint_agent import weight_reads
from gentianpoint_core import ports


@behave.given("{count:d} targets that share {limit:d} units")
@behave.given("{count:d} target that shares {limit:d} units")
def make_targets(context, count, limit):
    context.stage = trio_stage.TrioStage()
    context.log = context.stage.call(order_builders.MemoryLog)
    context.takers = [
        context.stage.call(
            order_builders.TurnTaker, context.log, f"target-{number}", limit
        )
        for number in range(1, count + 1)
    ]
    context.scopes = {}


@behave.given("a log that takes {count:d} appends a second")
def limit_rate(context, count):
    context.log.appends_a_second = count


def count_taken(context, takers):
    return context.stage.call(order_builders.count_taken, takers)


def start_taker(context, taker, function, units):
    scope = trio.CancelScope()
    context.scopes[taker.name] = scope

    async def run():
        with scope:
            await function(units)

    context.stage.start_task(run)


@behave.when("all ask for {units:d} units")
def ask_all(context, units):
    for taker in context.takers:
        start_taker(context, taker, taker.claim_and_take, units)
    pass_time(context, 2)


@behave.when("target {number:d} asks for {units:d} units")
def ask_one(context, number, units):
    taker = context.takers[number - 1]
    start_taker(context, taker, taker.claim_and_take, units)
    pass_time(context, 1)


@behave.when(
    "target {number:d} asks for {units:d} units and keeps its turn up"
)
def ask_and_keep(context, number, units):
    taker = context.takers[number - 1]
    start_taker(context, taker, taker.take_and_keep_up, units)
    pass_time(context, 1)


@behave.when("target {number:d} asks for {units:d} units and dies")
def ask_and_die(context, number, units):
    ask_one(context, number, units)
    scope = context.scopes[f"target-{number}"]
    context.stage.call(scope.cancel)


@behave.when("{seconds:d} seconds pass")
def pass_time(context, seconds):
    for _ in range(seconds * 10):
        context.stage.pass_time(0.1)


@behave.when("those give theirs back")
def release(context):
    for taker in context.takers:
        if context.stage.call(taker.turns.is_held):
            call(context, taker.turns.release)
            taker.outcome = "given back"
    pass_time(context, 5)


@behave.when("target {number:d} gives its turn back")
def give_one_back(context, number):
    call(context, context.takers[number - 1].turns.release)


@behave.when("target {number:d} no longer wants it")
def stop_wanting(context, number):
    context.takers[number - 1].is_wanted = False


def call(context, function, *args):
    """Run an asynchronous function in the stage and return its outcome."""
    outcome = []

    async def run():
        try:
            outcome.append(await function(*args))
        except ports.PortError as error:
            outcome.append(error)

    context.stage.start_task(run)
    for _ in range(300):
        if outcome:
            break
        context.stage.pass_time(0.1)
    return outcome[0]


@behave.when(
    "the reads of target {number:d} are held up as it asks for {units:d} units"
)
def ask_with_held_reads(context, number, units):
    taker = context.takers[number - 1]
    call(context, taker.lease.claim)
    taker.log.reads_held = True
    start_taker(context, taker, taker.take, units)


@behave.when("the appends of target {number:d} are held up instead")
def hold_appends(context, number):
    log = context.takers[number - 1].log
    log.appends_held = True
    log.reads_held = False


@behave.when("nothing is held up")
def hold_nothing(context):
    for taker in context.takers:
        taker.log.appends_held = taker.log.reads_held = False


@behave.when("the log is out and target {number:d} asks for {units:d} units")
def ask_without_log(context, number, units):
    taker = context.takers[number - 1]
    call(context, taker.lease.claim)
    context.log.is_out = True
    context.answer = call(context, taker.take, units)


@behave.then("target {number:d} was told that the log can't be used")
def check_told(context, number):
    assert isinstance(context.answer, ports.PortError), context.answer


@behave.then("{count:d} targets have a turn")
@behave.then("{count:d} target has a turn")
def check_count(context, count):
    taken = count_taken(context, context.takers)
    assert taken == count, [taker.outcome for taker in context.takers]


@behave.then("target {number:d} has a turn")
def check_has(context, number):
    assert count_taken(context, [context.takers[number - 1]]) == 1


@behave.then("target {number:d} has no turn")
def check_has_not(context, number):
    assert count_taken(context, [context.takers[number - 1]]) == 0


@behave.then("target {number:d} has given up")
def check_given_up(context, number):
    assert context.takers[number - 1].outcome == "not wanted"


async def write_records(log, count):
    other = order_builders.TurnTaker(log, "other", 1)
    for _ in range(count):
        await other.stream.append(order_records.RENEWAL)


@behave.when(
    "target {number:d} has read on while others wrote {count:d} records"
)
def read_on(context, number, count):
    context.stage.start_task(context.takers[number - 1].stream.tail)
    call(context, write_records, context.log, count)
    pass_time(context, 121)


@behave.when("others wrote {count:d} records and all records expire")
def write_and_expire(context, count):
    call(context, write_records, context.log, count)
    context.log.expire_all()


@behave.when("all records expire")
def expire(context):
    context.log.expire_all()


@behave.then("target {number:d} can renew its lease")
def check_renews(context, number):
    assert call(context, context.takers[number - 1].lease.renew) is True


@behave.then("target {number:d} can't renew its lease")
def check_gave_up(context, number):
    assert call(context, context.takers[number - 1].lease.renew) is False


@behave.when(
    "{count:d} waits of {targets:d} targets of {size:d} bytes at {rate:d} "
    "bytes a second are drawn"
)
def draw_waits(context, count, targets, size, rate):
    reads = weight_reads.WeightReads(None, rate, None)
    draw = functools.partial(reads.choose_delay_s, size, targets)
    context.waits = [draw() for _ in range(count)]


@behave.then(
    "all are between 0 and {most:d} seconds and their mean is near "
    "{mean:d} seconds"
)
def check_waits(context, most, mean):
    assert min(context.waits) >= 0
    assert max(context.waits) <= most
    # The mean of 1000 draws is off by more than a fifth of a second less
    # than once in a hundred thousand times eight standard errors.
    assert abs(statistics.mean(context.waits) - mean) < most / 10
