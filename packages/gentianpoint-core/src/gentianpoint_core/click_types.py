"""Kinds of options of the commands that serve.

Processes that serve read their settings with click, which costs them little;
see :mod:`gentianpoint_core.option_types` for the checks.
"""

from collections import abc
import typing

import click

from gentianpoint_core import option_types

__all__ = ("ADDRESS", "DIGEST", "URL", "CheckedText")


class CheckedText(click.ParamType[str]):
    """Text that a function checks and perhaps shortens."""

    def __init__(self, name: str, check: abc.Callable[[str], str]) -> None:
        """Name the kind; ``check`` raises ValueError with the reason."""
        self.name = name
        self._check: typing.Final = check

    def convert(
        self,
        value: typing.Any,
        param: typing.Optional[click.Parameter],
        ctx: typing.Optional[click.Context],
    ) -> str:
        """Return the checked text; fails with what is wrong with it."""
        try:
            return self._check(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


ADDRESS: typing.Final = CheckedText("address", option_types.parse_address)
"""An IP number with a port."""
URL: typing.Final = CheckedText("url", option_types.parse_url)
"""An HTTP URL of an IP number."""
DIGEST: typing.Final = CheckedText("digest", option_types.parse_digest)
"""A SHA-256 digest in hex."""
