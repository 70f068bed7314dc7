"""Authenticates customers and operators by their bearer keys."""

import hashlib
import hmac
import typing

from gentianpoint_core import configuration
from gentianpoint_core import errors

__all__ = ("authenticate_customer", "check_operator", "hash_key")

_SCHEME: typing.Final = "Bearer "


def hash_key(key: str) -> str:
    """Return the SHA-256 digest in hex that is stored for a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def _read_key_hash(header: str) -> str:
    if not header.startswith(_SCHEME):
        raise errors.CallError(
            errors.UNAUTHORIZED, "no bearer key", step="authenticate"
        )
    return hash_key(header.removeprefix(_SCHEME))


def authenticate_customer(
    header: str, state: configuration.Configuration
) -> str:
    """Return the customer whose key is in an Authorization header.

    Raises :class:`errors.CallError` with ``unauthorized``.
    """
    customer = state.find_customer(_read_key_hash(header))
    if customer is None:
        raise errors.CallError(
            errors.UNAUTHORIZED, "the key is unknown", step="authenticate"
        )
    return customer


def check_operator(header: str, operator_key_hash: str) -> None:
    """Raise ``unauthorized`` unless the header has the operators' key."""
    key_hash = _read_key_hash(header)
    if not hmac.compare_digest(key_hash, operator_key_hash):
        raise errors.CallError(
            errors.UNAUTHORIZED,
            "the key is no operator's",
            step="authenticate",
        )
