"""The entries that this one knows of through gossip.

Each entry increments a heartbeat counter of its own, and the entries pass on
the highest counter that they have heard of each other. An entry whose counter
stands still has stopped or can't be reached. An entry that restarts at the
same address hears of its previous counter and continues above it.
"""

from collections import abc
import typing

from gentianpoint_core import change_log
from gentianpoint_core import deadlines
from gentianpoint_core.decisions import ranking

__all__ = (
    "MAX_FULL_MESH_PEERS",
    "Member",
    "MemberTable",
    "compute_beat_interval_s",
    "count_outbound_links",
)

_BEAT_INTERVAL_S_PER_MEMBER: typing.Final = 0.05
"""Seconds between an entry's heartbeats, for each member. Every heartbeat
reaches every entry over several connections, so with a fixed interval their
bytes would grow with the square of the number of entries."""
_MIN_BEAT_INTERVAL_S: typing.Final = 1.0
"""Seconds, at least, between an entry's heartbeats."""
_LIVE_BEAT_INTERVALS: typing.Final = 4.0
"""Heartbeat intervals without a heartbeat after which a member counts as
stopped."""
_KEPT_BEAT_INTERVALS: typing.Final = 16.0
"""Heartbeat intervals for which a member that is not heard of still counts
among those that share the fleet's limits. It may only be cut off from this
entry, and still send requests to targets."""
_MIN_KEPT_S: typing.Final = 60.0
"""Seconds, at least, for which a member that is not heard of still counts.
This bound applies where heartbeats come often."""
MAX_FULL_MESH_PEERS: typing.Final = 6
"""Number of other entries up to which each entry is connected to all."""
_NEAR_LINKS: typing.Final = 2
"""Connections that an entry opens to others in its data centre."""
_FAR_LINKS: typing.Final = 1
"""Connections that an entry opens to others elsewhere. On average as many
connections again are opened to it. With three opened by each entry, a split
into groups that don't hear each other is unlikely."""


def count_outbound_links() -> int:
    """Return how many connections an entry opens in a larger fleet."""
    return _NEAR_LINKS + _FAR_LINKS


def compute_beat_interval_s(count: int) -> float:
    """Return the seconds between heartbeats of one of ``count`` members.

    >>> compute_beat_interval_s(100)
    5.0
    """
    return max(_MIN_BEAT_INTERVAL_S, count * _BEAT_INTERVAL_S_PER_MEMBER)


class Member(typing.NamedTuple):
    """An entry, as it was last heard of."""

    address: str
    """Where it listens for other entries, IP:PORT."""
    data_centre: str
    """Its data centre."""
    beat: int
    """Its heartbeat counter."""
    is_leaving: bool = False
    """True once it has been told to stop."""


class _KnownMember(typing.NamedTuple):
    member: Member
    heard_at: float
    leaving_since: typing.Optional[float]
    """When it was first heard to be leaving; None while it is not."""


