"""Checks names that other programs have written.

Names of services, targets and data centres come from the platform's log, from
agents and from other entries. They are sent in headers and datagrams, and are
keys of the log, whose keys have at most 255 bytes.
"""

import typing

__all__ = (
    "MAX_NAME_BYTES",
    "check_header_name",
    "check_name",
    "check_printable",
)

MAX_NAME_BYTES: typing.Final = 255
"""Longest name, in bytes of UTF-8."""


def check_name(name: str, field: str) -> str:
    """Return a name that can be encoded and used as a key, unchanged.

    Raises ValueError, which names the ``field``, if the name is empty or too
    long, or has a lone surrogate, which JSON may contain and UTF-8 may not.

    >>> check_name("service-a", "service")
    'service-a'
    """
    try:
        length = len(name.encode())
    except UnicodeEncodeError as error:
        raise ValueError(f"{field} has a lone surrogate") from error
    if not 0 < length <= MAX_NAME_BYTES:
        raise ValueError(
            f"{field} has {length} bytes, not 1 to {MAX_NAME_BYTES}"
        )
    return name


def check_header_name(name: str, field: str) -> str:
    """Return a name that can also be sent in a header, unchanged.

    Raises ValueError, as :func:`check_name` does.
    """
    return check_printable(check_name(name, field), field)


def check_printable(text: str, field: str) -> str:
    """Return a text of any length that is valid in a header, unchanged.

    Raises ValueError for one with line ends, other control characters, lone
    surrogates, or blanks at its ends.
    """
    if not text.isprintable() or text != text.strip():
        raise ValueError(f"{field} is not valid in a header: {text[:40]!r}")
    return text
