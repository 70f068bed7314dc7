"""Tells agents the resource of their service."""

import typing

from gentianpoint_core import configuration
from gentianpoint_entry import agent_links
from gentianpoint_entry import configuration_tail
from gentianpoint_entry import live_hosts

__all__ = ("ConfigurationSender",)


class ConfigurationSender:
    """Sends each agent the resource of its service whenever it changes."""

    def __init__(
        self,
        tail: configuration_tail.ConfigurationTail,
        hosts: live_hosts.LiveHosts,
    ) -> None:
        """Send what ``tail`` has folded, and how many targets there are."""
        self._tail: typing.Final = tail
        self._hosts: typing.Final = hosts

    async def send_for_ever(self, link: agent_links.AgentLink) -> None:
        """Send now and after each change, until the link is lost."""
        await self._tail.wait_ready()
        while True:
            state = self._tail.state
            sent_offset = state.offset
            found = state.find_resource(
                configuration.SERVICE, link.host.service
            )
            await link.send(
                {
                    "type": "configure",
                    "offset": state.offset,
                    "revision": found.revision if found else 0,
                    "service": found.spec if found else b"",
                    "replicas": self._hosts.count_targets(link.host.service),
                }
            )
            # A change that is folded while the resource is being sent must
            # not be waited for, since it has passed: the agent would serve
            # by the old resource until some later change.
            if self._tail.state.offset == sent_offset:
                await self._tail.wait_changed()
