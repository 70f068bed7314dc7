"""Entries that send requests all the time and hear of evacuations."""

import random
import typing

import fleet_builders
import fleet_log
import forwarding_builders
import trio

from gentianpoint_core import ports
from gentianpoint_entry.forwarding import evacuation_updates
from gentianpoint_entry.forwarding import targets
from gentianpoint_entry.forwarding import topic_follower

DATA_CENTRES: typing.Final = ("centre-0", "centre-1", "centre-2")
_PREFIX: typing.Final = "evacuate/"
_SEND_INTERVAL_S: typing.Final = 0.1


class Send(typing.NamedTuple):
    """One request that an entry has sent."""

    at: float
    entry: str
    data_centre: str


class _Change(typing.NamedTuple):
    at: float
    data_centre: str
    is_evacuated: bool


def _find_data_centre(record: ports.KeyedRecord) -> str:
    if not record.key.startswith(_PREFIX):
        return ""
    return record.key.removeprefix(_PREFIX)


def separate_targets(registry: targets.TargetRegistry) -> None:
    """Put each target into a data centre that has its name."""
    for target in registry.list_all():
        target.entry = target.entry._replace(data_centre=target.target_id)


class SendingFleet:
    """A fleet of entries, and where each of them sends."""

    def __init__(self, count: int, within_ms: float) -> None:
        self.sends: typing.Final[list[Send]] = []
        self._changes: typing.Final[list[_Change]] = []
        self._registries: typing.Final[list[targets.TargetRegistry]] = []
        self._polling: typing.Final = fleet_log.PollingFleet(
            count,
            topic_follower.make_long_poll_timing(within_ms),
            self._make_consumer,
        )
        self._count = count
        self._timing: typing.Final = topic_follower.make_long_poll_timing(
            within_ms
        )
        self._excluded: typing.Final[set[str]] = set()
        self._nursery: typing.Optional[trio.Nursery] = None

    def _make_consumer(self) -> topic_follower.RecordConsumer:
        registry = targets.TargetRegistry()
        for number, data_centre in enumerate(DATA_CENTRES):
            entry = forwarding_builders.make_entry(
                f"target-{number}", data_centre=data_centre
            )
            registry.put_entry(entry, 0.0)
        self._registries.append(registry)
        return evacuation_updates.EvacuationUpdates(
            registry, _find_data_centre
        )

    def start(self, nursery: trio.Nursery) -> None:
        """Start all entries; each sends once it has read the topic."""
        self._nursery = nursery
        self._polling.start(nursery)
        entries = self._polling.fleet.entries.values()
        for entry, registry in zip(entries, self._registries, strict=True):
            nursery.start_soon(self._send, entry, registry)

    async def _send(
        self,
        entry: fleet_builders.Entry,
        registry: targets.TargetRegistry,
    ) -> None:
        rng = random.Random(entry.number)
        while not entry.is_stopped:
            await trio.sleep(_SEND_INTERVAL_S)
            assert entry.follower is not None
            if entry.follower.position is None:
                continue
            found = [
                target
                for target in registry.list_all()
                if target.accepts_work()
            ]
            if found:
                data_centre = rng.choice(found).entry.data_centre
                self.sends.append(
                    Send(trio.current_time(), entry.address, data_centre)
                )

    def add_entry(self) -> str:
        """Start one more entry; return its address."""
        assert self._nursery is not None
        entry = self._polling.fleet.add(self._count)
        self._count += 1
        entry.follow(
            fleet_log.EntryTopic(self._polling.log, entry.address),
            self._make_consumer(),
            self._timing,
        )
        self._nursery.start_soon(entry.run)
        self._nursery.start_soon(self._send, entry, self._registries[-1])
        return entry.address

    def evacuate(self, data_centre: str) -> None:
        """Write the record of an evacuation."""
        self._note_change(data_centre, is_evacuated=True)
        self._polling.log.write(_PREFIX + data_centre, b"{}")

    def take_back(self, data_centre: str) -> None:
        """Remove the record of an evacuation."""
        self._note_change(data_centre, is_evacuated=False)
        self._polling.log.write(_PREFIX + data_centre, None)

    def _note_change(self, data_centre: str, *, is_evacuated: bool) -> None:
        self._changes.append(
            _Change(trio.current_time(), data_centre, is_evacuated)
        )

    def reject(self, count: int) -> None:
        """Let the log turn some entries away, the first reader among them."""
        first = self._polling.find_first_reader().address
        others = [item for item in self._polling.consumers if item != first]
        self._polling.log.rejected.update([first, *others[: count - 1]])

    def fail_first_reader(self, fault: str) -> None:
        """Let the entry that reads the log for all fail."""
        first = self._polling.find_first_reader()
        match fault:
            case "stops":
                self._excluded.add(first.address)
                self._polling.fleet.stop(first)
            case "is turned away by the log":
                self._polling.log.rejected.add(first.address)
            case "is cut off from the others":
                self._polling.fleet.cut_off.add(first.address)

    def list_late_sends(self, within_s: float) -> list[Send]:
        """Return what was sent although the evacuation had to be known."""
        late = []
        for number, change in enumerate(self._changes):
            if not change.is_evacuated:
                continue
            ended_at = min(
                (
                    later.at
                    for later in self._changes[number + 1 :]
                    if later.data_centre == change.data_centre
                    and not later.is_evacuated
                ),
                default=float("inf"),
            )
            late += [
                send
                for send in self.sends
                if send.data_centre == change.data_centre
                and change.at + within_s < send.at < ended_at
            ]
        return late

    def measure_return_s(self) -> dict[str, float]:
        """Return by entry how long after the last change it uses all again.

        That is the time until it sends to the data centre of that change, or
        to any if no target is there.
        """
        last = self._changes[-1]
        entries = set(self._polling.consumers) - self._excluded
        waits = dict.fromkeys(entries, float("inf"))
        for send in reversed(self.sends):
            is_there = send.data_centre == last.data_centre
            if last.data_centre not in DATA_CENTRES:
                is_there = True
            if send.at >= last.at and is_there and send.entry in waits:
                waits[send.entry] = send.at - last.at
        return waits
