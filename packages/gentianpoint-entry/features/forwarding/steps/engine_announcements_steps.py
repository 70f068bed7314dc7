"""Steps for engines that agents announce, over real connections."""

import behave
import forwarding_builders
import trio

from gentianpoint_agent import engine_announcement
from gentianpoint_core import ports
from gentianpoint_entry.forwarding import engine_announcements
from gentianpoint_entry.forwarding import entry_peers
from gentianpoint_entry.forwarding import gossip_state
from gentianpoint_entry.forwarding import members
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import target_listing
from gentianpoint_entry.forwarding import targets
from gentianpoint_standins import addresses

ENGINE_ADDRESS = "10.0.0.9:80"
LIMITS = routes.CallerLimits(1, 1, 1.0, 1.0)


class FakeEngine(ports.EngineStatusSource):
    """An engine that is well from one question on."""

    def __init__(self, well_at: int) -> None:
        self.asked = 0
        self._well_at = well_at

    async def read_status(self) -> ports.EngineStatus:
        """Nobody asks here."""
        raise AssertionError

    async def read_identity(self) -> str:
        """Return the identifier once the engine is well."""
        self.asked += 1
        if self.asked < self._well_at:
            raise ports.PortError(
                "read engine status", "engine", "503", took_effect=False
            )
        return "engine-1"


class Entry:
    """What an entry needs to take announcements."""

    def __init__(self, address: str, seeds: list[str]) -> None:
        self.registry = targets.TargetRegistry()
        listing = target_listing.TargetListing(
            self.registry, lambda record: None
        )
        listing.has_read = True
        service = routes.Service(
            forwarding_builders.SERVICE, "/", 1, forwarding_builders.ENGINE
        )
        table = routes.RouteTable(
            1, [], [service], {}, LIMITS, requires_keys=False
        )
        self.taken = 0
        self._announcements = engine_announcements.EngineAnnouncements(
            listing, lambda: table
        )
        gossip = gossip_state.GossipState(
            members.MemberTable(address, "north")
        )
        self.peers = entry_peers.EntryPeers(gossip, seeds, self._take)

    def _take(self, message) -> None:
        self._announcements.handle_message(message)
        self.taken += 1


@behave.given("two entries that know each other, and an address where none is")
def make_entries(context):
    first, second, context.empty = (
        addresses.reserve_address() for _ in range(3)
    )
    context.first_address = first
    context.entries = [Entry(first, [second]), Entry(second, [first])]


@behave.given("an agent that knows the first entry and that address")
def make_agent(context):
    context.seeds = [context.first_address, context.empty]


def start_engine(context, service, well_at=1, address=ENGINE_ADDRESS):
    place = engine_announcement.EngineLocation(service, address, "north")

    async def run():
        announcement = engine_announcement.EngineAnnouncer(
            place, FakeEngine(well_at), context.seeds
        )
        async with trio.open_nursery() as nursery:
            for entry in context.entries:
                nursery.start_soon(entry.peers.run)
            while any(
                entry.peers.count_connected() < 1 for entry in context.entries
            ):
                await trio.sleep(0.01)
            nursery.start_soon(announcement.run)
            announcement.note_start(0)
            while not all(entry.taken for entry in context.entries):
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.when("its engine starts")
def start(context):
    start_engine(context, forwarding_builders.SERVICE)


@behave.when("its engine starts, and is well at the third question")
def start_slowly(context):
    start_engine(context, forwarding_builders.SERVICE, well_at=3)


@behave.when("an engine of another service starts")
def start_other(context):
    start_engine(context, "another service")


@behave.when('an engine at "{address}" starts')
def start_nowhere(context, address):
    start_engine(context, forwarding_builders.SERVICE, address=address)


@behave.then("both entries use the engine")
def check_used(context):
    for entry in context.entries:
        target = entry.registry.find("engine-1")
        assert target is not None
        assert target.accepts_work()
        assert target.entry.address == ENGINE_ADDRESS
        assert target.entry.slots == forwarding_builders.ENGINE.slots


@behave.then("no entry uses the engine")
def check_unused(context):
    assert not any(entry.registry.list_all() for entry in context.entries)
