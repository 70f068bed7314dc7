"""Steps for orders to engines."""

from concurrent import futures
import time

import behave

from features import administration
from features import builders
from features import stream_readers

_WITHIN_S = 60.0


def make_spec(version, **more):
    more.setdefault("role", "serve")
    return builders.make_service(model="base", version=version, **more)


def start(context, targets, fencing, entries=1, agent=None, **engine):
    context.fencing = "checked" if fencing else "ignored"
    context.fixture = builders.start_fixture(
        context.deployment,
        entries,
        targets,
        engine={"model": "base", "version": "1", "fencing": fencing, **engine},
        spec=make_spec("1"),
        fencing=context.fencing,
        lease_ms=1000,
        entry=builders.FAST,
        **{**builders.FAST, **(agent or {})},
    )


@behave.given(
    "a deployment with {targets:d} target whose engine {way} fencing numbers"
)
def start_with_fencing(context, targets, way):
    start(context, targets, way == "checks")


@behave.given(
    "a deployment with {targets:d} target whose loads take {load:d} ms"
)
@behave.given(
    "a deployment with {targets:d} targets whose loads take {load:d} ms"
)
def start_with_loads(context, targets, load):
    start(context, targets, True, load_ms=load)


@behave.when("an operator declares version {version}")
def declare_version(context, version):
    context.deployment.declare("services", builders.MODEL, make_spec(version))


@behave.when("after {count:d} tokens an operator declares version {version}")
def declare_under_stream(context, count, version):
    context.reader.wait_for_tokens(count)
    declare_version(context, version)


def read_load(context, row):
    return context.deployment.call("GET", f"{row.target.url}/load")


def read_version(context, row):
    return read_load(context, row)["version"]


def wait_until(is_true, describe):
    """Wait for a state that processes come to by themselves."""
    deadline = time.monotonic() + _WITHIN_S
    while not is_true():
        assert time.monotonic() < deadline, describe()
        time.sleep(0.05)


@behave.then("the engine holds version {version}")
@behave.when("the engine has loaded version {version}")
def wait_for_version(context, version):
    row = context.fixture.targets[0]
    wait_until(
        lambda: read_version(context, row) == version, row.agent.log.tail
    )


@behave.when("the agent is frozen")
def freeze_agent(context):
    context.older = context.fixture.targets[0].agent
    context.older.log.wait_for_event("lease_acquired")
    context.deployment.freeze(context.older)


@behave.when("another agent takes its place")
def replace_agent(context):
    row = context.fixture.targets[0]
    context.fixture.entries[0].log.wait_for_event(
        "connection_lost",
        matches=lambda event: event["peer"] == context.older.name,
    )
    newer = context.deployment.start_agent(
        "newer",
        builders.DATA_CENTRES[0],
        builders.MODEL,
        row.target.url,
        target=context.older.name,
        fencing=context.fencing,
        lease_ms=1000,
        log_level="debug",
    )
    context.deployment.forget_host(context.older.name)
    context.deployment.register_host(
        newer,
        builders.DATA_CENTRES[0],
        builders.MODEL,
        target=context.older.name,
    )


@behave.when("the older agent goes on and finds that it was superseded")
def thaw_older(context):
    context.deployment.thaw(context.older)
    context.older.log.wait_for_event("lease_lapsed", within_s=_WITHIN_S)


@behave.then("the engine took no order for version 1 after it")
def check_orders(context):
    row = context.fixture.targets[0]
    orders = context.deployment.read_witness(row.target)["orders"]
    taken = [entry["version"] for entry in orders if not entry["refused"]]
    assert taken == ["2"], orders


@behave.when("the engine is restarted with version 1")
def restart_engine(context):
    row = context.fixture.targets[0]
    context.deployment.kill(row.target)
    context.deployment.start_engine(
        "engine-again", listen=row.target.address, model="base", version="1"
    )


@behave.when(
    "callers ask for {tokens:d} tokens until all engines hold version 2"
)
def ask_until_loaded(context, tokens):
    context.answers = []
    deadline = time.monotonic() + _WITHIN_S
    entry = context.fixture.entries[0]
    while True:
        versions = {
            read_version(context, row) for row in context.fixture.targets
        }
        if versions == {"2"}:
            return
        assert time.monotonic() < deadline, versions
        context.answers.append(
            builders.complete(entry, f"turn-{len(context.answers)} tokens:3")
        )


