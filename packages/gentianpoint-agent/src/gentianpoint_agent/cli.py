"""The command ``gentianpoint-agent``."""

import trio
import typer

from gentianpoint_agent import agent
from gentianpoint_agent.generated import settings as agent_settings

__all__ = ("main",)

app = typer.Typer(
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


def _run(settings: agent_settings.AgentSettings) -> None:
    trio.run(agent.run_agent, settings)


agent_settings.register_agent_command(app, _run)


def main() -> None:
    """Read the settings and run the agent."""
    app()
