"""The command ``gentianpoint``."""

import trio
import typer

from gentianpoint_entry import entry
from gentianpoint_entry import load_command
from gentianpoint_entry import operator_commands
from gentianpoint_entry.generated import settings as entry_settings

__all__ = ("main",)

app = typer.Typer(
    add_completion=False,
    rich_markup_mode=None,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)


@app.callback()
def describe() -> None:
    """Serve generations of unknown length, and administer the service."""


def _run(settings: entry_settings.EntrySettings) -> None:
    trio.run(entry.run_entry, settings)


entry_settings.register_entry_command(app, _run)
operator_commands.register_operator_commands(app)
load_command.register_load_command(app)


def main() -> None:
    """Run one of the commands."""
    app()
