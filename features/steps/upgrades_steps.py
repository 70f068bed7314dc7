"""Steps for upgrades of one host after the other."""

import json

import behave
import httpx

from features import administration
from features import builders

PRIORITY = 7


@behave.given("{entries:d} entries and {targets:d} target of this version")
def start_fixture(context, entries, targets):
    context.fixture = builders.start_fixture(
        context.deployment, entries, targets
    )


@behave.when(
    'a later version writes the service with the field "{field}" to the log'
)
def write_later(context, field):
    spec = builders.make_service(priority=PRIORITY)
    record = {
        "version": 1,
        "change": "of-a-later-version",
        "action": "put",
        "kind": "service",
        "name": builders.MODEL,
        "base": -1,
        "spec": {**spec, field: {"deep": [1, 2]}},
    }
    url = f"{context.fixture.log.url}/streams/configuration/records"
    answer = httpx.post(url, content=json.dumps(record))
    context.offset = answer.raise_for_status().json()["offset"]


@behave.then('entries and agents have it in force without the field "{field}"')
def check_in_force(context, field):
    agents = [row.agent for row in context.fixture.targets]
    for handle in (*context.fixture.entries, *agents):
        handle.log.wait_for_event(
            "configuration_applied",
            matches=lambda event: event["offset"] >= context.offset,
        )
        ignored = handle.log.wait_for_event("field_ignored")
        assert ignored["field"] == field, ignored


@behave.then(
    'an operator who reads it through this version sees the field "{field}"'
)
def check_read(context, field):
    row = administration.call(
        context.deployment,
        context.fixture.entries[0],
        "GET",
        f"services/{builders.MODEL}",
    ).json()
    assert row["revision"] == context.offset, row
    assert row["spec"][field] == {"deep": [1, 2]}, row
    assert row["spec"]["priority"] == PRIORITY, row


@behave.then(
    "a caller gets a whole answer of {count:d} tokens through each entry"
)
def check_answers(context, count):
    for entry in context.fixture.entries:
        answer = builders.complete(entry, f"tokens:{count}")
        assert answer.status_code == 200, answer.text
        assert answer.json()["usage"]["completion_tokens"] == count
