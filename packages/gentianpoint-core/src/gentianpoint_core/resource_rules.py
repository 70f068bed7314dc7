"""What records and specifications are checked against, and by whom.

There are two sets of rules. A writer checks a specification against
``schema/resources.json``, which grows from version to version and refuses
fields that it does not know, since they are mistyped more often than new.
The fold checks against ``schema/fold.json``, which never changes: while
hosts are replaced one by one, processes of two versions fold the same
records, and a record that one accepts and the other refuses would leave them
with different configurations for good, without anyone noticing. So the fold
lets unknown fields pass, and readers ignore what they can't read, see
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


_WRITER_RULES: typing.Final = {
    kind: _make_validator(resource_schema.RESOURCE_SCHEMA, definition)
    for kind, definition in _DEFINITIONS.items()
}
_FOLD_RULES: typing.Final = {
    kind: _make_validator(fold_schema.FOLD_SCHEMA, definition)
    for kind, definition in _DEFINITIONS.items()
}
_RECORD_RULE: typing.Final = _make_validator(
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
    """Return why the fold passes over a decoded record; empty if not."""
    return _describe_fault(_RECORD_RULE, record)


def find_fold_fault(kind: str, spec: typing.Any) -> str:
    """Return why the fold refuses a specification; empty if it does not."""
    return _describe_fault(_FOLD_RULES[kind], spec)


def validate_specification(
    kind: str, spec: typing.Any
) -> expression.Result[bytes, errors.Failure]:
    """Return ``spec`` as sorted JSON, or the field's path and the reason.

    For writers: a field that this version does not know is refused.
    """
    validator = _WRITER_RULES.get(kind)
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
    """Tell why the fold would pass over a change record, if it would.

    Such a record has no outcome: its writer would wait for one in vain.
    """
    try:
        fault = find_record_fault(msgspec.json.decode(record))
    except (msgspec.DecodeError, RecursionError) as error:
        fault = str(error)
    if fault:
        return expression.Error(errors.Failure("validate change", "", fault))
    return expression.Ok(None)
