"""The command ``gentianpoint``.

The operators' commands and the entry share one executable. Each imports its
modules only when it is called: otherwise an entry would hold the libraries of
the operators' commands in the little memory that a host has for control.
"""

import importlib
import typing

import click

__all__ = ("main",)

_ENTRY_COMMAND: typing.Final = "gentianpoint_entry.entry_command"
_OPERATOR_APP: typing.Final = "gentianpoint_entry.operator_app"
_COMMAND_HELP: typing.Final = {
    "apply": "Declare the resources in files, in the order of the files.",
    "get": "Show the resources of a kind, or one of them.",
    "watch": "Print each change, and where it is in force, as JSON.",
    "delete": "Delete a resource.",
    "evacuate": "Send no new work to a data centre, or take it back.",
    "evacuations": "Show the evacuated data centres.",
    "check": "Report the problems of a deploy folder and settings files.",
    "explain": "Print the timeline of a request from log lines.",
    "summary": "Count requests by why they were not answered in time.",
    "load": "Send the load of a scenario and report what callers measure.",
}


class _OperatorCommand(click.Command):
    """Passes its arguments on to an operators' command of the same name."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Keep all arguments unparsed for the command itself."""
        ctx.args = args
        return []

    def invoke(self, ctx: click.Context) -> typing.Any:
        """Run the command."""
        module = importlib.import_module(_OPERATOR_APP)
        return module.app([self.name, *ctx.args], prog_name="gentianpoint")


class _Commands(click.Group):
    """Loads each command when it is first looked up."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return ["entry", *_COMMAND_HELP]

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> typing.Optional[click.Command]:
        """Return a command, or None if none has the name."""
        if cmd_name == "entry":
            command: click.Command = importlib.import_module(
                _ENTRY_COMMAND
            ).command
            return command
        if cmd_name in _COMMAND_HELP:
            return _OperatorCommand(cmd_name, help=_COMMAND_HELP[cmd_name])
        return None


def main() -> None:
    """Run the command that the arguments name."""
    _Commands(
        "gentianpoint",
        help="Serve generations of unknown length, and administer the "
        "service.",
    )(prog_name="gentianpoint")
