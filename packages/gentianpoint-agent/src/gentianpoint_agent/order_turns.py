"""Turns that targets take through the log, within a limit.

There are turns of a service's targets to be away, at most a quarter of them
at a time, and turns to read from the weight store, as many bytes at a time
as its rate carries. A target asks, and so has a place in the queue by its
record's offset. When those before it leave room it appends a start, and has
the turn if the starts before its own in the log leave room. So who has a
turn is settled by the log's order alone, while the queue keeps all but the
next ones from trying.

A turn lasts for a while from its start, which the holder counts from before
the append and all others from when they read it; so the holder's own end
comes first. A holder keeps its turn up by further starts. One that died or
is frozen does not, and loses it by the deadline.
"""

from collections import abc
import contextlib
import typing

import trio

from gentianpoint_agent import order_records
from gentianpoint_agent import order_stream
from gentianpoint_core import deadlines
from gentianpoint_core import ports

__all__ = ("TurnBook", "TurnClient")

_POLL_MS: typing.Final = 1000
_PAUSE_S: typing.Final = 0.1
_PAUSE_EACH_S: typing.Final = 0.02
_MAX_PAUSE_S: typing.Final = 5.0
_KEEP_UPS: typing.Final = 3
"""Starts in the time that a turn lasts."""


class _Turn(typing.NamedTuple):
    """A turn that is queued for or held, as this agent sees it."""

    target: str
    asked: int
    """Offset of the place in the queue."""
    units: int
    started: int = 0
    """Offset of the first start; 0 when only queued."""
    ends_at: deadlines.Deadline = deadlines.NO_DEADLINE
    """End of a started turn, or of a place whose turn has come."""


class TurnBook(order_stream.RecordReader):
    """The queue and the holders of turns of one name."""

    def __init__(self, name: str, lasts_ms: int) -> None:
        """Note turns called ``name`` that last ``lasts_ms``."""
        self.name: typing.Final = name
        self.lasts_ms: typing.Final = lasts_ms
        self._turns: typing.Final[dict[str, _Turn]] = {}

    def take_record(
        self, offset: int, record: order_records.OrderRecord
    ) -> None:
        """Note what the record says of these turns."""
        if record.turns != self.name:
            return
        target = record.target
        known = self._turns.get(target)
        if record.kind == order_records.ASK:
            if known is None or not known.started:
                self._turns[target] = _Turn(target, offset, record.units)
        elif record.kind == order_records.START:
            asked, started = (
                (known.asked, known.started or offset)
                if known
                else (offset, offset)
            )
            ends_at = deadlines.make_deadline(self.lasts_ms)
            self._turns[target] = _Turn(
                target, asked, record.units, started, ends_at
            )
        elif record.kind == order_records.DONE:
            self._turns.pop(target, None)

    def note_hole(self) -> None:
        """Go on: turns that were not read of end by themselves."""

    def forget(self, target: str) -> None:
        """Forget the turn of ``target``."""
        self._turns.pop(target, None)

    def knows(self, target: str) -> bool:
        """Tell whether ``target`` has a place or a turn."""
        return target in self._turns

    def drop_past(self, limit: int) -> None:
        """Drop turns that ended, and places whose target does not start.

        A target that died in the queue would else keep its place for ever,
        and all behind it would wait.
        """
        for turn in list(self._turns.values()):
            if turn.ends_at.is_past():
                del self._turns[turn.target]
        turns = self._turns.values()
        ahead = [turn for turn in turns if turn.started]
        queued = [turn for turn in turns if not turn.started]
        units = sum(turn.units for turn in ahead)
        for turn in sorted(queued, key=_read_place):
            if ahead and units + turn.units > limit:
                break
            ahead.append(turn)
            units += turn.units
            if not turn.ends_at.is_limited():
                ends_at = deadlines.make_deadline(self.lasts_ms)
                self._turns[turn.target] = turn._replace(ends_at=ends_at)

    def count_ahead(self, target: str) -> int:
        """Return how many hold a turn or stand before ``target``."""
        return len(self._list_ahead(target))

    def has_room(self, target: str, units: int, limit: int) -> bool:
        """Tell whether those before ``target`` leave room for ``units``.

        What is larger than the limit has its turn alone.
        """
        return _fits(self._list_ahead(target), units, limit)

    def is_first_start(self, target: str, units: int, limit: int) -> bool:
        """Tell whether the starts before that of ``target`` leave room."""
        own = self._turns.get(target)
        if own is None or not own.started:
            return False
        ahead = [
            turn
            for turn in self._turns.values()
            if 0 < turn.started < own.started
        ]
        return _fits(ahead, units, limit)

    def _list_ahead(self, target: str) -> list[_Turn]:
        own = self._turns.get(target)
        place = own.asked if own else None
        return [
            turn
            for turn in self._turns.values()
            if turn.target != target
            and (turn.started or place is None or turn.asked < place)
        ]


