"""Steps for the messages that send the configuration to agents."""

import types

import behave
import link_builders
import suspect_builders
import trio
import trio.testing

from gentianpoint_core import ports
from gentianpoint_entry import configuration_sender
from gentianpoint_entry import evacuation_stream
from gentianpoint_entry import live_hosts
from gentianpoint_entry import status_writer

SERVICE = "service"


class FakeTail:
    """A configuration that the scenario changes."""

    def __init__(self):
        self.state = types.SimpleNamespace(
            offset=1, find_resource=self._find_resource
        )
        self.revision = 1
        self._changed = trio.Event()

    @property
    def position(self):
        """Position of the last record."""
        return ports.LogPosition(0, self.state.offset)

    def _find_resource(self, kind, name):
        return types.SimpleNamespace(revision=self.revision, spec=b"{}")

    async def wait_ready(self):
        """Return at once."""

    async def wait_changed(self):
        """Wait until the next change."""
        await self._changed.wait()

    def change(self):
        """Apply a record that doesn't concern the service."""
        self.state.offset += 1
        self._changed.set()
        self._changed = trio.Event()

    def change_service(self):
        """Apply a record that changes the service."""
        self.revision = self.state.offset + 1
        self.change()


class FakeLink:
    """A link whose first send takes until the configuration has changed."""

    def __init__(self, tail):
        self.host = types.SimpleNamespace(service=SERVICE, data_centre="north")
        self.offsets = []
        self._tail = tail

    async def send(self, message):
        """Record the offset; change the service during the first send."""
        self.offsets.append(message["offset"])
        if len(self.offsets) == 1:
            self._tail.change_service()

    def record_sent_offset(self, offset):
        """Ignore the offset."""

    def record_unchanged_offset(self, offset):
        """Ignore the offset."""


class FakeConnection:
    """A connection whose agent confirms messages at once or never."""

    def __init__(self, link, confirms):
        self.sent = []
        self._link = link
        self._confirms = confirms

    async def send(self, message):
        """Record the message, and confirm it if the agent does so."""
        self.sent.append(message)
        if self._confirms:
            answer = {"type": "configured", "offset": message["offset"]}
            self._link._handle(answer)


@behave.given("a connection whose first send takes until a further change")
def make_link(context):
    context.tail = FakeTail()
    context.link = FakeLink(context.tail)


@behave.given("an agent that confirms {what}")
def make_agent(context, what):
    context.confirms = what != "nothing"


def make_evacuations():
    """Return evacuations that are not read from any log."""
    return evacuation_stream.EvacuationStream(suspect_builders.SharedLog(), 1)


async def send_around_change(context, change):
    """Run the sender until it waits, call ``change``, and run it again."""
    sender = configuration_sender.ConfigurationSender(
        context.tail, context.hosts, make_evacuations()
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sender.send_updates, context.link)
        await trio.testing.wait_all_tasks_blocked()
        change()
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()


@behave.when("the configuration is sent")
def send(context):
    context.hosts = live_hosts.LiveHosts("entry-1")
    trio.run(send_around_change, context, lambda: None)


def connect(context):
    """Connect the link of the scenario to its agent."""
    context.tail = FakeTail()
    context.hosts = live_hosts.LiveHosts("entry-1")
    context.link = link_builders.make_link("agent-1", "zona-norte")
    context.connection = FakeConnection(context.link, context.confirms)
    context.link._connection = context.connection


@behave.when("a record is applied that does not concern its service")
def apply_other_record(context):
    connect(context)
    trio.run(send_around_change, context, context.tail.change)


@behave.when("the host list has {count:d} targets of its service")
def list_targets(context, count):
    connect(context)
    hosts = [
        ports.Host(f"h-{n}", "agent", SERVICE, f"t-{n}", "a:1", "n", "live")
        for n in range(count)
    ]

    async def run_sender():
        sender = configuration_sender.ConfigurationSender(
            context.tail, context.hosts, make_evacuations()
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sender.send_updates, context.link)
            await trio.testing.wait_all_tasks_blocked()
            context.hosts.update_hosts(hosts)
            while len(context.connection.sent) < 2:
                await trio.sleep(1)
            nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(run_sender, clock=clock)


@behave.then(
    "the agent is sent the offset before the change and the one after it"
)
def check_offsets(context):
    assert context.link.offsets == [1, 2], context.link.offsets


@behave.then("the agent is sent only the first offset")
def check_sent_once(context):
    sent = [message["offset"] for message in context.connection.sent]
    assert sent == [1], sent


@behave.then("the agent is sent a second message, with {count:d} targets")
def check_sent_targets(context, count):
    sent = [message["replicas"] for message in context.connection.sent]
    assert sent == [0, count], sent


def list_in_force(context):
    return status_writer.list_agents_in_force([context.link], 2)


@behave.then("the change counts as in force on its host")
def check_in_force(context):
    assert list_in_force(context) == ["agent-1"]


@behave.then("the change does not count as in force on its host")
def check_not_in_force(context):
    assert list_in_force(context) == []
