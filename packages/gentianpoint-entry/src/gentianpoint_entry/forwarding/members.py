"""Which entries there are, as far as this one has heard.

Each entry raises a number of its own from time to time, and the entries pass
on the highest that they have heard of each other. One whose number stands
still has stopped or can't be reached. An entry that restarts at the same
address hears of its own old number and goes on above it.
"""

from collections import abc
import typing

from gentianpoint_core import deadlines
from gentianpoint_entry.forwarding import change_log
from gentianpoint_entry.forwarding import ranking

__all__ = (
    "MAX_FULL_MESH_PEERS",
    "Member",
    "MemberTable",
    "count_outbound_links",
    "compute_beat_interval_s",
)

_BEAT_S_PER_MEMBER: typing.Final = 0.05
"""Time between an entry's beats, for each member. Every beat reaches every
entry over several connections, so with a fixed period their bytes would grow
with the square of the entries."""
_SHORTEST_BEAT_S: typing.Final = 1.0
_LIVE_BEATS: typing.Final = 4.0
"""Beats after which a member that is not heard of counts as stopped."""
_KEPT_BEATS: typing.Final = 16.0
"""Beats for which a member counts among those that share bounds after it was
last heard of. One that is cut off from this entry may still send to
targets."""
_SHORTEST_KEPT_S: typing.Final = 60.0
"""The same in time, where beats come often."""
MAX_FULL_MESH_PEERS: typing.Final = 6
"""Other entries up to which all are connected to each other."""
_NEAR_LINKS: typing.Final = 2
"""Connections that an entry opens to others in its data centre."""
_FAR_LINKS: typing.Final = 1
"""Connections that it opens to entries elsewhere. As many again are opened
to it on average, and the chance that the entries fall apart into groups that
don't hear each other is small with three each."""


def count_outbound_links() -> int:
    """Return how many connections an entry of many opens to others."""
    return _NEAR_LINKS + _FAR_LINKS


def compute_beat_interval_s(count: int) -> float:
    """Return the time between two beats of one of ``count`` members.

    >>> compute_beat_interval_s(100)
    5.0
    """
    return max(_SHORTEST_BEAT_S, count * _BEAT_S_PER_MEMBER)


class Member(typing.NamedTuple):
    """An entry, as it was last heard of."""

    address: str
    """Where it listens for other entries, IP:PORT."""
    data_centre: str
    """Its data centre."""
    beat: int
    """Number that it raises from time to time."""
    is_leaving: bool = False
    """True once it has been told to stop."""


class _Heard(typing.NamedTuple):
    member: Member
    at: float
    leaving_since: typing.Optional[float]
    """When it was first heard to leave; None while it stays."""


class MemberTable:
    """All entries that this one has heard of, itself among them."""

    def __init__(self, address: str, data_centre: str) -> None:
        """Start as the only member."""
        self.address: typing.Final = address
        self.data_centre: typing.Final = data_centre
        self._heard: typing.Final = change_log.ChangeLog[_Heard]()
        self._beat_at = deadlines.NEVER
        # Rises whenever the live members change.
        self.version = 0
        self._live = frozenset((address,))
        self._near: typing.Final[list[str]] = []
        self._far: typing.Final[list[str]] = []
        self._ranked_version = -1
        self._put(Member(address, data_centre, 1), deadlines.NEVER)

    def tick(self, now: float) -> None:
        """Beat if it is time, and forget who is long gone."""
        if now - self._beat_at >= compute_beat_interval_s(len(self._heard)):
            self._beat_at = now
            own = self._heard.find(self.address)
            assert own is not None
            self._put(own.member._replace(beat=own.member.beat + 1), now)
        kept_s = compute_beat_interval_s(len(self._heard)) * _KEPT_BEATS
        kept_s = max(_SHORTEST_KEPT_S, kept_s)
        for address, heard in self._heard.list_all():
            if now - heard.at > kept_s and address != self.address:
                self._heard.drop(address)
        self._note_live(now)

    def merge(self, member: Member, now: float) -> bool:
        """Take what another entry has heard; False if it is nothing new."""
        known = self._heard.find(member.address)
        if known is not None and member.beat <= known.member.beat:
            return False
        if member.address == self.address:
            # Of a run before this one. Others would take nothing of this run
            # for as many beats.
            assert known is not None
            member = known.member._replace(beat=member.beat + 1)
        self._put(member, now)
        self._note_live(now)
        return True

    def leave(self, now: float) -> None:
        """Note that this entry has been told to stop."""
        own = self._heard.find(self.address)
        assert own is not None
        self._put(
            own.member._replace(beat=own.member.beat + 1, is_leaving=True), now
        )

    def list_leaving_durations_ms(
        self, now: float, *, is_near: bool
    ) -> abc.Sequence[typing.Optional[float]]:
        """Return for each live member how long it has been leaving.

        It is None for those that stay. ``is_near`` asks for the members of
        this data centre, else for those of the others.
        """
        return [
            None
            if heard.leaving_since is None
            else (now - heard.leaving_since) * 1000
            for address, heard in self._heard.list_all()
            if address in self._live
            and is_near == (heard.member.data_centre == self.data_centre)
        ]

    @property
    def changes(self) -> int:
        """How often a member was heard of."""
        return self._heard.changes

    def list_since(self, seen: int) -> abc.Sequence[Member]:
        """Return the members heard of after the first ``seen`` times."""
        return [item.member for _, item in self._heard.list_since(seen)]

    def find(self, address: str) -> typing.Optional[Member]:
        """Return the member at an address, if one was heard of."""
        heard = self._heard.find(address)
        return None if heard is None else heard.member

    def count(self) -> int:
        """Return how many entries share what belongs to all."""
        return len(self._heard)

    def list_live(self) -> abc.Collection[str]:
        """Return the addresses of members that beat, this one among them."""
        return self._live

    def choose_neighbours(
        self, avoided: abc.Collection[str]
    ) -> abc.Sequence[str]:
        """Return the entries to connect to, but for those ``avoided``.

        Of a few entries all are, the lower address of two to the higher.
        """
        if len(self._live) <= MAX_FULL_MESH_PEERS + 1:
            return [
                address
                for address in self._live
                if address > self.address and address not in avoided
            ]
        near, far = self._rank_neighbours()
        chosen = [item for item in near if item not in avoided][:_NEAR_LINKS]
        wanted = count_outbound_links() - len(chosen)
        chosen += [item for item in far if item not in avoided][:wanted]
        return chosen

    def _rank_neighbours(self) -> tuple[abc.Sequence[str], abc.Sequence[str]]:
        """Return the live members in this data centre, and those elsewhere."""
        if self._ranked_version != self.version:
            self._ranked_version = self.version
            others = self._live - {self.address}
            self._near.clear()
            self._far.clear()
            for address in ranking.rank_members(self.address, others):
                member = self.find(address)
                assert member is not None
                is_near = member.data_centre == self.data_centre
                (self._near if is_near else self._far).append(address)
        return self._near, self._far

    def _put(self, member: Member, now: float) -> None:
        since = None
        if member.is_leaving:
            known = self._heard.find(member.address)
            since = known.leaving_since if known else None
            since = now if since is None else since
        self._heard.put(member.address, _Heard(member, now, since))

    def _note_live(self, now: float) -> None:
        live_s = compute_beat_interval_s(len(self._heard)) * _LIVE_BEATS
        live = frozenset(
            address
            for address, heard in self._heard.list_all()
            if now - heard.at <= live_s or address == self.address
        )
        if live != self._live:
            self._live = live
            self.version += 1
