"""Steps for predicted waits."""

import math

import behave

from gentianpoint_agent import drain_rates

_LATER_MS = 120_000.0
_TOLERANCE = 1e-4


@behave.when("{count:d} calls of {held:g} s have ended while {running:d} ran")
def end_calls(context, count, held, running):
    context.drain = drain_rates.DrainRate()
    context.drain.note_running(running, 0.0)
    for _ in range(count):
        context.drain.note_release(held * 1000)


@behave.when("{running:d} calls run for a moment now")
def change_running(context, running):
    context.drain.note_running(running, _LATER_MS)


@behave.then("a call behind {ahead:d} others waits {wait:g} s")
def check_wait(context, ahead, wait):
    assert context.drain.is_known()
    wait_ms = context.drain.predict_wait_ms(ahead)
    assert math.isclose(wait_ms, wait * 1000, rel_tol=_TOLERANCE), wait_ms


@behave.then("no call may be refused by a predicted wait")
def check_unknown(context):
    assert not context.drain.is_known()
