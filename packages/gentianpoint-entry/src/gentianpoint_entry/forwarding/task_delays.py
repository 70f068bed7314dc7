"""Tells when this process runs its tasks later than they are due.

A busy entry, or one without processor time, answers late whatever it has to
serve. Its lines tell that apart from limits and from slow targets.
"""

import math
import time
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core import loop_load
from gentianpoint_core.generated import events

__all__ = ("watch_task_delays",)

_CHECK_S: typing.Final = 0.25
"""Seconds between checks."""
_MAX_DELAY_S: typing.Final = 0.25
"""Seconds by which a task may run late without a line."""
_MAX_MEAN_DELAY_S: typing.Final = 0.02
"""Seconds by which tasks may run late on average without a line. A request
takes about ten turns of the scheduler, each of which is that late."""
_MEAN_WEIGHT: typing.Final = 0.1
"""Weight of one check in the mean delay."""
_LOG_INTERVAL_S: typing.Final = 2.0
"""Seconds between lines on a mean delay."""


async def watch_task_delays(load: loop_load.LoopLoad) -> None:
    """Log delays until cancelled; ``load`` measures the scheduler."""
    mean_s = 0.0
    logged_at = -math.inf
    while True:
        used_s = time.process_time()
        began = trio.current_time()
        due_at = began + _CHECK_S
        await trio.sleep_until(due_at)
        now = trio.current_time()
        delay_s = now - due_at
        mean_s += _MEAN_WEIGHT * (delay_s - mean_s)
        is_due = now - logged_at >= _LOG_INTERVAL_S
        if delay_s > _MAX_DELAY_S or (mean_s > _MAX_MEAN_DELAY_S and is_due):
            logged_at = now
            logs.log_event(
                events.PROCESS_BEHIND,
                delay_ms=round(delay_s * 1000),
                mean_ms=round(mean_s * 1000),
                processor_share=round(
                    (time.process_time() - used_s) / (now - began), 2
                ),
                busy_share=round(load.busy_share, 2),
            )
