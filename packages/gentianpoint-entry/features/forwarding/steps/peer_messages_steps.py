"""Steps for messages from other processes."""

import functools

import behave
import forwarding_builders
import hypothesis
from hypothesis import strategies
import peer_builders
from structlog import testing
import topic_builders
import trio

from gentianpoint_core import peer_connections
from gentianpoint_core import peer_sockets
from gentianpoint_core import ports
from gentianpoint_core.generated import messages
from gentianpoint_entry import crash_suspects
from gentianpoint_entry.forwarding import agent_connections
from gentianpoint_entry.forwarding import entry_peers
from gentianpoint_entry.forwarding import gossip_state
from gentianpoint_entry.forwarding import members
from gentianpoint_entry.forwarding import peer_links
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import target_selection
from gentianpoint_entry.forwarding import targets
from gentianpoint_entry.forwarding import topic_follower

EXAMPLES = 300
ADDRESS = "10.0.0.1:80"
AGENT = "10.0.0.9:90"
TOPIC = "topic"
FROM_ENTRIES = (
    messages.Gossip,
    messages.RecordsWanted,
    messages.RecordsFound,
    messages.EngineHere,
)
FROM_AGENTS = (messages.EngineState, messages.MoveTurn)
NUMBERS = strategies.one_of(
    strategies.integers(0, 3),
    strategies.integers(),
    strategies.sampled_from((10**400, -(10**400), 10**5000, 2**63, -1)),
)
TEXTS = strategies.one_of(
    strategies.sampled_from((ADDRESS, AGENT, TOPIC, "[", "", "10.0.0.2:80")),
    strategies.text(max_size=4),
)


def make_messages(kinds):
    # The message classes have fields of these types only.
    strategies.register_type_strategy(int, NUMBERS)
    strategies.register_type_strategy(str, TEXTS)
    options = [strategies.from_type(kind) for kind in kinds]
    return strategies.lists(strategies.one_of(options), max_size=5)


def check_all(kinds, receive):
    """Let ``receive`` handle random lists of messages of ``kinds``."""

    @hypothesis.settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(make_messages(kinds))
    def check(drawn):
        with testing.capture_logs():
            topic_builders.run_on_mock_clock(functools.partial(receive, drawn))

    check()


class IgnoringConsumer(topic_follower.RecordConsumer):
    """Ignores all records."""

    def apply_snapshot(self, records):
        """Ignore a snapshot."""

    def apply_change(self, record):
        """Ignore a change."""

    def note_log_availability(self, *, is_available):
        """Ignore the state of the log."""

    def note_log_restored(self):
        """Ignore that the log came back from a copy."""


def make_follower(peers):
    return topic_follower.TopicFollower(
        TOPIC,
        topic_builders.FakeTopic(2),
        IgnoringConsumer(),
        topic_follower.make_long_poll_timing(2000),
        lambda: peers.list_peer_topics(TOPIC),
        lambda: 1,
    )


async def send_to_peers(sent):
    gossip = gossip_state.GossipState(
        members.MemberTable(ADDRESS, "north"), crash_suspects.CrashSuspects()
    )
    peers = entry_peers.EntryPeers(gossip, ())
    follower = make_follower(peers)
    gossip.add_topic(follower)
    connection = peer_builders.ScriptedConnection(sent)
    link = peer_links.PeerLink(connection, is_dialled=False)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(1.5)
        try:
            await peers._serve(link)
        except* peer_connections.PeerConnectionError:
            pass
        gossip.tick()
        nursery.cancel_scope.cancel()
    # What was received can be passed on, and members can be connected to.
    other = peer_builders.ScriptedConnection(())
    message = gossip.build_message(gossip_state.LinkState(trio.current_time()))
    if message is not None:
        await other.send(message)
    gossip.members.choose_neighbours(())
    entry_peers.make_rank_lookup(gossip, TOPIC)()


@behave.then(
    "whatever other entries send, only the connection ends, and what is passed"
    " on can be sent"
)
def check_peers(context):
    check_all(FROM_ENTRIES, send_to_peers)


async def send_to_agent_connections(sent):
    registry = targets.TargetRegistry()
    target = registry.put_entry(
        forwarding_builders.make_entry("a", started_ms=0), trio.current_time()
    )
    gossip = gossip_state.GossipState(
        members.MemberTable(ADDRESS, "north"), crash_suspects.CrashSuspects()
    )
    connections = agent_connections.AgentConnections(
        registry, lambda _: AGENT, gossip
    )
    connection = peer_builders.ScriptedConnection(sent)
    try:
        await connections._read_messages(target, AGENT, connection)
    except* peer_connections.PeerConnectionError:
        pass
    route = forwarding_builders.make_route(routes.RouteKind.STREAM)
    request = forwarding_builders.make_request(
        route, forwarding_builders.ENGINE
    )
    shared = forwarding_builders.make_forwarder(
        "b", forwarding_builders.ScriptedCalls()
    )
    target_selection.choose_target(
        [target, shared.registry.find("b")],
        request,
        forwarding_builders.DATA_CENTRE,
        1,
        trio.current_time(),
        shared.rng,
    )
    if target.leaves_at is not None:
        assert target.leaves_at.remaining_ms() >= 0
    gossip.tick()
    for report in [target.report] if target.report else ():
        gossip.put_report(AGENT, report)
    message = gossip.build_message(gossip_state.LinkState(trio.current_time()))
    if message is not None:
        await connection.send(message)


@behave.then(
    "whatever an agent sends, only the connection ends, and a target can be"
    " chosen"
)
def check_agent_connections(context):
    check_all(FROM_AGENTS, send_to_agent_connections)


@behave.given("an entry that asks another one for records")
def make_request(context):
    context.answer = {
        "type": "records_found",
        "number": 1,
        "known": True,
        "end": 7,
        "whole": False,
        "records": [],
    }


@behave.when("three answers come at once")
def answer_repeatedly(context):
    async def run():
        connection = peer_builders.ScriptedConnection(())
        link = peer_links.PeerLink(connection, is_dialled=True)
        topic = peer_links.PeerTopic(link, TOPIC)

        async def ask():
            context.found = await topic.read_changes(
                ports.LogPosition(0, 3), 0, 1000
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.testing.wait_all_tasks_blocked()
            for _ in range(3):
                link.deliver_answer(context.answer)

    trio.run(run)


@behave.then("the records are read")
def check_found(context):
    assert context.found.end == 7


@behave.then("connecting to {address} fails as if it could not be reached")
def check_address(context, address):
    async def run():
        async with peer_sockets.open_connection(address):
            raise AssertionError("connected")

    try:
        trio.run(run)
    except peer_connections.PeerConnectionError as error:
        assert error.step == "connect", error
        return
    raise AssertionError("no error")
