"""Steps for entries that follow topics of the log."""

import behave
from structlog import testing
import topic_builders
import trio

from gentianpoint_entry.forwarding import topic_follower

_TIMING = topic_follower.make_short_poll_timing(1200)
_PHASE_S = 5.0


@behave.given("a log that serves this entry up to offset {end:d}")
def make_log(context, end):
    context.log = topic_builders.FakeTopic(end)
    context.peers = []
    context.consumer = topic_builders.RecordingConsumer()


@behave.given("a log that rejects this entry from the start")
def make_unavailable_log(context):
    make_log(context, 0)
    context.log.is_unavailable = True


@behave.given("another entry that has the topic up to offset {end:d}")
def make_peer(context, end):
    context.peers.append(topic_builders.FakePeerTopic(end))


def follow(context, change):
    follower = topic_follower.TopicFollower(
        "topic",
        context.log,
        context.consumer,
        _TIMING,
        lambda: context.peers,
    )

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await trio.sleep(_PHASE_S)
            change()
            await trio.sleep(_PHASE_S)
            nursery.cancel_scope.cancel()

    topic_builders.run_on_mock_clock(run)


@behave.when("the log starts to reject this entry")
def reject(context):
    def change():
        context.log.is_unavailable = True

    follow(context, change)


@behave.when("this entry follows the topic")
def follow_topic(context):
    follow(context, lambda: None)


@behave.when("the log is unavailable for {outage_ms:d} ms")
def interrupt_log(context, outage_ms):
    follower = topic_follower.TopicFollower(
        "topic", context.log, context.consumer, _TIMING, lambda: ()
    )

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await trio.sleep(_PHASE_S)
            context.log.is_unavailable = True
            await trio.sleep(outage_ms / 1000)
            context.log.is_unavailable = False
            await trio.sleep(_PHASE_S)
            nursery.cancel_scope.cancel()

    with testing.capture_logs() as context.lines:
        topic_builders.run_on_mock_clock(run)


def find_lines(context, event):
    return [line for line in context.lines if line["event"] == event]


@behave.then(
    "each failed poll has a line with its duration and the pause after it"
)
def check_lines(context):
    lines = find_lines(context, "log_reading_failed")
    assert len(lines) > 1
    assert [line["failures"] for line in lines] == list(
        range(1, len(lines) + 1)
    )
    assert all(line["took_ms"] >= 1 for line in lines), lines
    assert all(line["next_in_ms"] > 0 for line in lines), lines


@behave.then(
    "the line of the log's return has the number of failures, over"
    " {outage_ms:d} ms"
)
def check_return(context, outage_ms):
    (line,) = find_lines(context, "log_available")
    assert line["failures"] == len(find_lines(context, "log_reading_failed"))
    assert line["silent_ms"] >= outage_ms, line


@behave.when("the log drops its history and the key of offset {offset:d}")
def drop_history(context, offset):
    def change():
        del context.log.records[offset]
        context.log.end += 1
        context.log.first = context.log.end

    follow(context, change)


@behave.then("this entry has the record at offset {offset:d}")
def check_record(context, offset):
    assert f"key-{offset}" in context.consumer.keys, context.consumer.keys


@behave.then(
    "the consumer is given a snapshot without the key of offset {offset:d}"
)
def check_snapshot(context, offset):
    assert f"key-{offset}" not in context.consumer.snapshots[-1]
    assert len(context.consumer.snapshots[-1]) == 4


@behave.given("a log whose long polls are not woken by new records")
def make_unnotified_log(context):
    context.log = topic_builders.UnnotifiedTopic(1)
    context.consumer = topic_builders.RecordingConsumer()


@behave.when(
    "a record is written that a long-polling reader must have within"
    " {within_ms:d} ms"
)
def write_for_long_poll(context, within_ms):
    write_record(context, topic_follower.make_long_poll_timing(within_ms))


@behave.when(
    "a record is written that a short-polling reader must have within"
    " {within_ms:d} ms"
)
def write_for_short_poll(context, within_ms):
    write_record(context, topic_follower.make_short_poll_timing(within_ms))


def write_record(context, timing):
    follower = topic_follower.TopicFollower(
        "topic",
        context.log,
        context.consumer,
        timing,
        lambda: (),
    )

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await trio.sleep(_PHASE_S)
            context.reads_per_s = context.log.reads / _PHASE_S
            end = context.log.end
            context.log.records.append(topic_builders.make_record(end))
            context.log.end = end + 1
            written_at = trio.current_time()
            while f"key-{end}" not in context.consumer.keys:
                await trio.sleep(0.01)
            context.took_ms = (trio.current_time() - written_at) * 1000
            nursery.cancel_scope.cancel()

    topic_builders.run_on_mock_clock(run)


@behave.then("the record is here within {within_ms:d} ms")
def check_time(context, within_ms):
    assert context.took_ms <= within_ms, context.took_ms


@behave.then("the log was read at most {count:d} times a second")
def check_reads(context, count):
    assert context.reads_per_s <= count, context.reads_per_s
