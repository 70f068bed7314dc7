"""Parses the files in which operators declare resources.

A file holds YAML documents; JSON is accepted because it is valid YAML::

    kind: service
    name: modelo-taller
    spec:
      kind: model
      customers: ["*"]

With ``base`` the write succeeds only if the resource has that revision; 0
means that it must not exist yet.
"""

from collections import abc
import typing

import expression
import msgspec
import yaml

from gentianpoint_core import configuration
from gentianpoint_core import errors
from gentianpoint_core import resource_rules

__all__ = ("Manifest", "parse_manifests")


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One declared resource."""

    kind: typing.Literal["service", "customer"]
    name: str
    spec: dict[str, typing.Any]
    base: int = configuration.ANY_REVISION


def _fail(
    source: str, reason: str
) -> expression.Result[abc.Sequence[Manifest], errors.Failure]:
    return expression.Error(errors.Failure("read manifest", source, reason))


def parse_manifests(
    text: str, source: str
) -> expression.Result[abc.Sequence[Manifest], errors.Failure]:
    """Return the resources in ``text``, or the first problem found.

    ``source`` names the file in the failure. If one document is invalid, no
    resource of the file is returned.
    """
    manifests: list[Manifest] = []
    try:
        documents = [item for item in yaml.safe_load_all(text) if item]
    except (yaml.YAMLError, RecursionError) as error:
        return _fail(source, " ".join(str(error).split()))
    for number, document in enumerate(documents, start=1):
        location = f"{source}, document {number}"
        try:
            manifest = msgspec.convert(document, Manifest)
        except (msgspec.ValidationError, RecursionError) as error:
            return _fail(location, str(error))
        checked = resource_rules.validate_specification(
            manifest.kind, manifest.spec
        )
        if checked.is_error():
            return _fail(location, checked.error.reason)
        manifests.append(manifest)
    if not manifests:
        return _fail(source, "the file contains no document")
    return expression.Ok(manifests)
