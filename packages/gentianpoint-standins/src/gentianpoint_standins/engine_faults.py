"""Faults of a stand-in engine, and what they do to its readers."""

from collections import abc
import os
import re
import typing

import trio

from gentianpoint_standins import arrivals
from gentianpoint_standins import engine_streams
from gentianpoint_standins import faults
from gentianpoint_standins import serving

__all__ = ("EngineFaults", "FaultBoard")

_ANY: typing.Final = "*"
_CRASH: typing.Final = re.compile(r"\bcrash:([0-9]+)")
_CRASH_S: typing.Final = 0.05
"""Seconds from the start of a stream to the crash that it asks for."""


class EngineFaults(typing.NamedTuple):
    """Faults of an engine; ``*`` stands for all streams."""

    freeze: bool = False
    """True when no step is made; calls are still answered."""
    slow_factor: float = 1.0
    """Factor on the time of each step."""
    slow_ms: int = 0
    """Delay before each call is looked at, milliseconds."""
    die: bool = False
    """True ends the process now."""
    die_after_tokens: int = 0
    """Tokens ever generated after which the process ends; 0 for never."""
    drop: tuple[str, ...] = ()
    """Streams whose connections of this moment are broken off."""
    drop_after: dict[str, int] = {}
    """Token after which a connection that delivers it is broken off."""
    lose_start_replies: int = 0
    """Number of starts to come that take effect without a good reply."""
    lose_order_replies: int = 0
    """Number of orders to come that are taken without a good reply."""
    lose_by: typing.Literal["status", "drop"] = "drop"
    """Whether a lost reply is a 503 or a connection that breaks off."""
    reclaim_in_ms: typing.Optional[int] = None
    """Time until the platform takes the engine away, milliseconds."""
    refuse_starts: bool = False
    """True when each start is refused as if the engine were full."""
    pause_output: tuple[str, ...] = ()
    """Streams whose lines are held back; they run on."""
    software: str = ""
    """Version of the software, which answers to starts and resumes name;
    empty for none. Streams go on when it changes, as other software might
    write them."""
    limit_per_s: float = arrivals.UNLIMITED
    """Starts a second that answers to starts name as the most it takes."""


def _names(
    names: abc.Container[str], stream: engine_streams.EngineStream
) -> bool:
    return _ANY in names or stream.identifier in names


class FaultBoard:
    """The faults in force, and who waits for them to change."""

    def __init__(self) -> None:
        """Begin without faults."""
        self.current = EngineFaults()
        self._drops = 0
        self._dropped: tuple[str, ...] = ()
        self._reclaim_at: typing.Optional[float] = None
        self._crash_status = 0
        self._crash_asked: typing.Final = trio.Event()
        self._changed = trio.Event()

    def change(self, body: bytes) -> None:
        """Change the faults that the JSON ``body`` names.

        What happens at one moment, such as to drop connections, is done and
        does not stay in force.
        """
        changed = faults.change_faults(self.current, body)
        if changed.die:
            os._exit(1)
        if changed.reclaim_in_ms is not None:
            within_s = changed.reclaim_in_ms / 1000
            self._reclaim_at = trio.current_time() + within_s
        if changed.drop:
            self._dropped = changed.drop
            self._drops += 1
        self.current = changed._replace(drop=(), reclaim_in_ms=None)
        self._changed.set()
        self._changed = trio.Event()

    async def wait_changed(self) -> None:
        """Wait until the faults change."""
        await self._changed.wait()

    async def delay_call(self) -> None:
        """Wait as long as a call has to wait before it is looked at."""
        await trio.sleep(self.current.slow_ms / 1000)

    def take_lost_reply(self) -> bool:
        """Tell whether the start just made gets no good reply."""
        left = self.current.lose_start_replies
        if left <= 0:
            return False
        self.current = self.current._replace(lose_start_replies=left - 1)
        return True

    def take_lost_order_reply(self) -> bool:
        """Tell whether the order just taken gets no good reply."""
        left = self.current.lose_order_replies
        if left <= 0:
            return False
        self.current = self.current._replace(lose_order_replies=left - 1)
        return True

    def measure_reclaim_ms(self) -> typing.Optional[int]:
        """Return the time until the engine is taken away, if it is."""
        if self._reclaim_at is None:
            return None
        left_s = self._reclaim_at - trio.current_time()
        return max(0, int(left_s * 1000))

    def crash_if_asked(self, prompt: str) -> None:
        """Let the process end soon if a prompt's marker asks for it."""
        if found := _CRASH.search(prompt):
            self._crash_status = int(found.group(1))
            self._crash_asked.set()

    async def await_crash(self) -> None:
        """End the process once a prompt has asked for it."""
        await self._crash_asked.wait()
        await trio.sleep(_CRASH_S)
        os._exit(self._crash_status)

    async def await_reclaim(self) -> None:
        """End the process when the platform takes the engine away."""
        while self._reclaim_at is None:
            await self.wait_changed()
        await trio.sleep_until(self._reclaim_at)
        os._exit(0)

    async def iterate_lines(
        self, stream: engine_streams.EngineStream, after: int
    ) -> abc.AsyncIterator[bytes]:
        """Yield the lines of a stream after a token, as the faults allow.

        Raises :class:`serving.DroppedConnectionError` to break off the
        connection, also when the stream died without an end.
        """
        index = stream.find_line_after(after)
        drops = self._drops
        while True:
            if drops != self._drops and _names(self._dropped, stream):
                raise serving.DroppedConnectionError
            drops = self._drops
            if not _names(self.current.pause_output, stream):
                stop = self._find_drop(stream, index)
                lines = stream.lines[index:stop]
                index += len(lines)
                if lines:
                    yield b"".join(lines)
                if stop is not None and index >= stop:
                    raise serving.DroppedConnectionError
                if index < len(stream.lines):
                    continue
                if stream.is_over():
                    break
            await stream.wait_for_change()
        if stream.died:
            raise serving.DroppedConnectionError

    def _find_drop(
        self, stream: engine_streams.EngineStream, index: int
    ) -> typing.Optional[int]:
        """Return the line after which this connection breaks off, if any.

        A connection that begins after that line, as one that resumes does,
        is left alone.
        """
        after = self.current.drop_after
        token = after.get(stream.identifier, after.get(_ANY, 0))
        if not token or stream.generated < token:
            return None
        stop = stream.find_line_after(token)
        return stop if index < stop else None
