"""Steps for bounded log lines."""

import os

import behave

from gentianpoint_core import bounded_logs

_LINE = "x" * 99 + "\n"


@behave.given("lines that go into a pipe that nobody reads")
def make_pipe(context):
    context.read_end, write_end = os.pipe()
    context.writer = bounded_logs.BoundedWriter(write_end)


@behave.when("{count:d} lines are written")
def write_lines(context, count):
    for _ in range(count):
        context.writer.write(_LINE)
        context.writer.flush()


@behave.then("no write has waited")
def check_no_wait(context):
    """A write that waited would never have returned."""


@behave.then("lines were left out and counted")
def check_left_out(context):
    assert context.writer.left_out > 0


@behave.then("what is read later is whole lines from the first on")
def check_lines(context):
    data = b""
    for _ in range(20):
        data += os.read(context.read_end, 65536)
        context.writer.flush()
        if len(data) > 200000:
            break
    lines = data.decode().splitlines(keepends=True)[:-1]
    assert set(lines) == {_LINE}


@behave.given("the rates of events on a clock")
def make_rates(context):
    context.now = 10.0
    context.rates = bounded_logs.EventRates(lambda: context.now)
    context.rates.take_left_out()


@behave.when(
    "{first:d} lines of one event and {second:d} of another come in a second"
)
def admit_lines(context, first, second):
    rates = context.rates
    context.first = sum(rates.admit("one") for _ in range(first))
    context.second = sum(rates.admit("other") for _ in range(second))


@behave.then(
    "{first:d} lines of the one and {second:d} of the other are written"
)
def check_admitted(context, first, second):
    assert (context.first, context.second) == (first, second)


@behave.then("a second later {count:d} of the one are told to be left out")
def check_told(context, count):
    assert context.rates.take_left_out() == {}
    context.now += 1.0
    assert context.rates.take_left_out() == {"one": count}
