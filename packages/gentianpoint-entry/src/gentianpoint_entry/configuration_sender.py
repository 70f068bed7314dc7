"""Sends agents the configuration of their service."""

from collections import abc
import typing

import trio

from gentianpoint_core import configuration
from gentianpoint_core import ports
from gentianpoint_core.generated import messages
from gentianpoint_entry import agent_links
from gentianpoint_entry import configuration_tail
from gentianpoint_entry import evacuation_stream
from gentianpoint_entry import live_hosts

__all__ = ("ConfigurationSender",)

_RECOUNT_INTERVAL_S: typing.Final = 10.0
"""Longest time until the number of targets is read again, seconds."""


class _Content(typing.NamedTuple):
    """The content of a message to an agent, without its offset."""

    revision: int
    """Revision of the service's resource; 0 when there is none."""
    replicas: int
    """Number of live targets of the service."""
    is_evacuated: bool
    """True while the agent's data centre is evacuated."""


class ConfigurationSender:
    """Sends each agent the resource of its service whenever it changes.

    Most changes concern customers, whose resources agents don't get. Sending
    every new offset to every agent would be a sixth of an entry's control
    traffic at the size of docs/CAPACITY.md. So an agent gets a message only
    when its own service changes, and the link records up to which offset the
    last message is current.
    """

    def __init__(
        self,
        tail: configuration_tail.ConfigurationTail,
        hosts: live_hosts.LiveHosts,
        evacuated: evacuation_stream.EvacuationStream,
    ) -> None:
        """Send resources of ``tail`` and numbers of targets in ``hosts``.

        ``evacuated`` tells which agents are in an evacuated data centre.
        """
        self._tail: typing.Final = tail
        self._hosts: typing.Final = hosts
        self._evacuated: typing.Final = evacuated

    async def send_updates(self, link: agent_links.AgentLink) -> None:
        """Send the service's resource, and again after each change of it."""
        await self._tail.wait_ready()
        sent: typing.Optional[_Content] = None
        while True:
            message = self._make_message(link.host)
            offset = message["offset"]
            content = _Content(
                message["revision"],
                message["replicas"],
                message["evacuated"],
            )
            if content != sent:
                await link.send(message)
                sent = content
                link.record_sent_offset(offset)
            else:
                link.record_unchanged_offset(offset)
            # A change that was applied during the send has already been
            # announced. Waiting now would miss it, and the agent would keep
            # the old resource until some later change.
            is_evacuated = self._is_evacuated(link.host)
            if (
                self._tail.position.to_number() == offset
                and is_evacuated == content.is_evacuated
            ):
                # The wait is limited because the number of targets, which
                # comes from the host list, changes without notice here.
                with trio.move_on_after(_RECOUNT_INTERVAL_S):
                    await self._wait_changed()

    async def _wait_changed(self) -> None:
        """Wait until the configuration or an evacuation changes."""
        async with trio.open_nursery() as nursery:

            async def wait(
                wait_changed: abc.Callable[[], abc.Awaitable[None]],
            ) -> None:
                await wait_changed()
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait, self._tail.wait_changed)
            nursery.start_soon(wait, self._evacuated.wait_changed)

    def _is_evacuated(self, host: ports.Host) -> bool:
        evacuated = self._evacuated.evacuations.data_centres
        return host.data_centre in evacuated

    def _make_message(self, host: ports.Host) -> messages.Configure:
        state = self._tail.state
        resource = state.find_resource(configuration.SERVICE, host.service)
        return {
            "type": "configure",
            "offset": self._tail.position.to_number(),
            "revision": resource.revision if resource else 0,
            "service": resource.spec if resource else b"",
            "replicas": self._hosts.count_targets(host.service),
            "evacuated": self._is_evacuated(host),
            "evacuations_offset": self._evacuated.position.to_number(),
        }
