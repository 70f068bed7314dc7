"""The command ``gentianpoint-agent``."""

import trio

from gentianpoint_agent import agent
from gentianpoint_agent.generated import settings as agent_settings

__all__ = ("main",)


def _run(settings: agent_settings.AgentSettings) -> None:
    trio.run(agent.run_agent, settings)


def main() -> None:
    """Read the settings and run the agent."""
    agent_settings.make_agent_command(_run)()
