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
"""

import typing

import trio

from gentianpoint_agent import order_records
from gentianpoint_agent import order_stream
from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events

__all__ = ("OrderLease",)

_PAUSE_S: typing.Final = 0.5


class OrderLease(order_stream.RecordReader):
    """The claim of one run of an agent, and its lease."""

    def __init__(
        self, stream: order_stream.OrderStream, lease_ms: int
    ) -> None:
        """Make a lease that is not claimed yet."""
        self.fence = 0
        self.superseded = False
        self._stream: typing.Final = stream
        self._lease_ms: typing.Final = lease_ms
        self._claimed: typing.Final = trio.Event()
        self._old_ended_at = deadlines.make_deadline(lease_ms)
        self._ends_at = deadlines.Deadline(0.0)
        stream.add_reader(self)

    async def claim(self) -> None:
        """Append the claim, through outages of the log.

        A claim whose answer was lost is made again: both are ours, and the
        later one counts.
        """
        while not self.fence:
            try:
                self.fence = await self._stream.append(order_records.CLAIM)
            except ports.PortError:
                await trio.sleep(_PAUSE_S)
        self._stream.start_before(self.fence)
        self._old_ended_at = deadlines.make_deadline(self._lease_ms)
        self._claimed.set()
        logs.log_event(
            events.LEASE_ACQUIRED,
            target=self._stream.target,
            fence=self.fence,
        )

    async def wait_claimed(self) -> None:
        """Wait until the claim is made."""
        await self._claimed.wait()

    async def wait_old_ended(self) -> None:
        """Wait until the lease of any earlier holder has ended."""
        await trio.sleep_until(self._old_ended_at.at)

    async def renew(self) -> bool:
        """Renew the lease; False when a later claim was found.

        Raises :class:`ports.PortError` when the log can't be used: then
        there is no lease either.
        """
        ends_at = deadlines.make_deadline(self._lease_ms)
        offset = await self._stream.append(order_records.RENEWAL)
        await self._stream.read_through(offset)
        if not self.superseded:
            self._ends_at = ends_at
        return not self.superseded

    def is_held(self) -> bool:
        """Tell whether an order may be given now, by the own clock."""
        return not self.superseded and not self._ends_at.is_past()

    def take_record(
        self, offset: int, record: order_records.OrderRecord
    ) -> None:
        """Find claims of the same target that are later than the own."""
        if (
            record.kind == order_records.CLAIM
            and record.target == self._stream.target
            and record.incarnation != self._stream.incarnation
            and offset > self.fence
        ):
            self.superseded = True

    def note_hole(self) -> None:
        """Give up: a later claim may be among what was not read."""
        self.superseded = True
