"""Tells agents the resource of their service."""

import typing

import trio

from gentianpoint_core import configuration
from gentianpoint_core.generated import messages
from gentianpoint_entry import agent_links
from gentianpoint_entry import configuration_tail
from gentianpoint_entry import live_hosts

__all__ = ("ConfigurationSender",)

_COUNT_AGAIN_S: typing.Final = 10.0


class _Told(typing.NamedTuple):
    """What an agent was told, apart from the offset."""

    revision: int
    """Revision of the resource; 0 when there is none."""
    replicas: int
    """Number of the service's targets."""


class ConfigurationSender:
    """Sends each agent the resource of its service whenever it changes.

    Most changes are of customers, whom only entries know. Telling every
    agent each new offset would be a sixth of an entry's control traffic at
    the size of docs/CAPACITY.md, so an agent hears only of its service, and
    the link notes up to which offset that holds.
    """

    def __init__(
        self,
        tail: configuration_tail.ConfigurationTail,
        hosts: live_hosts.LiveHosts,
    ) -> None:
        """Send what ``tail`` has folded, and how many targets there are."""
        self._tail: typing.Final = tail
        self._hosts: typing.Final = hosts

    async def send_updates(self, link: agent_links.AgentLink) -> None:
        """Send now and after each change, until the link is lost."""
        await self._tail.wait_ready()
        told: typing.Optional[_Told] = None
        while True:
            message = self._make_message(link.host.service)
            offset = message["offset"]
            news = _Told(message["revision"], message["replicas"])
            if news != told:
                await link.send(message)
                told = news
                link.record_sent_offset(offset)
            else:
                link.record_unchanged_offset(offset)
            # A change that is folded while the resource is being sent must
            # not be waited for, since it has passed: the agent would serve
            # by the old resource until some later change.
            if self._tail.state.offset == offset:
                # The number of targets comes from the host list, which tells
                # nobody here when it changes.
                with trio.move_on_after(_COUNT_AGAIN_S):
                    await self._tail.wait_changed()

    def _make_message(self, service: str) -> messages.Configure:
        state = self._tail.state
        found = state.find_resource(configuration.SERVICE, service)
        return {
            "type": "configure",
            "offset": state.offset,
            "revision": found.revision if found else 0,
            "service": found.spec if found else b"",
            "replicas": self._hosts.count_targets(service),
        }