@behave.then("all their answers were whole")
def check_answers(context):
    assert context.answers
    for answer in context.answers:
        assert answer.status_code == 200, answer.text


# Unload and role.


@behave.given(
    "a deployment with {targets:d} targets that wait {wait:d} ms for running "
    "calls"
)
def start_with_wait(context, targets, wait):
    start(context, targets, True, agent={"drain_within_ms": wait})


@behave.given("a deployment with {entries:d} entries and 1 target")
def start_with_entries(context, entries):
    start(context, 1, True, entries)


@behave.given("the engine loses the answer to {count:d} order by {lose_by}")
def lose_order_replies(context, count, lose_by):
    engine = context.fixture.targets[0].target
    context.deployment.set_faults(
        engine, lose_order_replies=count, lose_by=lose_by
    )


def declare(context, **more):
    context.deployment.declare(
        "services", builders.MODEL, make_spec("1", **more)
    )


@behave.when("an operator declares the service unloaded")
def declare_unloaded(context):
    declare(context, state="unloaded")


@behave.when("an operator declares the role {role}")
def declare_role(context, role):
    declare(context, role=role)


@behave.when(
    "after {count:d} tokens an operator declares the service unloaded"
)
def declare_unloaded_under_stream(context, count):
    context.reader.wait_for_tokens(count)
    declare_unloaded(context)


@behave.when("after {count:d} tokens an operator declares the role {role}")
def declare_role_under_stream(context, count, role):
    context.reader.wait_for_tokens(count)
    declare_role(context, role)


@behave.when("an operator deletes the service")
def delete_service(context):
    answer = administration.call(
        context.deployment,
        context.fixture.entries[0],
        "DELETE",
        f"services/{builders.MODEL}",
        {},
    )
    assert answer.status_code == 200, answer.text


@behave.when("the agent is killed and an operator deletes the service")
def kill_and_delete(context):
    context.deployment.kill(context.fixture.targets[0].agent)
    delete_service(context)


@behave.when("an agent takes the place of the killed one")
def start_again(context):
    row = context.fixture.targets[0]
    context.deployment.start_agent(
        row.agent.name,
        builders.DATA_CENTRES[0],
        builders.MODEL,
        row.target.url,
        listen=row.agent.address,
        log_level="debug",
        unload_undeclared_ms=1000,
    )


@behave.when("the agent is killed and replaced")
def kill_and_replace(context):
    agent = context.fixture.targets[0].agent
    log = context.fixture.entries[0].log

    def count_links():
        opened = log.find_events("connection_opened")
        return sum(event["peer"] == agent.name for event in opened)

    before = count_links()
    context.deployment.kill(agent)
    start_again(context)
    wait_until(lambda: count_links() > before, log.tail)


@behave.then("new calls are refused as not run, since it is declared unloaded")
def check_refused(context):
    entry = context.fixture.entries[0]
    answers = []

    def is_refused():
        answers.append(builders.complete(entry, "probe tokens:1"))
        return answers[-1].status_code == 503

    wait_until(is_refused, lambda: answers[-1].text)
    error = answers[-1].json()["error"]
    assert error["code"] == "not_run", error
    assert "declared unloaded" in error["message"], error
    assert "Retry-After" in answers[-1].headers


@behave.then("the engine holds nothing")
def wait_for_nothing(context):
    wait_for_change(context, "the service unloaded")


@behave.then("the engine has the role {role}")
def wait_for_role(context, role):
    wait_for_change(context, f"the role {role}")


@behave.then("the engine has carried out {change}")
@behave.when("the engine has carried out {change}")
def wait_for_change(context, change):
    row = context.fixture.targets[0]
    wanted = {"model": ""}
    if change.startswith("the role "):
        wanted = {"model": "base", "role": change.rpartition(" ")[2]}
    wait_until(
        lambda: wanted.items() <= read_load(context, row).items(),
        row.agent.log.tail,
    )


@behave.then("a new call is answered")
def check_answered(context):
    entry = context.fixture.entries[0]
    answers = []

    def is_answered():
        answers.append(builders.complete(entry, "again tokens:2"))
        return answers[-1].status_code == 200

    wait_until(is_answered, lambda: answers[-1].text)


def read_orders(context, row):
    return [
        order
        for order in context.deployment.read_witness(row.target)["orders"]
        if not order["refused"]
    ]


