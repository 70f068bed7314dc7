"""Waits in which time without processor does not count.

A host with a quota of processor time stands still for most of each tenth of a
second once it is busy. An answer that comes meanwhile is here in time, but
nothing reads it before the wait for it is over by the clock.
"""

import typing

import trio

__all__ = ("wait_for",)

_STEP_S: typing.Final = 0.01
"""Seconds after which a wait looks again. A longer step counts as one."""


async def wait_for(event: trio.Event, within_s: float) -> bool:
    """Wait for an event for ``within_s`` seconds in which this process runs.

    Returns whether the event was set.
    """
    left_s = within_s
    while left_s > 0 and not event.is_set():
        step_s = min(left_s, _STEP_S)
        with trio.move_on_after(step_s):
            await event.wait()
        left_s -= step_s
    return event.is_set()
