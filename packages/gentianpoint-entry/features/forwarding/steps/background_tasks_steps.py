"""Steps for tasks that start again after an error."""

import behave
from structlog import testing
import topic_builders
import trio

from gentianpoint_entry.forwarding import background_tasks

NAME = "keep records"


@behave.given("a task that raises an error at its first two starts")
def make_task(context):
    context.starts = 0

    async def run():
        context.starts += 1
        await trio.sleep(0.1)
        if context.starts <= 2:
            raise ValueError("a key is too long")
        await trio.sleep_forever()

    context.task = run


@behave.when("it runs in the background for {seconds:g} seconds")
def run_task(context, seconds):
    async def run():
        with trio.move_on_after(seconds):
            await background_tasks.run_again_after_errors(NAME, context.task)

    with testing.capture_logs() as context.lines:
        topic_builders.run_on_mock_clock(run)


@behave.then("it has started {count:d} times")
def check_starts(context, count):
    assert context.starts == count, context.starts


@behave.then("{count:d} lines name the task and its error")
def check_lines(context, count):
    lines = [line for line in context.lines if line["event"] == "task_failed"]
    assert len(lines) == count, context.lines
    for line in lines:
        assert line["task"] == NAME, line
        assert "a key is too long" in str(line["exc_info"]), line
