"""Steps for engines that agents announce, over real connections."""

import behave
import forwarding_builders
import trio

from gentianpoint_agent import engine_announcement
from gentianpoint_core import ports
from gentianpoint_entry import crash_suspects
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
    """An engine that passes its health check from a given check on."""

    def __init__(self, healthy_at: int, identity: str = "engine-1") -> None:
        self.checks = 0
        self._healthy_at = healthy_at
        self._identity = identity

    async def read_status(self) -> ports.EngineStatus:
        """Not used by these features."""
        raise AssertionError

    async def read_identity(self) -> str:
        """Return the identifier once the engine is healthy."""
        self.checks += 1
        if self.checks < self._healthy_at:
            raise ports.PortError(
                "read engine status", "engine", "503", took_effect=False
            )
        return self._identity


class Entry:
    """The parts of an entry that handle announcements."""

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
        self.handled = 0
        self._announcements = engine_announcements.EngineAnnouncements(
            listing, lambda: table
        )
        gossip = gossip_state.GossipState(
            members.MemberTable(address, "north"),
            crash_suspects.CrashSuspects(),
        )
        self.peers = entry_peers.EntryPeers(gossip, seeds, self._handle)

    def _handle(self, message) -> None:
        self._announcements.handle_message(message)
        self.handled += 1


@behave.given(
    "two entries that know each other, and an address without an entry"
)
def make_entries(context):
    first, second, context.unused_address = (
        addresses.reserve_address() for _ in range(3)
    )
    context.first_address = first
    context.entries = [Entry(first, [second]), Entry(second, [first])]


@behave.given("an agent that knows the first entry and that address")
def make_agent(context):
    context.seeds = [context.first_address, context.unused_address]


def start_engine(
    context,
    service,
    healthy_at=1,
    address=ENGINE_ADDRESS,
    identity="engine-1",
    data_centre="north",
):
    location = engine_announcement.EngineLocation(
        service, address, data_centre
    )

    async def run():
        announcer = engine_announcement.EngineAnnouncer(
            location, FakeEngine(healthy_at, identity), context.seeds
        )
        async with trio.open_nursery() as nursery:
            for entry in context.entries:
                nursery.start_soon(entry.peers.run)
            while any(
                entry.peers.count_connected() < 1 for entry in context.entries
            ):
                await trio.sleep(0.01)
            nursery.start_soon(announcer.run)
            announcer.note_start(0)
            while not all(entry.handled for entry in context.entries):
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.when("its engine starts")
def start(context):
    start_engine(context, forwarding_builders.SERVICE)


@behave.when("its engine starts, and passes the third health check")
def start_slowly(context):
    start_engine(context, forwarding_builders.SERVICE, healthy_at=3)


@behave.when("an engine of another service starts")
def start_other(context):
    start_engine(context, "another service")


@behave.when('an engine at "{address}" starts')
def start_at_address(context, address):
    start_engine(context, forwarding_builders.SERVICE, address=address)


@behave.when("an engine whose identifier has a line end starts")
def start_with_line_end(context):
    start_engine(context, forwarding_builders.SERVICE, identity="a\r\nb: c")


@behave.when("an engine whose identifier has 256 bytes starts")
def start_with_long_name(context):
    start_engine(context, forwarding_builders.SERVICE, identity="x" * 256)


@behave.when("an engine in a data centre of 256 bytes starts")
def start_far_away(context):
    start_engine(context, forwarding_builders.SERVICE, data_centre="x" * 256)


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
