"""Specifications of accepted resources, decoded.

Apart from the fold, so that an agent, which gets one resource that others
have validated, need not hold the validator of all of them.
"""

import typing

import msgspec

from gentianpoint_core.generated import resources

__all__ = ("decode_customer", "decode_service")

_SERVICE_DECODER: typing.Final = msgspec.json.Decoder(resources.ServiceSpec)
_CUSTOMER_DECODER: typing.Final = msgspec.json.Decoder(resources.CustomerSpec)


def decode_service(spec: bytes) -> resources.ServiceSpec:
    """Return the specification of an accepted service resource."""
    return _SERVICE_DECODER.decode(spec)


def decode_customer(spec: bytes) -> resources.CustomerSpec:
    """Return the specification of an accepted customer resource."""
    return _CUSTOMER_DECODER.decode(spec)
