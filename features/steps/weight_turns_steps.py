"""Steps for loads that share the weight store's rate."""

from concurrent import futures
import datetime
import time

import behave

from features import builders

_WITHIN_S = 90.0
_SIZE = 256 * 1024
_STORE_RATE = 512 * 1024
_WINDOW_S = 10
_TURN_MS = 4000
_SLOW_RATE = 8 * 1024
_OTHER = "guia-lm"
_SPEC = builders.make_service(model="base", version="2")


def start_store(context, reads, max_readers):
    context.store = context.deployment.start_weights(
        size=_SIZE, rate=_STORE_RATE, max_readers=max_readers
    )
    # The rate that agents are told carries so many reads at a time.
    context.agent = {
        "weights_rate": reads * _SIZE // _WINDOW_S + 1,
        "turn_ms": _TURN_MS,
        **builders.FAST,
    }
    context.started_at = time.monotonic()


@behave.given("a weight store that carries {reads:d} reads at a time")
@behave.given("a weight store that carries {reads:d} read at a time")
def start_carrying(context, reads):
    start_store(context, reads, 0)


@behave.given(
    "a weight store that takes {reads:d} reads at a time and refuses more"
)
def start_refusing(context, reads):
    start_store(context, 1000, reads)


def start_targets(context, count, **engine):
    context.fixture = builders.start_fixture(
        context.deployment,
        1,
        count,
        engine=engine,
        spec=_SPEC,
        entry=builders.FAST,
        **context.agent,
    )
    context.rows = list(context.fixture.targets)


@behave.given("{count:d} targets whose engines hold nothing")
def start_empty(context, count):
    start_targets(context, count, model="")


@behave.given("{count:d} targets whose engines hold what is declared")
@behave.given("{count:d} target whose engine holds what is declared")
def start_loaded(context, count):
    start_targets(context, count, model="base", version="2")


@behave.given(
    "{count:d} targets each of 2 services whose engines hold nothing"
)
def start_two_services(context, count):
    start_empty(context, count)
    context.rows += [
        builders.start_target(
            context.deployment,
            number,
            _OTHER,
            {"model": ""},
            **context.agent,
        )
        for number in range(count, 2 * count)
    ]
    context.deployment.declare("services", _OTHER, _SPEC)


def read_load(context, row):
    return context.deployment.call("GET", f"{row.target.url}/load")


def wait_until(is_true, describe):
    deadline = time.monotonic() + _WITHIN_S
    while not is_true():
        assert time.monotonic() < deadline, describe()
        time.sleep(0.05)


def wait_for_version(context, rows, version):
    wanted = {"model": "base", "version": version}
    for row in rows:
        wait_until(
            lambda row=row: wanted.items() <= read_load(context, row).items(),
            row.agent.log.tail,
        )


@behave.when("all engines hold what is declared")
@behave.then("all engines hold what is declared")
def wait_for_all(context):
    wait_for_version(context, context.rows, "2")


@behave.then("the service has version {version} everywhere")
def wait_for_other_version(context, version):
    wait_for_version(context, context.rows, version)


@behave.when("an operator asks for version {version} of the service")
def declare_version(context, version):
    context.deployment.declare(
        "services", builders.MODEL, {**_SPEC, "version": version}
    )


def read_store(context, **counts):
    return context.deployment.read_witness(context.store, **counts)


@behave.then("the store was never read by more than {most:d} at once")
def check_most(context, most):
    assert read_store(context)["most_readers"] <= most, read_store(context)


@behave.then("the store was read {count:d} times and refused none")
def check_reads(context, count):
    seen = read_store(context, whole=count)
    assert (seen["reads"], seen["refused"]) == (count, 0), seen


def find_holder(context):
    def find():
        return [
            row
            for row in context.rows
            if row.agent.log.find_events("weights_turn_taken")
        ]

    wait_until(find, lambda: "no turn was taken")
    return find()[0]


