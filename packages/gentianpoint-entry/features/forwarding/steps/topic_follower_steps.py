"""Steps for what entries read of the log's topics."""

import behave
from structlog import testing
import topic_builders
import trio

from gentianpoint_entry.forwarding import topic_follower

_PACE = topic_follower.make_short_poll_timing(1200)
_PHASE_S = 5.0


@behave.given("a log that serves this entry up to offset {end:d}")
def make_log(context, end):
    context.log = topic_builders.FakeTopic(end)
    context.peers = []
    context.reader = topic_builders.NotingReader()


@behave.given("a log that turns this entry away from the start")
def make_absent_log(context):
    make_log(context, 0)
    context.log.is_away = True


@behave.given("another entry that has the topic up to offset {end:d}")
def make_peer(context, end):
    context.peers.append(topic_builders.FakePeerTopic(end))


def follow(context, change):
    follower = topic_follower.TopicFollower(
        "topic",
        context.log,
        context.reader,
        _PACE,
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


@behave.when("the log turns this entry away")
def turn_away(context):
    def change():
        context.log.is_away = True

    follow(context, change)


@behave.when("this entry reads for a while")
def read(context):
    follow(context, lambda: None)


@behave.when("the log is away for {away_ms:d} ms")
def leave(context, away_ms):
    follower = topic_follower.TopicFollower(
        "topic", context.log, context.reader, _PACE, lambda: ()
    )

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await trio.sleep(_PHASE_S)
            context.log.is_away = True
            await trio.sleep(away_ms / 1000)
            context.log.is_away = False
            await trio.sleep(_PHASE_S)
            nursery.cancel_scope.cancel()

    with testing.capture_logs() as context.lines:
        topic_builders.run_on_mock_clock(run)


def find_lines(context, event):
    return [line for line in context.lines if line["event"] == event]


@behave.then(
    "each failed reading has a line with its time and the pause after it"
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
    "the line of the log's return tells how many failed, over {away_ms:d} ms"
)
def check_return(context, away_ms):
    (line,) = find_lines(context, "log_available")
    assert line["failures"] == len(find_lines(context, "log_reading_failed"))
    assert line["silent_ms"] >= away_ms, line


@behave.when("the log drops its history and the key of offset {offset:d}")
def drop_history(context, offset):
    def change():
        del context.log.records[offset]
        context.log.end += 1
        context.log.first = context.log.end

    follow(context, change)


@behave.then("this entry has the record at offset {offset:d}")
def check_record(context, offset):
    assert f"key-{offset}" in context.reader.keys, context.reader.keys


@behave.then(
    "the reader is given the whole state without the key of offset {offset:d}"
)
def check_state(context, offset):
    assert f"key-{offset}" not in context.reader.states[-1]
    assert len(context.reader.states[-1]) == 4


@behave.given("a log whose waiting readings are not woken by new records")
def make_sleepy_log(context):
    context.log = topic_builders.SleepyTopic(1)
    context.reader = topic_builders.NotingReader()


@behave.when("a record is written that is to be here within {within_ms:d} ms")
def write_waiting(context, within_ms):
    write_record(context, topic_follower.make_long_poll_timing(within_ms))


@behave.when(
    "a record is written that a pausing reader is to have within"
    " {within_ms:d} ms"
)
def write_pausing(context, within_ms):
    write_record(context, topic_follower.make_short_poll_timing(within_ms))


def write_record(context, pace):
    follower = topic_follower.TopicFollower(
        "topic",
        context.log,
        context.reader,
        pace,
        lambda: (),
    )

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await trio.sleep(_PHASE_S)
            context.reads_a_second = context.log.reads / _PHASE_S
            end = context.log.end
            context.log.records.append(topic_builders.make_record(end))
            context.log.end = end + 1
            written_at = trio.current_time()
            while f"key-{end}" not in context.reader.keys:
                await trio.sleep(0.01)
            context.took_ms = (trio.current_time() - written_at) * 1000
            nursery.cancel_scope.cancel()

    topic_builders.run_on_mock_clock(run)


@behave.then("the record is here within {within_ms:d} ms")
def check_time(context, within_ms):
    assert context.took_ms <= within_ms, context.took_ms


@behave.then("the log was read at most {count:d} times a second")
def check_reads(context, count):
    assert context.reads_a_second <= count, context.reads_a_second
