"""Who may give a target's engine orders: fencing numbers and leases.

Each run of an agent appends one claim to a stream of the platform's log; the
claim's offset is its fencing number, and the latest claim of a target holds.
An agent that finds a later claim never orders again, so that a process which
was paused can't bring an old state back.

Engines that check fencing numbers refuse an old one themselves. For engines
that ignore them the holder orders only under a lease: it appends a renewal,
reads back to it, and has the lease for a time that it counts on its own
clock from before the append. A new holder waits out one whole lease after
its claim; by then every lease that was renewed before the claim has ended.

The same stream holds the turns: of a service's targets only some may load at
a time, in the order of their records, so that a new version does not take
all targets away at once. A turn that is not given back ends by itself.
"""

from collections import abc
import contextlib
import typing

import msgspec
import trio

from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events

__all__ = ("ORDER_STREAM", "LeaseRecord", "OrderLease")

ORDER_STREAM: typing.Final = "engine-orders"
"""Stream of the log that holds claims and renewals of all targets."""
CLAIM: typing.Final = "claim"
RENEWAL: typing.Final = "renewal"
TURN: typing.Final = "turn"
DONE: typing.Final = "done"
_TURN_MS: typing.Final = 60_000
_TURN_WAIT_MS: typing.Final = 1000
_BATCH: typing.Final = 500
_PAUSE_S: typing.Final = 0.5


class LeaseRecord(msgspec.Struct, frozen=True):
    """One record of the stream."""

    kind: str
    """``claim``, ``renewal``, ``turn`` or ``done``."""
    service: str
    """Service of the target."""
    target: str
    """Target whose engine gets the orders."""
    incarnation: str
    """Run of the agent that wrote it."""


class _Turn(typing.NamedTuple):
    """A turn that was taken and not given back."""

    offset: int
    """Offset of its record; earlier ones go first."""
    ends_at: deadlines.Deadline
    """When it ends by itself."""


class OrderLease:
    """The claim of one run of an agent, and its lease."""

    def __init__(
        self,
        log: ports.Log,
        service: str,
        target: str,
        incarnation: str,
        lease_ms: int,
    ) -> None:
        """Make a lease that is not claimed yet."""
        self.fence = 0
        self.superseded = False
        self._log: typing.Final = log
        self._service: typing.Final = service
        self._turns: typing.Final[dict[str, _Turn]] = {}
        self._target: typing.Final = target
        self._incarnation: typing.Final = incarnation
        self._lease_ms: typing.Final = lease_ms
        self._read_through = 0
        self._old_ended_at = deadlines.NO_DEADLINE
        self._ends_at = deadlines.Deadline(0.0)

    async def claim(self) -> None:
        """Append the claim, through outages of the log.

        A claim whose answer was lost is made again: both are ours, and the
        later one counts.
        """
        while not self.fence:
            try:
                self.fence = await self._append(CLAIM)
            except ports.PortError:
                await trio.sleep(_PAUSE_S)
        self._read_through = self.fence
        self._old_ended_at = deadlines.make_deadline(self._lease_ms)
        logs.log_event(
            events.LEASE_ACQUIRED, target=self._target, fence=self.fence
        )

    async def wait_old_ended(self) -> None:
        """Wait until the lease of any earlier holder has ended."""
        await trio.sleep_until(self._old_ended_at.at)

    async def renew(self) -> bool:
        """Renew the lease; False when a later claim was found.

        Raises :class:`ports.PortError` when the log can't be used: then
        there is no lease either.
        """
        ends_at = deadlines.make_deadline(self._lease_ms)
        offset = await self._append(RENEWAL)
        while self._read_through < offset and not self.superseded:
            await self._read_on(0)
        if not self.superseded:
            self._ends_at = ends_at
        return not self.superseded

    async def take_turn(self, most: abc.Callable[[], int]) -> None:
        """Wait until fewer than ``most()`` earlier turns are open.

        Raises :class:`ports.PortError` when the log can't be used.
        """
        offset = await self._append(TURN)
        while not self.superseded:
            if self._read_through >= offset:
                ahead = [
                    turn
                    for turn in self._turns.values()
                    if turn.offset < offset and not turn.ends_at.is_past()
                ]
                if len(ahead) < max(1, most()):
                    return
            await self._read_on(_TURN_WAIT_MS)

    async def give_turn_back(self) -> None:
        """Let the next target load; without the log the turn runs out."""
        with contextlib.suppress(ports.PortError):
            await self._append(DONE)

    def is_held(self) -> bool:
        """Tell whether an order may be given now, by the own clock."""
        return not self.superseded and not self._ends_at.is_past()

    async def _append(self, kind: str) -> int:
        record = LeaseRecord(
            kind, self._service, self._target, self._incarnation
        )
        return await self._log.append_record(
            ORDER_STREAM, msgspec.json.encode(record)
        )

    async def _read_on(self, wait_ms: int) -> None:
        start = self._read_through + 1
        piece = await self._log.read_records(
            ORDER_STREAM, start, _BATCH, wait_ms
        )
        if piece.first > start:
            # Records expired unread; a later claim may be among them, so
            # this run can't know that it still holds.
            self.superseded = True
            return
        for record in piece.records:
            self._read_through = record.offset
            with contextlib.suppress(msgspec.DecodeError):
                self._take_record(
                    record.offset,
                    msgspec.json.decode(record.data, type=LeaseRecord),
                )

    def _take_record(self, offset: int, record: LeaseRecord) -> None:
        is_other = record.incarnation != self._incarnation
        if record.kind == CLAIM and record.target == self._target and is_other:
            self.superseded = True
        if record.service != self._service:
            return
        if record.kind == TURN:
            ends_at = deadlines.make_deadline(_TURN_MS)
            self._turns[record.target] = _Turn(offset, ends_at)
        elif record.kind in (DONE, CLAIM):
            self._turns.pop(record.target, None)
