"""Steps for watching changes."""

import json
import socket

import behave
import httpx

from features import administration
from features import builders


@behave.given(
    "{entries:d} entries and {targets:d} targets whose changes are watched"
)
def start_watched(context, entries, targets):
    context.fixture = builders.start_fixture(
        context.deployment, entries=entries, targets=targets
    )
    context.entries = list(context.fixture.entries)
    context.after = administration.read_offset(
        context.deployment, context.entries[0]
    )


def read_watch(context, entry, is_last, after, kind=None):
    """Return the lines of a watch up to the first that ``is_last``."""
    params = {"after": after, **({"kind": kind} if kind else {})}
    lines = []
    with httpx.stream(
        "GET",
        f"{entry.url}/admin/v1/watch",
        params=params,
        headers=administration.make_operator(context.deployment),
        timeout=administration.CALL_TIMEOUT_S,
    ) as answer:
        assert answer.status_code == 200, answer.read()
        for text in answer.iter_lines():
            line = json.loads(text)
            if line["type"] != "heartbeat":
                lines.append(line)
            if is_last(line):
                return lines
    raise AssertionError(lines)


def put_service(context, **more):
    context.answer = administration.call(
        context.deployment,
        context.entries[0],
        "PUT",
        f"services/{builders.MODEL}",
        {"spec": builders.make_service(max_tokens=9), **more},
    )


@behave.when("an operator changes the service")
def change_service(context):
    put_service(context)
    assert context.answer.status_code == 200, context.answer.text
    context.change = context.answer.json()["change"]


@behave.when("an operator writes with an old base")
def write_old_base(context):
    put_service(context, base=1)
    assert context.answer.status_code == 409, context.answer.text
    context.change = context.answer.json()["change"]


@behave.when("the first agent is frozen")
def freeze_agent(context):
    context.deployment.freeze(context.fixture.targets[0].agent)


@behave.when("the first agent is thawed")
def thaw_agent(context):
    context.deployment.thaw(context.fixture.targets[0].agent)


def wait_for_count(context, n, of):
    def is_reached():
        row = administration.call(
            context.deployment,
            context.entries[0],
            "GET",
            f"changes/{context.change}",
        ).json()
        context.in_force = row["in_force"]
        found = context.in_force
        return (found["n"], found["of"]) == (n, of)

    administration.wait_until(is_reached, f"in force on {n} of {of}")


@behave.then("the change is at last in force on {n:d} of {of:d} hosts")
def check_in_force(context, n, of):
    wait_for_count(context, n, of)
    assert context.in_force["lagging"] == []


@behave.then(
    "the change is in force on {n:d} of {of:d} hosts and the first agent lags"
)
def check_lagging(context, n, of):
    wait_for_count(context, n, of)
    name = context.fixture.targets[0].agent.name
    assert context.in_force["lagging"] == [name], context.in_force


@behave.then(
    "the watch shows the change accepted and then in force on {n:d} of {of:d}"
)
def check_watch(context, n, of):
    lines = read_watch(
        context,
        context.entries[-1],
        lambda line: (
            line["type"] == "in_force" and (line["n"], line["of"]) == (n, of)
        ),
        context.after,
    )
    first, *counts = [
        line for line in lines if line["change"] == context.change
    ]
    assert first["type"] == "change", first
    assert first["state"] == "accepted", first
    assert first["spec"]["max_tokens"] == 9, first
    assert all(line["type"] == "in_force" for line in counts), counts


@behave.then("the watch shows the change refused since {reason}")
def check_watch_refused(context, reason):
    lines = read_watch(
        context,
        context.entries[-1],
        lambda line: line.get("state") == "refused",
        context.after,
        kind="services",
    )
    assert lines[-1]["change"] == context.change, lines
    assert reason in lines[-1]["reason"], lines


