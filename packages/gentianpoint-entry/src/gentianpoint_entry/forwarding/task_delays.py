"""Tells when this process runs its tasks later than they are due.

A busy entry, or one without processor time, answers late whatever it has to
serve. Its lines tell that apart from limits and from slow targets.
"""

import time
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core.generated import events

__all__ = ("watch_task_delays",)

_CHECK_S: typing.Final = 0.25
"""Seconds between checks."""
_MAX_DELAY_S: typing.Final = 0.25
"""Seconds by which a task may run late without a line."""


async def watch_task_delays() -> None:
    """Log delays until cancelled."""
    while True:
        used_s = time.process_time()
        began = trio.current_time()
        due_at = began + _CHECK_S
        await trio.sleep_until(due_at)
        now = trio.current_time()
        delay_s = now - due_at
        if delay_s > _MAX_DELAY_S:
            logs.log_event(
                events.PROCESS_BEHIND,
                delay_ms=round(delay_s * 1000),
                processor_share=round(
                    (time.process_time() - used_s) / (now - began), 2
                ),
            )
