"""Accepted specifications, as this version reads them.

The configuration may hold fields of a later version: while hosts are
replaced one by one, an operator's write through a new entry reaches old
processes too. A reader takes the fields that it knows and can read, and
ignores the others; it must neither fail nor refuse what is in force. Agents
read the one resource that they get without the rules that it was checked
against, whose validator would cost each of them memory. ::

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
_FORMS: typing.Final[abc.Mapping[str, typing.Any]] = {
    SERVICE: resources.ServiceSpec,
    CUSTOMER: resources.CustomerSpec,
}

_SERVICE_DECODER: typing.Final = msgspec.json.Decoder(resources.ServiceSpec)
_CUSTOMER_DECODER: typing.Final = msgspec.json.Decoder(resources.CustomerSpec)
_Spec = typing.TypeVar("_Spec", resources.ServiceSpec, resources.CustomerSpec)


def decode_service(spec: bytes) -> resources.ServiceSpec:
    """Return the specification of an accepted service resource.

    Raises :class:`msgspec.DecodeError` when the bytes are none.
    """
    return _decode(spec, _SERVICE_DECODER, resources.ServiceSpec)


def decode_customer(spec: bytes) -> resources.CustomerSpec:
    """Return the specification of an accepted customer resource.

    Raises :class:`msgspec.DecodeError` when the bytes are none.
    """
    return _decode(spec, _CUSTOMER_DECODER, resources.CustomerSpec)


def _decode(
    spec: bytes, decoder: msgspec.json.Decoder[_Spec], form: type[_Spec]
) -> _Spec:
    try:
        return decoder.decode(spec)
    except msgspec.ValidationError:
        # A later version may give a field more values than are known here.
        fields = msgspec.json.decode(spec, type=dict[str, typing.Any])
        readable = {
            name: value
            for name, value in fields.items()
            if _is_readable(name, value, form)
        }
        return msgspec.convert(readable, form)


@functools.cache
def _read_types(form: type) -> abc.Mapping[str, typing.Any]:
    return typing.get_type_hints(form)


def _is_readable(name: str, value: typing.Any, form: type) -> bool:
    wanted = _read_types(form).get(name)
    if wanted is None:
        return False
    try:
        msgspec.convert(value, wanted)
    except msgspec.ValidationError:
        return False
    return True


def list_ignored_fields(kind: str, spec: bytes) -> abc.Sequence[str]:
    """Return the fields of an accepted specification that are not read."""
    fields = msgspec.json.decode(spec, type=dict[str, typing.Any])
    return [
        name
        for name, value in fields.items()
        if not _is_readable(name, value, _FORMS[kind])
    ]