def make_changes(context, entry, first, count):
    for number in range(first, first + count):
        answer = administration.put_customer(
            context.deployment, entry, f"c{number}", change=f"change-{number}"
        )
        assert answer.status_code == 200, answer.text


def watch_until(context, entry, change, after):
    lines = read_watch(
        context,
        entry,
        lambda line: line["type"] == "change" and line["change"] == change,
        after,
        kind="customers",
    )
    return [line for line in lines if line["type"] == "change"]


@behave.when("{count:d} changes are watched through the first entry")
def watch_changes(context, count):
    make_changes(context, context.entries[0], 1, count)
    context.seen = watch_until(
        context, context.entries[0], f"change-{count}", context.after
    )


@behave.when("{count:d} more changes are made through the last entry")
def make_more(context, count):
    context.made = len(context.seen) + count
    make_changes(context, context.entries[-1], len(context.seen) + 1, count)


@behave.when("the watch resumes there")
def resume_watch(context):
    context.seen += watch_until(
        context,
        context.entries[-1],
        f"change-{context.made}",
        context.seen[-1]["revision"],
    )


@behave.then("the {count:d} changes are seen once each in order")
def check_seen(context, count):
    seen = [line["change"] for line in context.seen]
    assert seen == [f"change-{n}" for n in range(1, count + 1)], seen


@behave.when("{count:d} records are appended to the log")
def append_records(context, count):
    url = f"{context.fixture.log.url}/streams/configuration/records"
    with httpx.Client() as client:
        while count:
            answer = client.post(url, content=b"no change")
            # The stand-in's rate is what it is: refused appends come again.
            count -= answer.status_code == 200
    context.last = context.after + 4200
    administration.wait_for_offset(context.entries[0], context.last)


def open_watch(context, after):
    return httpx.stream(
        "GET",
        f"{context.entries[0].url}/admin/v1/watch",
        params={"after": after},
        headers=administration.make_operator(context.deployment),
    )


@behave.then(
    "a watch after revision {after:d} is answered with {status:d} {code}"
)
def check_compacted(context, after, status, code):
    with open_watch(context, after) as answer:
        assert answer.status_code == status
        assert json.loads(answer.read())["error"]["code"] == code


@behave.then("a watch after the current revision is answered with {status:d}")
def check_current(context, status):
    with open_watch(context, context.last) as answer:
        assert answer.status_code == status


@behave.when("an operator opens a watch and reads nothing")
def open_and_read_nothing(context):
    host, _, port = context.entries[0].address.rpartition(":")
    connection = socket.create_connection((host, int(port)))
    context.add_cleanup(connection.close)
    key = context.deployment.operator_key
    connection.sendall(
        f"GET /admin/v1/watch?after={context.after} HTTP/1.1\r\n"
        f"Host: {host}\r\nAuthorization: Bearer {key}\r\n\r\n".encode()
    )
    assert connection.recv(12).startswith(b"HTTP/1.1 200")


@behave.when("{count:d} large customers are declared")
def declare_large(context, count):
    hashes = [administration.make_key_hash(str(n)) for n in range(100)]
    url = f"{context.fixture.log.url}/streams/configuration/records"
    with httpx.Client() as client:
        for number in range(count):
            record = {
                "version": 1,
                "change": f"large-{number}",
                "action": "put",
                "kind": "customer",
                "name": "large",
                "base": -1,
                "spec": {"key_hashes": hashes},
            }
            answer = client.post(url, content=json.dumps(record))
            assert answer.status_code == 200, answer.text


@behave.then("another operator sees all {count:d} changes")
def check_all_seen(context, count):
    lines = watch_until(
        context, context.entries[0], f"large-{count - 1}", context.after
    )
    assert len(lines) == count, len(lines)


@behave.then("the entry answers callers")
def check_callers(context):
    answer = httpx.get(
        f"{context.entries[0].url}/v1/models", headers=builders.make_headers()
    )
    assert answer.status_code == 200, answer.text
