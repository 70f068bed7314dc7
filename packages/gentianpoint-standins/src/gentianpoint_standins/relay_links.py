"""Connections that a relay passes on, and what can happen to them."""

from collections import abc
import socket
import struct
import typing

import trio

__all__ = ("Direction", "Link", "LinkConditions", "reset_connection")

_CHUNK_BYTES: typing.Final = 64 * 1024
_CHUNKS_HELD: typing.Final = 256
_RESET_ON_CLOSE: typing.Final = struct.pack("ii", 1, 0)

Direction: typing.TypeAlias = typing.Literal["both", "forward", "backward"]
"""Forward is from who connects to the process behind the relay."""


def reset_connection(stream: trio.SocketStream) -> None:
    """Close a connection so that its peer sees a reset."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    stream.socket.close()


class LinkConditions:
    """What holds for all connections of a relay at the moment."""

    def __init__(self) -> None:
        """Let everything through at once."""
        self.delay_ms = 0
        self.stalled = False
        self.silent: frozenset[str] = frozenset()
        self._changed = trio.Event()

    def wake(self) -> None:
        """Let who waits for a change look again."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_change(self) -> None:
        """Wait until the conditions change."""
        await self._changed.wait()


class _Chunk(typing.NamedTuple):
    due_at: float
    data: bytes


class Link:
    """One connection through the relay, made of two."""

    def __init__(
        self,
        near: trio.SocketStream,
        far: trio.SocketStream,
        conditions: LinkConditions,
        count: abc.Callable[[str, int], None],
    ) -> None:
        """Pass bytes between ``near``, which connected, and ``far``.

        ``count`` is told the bytes passed in each direction, and under
        ``withheld`` the chunks that were not passed on when they were due.
        """
        self._near: typing.Final = near
        self._far: typing.Final = far
        self._conditions: typing.Final = conditions
        self._count: typing.Final = count
        self._silent: set[str] = set()
        self._scope: typing.Final = trio.CancelScope()
        self._reset = False

    def silence(self, directions: abc.Iterable[str]) -> None:
        """Pass nothing more in these directions, not even the end."""
        self._silent.update(directions)

    def reset(self) -> None:
        """Reset both connections."""
        self._reset = True
        self._scope.cancel()

    async def run(self) -> None:
        """Pass bytes until both sides have ended, or for ever if silent."""
        with self._scope:
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._pass_on, "forward", self._near, self._far
                    )
                    nursery.start_soon(
                        self._pass_on, "backward", self._far, self._near
                    )
            except* (trio.BrokenResourceError, trio.ClosedResourceError):
                self._reset = True
        for stream in (self._near, self._far):
            if self._reset:
                reset_connection(stream)
            stream.socket.close()

    async def _pass_on(
        self, direction: str, source: trio.SocketStream, to: trio.SocketStream
    ) -> None:
        send, receive = trio.open_memory_channel[_Chunk](_CHUNKS_HELD)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write, direction, receive, to)
            await self._read(direction, source, send)

    async def _read(
        self,
        direction: str,
        source: trio.SocketStream,
        send: trio.MemorySendChannel[_Chunk],
    ) -> None:
        data = b"first"
        while data:
            try:
                data = await source.receive_some(_CHUNK_BYTES)
            except trio.BrokenResourceError:
                if not self._is_silent(direction):
                    raise
                data = b""
            due_at = trio.current_time() + self._conditions.delay_ms / 1000
            await send.send(_Chunk(due_at, data))

    def _is_silent(self, direction: str) -> bool:
        # A connection that has lost bytes can't go on with later ones: the
        # peers would read garbage, which no real network brings. So what was
        # silent once stays silent.
        if direction in self._conditions.silent:
            self._silent.add(direction)
        return direction in self._silent

    async def _write(
        self,
        direction: str,
        receive: trio.MemoryReceiveChannel[_Chunk],
        to: trio.SocketStream,
    ) -> None:
        async for chunk in receive:
            await trio.sleep_until(chunk.due_at)
            if self._conditions.stalled or self._is_silent(direction):
                self._count("withheld", 1)
            while self._conditions.stalled:
                await self._conditions.wait_for_change()
            if self._is_silent(direction):
                if not chunk.data:
                    await trio.sleep_forever()
                continue
            if not chunk.data:
                await to.send_eof()
                return
            await to.send_all(chunk.data)
            self._count(direction, len(chunk.data))
