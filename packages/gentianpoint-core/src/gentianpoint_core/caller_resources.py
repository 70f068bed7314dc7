"""What callers may use of one process: memory, connections and time.

All ports through which strangers reach a process take from the same
resources, before they read. A caller that does not get what it needs is
refused at once or after a short wait. If others wait, callers that send the
slowest lose what they hold::

    lease = resources.open_lease()
    try:
        if await lease.take(length, is_large=True, wait_until=deadline):
            ...
    finally:
        lease.close()
"""

from collections import abc
import itertools
import math
import pathlib
import resource
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core.decisions import memory_account

__all__ = (
    "CONNECTION_BYTES",
    "CallerResources",
    "MemoryLease",
    "ProcessLimits",
    "SharedTime",
    "make_resources",
    "make_unlimited",
    "read_resident_bytes",
)

CONNECTION_BYTES: typing.Final = 16384
"""Memory of an open connection: its task and its buffers."""
_SET_ASIDE_BYTES: typing.Final = 40960
"""Memory that is set aside for a connection with a short request."""
_FILE_DESCRIPTORS: typing.Final = 200
"""Descriptors that are left to files."""
_CALLERS_DESCRIPTORS: typing.Final = 0.5
"""Share of the other descriptors that callers' connections may have. Each may
need another one, to a target."""
_TIME_SHARE: typing.Final = 0.3
"""Share of processor time that unusual requests may take together."""
_YIELDING_FROM: typing.Final = 0.5
"""Share of time in which the scheduler is busy from which that share falls,
so that ordinary requests keep their time."""
_YIELDING_TO: typing.Final = 0.9
"""Share of busy time at which there is nearly nothing left of it."""
_LEAST_TIME_SHARE: typing.Final = 0.01
"""What is left of it then."""
_TURN_S: typing.Final = 0.0002
"""Processor time of reading once, on a whole core, in seconds."""
_BURST_S: typing.Final = 0.005
"""Time by which unusual requests may be ahead of their share, in seconds."""
_READING_S: typing.Final = 1.0
"""Seconds that a caller may take to send, whatever it sends."""
_LEAST_PACE: typing.Final = 4 << 20
"""Bytes a second that a caller has to send beyond that if others wait."""
_MEMORY_STATUS: typing.Final = pathlib.Path("/proc/self/statm")
_NO_LIMIT: typing.Final = 1 << 62


class ProcessLimits(typing.NamedTuple):
    """Limits of a process, as its platform states them."""

    memory_bytes: int
    """Memory past which it is ended."""
    descriptors: int
    """File descriptors that it may have."""
    cores: float
    """Speed of its processor, 1 for a whole core."""


