"""Lets a generation go on at another target while its run is still read.

Until another target has taken a generation over, its present run may be the
only one there will be: the other target may refuse late, reset the connection
or never answer. So the present run is read, and its events are passed on,
until the next run is open. What both runs bring is dropped by the order of
events.
"""

from collections import abc
import typing

import trio

from gentianpoint_entry.forwarding import stream_runs

__all__ = ("OpenNextRun", "StreamHandover")

OpenNextRun = abc.Callable[
    [], abc.Awaitable[typing.Optional[stream_runs.StreamRun]]
]
"""Opens a run at another target; returns None if none takes the generation
over."""


class StreamHandover:
    """One attempt to go on with a generation elsewhere."""

    def __init__(
        self, run: stream_runs.StreamRun, open_next: OpenNextRun
    ) -> None:
        """Go on from ``run`` with the run that ``open_next`` opens."""
        self._run: typing.Final = run
        self._open_next: typing.Final = open_next
        self._next_run: typing.Optional[stream_runs.StreamRun] = None
        self._settled: typing.Final = trio.Event()

    async def run(self) -> None:
        """Open the next run, and then close the present one at once.

        Two targets work on the generation until then. So that does not wait
        for the caller, who may be slow to read.
        """
        try:
            self._next_run = await self._open_next()
        finally:
            self._settled.set()
        if self._next_run is not None:
            self._run.give_up()
            await self._run.close()

    def is_settled(self) -> bool:
        """Tell whether it is known if the generation goes on elsewhere."""
        return self._settled.is_set()

    def has_next_run(self) -> bool:
        """Tell whether the next run is open."""
        return self._next_run is not None

    async def take_next_run(self) -> typing.Optional[stream_runs.StreamRun]:
        """Return the next run once that is settled, None without one."""
        await self._settled.wait()
        taken, self._next_run = self._next_run, None
        return taken

    async def close(self) -> None:
        """Close the next run if it was not taken."""
        if self._next_run is not None:
            await self._next_run.close()
            self._next_run = None
