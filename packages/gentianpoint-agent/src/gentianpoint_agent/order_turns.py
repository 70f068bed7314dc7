"""Turns: limited, expiring permits that targets acquire through the log.

One kind of turn lets a target of a service stop serving, for at most a
quarter of its targets at a time. Another lets an engine read from the weight
store, for as many bytes at a time as the store's rate carries. A target
appends a request, whose offset is its place in the queue. Once the turns and
requests before it leave room it appends a start, and it holds the turn if the
starts before its own leave room. The order of the log alone thus decides who
holds a turn; the queue only keeps targets far back from trying.

A turn expires some time after its start. The holder counts that time from
before its append, all others from when they read the record, so the turn ends
for the holder first. A holder renews its turn by appending further starts. A
holder that died or is frozen does not, and its turn expires.
"""

from collections import abc
import contextlib
import typing

import trio

from gentianpoint_agent import order_records
from gentianpoint_agent import order_stream
from gentianpoint_core import deadlines
from gentianpoint_core import ports

__all__ = ("TurnClient", "TurnQueue")

_POLL_MS: typing.Final = 1000
"""Longest wait for new records in one read of the log, in milliseconds."""
_BASE_DELAY_S: typing.Final = 0.1
"""Delay before a target looks at the queue again, in seconds."""
_DELAY_PER_TURN_S: typing.Final = 0.02
"""Further delay for each turn or request ahead, in seconds."""
_MAX_DELAY_S: typing.Final = 5.0
"""Longest delay before a target looks again, in seconds."""
_RENEWALS_PER_TURN: typing.Final = 3
"""Renewals that a holder makes in the duration of a turn."""


class _Turn(typing.NamedTuple):
    """A turn that is requested or held, as this agent has read it."""

    target: str
    request_offset: int
    """Offset of the request, which is the place in the queue."""
    units: int
    start_offset: int = 0
    """Offset of the first start; 0 while the turn is only requested."""
    ends_at: deadlines.Deadline = deadlines.NO_DEADLINE
    """End of a held turn, or of a request that may start."""


class TurnQueue(order_stream.RecordHandler):
    """The queue and the holders of the turns of one name."""

    def __init__(self, name: str, duration_ms: int) -> None:
        """Track turns called ``name`` that last ``duration_ms``."""
        self.name: typing.Final = name
        self.duration_ms: typing.Final = duration_ms
        self._turns: typing.Final[dict[str, _Turn]] = {}

    def handle_record(
        self, offset: int, record: order_records.OrderRecord
    ) -> None:
        """Apply a record to the queue if it is about these turns."""
        if record.turns != self.name:
            return
        target = record.target
        known = self._turns.get(target)
        if record.kind == order_records.ASK:
            if known is None or not known.start_offset:
                self._turns[target] = _Turn(target, offset, record.units)
        elif record.kind == order_records.START:
            request_offset, start_offset = (
                (known.request_offset, known.start_offset or offset)
                if known
                else (offset, offset)
            )
            ends_at = deadlines.make_deadline(self.duration_ms)
            self._turns[target] = _Turn(
                target, request_offset, record.units, start_offset, ends_at
            )
        elif record.kind == order_records.DONE:
            self._turns.pop(target, None)

    def handle_gap(self) -> None:
        """Ignore the gap: turns whose records were missed expire."""

    def remove(self, target: str) -> None:
        """Remove the turn or request of ``target``."""
        self._turns.pop(target, None)

    def contains(self, target: str) -> bool:
        """Tell whether ``target`` has a turn or a request."""
        return target in self._turns

    def drop_expired(self, limit: int) -> None:
        """Drop expired turns, and requests whose target does not start.

        A request that leaves room for a start gets a deadline for it. The
        request of a target that died in the queue would otherwise stay
        forever and block all behind it.
        """
        for turn in list(self._turns.values()):
            if turn.ends_at.is_past():
                del self._turns[turn.target]
        turns = self._turns.values()
        ahead = [turn for turn in turns if turn.start_offset]
        queued = [turn for turn in turns if not turn.start_offset]
        units = sum(turn.units for turn in ahead)
        for turn in sorted(queued, key=_get_request_offset):
            if ahead and units + turn.units > limit:
                break
            ahead.append(turn)
            units += turn.units
            if not turn.ends_at.is_limited():
                ends_at = deadlines.make_deadline(self.duration_ms)
                self._turns[turn.target] = turn._replace(ends_at=ends_at)

    def count_ahead(self, target: str) -> int:
        """Return how many turns and requests are ahead of ``target``."""
        return len(self._list_ahead(target))

    def has_room(self, target: str, units: int, limit: int) -> bool:
        """Tell whether those ahead of ``target`` leave room for ``units``.

        A turn larger than the limit has room when nothing is ahead of it.
        """
        return _fits(self._list_ahead(target), units, limit)

    def is_start_granted(self, target: str, units: int, limit: int) -> bool:
        """Tell whether earlier starts leave room for that of ``target``."""
        own = self._turns.get(target)
        if own is None or not own.start_offset:
            return False
        ahead = [
            turn
            for turn in self._turns.values()
            if 0 < turn.start_offset < own.start_offset
        ]
        return _fits(ahead, units, limit)

    def _list_ahead(self, target: str) -> list[_Turn]:
        own = self._turns.get(target)
        own_offset = own.request_offset if own else None
        return [
            turn
            for turn in self._turns.values()
            if turn.target != target
            and (
                turn.start_offset
                or own_offset is None
                or turn.request_offset < own_offset
            )
        ]


