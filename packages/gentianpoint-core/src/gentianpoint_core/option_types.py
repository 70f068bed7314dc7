"""Types of command line options that typer does not bring.

Addresses and URLs name IP numbers, never host names: the platform gives no
name service that can be relied on while it fails.
"""

import ipaddress
import typing
import urllib.parse

import click

__all__ = ("AddressType", "UrlType", "split_address")


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and port of ``address``.

    ``split_address("127.0.0.1:80")`` is ``("127.0.0.1", 80)``. Raises
    ValueError when the text is no IP number with a port.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    ipaddress.ip_address(host)
    number = int(port)
    if not 0 <= number <= 65535:
        raise ValueError(f"port {number} is not between 0 and 65535")
    return host, number


class AddressType(click.ParamType[str]):
    """An IP number with a port, such as ``127.0.0.1:8080``."""

    name = "address"

    def convert(
        self,
        value: typing.Any,
        param: typing.Optional[click.Parameter],
        ctx: typing.Optional[click.Context],
    ) -> str:
        """Return the text, or fail with the reason."""
        try:
            split_address(value)
        except ValueError as error:
            self.fail(f"{value!r} is no IP number with port: {error}")
        return str(value)


class UrlType(click.ParamType[str]):
    """An HTTP URL whose host is an IP number; empty text is allowed."""

    name = "url"

    def convert(
        self,
        value: typing.Any,
        param: typing.Optional[click.Parameter],
        ctx: typing.Optional[click.Context],
    ) -> str:
        """Return the URL without a closing slash, or fail."""
        if value == "":
            return ""
        parts = urllib.parse.urlsplit(value)
        if parts.scheme not in ("http", "https"):
            self.fail(f"{value!r} does not start with http:// or https://")
        try:
            ipaddress.ip_address(parts.hostname or "")
        except ValueError as error:
            self.fail(f"{value!r} names no IP number: {error}")
        return str(value).rstrip("/")
