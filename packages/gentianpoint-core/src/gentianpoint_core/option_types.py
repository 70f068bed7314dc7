"""Parsers for command line options beyond those of the libraries.

Addresses and URLs contain IP addresses, never host names: the platform has no
name service that can be relied on during an outage.
"""

from collections import abc
import ipaddress
import math
import re
import typing
import urllib.parse

__all__ = (
    "parse_address",
    "parse_digest",
    "parse_url",
    "parse_weights",
    "split_address",
)


_DIGEST: typing.Final = re.compile("[0-9a-f]{64}")


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of ``address``.

    ``split_address("127.0.0.1:80")`` is ``("127.0.0.1", 80)``. Raises
    ValueError if the text is not an IP address with a port.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    ipaddress.ip_address(host)
    number = int(port)
    if not 0 <= number <= 65535:
        raise ValueError(f"port {number} is not between 0 and 65535")
    return host, number


def parse_address(value: str) -> str:
    """Return a valid address unchanged; else raise ValueError."""
    try:
        split_address(value)
    except ValueError as error:
        raise ValueError(
            f"{value!r} is no IP number with port: {error}"
        ) from error
    return value


def parse_url(value: str) -> str:
    """Return an HTTP URL without its trailing slash.

    Empty text stands for no URL. Raises ValueError if the host is not an IP
    address or the scheme is not HTTP.
    """
    if not value:
        return value
    parts = urllib.parse.urlsplit(value)
    if parts.scheme not in ("http", "https"):
        raise ValueError(f"{value!r} does not start with http:// or https://")
    try:
        ipaddress.ip_address(parts.hostname or "")
    except ValueError as error:
        raise ValueError(f"{value!r} names no IP number: {error}") from error
    return value.rstrip("/")


def parse_weights(value: str) -> abc.Mapping[str, float]:
    """Return the weights in a text such as ``a=2,b=0.5``.

    Empty text stands for none. A name may contain ``=``, but no comma. Raises
    ValueError, which quotes the wrong part, if a part is no name with a
    positive finite weight, or names what an earlier one has named.
    """
    weights: dict[str, float] = {}
    for part in value.split(",") if value.strip() else ():
        name, _, number = (text.strip() for text in part.rpartition("="))
        if not name:
            raise ValueError(f"{part!r} does not have the form name=weight")
        if name in weights:
            raise ValueError(f"{part!r} names {name!r} a second time")
        try:
            weights[name] = float(number)
        except ValueError as error:
            raise ValueError(f"{part!r} has no number as weight") from error
        if not 0 < weights[name] < math.inf:
            raise ValueError(
                f"{part!r} has a weight that is not positive and finite"
            )
    return weights


def parse_digest(value: str) -> str:
    """Return a valid SHA-256 digest in hex; else raise ValueError.

    The message does not contain the text, so that a key given by mistake
    instead of its digest does not appear in the logs.
    """
    if not _DIGEST.fullmatch(value):
        raise ValueError("it is no SHA-256 digest in lower-case hex")
    return value
