"""Keeps tasks running that an entry can do without for a moment.

An unexpected exception in one of them may have been caused by one item that
another program wrote, and would come again after each start of the process.
The task starts again instead, and the exception is logged.
"""

from collections import abc
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core.generated import events

__all__ = ("run_again_after_errors",)

_PAUSE_S: typing.Final = 1.0
"""Seconds before a task that has failed starts again."""


async def run_again_after_errors(
    name: str, task: abc.Callable[[], abc.Awaitable[None]]
) -> None:
    """Run a task until it returns or is cancelled, also after errors.

    ``name`` is that of the task in log lines. The task must be able to start
    anew: what it had under way is lost.
    """
    while True:
        try:
            await task()
        except Exception as error:
            logs.log_event(events.TASK_FAILED, task=name, exc_info=error)
        else:
            return
        await trio.sleep(_PAUSE_S)
