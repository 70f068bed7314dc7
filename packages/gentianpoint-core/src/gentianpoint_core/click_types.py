"""Click parameter types for the options of entries and agents.

Entries and agents read their settings with plain click, which needs little
memory; :mod:`gentianpoint_core.option_types` has the checks.
"""

from collections import abc
import typing

import click

from gentianpoint_core import option_types

__all__ = ("ADDRESS", "DIGEST", "URL", "CheckedText")


class CheckedText(click.ParamType[str]):
    """Text that a function validates and normalizes."""

    def __init__(self, name: str, check: abc.Callable[[str], str]) -> None:
        """Create a type; ``check`` raises ValueError for invalid text."""
        self.name = name
        self._check: typing.Final = check

    def convert(
        self,
        value: typing.Any,
        param: typing.Optional[click.Parameter],
        ctx: typing.Optional[click.Context],
    ) -> str:
        """Return the normalized text, or fail with the reason."""
        try:
            return self._check(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


ADDRESS: typing.Final = CheckedText("address", option_types.parse_address)
"""An IP address with a port."""
URL: typing.Final = CheckedText("url", option_types.parse_url)
"""An HTTP URL whose host is an IP address."""
DIGEST: typing.Final = CheckedText("digest", option_types.parse_digest)
"""A SHA-256 digest in hex."""
