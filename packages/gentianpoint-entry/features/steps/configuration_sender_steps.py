"""Steps for what agents are told of the configuration."""

import types

import behave
import trio
import trio.testing

from gentianpoint_entry import configuration_sender
from gentianpoint_entry import live_hosts


class FakeTail:
    """A configuration that changes when told."""

    def __init__(self):
        self.state = types.SimpleNamespace(
            offset=1, find_resource=lambda kind, name: None
        )
        self._changed = trio.Event()

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


class FakeLink:
    """A link during whose first message the configuration changes."""

    def __init__(self, tail):
        self.host = types.SimpleNamespace(service="modelo-taller")
        self.offsets = []
        self._tail = tail

    async def send(self, message):
        """Note the message's offset."""
        self.offsets.append(message["offset"])
        if len(self.offsets) == 1:
            self._tail.change()


@behave.given("a connection that takes a message only after a further change")
def make_link(context):
    context.tail = FakeTail()
    context.link = FakeLink(context.tail)


async def send_until_idle(context):
    sender = configuration_sender.ConfigurationSender(
        context.tail, live_hosts.LiveHosts("entry-1")
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sender.send_for_ever, context.link)
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()


@behave.when("the configuration is sent")
def send(context):
    trio.run(send_until_idle, context)


@behave.then(
    "the agent is told the offset before the change and that after it"
)
def check_offsets(context):
    assert context.link.offsets == [1, 2], context.link.offsets
