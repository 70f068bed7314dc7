"""Decides which agent may send orders to an engine: claims and leases.

Each run of an agent appends one claim to a stream of the platform's log. The
claim's offset is its fencing number, and the latest claim of a target is in
force. An agent that finds a later claim never sends orders again, so that a
process that was paused can't restore an old state.

Engines that check fencing numbers refuse outdated ones themselves. For
engines that don't, an agent sends orders only under a lease: it appends a
renewal, reads the log up to it, and then holds the lease for a time that it
counts on its own clock from before the append. A new claimant first waits for
the length of a lease after its claim; by then every lease that was renewed
before the claim has ended.
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

_CLAIM_RETRY_S: typing.Final = 0.5
"""Delay after a failed append of the claim, in seconds."""


class OrderLease(order_stream.RecordHandler):
    """The claim and the lease of one run of an agent."""

    def __init__(
        self, stream: order_stream.OrderStream, lease_ms: int
    ) -> None:
        """Create a lease that has not been claimed yet."""
        self.fence = 0
        self.superseded = False
        self._stream: typing.Final = stream
        self._lease_ms: typing.Final = lease_ms
        self._claimed: typing.Final = trio.Event()
        self._previous_ended_at = deadlines.make_deadline(lease_ms)
        self._ends_at = deadlines.Deadline(0.0)
        stream.add_handler(self)

    async def claim(self) -> None:
        """Append the claim, retrying while the log is out.

        A claim whose answer was lost is appended again: both belong to this
        run, and the later one counts.
        """
        while not self.fence:
            try:
                self.fence = await self._stream.append(order_records.CLAIM)
            except ports.PortError:
                await trio.sleep(_CLAIM_RETRY_S)
        self._stream.start_reading_before(self.fence)
        self._previous_ended_at = deadlines.make_deadline(self._lease_ms)
        self._claimed.set()
        logs.log_event(
            events.LEASE_ACQUIRED,
            target=self._stream.target,
            fence=self.fence,
        )

    async def wait_claimed(self) -> None:
        """Wait until the claim has been appended."""
        await self._claimed.wait()

    async def wait_previous_ended(self) -> None:
        """Wait until the leases of all earlier claimants have ended."""
        await trio.sleep_until(self._previous_ended_at.at)

    async def renew(self) -> bool:
        """Renew the lease; False when a later claim was found.

        Raises :class:`ports.PortError` when the log can't be used; the lease
        is not renewed then.
        """
        ends_at = deadlines.make_deadline(self._lease_ms)
        offset = await self._stream.append(order_records.RENEWAL)
        await self._stream.read_up_to(offset)
        if not self.superseded:
            self._ends_at = ends_at
        return not self.superseded

    def is_held(self) -> bool:
        """Tell whether orders may be sent now, by this process's clock."""
        return not self.superseded and not self._ends_at.is_past()

    def handle_record(
        self, offset: int, record: order_records.OrderRecord
    ) -> None:
        """Detect a later claim of the same target by another run."""
        if (
            record.kind == order_records.CLAIM
            and record.target == self._stream.target
            and record.incarnation != self._stream.incarnation
            and offset > self.fence
        ):
            self.superseded = True

    def handle_gap(self) -> None:
        """Give up: a later claim may be among the missed records."""
        self.superseded = True
