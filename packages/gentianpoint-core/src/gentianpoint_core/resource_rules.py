"""Validation of change records and resource specifications.

There are two sets of rules. Writers validate a specification against
``schema/resources.json``, which may grow with each version and rejects unknown
fields, since those are more often typing errors than new fields.

The fold validates against ``schema/fold.json``, which never changes. During a
rolling upgrade, processes of two versions fold the same records. If one
accepted a record that the other refused, their configurations would differ
permanently, and nothing would report it. So the fold accepts unknown fields,
and readers ignore the fields that they can't read; see
:mod:`gentianpoint_core.specifications`.
"""

from collections import abc
import typing

import expression
import jsonschema
import msgspec

from gentianpoint_core import errors
from gentianpoint_core import specifications
from gentianpoint_core.generated import fold_schema
from gentianpoint_core.generated import resource_schema

__all__ = (
    "find_fold_fault",
    "find_record_fault",
    "validate_change",
    "validate_specification",
)

_DEFINITIONS: typing.Final[abc.Mapping[str, str]] = {
    specifications.SERVICE: "ServiceSpec",
    specifications.CUSTOMER: "CustomerSpec",
}


def _make_validator(
    schema: abc.Mapping[str, typing.Any], definition: str
) -> jsonschema.protocols.Validator:
    return jsonschema.Draft202012Validator(
        {**schema, "$ref": f"#/$defs/{definition}"}
    )


_WRITER_VALIDATORS: typing.Final = {
    kind: _make_validator(resource_schema.RESOURCE_SCHEMA, definition)
    for kind, definition in _DEFINITIONS.items()
}
_FOLD_VALIDATORS: typing.Final = {
    kind: _make_validator(fold_schema.FOLD_SCHEMA, definition)
    for kind, definition in _DEFINITIONS.items()
}
_RECORD_VALIDATOR: typing.Final = _make_validator(
    fold_schema.FOLD_SCHEMA, "ChangeRecord"
)


def _describe_fault(
    validator: jsonschema.protocols.Validator, value: typing.Any
) -> str:
    fault = jsonschema.exceptions.best_match(validator.iter_errors(value))
    if fault is None:
        return ""
    path = fault.json_path.removeprefix("$").removeprefix(".")
    return f"{path or 'spec'}: {fault.message}"


def find_record_fault(record: typing.Any) -> str:
    """Return why the fold skips a decoded record; empty if it is valid."""
    return _describe_fault(_RECORD_VALIDATOR, record)


def find_fold_fault(kind: str, spec: typing.Any) -> str:
    """Return why the fold refuses a specification; empty if it is valid."""
    return _describe_fault(_FOLD_VALIDATORS[kind], spec)


def validate_specification(
    kind: str, spec: typing.Any
) -> expression.Result[bytes, errors.Failure]:
    """Return ``spec`` as sorted JSON, or the path and fault of a field.

    Writers use this function. It rejects fields unknown to this version.
    """
    validator = _WRITER_VALIDATORS.get(kind)
    if validator is None:
        return expression.Error(
            errors.Failure("validate resource", kind, "unknown kind")
        )
    fault = _describe_fault(validator, spec)
    if fault:
        return expression.Error(
            errors.Failure("validate resource", kind, fault)
        )
    return expression.Ok(msgspec.json.encode(spec, order="sorted"))


def validate_change(record: bytes) -> expression.Result[None, errors.Failure]:
    """Check that the fold would not skip a change record.

    A skipped record has no outcome, so its writer would wait for one until it
    timed out.
    """
    try:
        fault = find_record_fault(msgspec.json.decode(record))
    except (msgspec.DecodeError, RecursionError) as error:
        fault = str(error)
    if fault:
        return expression.Error(errors.Failure("validate change", "", fault))
    return expression.Ok(None)