@behave.when("the first target that has a turn is killed with its engine")
def kill_holder(context):
    row = find_holder(context)
    context.deployment.kill(row.agent)
    context.deployment.kill(row.target)
    context.others = [other for other in context.rows if other is not row]


@behave.when("the first agent that has a turn is frozen")
def freeze_holder(context):
    context.frozen = find_holder(context)
    context.deployment.freeze(context.frozen.agent)
    context.others = [
        other for other in context.rows if other is not context.frozen
    ]


@behave.when("the frozen agent goes on")
def thaw_holder(context):
    context.deployment.thaw(context.frozen.agent)


@behave.then("all other engines hold what is declared")
def wait_for_others(context):
    wait_for_version(context, context.others, "2")


# Outages.


def replace_target(context, number, row):
    deployment = context.deployment
    deployment.kill(row.agent)
    deployment.kill(row.target)
    engine = deployment.start_engine(
        f"new-engine-{number}", listen=row.target.address, model=""
    )
    agent = deployment.start_agent(
        row.agent.name,
        builders.DATA_CENTRES[number % len(builders.DATA_CENTRES)],
        builders.MODEL,
        row.target.url,
        listen=row.agent.address,
        log_level="debug",
        **context.agent,
    )
    return row._replace(target=engine, agent=agent)


@behave.when("the log goes out and all engines and agents are replaced")
def replace_all(context):
    context.deployment.set_faults(context.fixture.log, out=True)
    # Reads last until the store has refused one: on a busy machine engines
    # that start one after the other would never meet at the store.
    context.deployment.set_faults(context.store, rate=_SLOW_RATE)
    with futures.ThreadPoolExecutor() as pool:
        context.rows = list(
            pool.map(
                lambda pair: replace_target(context, *pair),
                enumerate(context.rows),
            )
        )
    context.deployment.read_witness(context.store, refused=1)
    context.deployment.set_faults(context.store, rate=0)


@behave.when("the log goes out for all but the entries' configuration")
def lose_log(context):
    context.deployment.set_faults(context.fixture.log, out=True)


@behave.when("the log serves again")
def restore_log(context):
    context.deployment.set_faults(context.fixture.log, out=False)


@behave.then("all new agents claim their targets")
def check_claims(context):
    for row in context.rows:
        row.agent.log.wait_for_event("lease_acquired")


@behave.then("a call for the service is answered")
def check_answered(context):
    entry = context.fixture.entries[0]
    answers = []

    def is_answered():
        answers.append(builders.complete(entry, "probe tokens:2"))
        return answers[-1].status_code == 200

    wait_until(is_answered, lambda: answers[-1].text)


def check_refusals(context):
    # The store asks for a second's wait, so however slow the machine is no
    # reader that heeds it is refused more often than this.
    seen = read_store(context)
    seconds = time.monotonic() - context.started_at
    assert seen["refused"], seen
    assert seen["refused"] <= len(context.rows) * (seconds + 1), seen


@behave.then("the store refused no engine more than once a second")
def check_pace(context):
    check_refusals(context)


@behave.then("the store was asked no more than once a second by each agent")
def check_asks(context):
    # An agent that heeds the store's wait needs five seconds for six asks,
    # however slow the machine is.
    for row in context.rows:
        refusals = find_refusals(row)
        first, last = (
            datetime.datetime.fromisoformat(refusals[index]["timestamp"])
            for index in (0, -1)
        )
        seconds = (last - first).total_seconds()
        assert len(refusals) <= seconds + 2, refusals


@behave.given("the weight store is out")
def lose_store(context):
    context.deployment.set_faults(context.store, out=True)


@behave.when("the weight store is back")
def restore_store(context):
    context.deployment.set_faults(context.store, out=False)


def find_refusals(row):
    return row.agent.log.find_events("weights_unavailable")


@behave.when("each agent was refused {count:d} times")
def wait_for_refusals(context, count):
    for row in context.rows:
        wait_until(
            lambda row=row: len(find_refusals(row)) >= count,
            row.agent.log.tail,
        )
