"""Steps for connections between callers and entries."""

import json

import behave

from features import builders
from features import stream_readers
from features.steps import at_most_once_steps
from features.steps import idempotency_steps


@behave.given(
    "a deployment of {entries:d} entries and {targets:d} target with slow"
    " steps"
)
def start_slow(context, entries, targets):
    context.fixture = builders.start_fixture(
        context.deployment, entries, targets, engine={"step_ms": 15}
    )


@behave.given("a relay before the first entry")
def start_relay(context):
    context.relay = context.deployment.start_relay(
        context.fixture.entries[0].address, name="before-entry"
    )


@behave.when("a caller reads a stream of {count:d} tokens through the relay")
def read_through_relay(context, count):
    context.reader = stream_readers.StreamReader(
        context.relay, f"report tokens:{count}"
    )


@behave.when(
    "after {count:d} tokens the relay before the entry gets the fault {fault}"
)
def break_after(context, count, fault):
    context.reader.wait_for_tokens(count)
    set_fault(context, fault)


@behave.when("the relay before the entry gets the fault {fault}")
def set_fault(context, fault):
    context.deployment.set_faults(context.relay, **json.loads(fault))


@behave.when("a report of 20 tokens with a key is sent through the relay")
def send_through_relay(context):
    at_most_once_steps.run_in_background(
        context, idempotency_steps.send, context.relay
    )


@behave.then("the first entry holds no call")
def check_nothing_held(context):
    """Tell the entry to stop: it exits when it holds no call any more."""
    entry = context.fixture.entries[0]
    context.deployment.ask_to_stop(entry)
    assert context.deployment.wait_for_exit(entry) == 0, entry.log.tail()
    check_not_overdue(context)


@behave.given(
    "a deployment whose entry gives silent callers up after {silence:d} ms"
)
def start_impatient(context, silence):
    context.fixture = builders.start_fixture(
        context.deployment, entry={"caller_silence_ms": silence}
    )


@behave.then("the entry closes the call before its end by itself")
def check_closed(context):
    event = context.fixture.entries[0].log.wait_for_event("call_closed")
    assert event["items"] < 2900, event


@behave.when("the entry is told to stop with the stopped caller")
def stop_entry(context):
    context.deployment.ask_to_stop(context.fixture.entries[0])


@behave.then("its shutdown was not overdue")
def check_not_overdue(context):
    log = context.fixture.entries[0].log
    assert not log.find_events("shutdown_overdue"), log.tail()
