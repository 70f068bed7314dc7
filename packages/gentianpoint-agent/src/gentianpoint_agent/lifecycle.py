"""Whether the agent accepts new work, and whether it is to stop.

An agent whose engine is taken away accepts no new work, but runs until it is
told to stop, since the generations that it holds can still be fetched.
"""

from collections import abc
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core.generated import events

__all__ = ("Lifecycle",)


class Lifecycle:
    """Live at first, then leaving until the process stops."""

    def __init__(self) -> None:
        """Start live."""
        self.reason = ""
        self._leaving: typing.Final = trio.Event()
        self._stopping: typing.Final = trio.Event()

    def is_leaving(self) -> bool:
        """Return whether new work is refused."""
        return self._leaving.is_set()

    def start_leaving(self, reason: str) -> None:
        """Refuse new work from now on; ``reason`` is a text for people."""
        if not self._leaving.is_set():
            self.reason = reason
            logs.log_event(events.LEAVING_STARTED, reason=reason)
            self._leaving.set()

    async def wait_leaving(self) -> None:
        """Wait until new work is refused."""
        await self._leaving.wait()

    async def wait_stopping(self) -> None:
        """Wait until the process is told to stop."""
        await self._stopping.wait()

    async def watch_signals(
        self, signals: abc.AsyncIterable[int], reason: str
    ) -> None:
        """Leave and stop at the first of ``signals``."""
        async for _ in signals:
            self.start_leaving(reason)
            self._stopping.set()
