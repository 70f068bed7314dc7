"""A trio run beside the steps, on a clock that only moves when told.

Each step runs in it until all tasks wait, so the order of events is the same
each time and no test waits for real time.
"""

import functools
import queue
import threading
import typing

import trio
import trio.testing


class TrioStage:
    """Runs asynchronous parts of steps, and tasks that outlive them."""

    def __init__(self) -> None:
        """Start the run."""
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

    async def _settle(
        self, function: typing.Callable[..., typing.Any], *args: typing.Any
    ) -> typing.Any:
        result = function(*args)
        await trio.testing.wait_all_tasks_blocked()
        return result

    def call(
        self, function: typing.Callable[..., typing.Any], *args: typing.Any
    ) -> typing.Any:
        """Call a function in the run and wait until all tasks wait."""
        return trio.from_thread.run(
            functools.partial(self._settle, function, *args),
            trio_token=self._token,
        )

    def start_task(
        self, function: typing.Callable[..., typing.Any], *args: typing.Any
    ) -> None:
        """Start a task and wait until all tasks wait."""
        self.call(functools.partial(self.nursery.start_soon, function, *args))

    def pass_time(self, seconds: float) -> None:
        """Move the clock."""
        self.call(self.clock.jump, seconds)
        self.call(lambda: None)

    def close(self) -> None:
        """End the run."""
        trio.from_thread.run_sync(
            self.nursery.cancel_scope.cancel, trio_token=self._token
        )
        self._thread.join()
