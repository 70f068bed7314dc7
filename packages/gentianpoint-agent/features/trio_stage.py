"""A trio run in a background thread, with a clock that steps advance.

behave steps are synchronous. They call into the run, which goes on until all
its tasks are blocked, so that the order of events is the same each time and
no test waits in real time.
"""

import functools
import queue
import threading
import typing

import trio
import trio.testing


class TrioStage:
    """Runs the async parts of steps, and tasks that outlive a step."""

    def __init__(self) -> None:
        """Start the trio run in its thread."""
        self.clock: typing.Final = trio.testing.MockClock()
        self.nursery: trio.Nursery
        self._token: trio.lowlevel.TrioToken
        ready: queue.Queue[None] = queue.Queue()
        self._thread: typing.Final = threading.Thread(
            target=trio.run,
            args=(self._serve, ready),
            kwargs={"clock": self.clock},
            daemon=True,
        )
        self._thread.start()
        ready.get()

    async def _serve(self, ready: "queue.Queue[None]") -> None:
        self._token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as self.nursery:
            ready.put(None)
            await trio.sleep_forever()

    async def _call_and_settle(
        self, function: typing.Callable[..., typing.Any], *args: typing.Any
    ) -> typing.Any:
        result = function(*args)
        await trio.testing.wait_all_tasks_blocked()
        return result

    def call(
        self, function: typing.Callable[..., typing.Any], *args: typing.Any
    ) -> typing.Any:
        """Call a function inside the run; return once all tasks block."""
        return trio.from_thread.run(
            functools.partial(self._call_and_settle, function, *args),
            trio_token=self._token,
        )

    def start_task(
        self, function: typing.Callable[..., typing.Any], *args: typing.Any
    ) -> None:
        """Start a task in the run; return once all tasks block."""
        self.call(functools.partial(self.nursery.start_soon, function, *args))

    def pass_time(self, seconds: float) -> None:
        """Advance the clock and let the tasks run that it wakes."""
        self.call(self.clock.jump, seconds)
        self.call(lambda: None)

    def close(self) -> None:
        """Cancel all tasks and end the run."""
        trio.from_thread.run_sync(
            self.nursery.cancel_scope.cancel, trio_token=self._token
        )
        self._thread.join()
