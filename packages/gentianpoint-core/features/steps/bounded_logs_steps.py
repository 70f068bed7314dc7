"""Steps for non-blocking, rate-limited logging."""

import os

import behave

from gentianpoint_core import bounded_logs

_LINE = "x" * 99 + "\n"


@behave.given("a writer to a pipe that nobody reads")
def make_pipe(context):
    context.read_end, write_end = os.pipe()
    context.writer = bounded_logs.BoundedWriter(write_end)


@behave.when("{count:d} lines are written")
def write_lines(context, count):
    for _ in range(count):
        context.writer.write(_LINE)
        context.writer.flush()


@behave.then("no write has blocked")
def check_no_blocking(context):
    """Check nothing: a write that blocked would never have returned."""


@behave.then("lines were dropped and counted")
def check_dropped(context):
    assert context.writer.dropped_lines > 0


@behave.then("the pipe contains only complete lines, starting with the first")
def check_lines(context):
    data = b""
    for _ in range(20):
        data += os.read(context.read_end, 65536)
        context.writer.flush()
        if len(data) > 200000:
            break
    lines = data.decode().splitlines(keepends=True)[:-1]
    assert set(lines) == {_LINE}


@behave.given("a rate limiter with a test clock")
def make_rate_limiter(context):
    context.now = 10.0
    context.rate_limiter = bounded_logs.EventRateLimiter(lambda: context.now)
    context.rate_limiter.take_dropped_lines()


@behave.when(
    "{first:d} lines of one event and {second:d} of another come in a second"
)
def request_lines(context, first, second):
    rate_limiter = context.rate_limiter
    context.first = sum(rate_limiter.allow("one") for _ in range(first))
    context.second = sum(rate_limiter.allow("other") for _ in range(second))


@behave.then(
    "{first:d} lines of the first event and {second:d} of the second "
    "are written"
)
def check_allowed(context, first, second):
    assert (context.first, context.second) == (first, second)


@behave.then(
    "a second later {count:d} dropped lines are reported for the first event"
)
def check_reported(context, count):
    assert context.rate_limiter.take_dropped_lines() == {}
    context.now += 1.0
    assert context.rate_limiter.take_dropped_lines() == {"one": count}
