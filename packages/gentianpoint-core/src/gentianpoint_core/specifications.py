"""Decoding of accepted specifications.

The configuration may contain fields of a later version: during a rolling
upgrade, a write through a new entry also reaches old processes. A reader uses
the fields that it knows and can decode, and ignores the others. It must not
fail or refuse a specification that was accepted. Agents decode the resource of
their service without validating it again, since a JSON schema validator would
cost each agent memory. ::

    >>> decode_service(b'{"kind":"model","customers":["*"],"later":1}')
    {'kind': 'model', 'customers': ['*']}
"""

from collections import abc
import functools
import typing

import msgspec

from gentianpoint_core.generated import resources

__all__ = (
    "CUSTOMER",
    "SERVICE",
    "decode_customer",
    "decode_service",
    "list_ignored_fields",
)

SERVICE: typing.Final = "service"
"""Kind of a service resource."""
CUSTOMER: typing.Final = "customer"
"""Kind of a customer resource."""
_SPEC_TYPES: typing.Final[abc.Mapping[str, typing.Any]] = {
    SERVICE: resources.ServiceSpec,
    CUSTOMER: resources.CustomerSpec,
}

_SERVICE_DECODER: typing.Final = msgspec.json.Decoder(resources.ServiceSpec)
_CUSTOMER_DECODER: typing.Final = msgspec.json.Decoder(resources.CustomerSpec)
_Spec = typing.TypeVar("_Spec", resources.ServiceSpec, resources.CustomerSpec)


def decode_service(spec: bytes) -> resources.ServiceSpec:
    """Return the specification of an accepted service resource.

    Raises :class:`msgspec.DecodeError` if ``spec`` is not a specification.
    """
    return _decode(spec, _SERVICE_DECODER, resources.ServiceSpec)


def decode_customer(spec: bytes) -> resources.CustomerSpec:
    """Return the specification of an accepted customer resource.

    Raises :class:`msgspec.DecodeError` if ``spec`` is not a specification.
    """
    return _decode(spec, _CUSTOMER_DECODER, resources.CustomerSpec)


def _decode(
    spec: bytes, decoder: msgspec.json.Decoder[_Spec], spec_type: type[_Spec]
) -> _Spec:
    try:
        return decoder.decode(spec)
    except msgspec.ValidationError:
        # A later version may allow values that are unknown to this one.
        fields = msgspec.json.decode(spec, type=dict[str, typing.Any])
        readable = {
            name: value
            for name, value in fields.items()
            if _is_readable(name, value, spec_type)
        }
        return msgspec.convert(readable, spec_type)


@functools.cache
def _read_types(spec_type: type) -> abc.Mapping[str, typing.Any]:
    return typing.get_type_hints(spec_type)


def _is_readable(name: str, value: typing.Any, spec_type: type) -> bool:
    field_type = _read_types(spec_type).get(name)
    if field_type is None:
        return False
    try:
        msgspec.convert(value, field_type)
    except msgspec.ValidationError:
        return False
    return True


def list_ignored_fields(kind: str, spec: bytes) -> abc.Sequence[str]:
    """Return the fields of an accepted specification that are ignored."""
    fields = msgspec.json.decode(spec, type=dict[str, typing.Any])
    return [
        name
        for name, value in fields.items()
        if not _is_readable(name, value, _SPEC_TYPES[kind])
    ]
