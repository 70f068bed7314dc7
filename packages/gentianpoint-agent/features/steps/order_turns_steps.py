"""Steps for turns through the log, on a clock that the steps advance."""

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
    context.targets = [
        context.stage.call(
            order_builders.TurnTarget, context.log, f"target-{number}", limit
        )
        for number in range(1, count + 1)
    ]
    context.scopes = {}


@behave.given("a log that accepts {count:d} appends a second")
def limit_rate(context, count):
    context.log.appends_per_second = count


def count_holders(context, targets):
    return context.stage.call(order_builders.count_holders, targets)


def start_request(context, target, function, units):
    scope = trio.CancelScope()
    context.scopes[target.name] = scope

    async def run():
        with scope:
            await function(units)

    context.stage.start_task(run)


@behave.when("all request {units:d} units")
def request_all(context, units):
    for target in context.targets:
        start_request(context, target, target.claim_and_acquire, units)
    pass_time(context, 2)


@behave.when("target {number:d} requests {units:d} units")
def request_one(context, number, units):
    target = context.targets[number - 1]
    start_request(context, target, target.claim_and_acquire, units)
    pass_time(context, 1)


@behave.when("target {number:d} requests {units:d} units and renews its turn")
def request_and_renew(context, number, units):
    target = context.targets[number - 1]
    start_request(context, target, target.acquire_and_renew, units)
    pass_time(context, 1)


@behave.when("target {number:d} requests {units:d} units and dies")
def request_and_die(context, number, units):
    request_one(context, number, units)
    scope = context.scopes[f"target-{number}"]
    context.stage.call(scope.cancel)


@behave.when("{seconds:d} seconds pass")
def pass_time(context, seconds):
    for _ in range(seconds * 10):
        context.stage.pass_time(0.1)


@behave.when("the holders release their turns")
def release(context):
    for target in context.targets:
        if context.stage.call(target.turns.is_held):
            run_async(context, target.turns.release)
            target.outcome = "released"
    pass_time(context, 5)


@behave.when("target {number:d} releases its turn")
def release_one(context, number):
    run_async(context, context.targets[number - 1].turns.release)


@behave.when("target {number:d} no longer wants a turn")
def stop_wanting(context, number):
    context.targets[number - 1].is_wanted = False


def run_async(context, function, *args):
    """Run an async function in the stage; return its result or error."""
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
    "target {number:d} requests {units:d} units while its reads are blocked"
)
def request_with_blocked_reads(context, number, units):
    target = context.targets[number - 1]
    run_async(context, target.lease.claim)
    target.log.reads_blocked = True
    start_request(context, target, target.acquire, units)


@behave.when("the appends of target {number:d} are blocked instead")
def block_appends(context, number):
    log = context.targets[number - 1].log
    log.appends_blocked = True
    log.reads_blocked = False


@behave.when("nothing is blocked")
def unblock_all(context):
    for target in context.targets:
        target.log.appends_blocked = target.log.reads_blocked = False


@behave.when("the log is out and target {number:d} requests {units:d} units")
def request_without_log(context, number, units):
    target = context.targets[number - 1]
    run_async(context, target.lease.claim)
    context.log.is_out = True
    context.answer = run_async(context, target.acquire, units)


@behave.then("target {number:d} got an error from the log")
def check_log_error(context, number):
    assert isinstance(context.answer, ports.PortError), context.answer


@behave.then("{count:d} targets hold a turn")
@behave.then("{count:d} target holds a turn")
def check_count(context, count):
    holders = count_holders(context, context.targets)
    assert holders == count, [target.outcome for target in context.targets]


@behave.then("target {number:d} holds a turn")
def check_holds(context, number):
    assert count_holders(context, [context.targets[number - 1]]) == 1


@behave.then("target {number:d} holds no turn")
def check_holds_none(context, number):
    assert count_holders(context, [context.targets[number - 1]]) == 0


@behave.then("target {number:d} has given up")
def check_given_up(context, number):
    assert context.targets[number - 1].outcome == "not wanted"


async def append_records(log, count):
    other = order_builders.TurnTarget(log, "other", 1)
    for _ in range(count):
        await other.stream.append(order_records.RENEWAL)


@behave.when(
    "target {number:d} reads in the background while others append "
    "{count:d} records"
)
def read_in_background(context, number, count):
    context.stage.start_task(context.targets[number - 1].stream.tail)
    run_async(context, append_records, context.log, count)
    pass_time(context, 121)


@behave.when("others append {count:d} records and all records expire")
def append_and_expire(context, count):
    run_async(context, append_records, context.log, count)
    context.log.expire_all()


@behave.when("all records expire")
def expire(context):
    context.log.expire_all()


@behave.then("target {number:d} can renew its lease")
def check_renews(context, number):
    assert run_async(context, context.targets[number - 1].lease.renew) is True


@behave.then("target {number:d} can't renew its lease")
def check_renewal_refused(context, number):
    assert run_async(context, context.targets[number - 1].lease.renew) is False


@behave.when(
    "{count:d} delays of {targets:d} targets of {size:d} bytes at {rate:d} "
    "bytes a second are drawn"
)
def draw_delays(context, count, targets, size, rate):
    reads = weight_reads.WeightReads(None, rate, None)
    draw = functools.partial(reads.choose_delay_s, size, targets)
    context.delays = [draw() for _ in range(count)]


@behave.then(
    "all are between 0 and {most:d} seconds and their mean is near "
    "{mean:d} seconds"
)
def check_delays(context, most, mean):
    assert min(context.delays) >= 0
    assert max(context.delays) <= most
    # The tolerance is about eleven standard errors of the mean of 1000
    # uniform draws, so correct delays practically never fail.
    assert abs(statistics.mean(context.delays) - mean) < most / 10
