"""The command ``gentianpoint``.

The tools of operators and the entry come from one binary, and each imports
what it needs when it is called: an entry that held the operators' tools with
their libraries would spend memory on them that a node has for control.
"""

import importlib
import typing

import click

__all__ = ("main",)

_ENTRY: typing.Final = "gentianpoint_entry.entry_command"
_TOOLS: typing.Final = "gentianpoint_entry.operator_app"
_HELP_OF_TOOL: typing.Final = {
    "apply": "Declare the resources in files, in their order.",
    "get": "Show the resources of a kind, or one of them.",
    "watch": "Print each change as a JSON line, and where it is in force.",
    "delete": "Delete a resource.",
    "check": "Tell what is wrong with a deploy folder or settings.",
    "explain": "Print a request's way from log lines.",
    "summary": "Count requests by what kept them from being in time.",
    "load": "Send a load of a scenario and report what callers see.",
}


class _Tool(click.Command):
    """One of the operators' tools, which reads its own arguments."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Leave all arguments to the tool."""
        ctx.args = args
        return []

    def invoke(self, ctx: click.Context) -> typing.Any:
        """Run the tool."""
        tools = importlib.import_module(_TOOLS)
        return tools.app([self.name, *ctx.args], prog_name="gentianpoint")


class _Commands(click.Group):
    """The commands, found by name."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return ["entry", *_HELP_OF_TOOL]

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> typing.Optional[click.Command]:
        """Return a command, or None when there is none of the name."""
        if cmd_name == "entry":
            command: click.Command = importlib.import_module(_ENTRY).command
            return command
        if cmd_name in _HELP_OF_TOOL:
            return _Tool(cmd_name, help=_HELP_OF_TOOL[cmd_name])
        return None


def main() -> None:
    """Run one of the commands."""
    _Commands(
        "gentianpoint",
        help="Serve generations of unknown length, and administer the "
        "service.",
    )(prog_name="gentianpoint")
