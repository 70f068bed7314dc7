"""Steps for refused requests that the log keeps."""

import contextlib
import json
import time
from unittest import mock

import behave
import topic_builders
import trio

from gentianpoint_entry import crash_suspects
from gentianpoint_entry.forwarding import suspect_records

CONTENT = "request"
DAY_S = 86_400.0


def find_topic(context):
    if "topic" not in context:
        context.topic = topic_builders.KeptTopic()
        context.actions = []
        context.passed_s = 0.0
    return context.topic


@behave.given("the log is out for {seconds:d} seconds")
def take_out(context, seconds):
    find_topic(context).out_until = float(seconds)


@behave.given("a topic with records that can't be read")
def add_unreadable(context):
    values = (b"{", b"7", b"[7]", b'[["a", "b"]]', b'[["a", 1e999]]', b"\xff")
    for number, value in enumerate(values):
        find_topic(context).values[f"unreadable-{number}"] = value


@behave.given("an entry that has seen {count:d} targets end under a request")
def see_ends(context, count):
    find_topic(context)

    async def act(entry):
        for number in range(count):
            entry.suspects.note_ends(
                f"target-{number}", [CONTENT], trio.current_time()
            )
            entry.records.note_changes([CONTENT])

    context.actions.append(act)


@behave.when("a target answers the request")
def answer(context):
    async def act(entry):
        await trio.sleep(1)
        entry.suspects.note_answered(CONTENT, trio.current_time())
        entry.records.note_changes([CONTENT])

    context.actions.append(act)


@behave.when("the log comes back from a copy without records")
def restore_empty(context):
    async def act(entry):
        await trio.sleep(2)
        context.topic.restore({})

    context.actions.append(act)


@behave.when("the log comes back from a copy with the record")
def restore_record(context):
    async def act(entry):
        await trio.sleep(2)
        assert not context.topic.values
        ended_ms = int(time.time() * 1000)
        rows = [[f"target-{number}", ended_ms] for number in range(3)]
        context.topic.restore({CONTENT: json.dumps(rows).encode()})

    context.actions.append(act)


@behave.when("all entries stop, and one starts")
def restart(context):
    restart_after(context, 5)


@behave.when("all entries stop after a minute, and one starts")
def restart_after_minute(context):
    restart_after(context, 60)


@behave.when("all entries stop, and one starts {days:d} days later")
def restart_later(context, days):
    context.passed_s = days * DAY_S
    restart_after(context, 5)


def restart_after(context, seconds):
    async def act(entry):
        await trio.sleep(seconds)
        entry.stop()
        await trio.sleep(context.passed_s)
        entry.start()
        await trio.sleep(5)

    context.actions.append(act)


class Entry:
    """An entry that keeps its records in a topic."""

    def __init__(self, topic, nursery):
        """Start for the first time."""
        self._topic = topic
        self._nursery = nursery
        self.start()

    def start(self):
        """Start without knowing anything."""
        self.suspects = crash_suspects.CrashSuspects()
        self.records = suspect_records.SuspectRecords(
            self._topic, self.suspects, self._topic.eras, lambda content: True
        )
        self._scope = trio.CancelScope()
        self._nursery.start_soon(self._run, self._scope, self.records)

    async def _run(self, scope, records):
        with scope:
            await records.run()

    def stop(self):
        """Stop at once."""
        self._scope.cancel()


@contextlib.contextmanager
def use_virtual_time():
    """Let the time of day pass as the virtual clock does."""
    begins_at = time.time()

    def read_time():
        return begins_at + trio.current_time()

    with mock.patch.object(suspect_records.time, "time", read_time):
        yield


def play(context):
    if context.actions is None:
        return

    async def run():
        async with trio.open_nursery() as nursery:
            entry = Entry(context.topic, nursery)
            await trio.sleep(1)
            for act in context.actions:
                await act(entry)
            await trio.sleep(1)
            context.until = entry.suspects.find_refused_until(
                CONTENT, trio.current_time()
            )
            nursery.cancel_scope.cancel()

    with use_virtual_time():
        topic_builders.run_on_mock_clock(run)
    context.actions = None


@behave.then("it refuses the request")
def check_refused(context):
    play(context)
    assert context.until is not None


@behave.then("it does not refuse the request")
def check_not_refused(context):
    play(context)
    assert context.until is None


@behave.then("the topic has no record")
def check_empty(context):
    play(context)
    assert not context.topic.values, context.topic.values
