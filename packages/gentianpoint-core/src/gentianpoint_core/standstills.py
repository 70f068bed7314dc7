"""Notices that this process stood still for a moment.

Its host may have been paused, or it may have got no processor time. What comes
on its connections meanwhile looks afterwards as if it had just come.
"""

from collections import abc
import contextlib
import math
import time
import typing

import trio

__all__ = ("StandstillWatch", "watch_standstills")

_TICK_S: typing.Final = 0.05
"""Seconds between two looks at the clock."""
_LATE_S: typing.Final = 0.2
"""Seconds by which a look is late after a standstill."""


class StandstillWatch:
    """Looks at the clock for as long as somebody asks for it."""

    def __init__(self) -> None:
        """Start without users."""
        self._users = 0
        self._is_running = False
        self._looked_at = -math.inf
        self._suspended_s = 0.0
        self._ended_at = -math.inf

    def has_stood_still_since(self, since: float) -> bool:
        """Tell whether the process stood still at ``since`` or later.

        ``since`` is a time on trio's clock at which the watch was in use.
        """
        self._look()
        return self._ended_at >= since

    @contextlib.contextmanager
    def use(self) -> abc.Iterator[None]:
        """Watch until the context ends."""
        if not self._users:
            self._looked_at = trio.current_time()
            self._suspended_s = _read_suspended_s()
        self._users += 1
        if not self._is_running:
            self._is_running = True
            trio.lowlevel.spawn_system_task(self._run)
        try:
            yield
        finally:
            self._users -= 1

    async def _run(self) -> None:
        while self._users:
            self._look()
            await trio.sleep(_TICK_S)
        self._is_running = False

    def _look(self) -> None:
        now = trio.current_time()
        suspended_s = _read_suspended_s()
        late_s = now - self._looked_at - _TICK_S
        late_s += max(0.0, suspended_s - self._suspended_s)
        if late_s > _LATE_S:
            self._ended_at = now
        self._looked_at = now
        self._suspended_s = suspended_s


def _read_suspended_s() -> float:
    """Return for how long the host has been suspended since it started.

    The clock that trio uses does not count that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


_WATCH: typing.Final[trio.lowlevel.RunVar[StandstillWatch]] = (
    trio.lowlevel.RunVar("standstill watch")
)


@contextlib.contextmanager
def watch_standstills() -> abc.Iterator[StandstillWatch]:
    """Yield the watch that all tasks of this run of trio share."""
    try:
        watch = _WATCH.get()
    except LookupError:
        watch = StandstillWatch()
        _WATCH.set(watch)
    with watch.use():
        yield watch
