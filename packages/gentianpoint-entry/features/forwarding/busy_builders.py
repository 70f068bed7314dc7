"""Callers and streams for features of a busy entry."""

from collections import abc
import socket
import typing

import forwarding_builders
import trio

from gentianpoint_core import loop_load
from gentianpoint_core import option_types
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import entry_server
from gentianpoint_entry.forwarding import raw_requests
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import targets
from gentianpoint_standins import addresses

__all__ = (
    "REQUEST",
    "CountedAnswer",
    "FixedLoad",
    "RunningEntry",
    "SchedulerTurns",
    "TimedStream",
    "run_entry",
    "send_request",
)

LIMITS: typing.Final = routes.CallerLimits(
    header_bytes=4096, body_bytes=1000, header_ms=2000, idle_ms=2000
)
REQUEST: typing.Final = (
    b"GET /a/b HTTP/1.1\r\nHost: host.example\r\nConnection: close\r\n\r\n"
)


class SchedulerTurns(trio.abc.Instrument):
    """Counts the turns of the scheduler."""

    def __init__(self) -> None:
        """Start at none."""
        self.count = 0

    def before_io_wait(self, timeout: float) -> None:
        """Count a turn."""
        self.count += 1


class FixedLoad(loop_load.LoopLoad):
    """A scheduler that is busy for a given share of the time."""

    def __init__(self, share: float = 0.0) -> None:
        """Be busy for ``share`` of the time."""
        super().__init__()
        self.share = share

    @property
    def busy_share(self) -> float:
        """Return the given share."""
        return self.share


class RunningEntry:
    """An entry's server with a handler that answers at once."""

    def __init__(self, **options: typing.Any) -> None:
        """Prepare it; ``options`` are further ones of the server."""
        self.served = 0
        self.addresses: typing.Final = entry_server.ListenAddresses(
            addresses.reserve_address(),
            addresses.reserve_address(),
            addresses.reserve_address(),
        )
        is_ready = options.pop("is_ready", lambda: True)
        self.server: typing.Final = entry_server.EntryServer(
            self._handle, lambda: LIMITS, is_ready, 8.0, **options
        )

    async def _handle(
        self,
        request: raw_requests.RawRequest,
        answer: caller_answers.CallerAnswer,
    ) -> None:
        self.served += 1
        await answer.send_whole(200, (), b"whole")


async def run_entry(
    entry: RunningEntry, use: abc.Callable[[], abc.Awaitable[None]]
) -> None:
    """Run the entry's server while ``use`` runs."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(entry.server.serve, entry.addresses)
        while True:
            try:
                probe = await trio.open_tcp_stream(
                    *option_types.split_address(entry.addresses.ready)
                )
            except OSError:
                await trio.sleep(0.01)
            else:
                await probe.aclose()
                break
        await use()
        nursery.cancel_scope.cancel()


def send_request(address: str) -> socket.socket:
    """Send a request over a new connection, without letting tasks run."""
    connection = socket.create_connection(option_types.split_address(address))
    connection.sendall(REQUEST)
    return connection


class TimedStream:
    """A stream whose events come in time, whether they are read or not."""

    def __init__(self, count: int, together: int, gap_s: float) -> None:
        """Let ``together`` of ``count`` events come every ``gap_s`` s."""
        self._count: typing.Final = count
        self._together: typing.Final = together
        self._gap_s: typing.Final = gap_s

    def make_answer(
        self, words: str, target: targets.Target
    ) -> forwarding_builders.ScriptedAnswer:
        """Return an answer of which this is the body."""
        return _TimedAnswer(self, target)

    async def receive_body(self) -> abc.AsyncIterator[bytes]:
        """Yield at each read what has come since the one before."""
        began_at = trio.current_time()
        given = 0
        while given < self._count:
            number = given // self._together + 1
            await trio.sleep_until(began_at + number * self._gap_s)
            turns = (trio.current_time() - began_at) / self._gap_s + 1e-6
            come = min(self._count, int(turns) * self._together)
            yield b"".join(
                forwarding_builders.make_event(item)
                for item in range(given + 1, come + 1)
            )
            given = come


class _TimedAnswer(forwarding_builders.ScriptedAnswer):
    """An answer whose body is a timed stream."""

    def __init__(self, stream: TimedStream, target: targets.Target) -> None:
        super().__init__("events", target)
        self._stream: typing.Final = stream

    def receive_body(self) -> abc.AsyncIterator[bytes]:
        """Yield the stream."""
        return self._stream.receive_body()


class CountedAnswer(forwarding_builders.RecordedAnswer):
    """Records when a caller receives parts of its answer."""

    def __init__(self) -> None:
        """Start without any."""
        super().__init__()
        self.received_at: list[float] = []

    async def send(self, data: bytes) -> None:
        """Record a part and its time."""
        await super().send(data)
        self.received_at.append(trio.current_time())
