"""Steps for snapshots, and for entries that come late."""

import behave
import httpx

from features import administration
from features import builders


@behave.given("{count:d} entry that writes a snapshot every {every:d} records")
@behave.given(
    "{count:d} entries that write a snapshot every {every:d} records"
)
def start_entries(context, count, every):
    context.fixture = builders.start_fixture(
        context.deployment,
        entries=count,
        targets=0,
        entry={"snapshot_records": every},
    )
    context.entries = list(context.fixture.entries)


@behave.when(
    "an operator declares {count:d} customers through the first entry"
)
def declare_customers(context, count):
    for number in range(count):
        answer = administration.put_customer(
            context.deployment, context.entries[0], f"customer-{number}"
        )
        assert answer.status_code == 200, answer.text
        context.offset = answer.json()["revision"]


@behave.when("a snapshot of them is written and the records before it expire")
def expire_records(context):
    # The snapshot need not hold the last record; those after it stay.
    administration.wait_for_snapshot(context.entries, context.offset - 3)
    offsets = [
        event["offset"]
        for entry in context.entries
        for event in entry.log.find_events("snapshot_written")
    ]
    expire(context, {"configuration": max(offsets) + 1})


def expire(context, offsets):
    context.deployment.set_faults(context.fixture.log, expire_before=offsets)


@behave.when("the parts of all snapshots expire")
def expire_parts(context):
    expire(context, {"configuration-snapshots": 1000})


@behave.when("all records of the configuration expire")
def expire_all(context):
    expire(context, {"configuration": 1000})


@behave.when("another entry starts")
def start_another(context):
    handle = builders.start_another_entry(context.deployment)
    context.entries.append(handle)


@behave.when("another entry starts that can't get ready")
def start_unready(context):
    handle = builders.start_another_entry(context.deployment, ready=False)
    context.entries.append(handle)


@behave.when("the last entry is frozen")
def freeze_last(context):
    context.deployment.freeze(context.entries[-1])


@behave.when("the last entry is thawed")
def thaw_last(context):
    context.deployment.thaw(context.entries[-1])


@behave.when("the first entry is killed")
def kill_first(context):
    context.kept = administration.list_all(
        context.deployment, context.entries[0]
    )
    context.deployment.kill(context.entries[0])


@behave.then("all entries have the same resources")
def check_same_resources(context):
    for entry in context.entries:
        administration.wait_for_offset(entry, context.offset)
    first, *others = [
        administration.list_all(context.deployment, entry)
        for entry in context.entries
    ]
    assert len(first["customers"]) >= 2, first
    assert others
    for other in others:
        assert other == first, (first, other)


@behave.then("the last entry has the resources that the first one had")
def check_kept(context):
    last = context.entries[-1]
    administration.wait_for_offset(last, context.offset)
    assert administration.list_all(context.deployment, last) == context.kept


@behave.then("the last entry took its state from a {source}")
def check_source(context, source):
    events = {"snapshot": "snapshot_loaded", "peer": "state_from_peer"}
    context.entries[-1].log.wait_for_event(events[source])


@behave.then("the last entry noticed that records had expired")
def check_noticed(context):
    context.entries[-1].log.wait_for_event("records_expired")


@behave.then("its health check fails with {reason}")
def check_health(context, reason):
    url = f"{context.entries[-1].url}/health"

    def says_reason():
        try:
            answer = httpx.get(url)
        except httpx.ConnectError:
            return False
        assert answer.status_code == 503, answer.text
        return reason in answer.text

    administration.wait_until(says_reason, f"{reason} at {url}")


@behave.then("a caller is told not_run with a time to come back")
def check_not_run(context):
    answer = builders.complete(context.entries[-1], "tokens:3")
    assert answer.status_code == 503, answer.text
    assert answer.json()["error"]["code"] == "not_run", answer.text
    assert int(answer.headers["Retry-After"]) >= 1
