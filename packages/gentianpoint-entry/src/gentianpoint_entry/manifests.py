"""Files in which operators declare resources.

A file holds YAML documents, or JSON, which is YAML too::

    kind: service
    name: modelo-taller
    spec:
      kind: model
      customers: ["*"]

A ``base`` makes the write depend on a revision: 0 when the resource must not
exist yet.
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
    """Return the resources in ``text``, or the first document's fault.

    ``source`` names the file in the failure; nothing is taken from a file
    of which one document is broken.
    """
    manifests: list[Manifest] = []
    try:
        documents = [item for item in yaml.safe_load_all(text) if item]
    except (yaml.YAMLError, RecursionError) as error:
        return _fail(source, " ".join(str(error).split()))
    for number, document in enumerate(documents, start=1):
        place = f"{source}, document {number}"
        try:
            manifest = msgspec.convert(document, Manifest)
        except (msgspec.ValidationError, RecursionError) as error:
            return _fail(place, str(error))
        checked = resource_rules.validate_specification(
            manifest.kind, manifest.spec
        )
        if checked.is_error():
            return _fail(place, checked.error.reason)
        manifests.append(manifest)
    if not manifests:
        return _fail(source, "there is no document in it")
    return expression.Ok(manifests)
