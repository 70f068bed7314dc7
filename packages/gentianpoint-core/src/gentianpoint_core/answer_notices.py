"""Reads what a target asks for in the head of an answer."""

from collections import abc
import re
import typing

__all__ = ("read_leaving", "read_rest_ms")

_IS_LEAVING: typing.Final = b"1"
"""Value by which a target says that it leaves."""
_SECONDS_PATTERN: typing.Final = re.compile(rb"\d{1,9}(\.\d{0,9})?")


def read_leaving(values: abc.Iterable[bytes]) -> bool:
    """Tell whether the values of a header say that the target leaves.

    >>> read_leaving([b"1"])
    True
    >>> read_leaving([b"0"])
    False
    """
    return any(
        item.strip() == _IS_LEAVING
        for value in values
        for item in value.split(b",")
    )


def read_rest_ms(values: abc.Iterable[bytes]) -> float:
    """Return for how many milliseconds a target wants nothing; 0 if unsaid.

    It says so in seconds. A date is not read, as hosts' clocks differ. Of
    several values the longest counts.

    >>> read_rest_ms([b"1.5"])
    1500.0
    >>> read_rest_ms([b"soon"])
    0.0
    """
    readable = [
        float(value.strip()) * 1000
        for value in values
        if _SECONDS_PATTERN.fullmatch(value.strip())
    ]
    return max(readable, default=0.0)
