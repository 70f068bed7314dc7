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
"""Least length of a sample, in seconds."""
_MEAN_OVER_S: typing.Final = 0.5
"""Seconds over which the mean is taken, older ones weighing less and less."""


class LoopLoad(trio.abc.Instrument):
    """Share of time in which the scheduler of this process is not idle.

    Time in which the process has work and no processor counts as busy.
    """

    def __init__(
        self, read_clock: abc.Callable[[], float] = time.perf_counter
    ) -> None:
        """Count as idle until :meth:`start` or :meth:`watch`.

        ``read_clock`` returns a time in seconds.
        """
        self._read_clock: typing.Final = read_clock
        self._busy_share = 0.0
        self._sampled_at: typing.Optional[float] = None
        self._idle_from = 0.0
        self._idle_s = 0.0

    @property
    def busy_share(self) -> float:
        """Mean share of time in which the scheduler was busy, 0 to 1.

        The time since it was last asked for counts as one sample.
        """
        now = self._read_clock()
        if self._sampled_at is not None and (
            now - self._sampled_at >= _SAMPLE_S
        ):
            self._take_sample(now, now - self._sampled_at)
        return self._busy_share

    def start(self) -> None:
        """Measure from now on."""
        self._sampled_at = self._read_clock()

    def watch(self) -> None:
        """Measure the scheduler that runs the calling task."""
        self.start()
        trio.lowlevel.add_instrument(self)

    def before_io_wait(self, timeout: float) -> None:
        """Note that the scheduler waits, unless it has tasks to run."""
        if timeout:
            self._idle_from = self._read_clock()

    def after_io_wait(self, timeout: float) -> None:
        """Note that the scheduler goes on."""
        if timeout:
            self._idle_s += self._read_clock() - self._idle_from

    def _take_sample(self, now: float, length_s: float) -> None:
        """Let the time since the last sample count by its length."""
        busy_share = max(0.0, 1.0 - self._idle_s / length_s)
        weight = 1.0 - math.exp(-length_s / _MEAN_OVER_S)
        self._busy_share += weight * (busy_share - self._busy_share)
        self._sampled_at = now
        self._idle_s = 0.0