@behave.then("the engine took no order of the older agent")
def check_older_orders(context):
    fence = context.older.log.find_events("lease_acquired")[0]["fence"]
    orders = read_orders(context, context.fixture.targets[0])
    assert orders
    assert all(order["fence"] > fence for order in orders), orders


# Lost answers, engines that die, long streams.


@behave.when(
    "callers read streams of {tokens:d} tokens until the engine holds "
    "version {version}"
)
def read_until_loaded(context, tokens, version):
    context.readers = []
    row = context.fixture.targets[0]
    deadline = time.monotonic() + _WITHIN_S
    while read_version(context, row) != version:
        assert time.monotonic() < deadline, row.agent.log.tail()
        reader = stream_readers.StreamReader(
            context.fixture.entries[0],
            f"reader-{len(context.readers)} tokens:{tokens}",
        )
        reader.wait_for_end()
        context.readers.append(reader)


@behave.then("no stream of theirs was cut")
def check_streams_not_cut(context):
    assert context.readers
    for reader in context.readers:
        refused = (reader.error or {}).get("code") == "not_run"
        assert reader.done or (refused and not reader.texts), reader.describe()


@behave.then("the agent logged {name}")
@behave.when("the agent has logged {name}")
def check_logged(context, name):
    context.fixture.targets[0].agent.log.wait_for_event(name)


@behave.then("the engine took {count:d} order")
def check_order_count(context, count):
    orders = read_orders(context, context.fixture.targets[0])
    assert len(orders) == count, orders


@behave.when("the first engine that gets an order is killed")
def kill_first_ordered(context):
    rows = context.fixture.targets

    def find_ordered():
        return [row for row in rows if read_orders(context, row)]

    wait_until(find_ordered, lambda: "no orders")
    # Its agent has to hear that it loads before it dies.
    row = find_ordered()[0]
    context.deployment.read_witness(row.target, loading_reports=1)
    context.deployment.kill(row.target)
    context.rest = [other for other in rows if other is not row]


@behave.then("the other engine holds version {version}")
def check_others(context, version):
    for row in context.rest:
        wait_until(
            lambda row=row: read_version(context, row) == version,
            row.agent.log.tail,
        )


def split_by_stream(context):
    home = context.reader.generation.partition("~")[0]
    rows = context.fixture.targets
    busy = next(row for row in rows if row.agent.name == home)
    return busy, [row for row in rows if row is not busy]


@behave.then("the engine without the stream holds version {version}")
def check_idle_engine(context, version):
    context.rest = split_by_stream(context)[1]
    check_others(context, version)


@behave.then("the agent with the stream logged {name}")
def check_busy_agent(context, name):
    split_by_stream(context)[0].agent.log.wait_for_event(name, _WITHIN_S)


@behave.then("all engines hold version {version}")
def check_all(context, version):
    context.rest = context.fixture.targets
    check_others(context, version)


@behave.when(
    "two operators declare conflicting states at once {count:d} times each"
)
def race(context, count):
    wishes = (
        [make_spec("2", state="unloaded")] * count,
        [
            make_spec(str(3 + turn % 2), role=("decode", "prefill")[turn % 2])
            for turn in range(count)
        ],
    )

    def write(entry, specs):
        for spec in specs:
            answer = administration.call(
                context.deployment,
                entry,
                "PUT",
                f"services/{builders.MODEL}",
                {"spec": spec, "base": -1},
            )
            assert answer.status_code == 200, answer.text
            time.sleep(0.2)

    with futures.ThreadPoolExecutor() as pool:
        writes = [
            pool.submit(write, entry, specs)
            for entry, specs in zip(
                context.fixture.entries, wishes, strict=True
            )
        ]
        for done in writes:
            done.result()


@behave.then("the engine ends in the state that was accepted last")
def check_last(context):
    spec = administration.call(
        context.deployment,
        context.fixture.entries[0],
        "GET",
        f"services/{builders.MODEL}",
    ).json()["spec"]
    row = context.fixture.targets[0]
    wanted = {"model": ""}
    if spec.get("state") != "unloaded":
        wanted = {key: spec[key] for key in ("model", "version", "role")}
    wait_until(
        lambda: wanted.items() <= read_load(context, row).items(),
        lambda: f"{wanted}\n{row.agent.log.tail()}",
    )
    fulfilled = row.agent.log.find_events("order_fulfilled")
    assert fulfilled
