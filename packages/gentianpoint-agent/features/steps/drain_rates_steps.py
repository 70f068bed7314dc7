"""Steps for predicted waits."""

import math

import behave

from gentianpoint_agent import drain_rates


@behave.when("{count:d} calls of {held:g} s have ended while {running:d} ran")
def end_calls(context, count, held, running):
    context.drain = drain_rates.DrainRate()
    for _ in range(count):
        context.drain.note_release(held * 1000, running)


@behave.when("{running:d} calls run now")
def run_now(context, running):
    context.running_now = running


@behave.then("a call behind {ahead:d} others waits {wait:g} s")
def check_wait(context, ahead, wait):
    assert context.drain.is_known()
    found = context.drain.predict_wait_ms(ahead, context.running_now)
    assert math.isclose(found, wait * 1000), found


@behave.then("nothing is known that a call could be refused by")
def check_unknown(context):
    assert not context.drain.is_known()
