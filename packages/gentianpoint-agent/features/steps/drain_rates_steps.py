"""Steps for predicted waits."""

import math

import behave

from gentianpoint_agent import drain_rates

_LONG_MS = 120_000.0
_TOLERANCE = 1e-4


@behave.when("{count:d} calls of {held:g} s have ended while {running:d} ran")
def end_calls(context, count, held, running):
    context.drain = drain_rates.DrainRate()
    context.drain.note_running(running, 0.0)
    for _ in range(count):
        context.drain.note_release(held * 1000)


@behave.when("{running:d} calls run for a moment now")
def run_now(context, running):
    context.drain.note_running(running, _LONG_MS)


@behave.then("a call behind {ahead:d} others waits {wait:g} s")
def check_wait(context, ahead, wait):
    assert context.drain.is_known()
    found = context.drain.predict_wait_ms(ahead)
    assert math.isclose(found, wait * 1000, rel_tol=_TOLERANCE), found


@behave.then("nothing is known that a call could be refused by")
def check_unknown(context):
    assert not context.drain.is_known()
