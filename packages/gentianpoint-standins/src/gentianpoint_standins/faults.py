"""Faults that a test switches on over HTTP.

Each stand-in keeps its faults in one named tuple. ``POST /faults`` names
the fields to change; the others stay.
"""

import typing

import msgspec

__all__ = ("change_faults",)

_Faults = typing.TypeVar("_Faults", bound=tuple[typing.Any, ...])


def change_faults(current: _Faults, body: bytes) -> _Faults:
    """Return ``current`` with the fields that the JSON ``body`` names.

    Raises :class:`msgspec.ValidationError` for an unknown field or a value
    of a wrong type: a mistyped fault that is passed over in silence would
    let a test of a failure pass without the failure.
    """
    hints = typing.get_type_hints(type(current))
    changes = {}
    for field, value in msgspec.json.decode(body, type=dict).items():
        if field not in hints:
            raise msgspec.ValidationError(f"there is no fault {field!r}")
        changes[field] = msgspec.convert(value, hints[field])
    faults: typing.Any = current
    return typing.cast(_Faults, faults._replace(**changes))
