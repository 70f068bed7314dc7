"""The command ``gentianpoint entry``."""

import typing

import trio

from gentianpoint_entry import entry
from gentianpoint_entry.generated import settings as entry_settings

__all__ = ("command",)


def _run(settings: entry_settings.EntrySettings) -> None:
    trio.run(entry.run_entry, settings)


command: typing.Final = entry_settings.make_entry_command(_run)
"""The click command, with an option for each setting."""
