"""A log that loses its last records, and entries that follow it."""

import collections
from collections import abc
import typing

import trio
import trio.testing

from gentianpoint_core import configuration
from gentianpoint_core import ports
from gentianpoint_entry import configuration_tail
from gentianpoint_entry import peer_state
from gentianpoint_entry import snapshot_store

__all__ = ("FollowedLog", "Followers", "make_change", "play")

_ANSWER_S: typing.Final = 0.004
_LOOK_S: typing.Final = 0.02


def make_change(
    change: str, name: str, text: str = "", base: int = -1
) -> bytes:
    """Return a record that puts a service, or deletes it without a text."""
    spec = {"kind": "plain", "customers": [text]}
    if not text:
        return configuration.encode_change(
            change, "delete", configuration.SERVICE, name, base, {}
        )
    return configuration.encode_change(
        change, "put", configuration.SERVICE, name, base, spec
    )


class FollowedLog(ports.Log):
    """Streams in memory, which may lose their last records."""

    def __init__(self) -> None:
        """Start empty, in era 0."""
        self.era = 0
        self.is_away = False
        self._streams: typing.Final[dict[str, list[bytes]]] = (
            collections.defaultdict(list)
        )
        self._changed = trio.Event()

    def find_newest_era(self) -> int:
        """Return the era."""
        return self.era

    def lose_last(self, count: int) -> None:
        """Come back from a copy without the last changes."""
        del self._streams[configuration.CONFIGURATION_STREAM][-count:]
        self.era += 1
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def append_record(self, stream: str, data: bytes) -> int:
        """Append a record; see the base class."""
        await self._answer()
        self._streams[stream].append(data)
        self._wake()
        return len(self._streams[stream])

    async def read_records(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> ports.LogSlice:
        """Return records; see the base class."""
        if start > len(self._streams[stream]):
            with trio.move_on_after(wait_ms / 1000):
                await self._changed.wait()
        await self._answer()
        rows = self._streams[stream]
        found = [
            ports.LogRecord(offset, rows[offset - 1])
            for offset in range(start, min(len(rows), start + limit - 1) + 1)
        ]
        return ports.LogSlice(1, len(rows) + 1, found, self.era)

    async def _answer(self) -> None:
        await trio.sleep(_ANSWER_S)
        if self.is_away:
            raise ports.PortError("call", "log", "away", took_effect=False)


class _Peers:
    """The states of other entries."""

    def __init__(self, followers: "Followers") -> None:
        self._followers: typing.Final = followers

    async def fetch_newer_state(
        self, position: ports.LogPosition
    ) -> peer_state.PeerAnswer:
        """Return the state of an entry that has a newer one."""
        await trio.sleep(_ANSWER_S)
        for tail in self._followers.tails:
            if tail.is_ready() and tail.position > position:
                data = tail.state.encode_state()
                state = configuration.Configuration.decode_state(data).ok
                return peer_state.PeerAnswer(True, state, tail.position.era)
        return peer_state.PeerAnswer(bool(self._followers.tails), None)


class Followers:
    """Entries that follow a log, and what was in force at each."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Start without entries, and an empty log."""
        self.log: typing.Final = FollowedLog()
        self.tails: typing.Final[
            list[configuration_tail.ConfigurationTail]
        ] = []
        self.seen: typing.Final[list[list[abc.Mapping[str, str]]]] = []
        self._nursery: typing.Final = nursery

    def add(self) -> None:
        """Start an entry."""
        peers = typing.cast("peer_state.PeerStateClient", _Peers(self))
        tail = configuration_tail.ConfigurationTail(self.log, peers)
        self.tails.append(tail)
        self.seen.append([])
        self._nursery.start_soon(tail.run)
        self._nursery.start_soon(self._watch, tail, self.seen[-1])

    @staticmethod
    async def _watch(
        tail: configuration_tail.ConfigurationTail,
        seen: list[abc.Mapping[str, str]],
    ) -> None:
        """Note what is in force, until cancelled."""
        while True:
            if tail.is_ready():
                seen.append(
                    {
                        item.name: item.spec.decode()
                        for item in tail.state.list_resources(
                            configuration.SERVICE
                        )
                    }
                )
            await trio.sleep(_LOOK_S)

    async def write(self, record: bytes) -> None:
        """Append a change."""
        await self.log.append_record(
            configuration.CONFIGURATION_STREAM, record
        )

    async def write_snapshot(self) -> None:
        """Append a snapshot of the first entry's state."""
        await snapshot_store.write_snapshot(self.log, self.tails[0].state)


def play(
    count: int, act: abc.Callable[[Followers], abc.Awaitable[None]]
) -> Followers:
    """Let ``act`` happen beside some entries, on a virtual clock."""

    async def run() -> Followers:
        async with trio.open_nursery() as nursery:
            followers = Followers(nursery)
            for _ in range(count):
                followers.add()
            await act(followers)
            nursery.cancel_scope.cancel()
        return followers

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(run, clock=clock)
