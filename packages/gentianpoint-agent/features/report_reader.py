"""Reads load reports from an agent as an entry does."""

import functools
import typing

import trio

from gentianpoint_core import ports
from gentianpoint_core.generated import messages
from gentianpoint_entry import agent_links
from gentianpoint_entry import link_settings
from gentianpoint_standins import processes

_TIMEOUT_S: typing.Final = 30
"""Time in which a matching report must arrive, in seconds."""
_SETTINGS: typing.Final = link_settings.LinkSettings(
    "reader", "incarnation", "zona-norte", "", 1000, 3000, 64, 2**20
)


async def _configure(link: agent_links.AgentLink) -> None:
    """Send the agent no service configuration."""
    await trio.sleep_forever()


async def _read(
    agent: processes.ProcessHandle,
    service: str,
    peer_key: str,
    matches: typing.Callable[[messages.Report], bool],
) -> messages.Report:
    host = ports.Host(
        agent.name,
        "agent",
        service,
        agent.name,
        agent.address,
        "zona-norte",
        "live",
    )
    settings = _SETTINGS._replace(peer_key=peer_key)
    link = agent_links.AgentLink(host, settings, lambda: None)
    with trio.fail_after(_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run, _configure)
            while (report := link.report) is None or not matches(report):
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
    return report


def read_report(
    deployment: processes.LocalDeployment,
    agent: processes.ProcessHandle,
    service: str,
    matches: typing.Callable[[messages.Report], bool],
) -> messages.Report:
    """Return the first report that matches, or fail after a timeout."""
    return trio.run(
        functools.partial(_read, agent, service, deployment.peer_key, matches)
    )