def _read_place(turn: _Turn) -> int:
    return turn.asked


def _fits(ahead: abc.Sequence[_Turn], units: int, limit: int) -> bool:
    return not ahead or sum(turn.units for turn in ahead) + units <= limit


class TurnClient:
    """One agent's place and turn in one book."""

    def __init__(
        self, stream: order_stream.OrderStream, name: str, lasts_ms: int
    ) -> None:
        """Take turns called ``name`` through ``stream``."""
        self._stream: typing.Final = stream
        self._book: typing.Final = TurnBook(name, lasts_ms)
        self._held_until = deadlines.Deadline(0.0)
        self._units = 0
        self._asked = False
        stream.add_reader(self._book)

    def is_held(self) -> bool:
        """Tell whether the turn is held, by the own clock."""
        return not self._held_until.is_past()

    async def wait_room(
        self,
        units: int,
        limit: abc.Callable[[], int],
        is_wanted: abc.Callable[[], bool],
    ) -> bool:
        """Wait until nobody who asks before now is left without a turn.

        False when the turn was no longer wanted. Raises
        :class:`ports.PortError` when the log can't be used.
        """
        while is_wanted():
            await self._stream.read_to_end()
            self._book.drop_past(limit())
            if self._book.has_room(self._stream.target, units, limit()):
                return True
            await self._pause()
        return False

    async def acquire(
        self,
        units: int,
        limit: abc.Callable[[], int],
        is_wanted: abc.Callable[[], bool],
    ) -> bool:
        """Wait for a turn; False when it was no longer wanted.

        ``limit`` is what all turns together may take. Raises
        :class:`ports.PortError` when the log can't be used: then there is
        no turn.
        """
        self._units = units
        try:
            while await self._queue(units, limit, is_wanted):
                if await self._start(limit):
                    return True
                await self.release()
                await self._pause()
        except ports.PortError:
            # A place that stays in the log ends by itself.
            self._forget()
            raise
        await self.release()
        return False

    async def _queue(
        self,
        units: int,
        limit: abc.Callable[[], int],
        is_wanted: abc.Callable[[], bool],
    ) -> bool:
        target = self._stream.target
        while is_wanted():
            if not self._book.knows(target):
                # Asked for the first time, or passed over while paused.
                self._asked = True
                offset = await self._stream.append(
                    order_records.ASK, self._book.name, units
                )
                await self._stream.read_through(offset)
            self._book.drop_past(limit())
            if self._book.has_room(target, units, limit()):
                return True
            await self._pause()
            await self._stream.read_on(_POLL_MS)
        return False

    async def _start(self, limit: abc.Callable[[], int]) -> bool:
        held_until = deadlines.make_deadline(self._book.lasts_ms)
        offset = await self._stream.append(
            order_records.START, self._book.name, self._units
        )
        await self._stream.read_through(offset)
        # Two targets may each see room, when one of them reads late. The
        # one whose start comes later in the log finds the other's here; if
        # both went on, the store would be read at more than its rate.
        target = self._stream.target
        if not self._book.is_first_start(target, self._units, limit()):
            return False
        self._held_until = held_until
        return True

    async def _pause(self) -> None:
        # Each append wakes all who wait at the log; those far back look less
        # often, so that a data centre that comes back does not flood it.
        ahead = self._book.count_ahead(self._stream.target)
        await trio.sleep(min(_MAX_PAUSE_S, _PAUSE_S + _PAUSE_EACH_S * ahead))

    async def keep_renewed(self) -> None:
        """Keep the turn as long as this runs and the log can be used."""
        while True:
            await trio.sleep(self._book.lasts_ms / 1000 / _KEEP_UPS)
            if not self.is_held():
                continue
            held_until = deadlines.make_deadline(self._book.lasts_ms)
            with contextlib.suppress(ports.PortError):
                await self._stream.append(
                    order_records.START, self._book.name, self._units
                )
                self._held_until = held_until

    def _forget(self) -> None:
        self._asked = False
        self._held_until = deadlines.Deadline(0.0)
        self._book.forget(self._stream.target)

    async def release(self) -> None:
        """Let the next have the turn; without the log it ends by itself."""
        if not self._asked:
            return
        self._forget()
        with contextlib.suppress(ports.PortError):
            await self._stream.append(order_records.DONE, self._book.name)