class MemberTable:
    """All entries that this one has heard of, itself among them."""

    def __init__(self, address: str, data_centre: str) -> None:
        """Start as the only member."""
        self.address: typing.Final = address
        self.data_centre: typing.Final = data_centre
        self._known: typing.Final = change_log.ChangeLog[_KnownMember]()
        # Kept until a member comes or goes, as it is asked for with each
        # request.
        self._addresses: typing.Optional[frozenset[str]] = None
        self._beat_at = deadlines.NEVER
        # Incremented whenever the set of live members changes.
        self.version = 0
        self._live = frozenset((address,))
        self._near: typing.Final[list[str]] = []
        self._far: typing.Final[list[str]] = []
        self._ranked_version = -1
        self._put(Member(address, data_centre, 1), deadlines.NEVER)

    def tick(self, now: float) -> None:
        """Increment this entry's counter if due, and drop silent members.

        Those are the members that have not been heard of for a long time.
        """
        if now - self._beat_at >= compute_beat_interval_s(len(self._known)):
            self._beat_at = now
            own = self._known.find(self.address)
            assert own is not None
            self._put(own.member._replace(beat=own.member.beat + 1), now)
        kept_s = (
            compute_beat_interval_s(len(self._known)) * _KEPT_BEAT_INTERVALS
        )
        kept_s = max(_MIN_KEPT_S, kept_s)
        for address, known in self._known.list_all():
            if now - known.heard_at > kept_s and address != self.address:
                self._known.drop(address)
                self._addresses = None
        self._update_live(now)

    def merge(self, member: Member, now: float) -> bool:
        """Merge what another entry has heard; False if it is nothing new."""
        known = self._known.find(member.address)
        if known is not None and member.beat <= known.member.beat:
            return False
        if member.address == self.address:
            # The counter of an earlier run of this entry. Others ignore this
            # run until its counter is higher.
            assert known is not None
            member = known.member._replace(beat=member.beat + 1)
        self._put(member, now)
        # Those that fall silent are found by ``tick``.
        if member.address not in self._live:
            self._live |= {member.address}
            self.version += 1
        return True

    def leave(self, now: float) -> None:
        """Mark this entry as leaving."""
        own = self._known.find(self.address)
        assert own is not None
        self._put(
            own.member._replace(beat=own.member.beat + 1, is_leaving=True), now
        )

    def list_leaving_durations_ms(
        self, now: float, *, is_same_data_centre: bool
    ) -> abc.Sequence[typing.Optional[float]]:
        """Return for each live member how long it has been leaving.

        The value is None for a member that is not leaving. With
        ``is_same_data_centre`` the members of this data centre are listed,
        else those of all others.
        """
        return [
            None
            if known.leaving_since is None
            else (now - known.leaving_since) * 1000
            for address, known in self._known.list_all()
            if address in self._live
            and is_same_data_centre
            == (known.member.data_centre == self.data_centre)
        ]

    @property
    def changes(self) -> int:
        """Number of changes made to the table so far."""
        return self._known.changes

    def list_since(self, seen: int) -> abc.Sequence[Member]:
        """Return the members that changed after the first ``seen`` changes."""
        return [item.member for _, item in self._known.list_since(seen)]

    def find(self, address: str) -> typing.Optional[Member]:
        """Return the member at an address, None if it is not known."""
        known = self._known.find(address)
        return None if known is None else known.member

    def count(self) -> int:
        """Return how many entries share the limits of the whole fleet."""
        return len(self._known)

    def list_known(self) -> frozenset[str]:
        """Return the addresses of all members that :meth:`count` counts."""
        if self._addresses is None:
            self._addresses = frozenset(
                address for address, _ in self._known.list_all()
            )
        return self._addresses

    def list_live(self) -> abc.Collection[str]:
        """Return the addresses of the live members, this one among them."""
        return self._live

    def choose_neighbours(
        self, avoided: abc.Collection[str]
    ) -> abc.Sequence[str]:
        """Return the entries to connect to, except those ``avoided``.

        In a small fleet every entry is connected to all others; of two
        entries the one with the lower address opens the connection.
        """
        if len(self._live) <= MAX_FULL_MESH_PEERS + 1:
            return [
                address
                for address in self._live
                if address > self.address and address not in avoided
            ]
        near, far = self._rank_neighbours()
        chosen = [item for item in near if item not in avoided][:_NEAR_LINKS]
        missing = count_outbound_links() - len(chosen)
        chosen += [item for item in far if item not in avoided][:missing]
        return chosen

    def _rank_neighbours(self) -> tuple[abc.Sequence[str], abc.Sequence[str]]:
        """Return the live members of this data centre, and the others."""
        if self._ranked_version != self.version:
            self._ranked_version = self.version
            others = self._live - {self.address}
            self._near.clear()
            self._far.clear()
            for address in ranking.rank_members(self.address, others):
                member = self.find(address)
                assert member is not None
                is_same_data_centre = member.data_centre == self.data_centre
                (self._near if is_same_data_centre else self._far).append(
                    address
                )
        return self._near, self._far

    def _put(self, member: Member, now: float) -> None:
        since = None
        if member.is_leaving:
            known = self._known.find(member.address)
            since = known.leaving_since if known else None
            since = now if since is None else since
        if self._known.find(member.address) is None:
            self._addresses = None
        self._known.put(member.address, _KnownMember(member, now, since))

    def _update_live(self, now: float) -> None:
        live_s = (
            compute_beat_interval_s(len(self._known)) * _LIVE_BEAT_INTERVALS
        )
        live = frozenset(
            address
            for address, known in self._known.list_all()
            if now - known.heard_at <= live_s or address == self.address
        )
        if live != self._live:
            self._live = live
            self.version += 1
