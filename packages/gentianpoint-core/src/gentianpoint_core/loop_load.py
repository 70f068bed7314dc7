"""Measures how busy the scheduler of this process is.

A scheduler that waits for input or for its next timer has time to spare. One
that finds tasks to run whenever it looks has none, and each further task makes
the others late. The delay of a timer does not show this: tasks of a process
that serves everybody may run as late as those of one that serves nobody.
"""

from collections import abc
import math
import time
import typing

import trio

__all__ = ("LoopLoad",)

_SAMPLE_S: typing.Final = 0.05
"""Least seconds between two samples of the mean."""
_MEAN_OVER_S: typing.Final = 0.5
"""Seconds over which the mean is taken, older ones weighing less and less."""


class LoopLoad(trio.abc.Instrument):
    """Share of time in which the scheduler of this process is not idle.

    Time in which the process has work and no processor counts as busy.
    """

    def __init__(
        self, read_clock: abc.Callable[[], float] = time.perf_counter
    ) -> None:
        """Start as idle; nothing is measured before :meth:`watch`.

        ``read_clock`` returns a time in seconds.
        """
        # Mean share of time in which the scheduler was busy, 0 to 1.
        self.busy_share = 0.0
        self._read_clock: typing.Final = read_clock
        self._sampled_at = read_clock()
        self._idle_from: typing.Optional[float] = None
        self._idle_s = 0.0

    def watch(self) -> None:
        """Measure the scheduler that runs the calling task."""
        self._sampled_at = self._read_clock()
        trio.lowlevel.add_instrument(self)

    def before_io_wait(self, timeout: float) -> None:
        """Note that the scheduler waits, unless it has tasks to run."""
        if timeout > 0:
            self._idle_from = self._read_clock()

    def after_io_wait(self, timeout: float) -> None:
        """Note that the scheduler goes on, and take a sample if one is due."""
        now = self._read_clock()
        if self._idle_from is not None:
            self._idle_s += now - self._idle_from
            self._idle_from = None
        if now - self._sampled_at >= _SAMPLE_S:
            self._take_sample(now)

    def _take_sample(self, now: float) -> None:
        """Let the time since the last sample count by its length."""
        length_s = now - self._sampled_at
        busy_share = max(0.0, 1.0 - self._idle_s / length_s)
        weight = 1.0 - math.exp(-length_s / _MEAN_OVER_S)
        self.busy_share += weight * (busy_share - self.busy_share)
        self._sampled_at = now
        self._idle_s = 0.0