class SharedTime:
    """Processor time of unusual requests, bounded beside all others.

    Reading long bodies, many chunks or many fields takes turns. After each
    turn comes a pause in proportion to its cost, so that such requests delay
    ordinary ones by a share only, however many of them come.
    """

    def __init__(
        self,
        cores: float,
        get_busy_share: abc.Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Begin with a processor that has ``cores``.

        ``get_busy_share`` returns the share of time in which the scheduler
        is busy with all requests.
        """
        self._get_busy_share: typing.Final = get_busy_share
        self._turn_s: typing.Final = _TURN_S / cores
        self._lock: typing.Final = trio.Lock()
        self._free_at = deadlines.NEVER

    async def take_turn(self, reads: int = 1) -> None:
        """Wait for the next turn, and take the time of some reads."""
        async with self._lock:
            now = trio.current_time()
            await trio.sleep_until(max(now, self._free_at - _BURST_S))
            self.charge(self._turn_s * reads)

    def charge(self, spent_s: float) -> None:
        """Let later turns wait for processor time that a turn has taken."""
        begins_at = max(self._free_at, trio.current_time())
        self._free_at = begins_at + spent_s / self._find_share()

    def _find_share(self) -> float:
        """Return the share of time that unusual requests may take now."""
        spare = _YIELDING_TO - self._get_busy_share()
        part = min(1.0, spare / (_YIELDING_TO - _YIELDING_FROM))
        return max(_LEAST_TIME_SHARE, _TIME_SHARE * part)


class MemoryLease:
    """Memory that one request holds, and gives back at its end."""

    def __init__(self, resources: "CallerResources") -> None:
        """Hold nothing yet."""
        self._resources: typing.Final = resources
        self._taken: typing.Final = {True: 0, False: 0}
        # While a caller sends: ends its reading, and from when on it may be
        # ended if others wait.
        self._stop_reading: abc.Callable[[], None] = lambda: None
        self.overdue_at = deadlines.NO_DEADLINE
        self.was_evicted = False

    async def take(
        self, size: int, *, is_large: bool, wait_until: deadlines.Deadline
    ) -> bool:
        """Take ``size`` bytes, and tell whether they were free in time."""
        if not await self._resources.wait_for_memory(
            size, is_large=is_large, wait_until=wait_until
        ):
            return False
        self._taken[is_large] += size
        return True

    def try_take_spare(self, size: int) -> bool:
        """Take ``size`` bytes if half of the account stays free.

        This is for memory that is useful but not needed, such as that of an
        answer which is held until it is whole.
        """
        account = self._resources.account
        if not account.is_mostly_free(size):
            return False
        account.take(size, is_large=True)
        self._taken[True] += size
        return True

    def take_unconditionally(self, size: int, *, is_large: bool) -> None:
        """Take ``size`` bytes, also beyond what is free.

        This is for what can't be refused any more, such as an answer that a
        target has begun. Nobody else gets memory until it is free again.
        """
        self._resources.account.take(size, is_large=is_large)
        self._taken[is_large] += size

    @property
    def held_bytes(self) -> int:
        """Bytes that it holds."""
        return sum(self._taken.values())

    def begin_reading(self, stop: abc.Callable[[], None], size: int) -> None:
        """Note that the caller sends ``size`` bytes from now on.

        ``stop`` ends the reading if others wait and the caller is too slow.
        """
        self._stop_reading = stop
        within_s = _READING_S + size / _LEAST_PACE
        self.overdue_at = deadlines.make_deadline(within_s * 1000)
        self._resources.readers.add(self)

    def end_reading(self) -> None:
        """Note that the caller has sent all, or sends no more."""
        self._resources.readers.discard(self)

    def evict(self) -> None:
        """End the reading, so that others get what is held."""
        self.was_evicted = True
        self.end_reading()
        self._stop_reading()

    def close(self) -> None:
        """Give everything back."""
        self.end_reading()
        if self.was_evicted:
            self._resources.note_evicted(self.held_bytes)
            self.was_evicted = False
        for is_large, size in self._taken.items():
            if size:
                self._resources.give_back(size, is_large=is_large)
                self._taken[is_large] = 0


class CallerResources:
    """The account of one process."""

    def __init__(
        self,
        size: memory_account.AccountSize,
        max_connections: int,
        shared_time: SharedTime,
        note_limit: abc.Callable[[str], None] = lambda reason: None,
    ) -> None:
        """Let callers use ``size`` bytes and ``max_connections``.

        ``note_limit`` is called with the reason of each refusal and of each
        connection that is closed.
        """
        self.account: typing.Final = memory_account.MemoryAccount(size)
        self.max_connections = max_connections
        self.connections = 0
        self.time: typing.Final = shared_time
        self.note_limit: typing.Final = note_limit
        # Leases whose callers are sending.
        self.readers: typing.Final[set[MemoryLease]] = set()
        # What callers hold that were too slow, and give back in a moment.
        self._leaving_bytes = 0
        self._numbers: typing.Final = itertools.count()
        self._granted: typing.Final[
            dict[memory_account.Waiter, trio.Event]
        ] = {}

    def set_aside(self, connections: int) -> "CallerResources":
        """Return a part of these resources, for a port of its own.

        Whatever callers of other ports use, ``connections`` with short
        requests fit into it.
        """
        size = memory_account.AccountSize(
            connections * _SET_ASIDE_BYTES, large_bytes=0
        )
        self.account.take(size.total_bytes, is_large=False)
        self.max_connections = max(1, self.max_connections - connections)
        return CallerResources(size, connections, self.time, self.note_limit)

    def open_lease(self) -> MemoryLease:
        """Return a lease that holds nothing yet."""
        return MemoryLease(self)

    def take_connection(self, close_another: abc.Callable[[], bool]) -> bool:
        """Take what a new connection needs; tell whether it may stay.

        If there is nothing left, ``close_another`` closes one that matters
        less, and returns False if there is none.
        """
        lack = ""
        if self.connections >= self.max_connections:
            lack = "connections"
        elif not self.account.has_room(CONNECTION_BYTES):
            lack = "memory"
        if lack:
            self.note_limit(lack)
            if not close_another():
                return False
        # What a closed one held is given back in a moment.
        self.account.take(CONNECTION_BYTES, is_large=False)
        self.connections += 1
        return True

    def give_connection_back(self) -> None:
        """Give back what a connection has taken."""
        self.connections -= 1
        self.give_back(CONNECTION_BYTES, is_large=False)

    async def wait_for_memory(
        self, size: int, *, is_large: bool, wait_until: deadlines.Deadline
    ) -> bool:
        """Take memory, and tell whether it was free in time."""
        # Small ones do not wait behind large ones.
        is_queued = is_large and self.account.has_waiters()
        if not is_queued and self.account.try_take(size, is_large=is_large):
            return True
        waiter = memory_account.Waiter(size, next(self._numbers), is_large)
        granted = trio.Event()
        self._granted[waiter] = granted
        self.account.add_waiter(waiter)
        try:
            while not granted.is_set() and not wait_until.is_past():
                self._evict_overdue()
                now = trio.current_time()
                overdue_at = [r.overdue_at.at for r in self.readers]
                next_at = [at for at in overdue_at if at > now]
                with trio.move_on_at(min([wait_until.at, *next_at])):
                    await granted.wait()
        except BaseException:
            if granted.is_set():
                self.account.give_back(size, is_large=is_large)
            raise
        finally:
            del self._granted[waiter]
            if not granted.is_set():
                self.account.remove_waiter(waiter)
            self._grant()
        return granted.is_set()

    def note_evicted(self, size: int) -> None:
        """Note that a caller that was too slow gives its memory back."""
        self._leaving_bytes -= size

    def give_back(self, size: int, *, is_large: bool) -> None:
        """Give memory back, and let the next ones have it."""
        self.account.give_back(size, is_large=is_large)
        self._grant()

    def _grant(self) -> None:
        while (waiter := self.account.grant_next()) is not None:
            self._granted[waiter].set()

    def _evict_overdue(self) -> None:
        """End the reading of the slowest callers, for those who wait."""
        needed_bytes = self.account.count_waiting_bytes()
        overdue = [r for r in self.readers if r.overdue_at.is_past()]
        for lease in sorted(overdue, key=lambda r: r.overdue_at.at):
            if self._leaving_bytes >= needed_bytes:
                return
            lease.evict()
            self._leaving_bytes += lease.held_bytes


def make_resources(
    limits: ProcessLimits,
    largest_bytes: int,
    get_busy_share: abc.Callable[[], float],
    note_limit: abc.Callable[[str], None] = lambda reason: None,
) -> CallerResources:
    """Return the resources of a process that has just started.

    One request of ``largest_bytes`` always fits. ``get_busy_share`` returns
    the share of time in which the process is busy.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = min(limits.descriptors, soft_limit) - _FILE_DESCRIPTORS
    return CallerResources(
        memory_account.find_size(
            limits.memory_bytes, read_resident_bytes(), largest_bytes
        ),
        max(1, int(descriptors * _CALLERS_DESCRIPTORS)),
        SharedTime(limits.cores, get_busy_share),
        note_limit,
    )


def make_unlimited() -> CallerResources:
    """Return resources that never run out, for callers that are trusted."""
    size = memory_account.AccountSize(_NO_LIMIT, _NO_LIMIT)
    return CallerResources(size, _NO_LIMIT, SharedTime(math.inf))


def read_resident_bytes() -> int:
    """Return the resident memory of this process; 0 if it is not known."""
    try:
        pages = int(_MEMORY_STATUS.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * resource.getpagesize()
