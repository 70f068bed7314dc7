"""Steps for data centres that operators evacuate."""

import time

import behave

from features import administration
from features import builders
from features import stream_readers
from features.steps import streams_steps

WITHIN_S = 20.0


def write(context, method, data_centre):
    answer = administration.call(
        context.deployment,
        context.fixture.entries[0],
        method,
        f"evacuations/{data_centre}",
    )
    assert answer.status_code == 200, answer.text
    return answer.json()["revision"]


def wait_until_known(context, evacuated):
    """Wait until all entries, and the agents concerned, have heard of it."""
    for entry in context.fixture.entries:
        entry.log.wait_for_event(
            "data_centres_evacuated",
            matches=lambda event: event["data_centres"] == sorted(evacuated),
        )


def find_there(context, data_centre):
    return [
        row
        for number, row in enumerate(context.fixture.targets)
        if builders.DATA_CENTRES[number] == data_centre
    ]


def count_started(context):
    return [
        context.deployment.read_witness(row.target)["started"]
        for row in context.there
    ]


@behave.when("the data centre that serves it is evacuated")
def evacuate_serving(context):
    context.reader.wait_for_tokens(10)
    serving = streams_steps.find_server(context)
    number = context.fixture.targets.index(serving)
    evacuate(context, builders.DATA_CENTRES[number])


@behave.when("the operator evacuates {data_centre}")
def evacuate(context, data_centre):
    context.data_centre = data_centre
    write(context, "PUT", data_centre)
    wait_until_known(context, [data_centre])
    context.there = find_there(context, data_centre)
    for row in context.there:
        row.agent.log.wait_for_event("data_centres_evacuated")
    context.started = count_started(context)


@behave.then("the targets there have started nothing new")
def check_started(context):
    assert context.there
    assert count_started(context) == context.started


@behave.when("the operator takes the data centre back")
def take_back(context):
    write(context, "DELETE", context.data_centre)
    wait_until_known(context, [])


@behave.then("its target serves callers again")
def check_serves(context):
    until = time.monotonic() + WITHIN_S
    while count_started(context) == context.started:
        assert time.monotonic() < until
        for entry in context.fixture.entries:
            answer = builders.complete(entry, "again tokens:3")
            assert answer.status_code == 200, answer.text


@behave.when("every data centre is evacuated by the operator")
def evacuate_all(context):
    for data_centre in builders.DATA_CENTRES:
        write(context, "PUT", data_centre)
    wait_until_known(context, builders.DATA_CENTRES)


@behave.then("a caller is told not_run, and when to come back")
def check_refused(context):
    for entry in context.fixture.entries:
        answer = builders.complete(entry, "report tokens:5")
        assert answer.status_code == 503, answer.text
        assert answer.json()["error"]["code"] == "not_run", answer.text
        assert float(answer.headers["Retry-After"]) > 0


@behave.when("another entry starts and serves {count:d} callers")
def start_entry(context, count):
    entry = builders.start_another_entry(context.deployment)
    for row in context.fixture.targets:
        if row not in context.there:
            builders.wait_for_link(entry, row)
    readers = [
        stream_readers.StreamReader(entry, f"late-{number} tokens:5")
        for number in range(count)
    ]
    for reader in readers:
        reader.wait_for_end()
        assert reader.done, reader.describe()
