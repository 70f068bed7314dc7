"""Notices that the platform's log has come back from an older copy.

Whatever this system writes into the log itself is written again by nobody
else. So those that write wait for another era, which any answer of the log
may show.
"""

import trio

__all__ = ("LogEras",)


class LogEras:
    """The highest era that this process has seen in an answer of the log."""

    def __init__(self) -> None:
        """Start in era 0, as if the log had never told one."""
        self.newest = 0
        self._changed = trio.Event()

    def note(self, era: int) -> None:
        """Note the era of an answer, which may come late."""
        if era > self.newest:
            self.newest = era
            self._changed.set()
            self._changed = trio.Event()

    async def wait_after(self, era: int) -> None:
        """Wait until an answer has shown a higher era than ``era``."""
        while self.newest <= era:
            await self._changed.wait()
