"""Steps for what agents are told of the configuration."""

import types

import behave
import link_builders
import trio
import trio.testing

from gentianpoint_core import ports
from gentianpoint_entry import configuration_sender
from gentianpoint_entry import live_hosts
from gentianpoint_entry import status_writer

SERVICE = "service"


class FakeTail:
    """A configuration that changes when told."""

    def __init__(self):
        self.state = types.SimpleNamespace(
            offset=1, find_resource=self._find_resource
        )
        self.revision = 1
        self._changed = trio.Event()

    def _find_resource(self, kind, name):
        return types.SimpleNamespace(revision=self.revision, spec=b"{}")

    async def wait_ready(self):
        """Return at once."""

    async def wait_changed(self):
        """Wait for the next change."""
        await self._changed.wait()

    def change(self):
        """Fold one more record."""
        self.state.offset += 1
        self._changed.set()
        self._changed = trio.Event()

    def change_service(self):
        """Fold a record that changes the service."""
        self.revision = self.state.offset + 1
        self.change()


class FakeLink:
    """A link during whose first message the configuration changes."""

    def __init__(self, tail):
        self.host = types.SimpleNamespace(service=SERVICE)
        self.offsets = []
        self._tail = tail

    async def send(self, message):
        """Note the message's offset."""
        self.offsets.append(message["offset"])
        if len(self.offsets) == 1:
            self._tail.change_service()

    def record_sent_offset(self, offset):
        """Take no note."""

    def record_unchanged_offset(self, offset):
        """Take no note."""


class FakeConnection:
    """A connection whose agent answers at once or never."""

    def __init__(self, link, confirms):
        self.told = []
        self._link = link
        self._confirms = confirms

    async def send(self, message):
        """Note the message; let the agent confirm it."""
        self.told.append(message)
        if self._confirms:
            answer = {"type": "configured", "offset": message["offset"]}
            self._link._handle(answer)


@behave.given("a connection that takes a message only after a further change")
def make_link(context):
    context.tail = FakeTail()
    context.link = FakeLink(context.tail)


@behave.given("an agent that confirms {what}")
def make_agent(context, what):
    context.confirms = what != "nothing"


async def send_until_blocked(context, change):
    """Send until nothing is left to do, change something, and go on."""
    sender = configuration_sender.ConfigurationSender(
        context.tail, context.hosts
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
    trio.run(send_until_blocked, context, lambda: None)


def connect(context):
    """Give the link of the scenario a connection."""
    context.tail = FakeTail()
    context.hosts = live_hosts.LiveHosts("entry-1")
    context.link = link_builders.make_link("agent-1", "zona-norte")
    context.connection = FakeConnection(context.link, context.confirms)
    context.link._connection = context.connection


@behave.when("a record is folded that does not concern its service")
def fold_other(context):
    connect(context)
    trio.run(send_until_blocked, context, context.tail.change)


@behave.when("the host list shows {count:d} targets of its service")
def show_targets(context, count):
    connect(context)
    hosts = [
        ports.Host(f"h-{n}", "agent", SERVICE, f"t-{n}", "a:1", "n", "live")
        for n in range(count)
    ]

    async def show():
        sender = configuration_sender.ConfigurationSender(
            context.tail, context.hosts
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sender.send_updates, context.link)
            await trio.testing.wait_all_tasks_blocked()
            context.hosts.update_hosts(hosts)
            while len(context.connection.told) < 2:
                await trio.sleep(1)
            nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(show, clock=clock)


@behave.then(
    "the agent is told the offset before the change and that after it"
)
def check_offsets(context):
    assert context.link.offsets == [1, 2], context.link.offsets


@behave.then("the agent is told the first offset only")
def check_told_once(context):
    told = [message["offset"] for message in context.connection.told]
    assert told == [1], told


@behave.then("the agent is told again, with {count:d} targets")
def check_told_targets(context, count):
    told = [message["replicas"] for message in context.connection.told]
    assert told == [0, count], told


def list_in_force(context):
    return status_writer.list_agents_in_force([context.link], 2)


@behave.then("the change counts as in force there")
def check_in_force(context):
    assert list_in_force(context) == ["agent-1"]


@behave.then("the change does not count as in force there")
def check_not_in_force(context):
    assert list_in_force(context) == []