def _get_request_offset(turn: _Turn) -> int:
    return turn.request_offset


def _fits(ahead: abc.Sequence[_Turn], units: int, limit: int) -> bool:
    return not ahead or sum(turn.units for turn in ahead) + units <= limit


class TurnClient:
    """Requests, holds and renews one agent's turn in one queue."""

    def __init__(
        self, stream: order_stream.OrderStream, name: str, duration_ms: int
    ) -> None:
        """Acquire turns called ``name`` through ``stream``."""
        self._stream: typing.Final = stream
        self._turn_queue: typing.Final = TurnQueue(name, duration_ms)
        self._held_until = deadlines.Deadline(0.0)
        self._units = 0
        self._is_registered = False
        stream.add_handler(self._turn_queue)

    def is_held(self) -> bool:
        """Tell whether the turn is held, by this process's clock."""
        return not self._held_until.is_past()

    async def wait_for_room(
        self,
        units: int,
        limit: abc.Callable[[], int],
        is_wanted: abc.Callable[[], bool],
    ) -> bool:
        """Wait until all turns and requests at present leave room.

        Makes no request itself. Returns False when the turn is no longer
        wanted. Raises :class:`ports.PortError` when the log can't be used.
        """
        while is_wanted():
            await self._stream.read_to_end()
            self._turn_queue.drop_expired(limit())
            if self._turn_queue.has_room(self._stream.target, units, limit()):
                return True
            await self._back_off()
        return False

    async def acquire(
        self,
        units: int,
        limit: abc.Callable[[], int],
        is_wanted: abc.Callable[[], bool],
    ) -> bool:
        """Wait for a turn; False when it is no longer wanted.

        ``limit`` returns the most units that all turns together may use.
        Raises :class:`ports.PortError` when the log can't be used: then
        there is no turn.
        """
        self._units = units
        try:
            while await self._wait_in_queue(units, limit, is_wanted):
                if await self._try_start(limit):
                    return True
                await self.release()
                await self._back_off()
        except ports.PortError:
            # A request that stays in the log expires.
            self._clear()
            raise
        await self.release()
        return False

    async def _wait_in_queue(
        self,
        units: int,
        limit: abc.Callable[[], int],
        is_wanted: abc.Callable[[], bool],
    ) -> bool:
        target = self._stream.target
        while is_wanted():
            if not self._turn_queue.contains(target):
                # The first request, or one that expired during a pause.
                self._is_registered = True
                offset = await self._stream.append(
                    order_records.ASK, self._turn_queue.name, units
                )
                await self._stream.read_up_to(offset)
            self._turn_queue.drop_expired(limit())
            if self._turn_queue.has_room(target, units, limit()):
                return True
            await self._back_off()
            await self._stream.read_next(_POLL_MS)
        return False

    async def _try_start(self, limit: abc.Callable[[], int]) -> bool:
        held_until = deadlines.make_deadline(self._turn_queue.duration_ms)
        offset = await self._stream.append(
            order_records.START, self._turn_queue.name, self._units
        )
        await self._stream.read_up_to(offset)
        # Two targets may each see room when one of them reads late. The one
        # whose start is later in the log finds the other's here; if both
        # went on, the store would be read faster than its rate allows.
        target = self._stream.target
        if not self._turn_queue.is_start_granted(target, self._units, limit()):
            return False
        self._held_until = held_until
        return True

    async def _back_off(self) -> None:
        # Each append wakes every reader that waits at the log. Targets far
        # back look less often, so that a data centre whose targets all
        # come back at once does not flood it.
        ahead = self._turn_queue.count_ahead(self._stream.target)
        await trio.sleep(
            min(_MAX_DELAY_S, _BASE_DELAY_S + _DELAY_PER_TURN_S * ahead)
        )

    async def keep_renewed(self) -> None:
        """Renew the turn while this runs and the log can be used."""
        while True:
            await trio.sleep(
                self._turn_queue.duration_ms / 1000 / _RENEWALS_PER_TURN
            )
            if not self.is_held():
                continue
            held_until = deadlines.make_deadline(self._turn_queue.duration_ms)
            with contextlib.suppress(ports.PortError):
                await self._stream.append(
                    order_records.START, self._turn_queue.name, self._units
                )
                self._held_until = held_until

    def _clear(self) -> None:
        self._is_registered = False
        self._held_until = deadlines.Deadline(0.0)
        self._turn_queue.remove(self._stream.target)

    async def release(self) -> None:
        """End the turn for the next target; without the log it expires."""
        if not self._is_registered:
            return
        self._clear()
        with contextlib.suppress(ports.PortError):
            await self._stream.append(
                order_records.DONE, self._turn_queue.name
            )
