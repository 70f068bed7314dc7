"""Functions that build configurations for the features."""

import hashlib
import typing

import msgspec

from gentianpoint_core import configuration


def make_key_hash(key: str) -> str:
    """Return the digest of a bearer key."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_record(change: str, **fields: typing.Any) -> bytes:
    """Return a record that puts the customer ``ana``.

    ``fields`` replace the record's fields.
    """
    record = {
        "version": 1,
        "change": change,
        "action": "put",
        "kind": "customer",
        "name": "ana",
        "base": configuration.ANY_REVISION,
        "spec": {"key_hashes": [make_key_hash(change)]},
        **fields,
    }
    return msgspec.json.encode(record)


def make_specification(kind: str) -> dict[str, typing.Any]:
    """Return a valid specification of a service or a customer."""
    if kind == "service":
        return {"kind": "model", "customers": ["*"], "priority": 3}
    return {"key_hashes": [make_key_hash("k1")], "weight": 2.0}


def make_configuration(customers: int) -> configuration.Configuration:
    """Return a configuration with ``customers`` customers."""
    state = configuration.Configuration()
    for number in range(1, customers + 1):
        record = make_record(f"change-{number}", name=f"customer-{number}")
        state.apply_record(number, record)
    return state
