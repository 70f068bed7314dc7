"""The command line application with all operators' commands."""

import typing

import typer

from gentianpoint_entry import check_command
from gentianpoint_entry import explain_command
from gentianpoint_entry import load_command
from gentianpoint_entry import operator_commands
from gentianpoint_entry import summary_command

__all__ = ("app",)

app: typing.Final = typer.Typer(
    add_completion=False,
    rich_markup_mode=None,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
"""Application that all operators' commands are registered with."""


@app.callback()
def describe() -> None:
    """Administer the service."""


operator_commands.register_operator_commands(app)
check_command.register_check_command(app)
explain_command.register_explain_command(app)
summary_command.register_summary_command(app)
load_command.register_load_command(app)
