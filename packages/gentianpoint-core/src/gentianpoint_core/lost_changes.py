"""Finds changes that the log has lost and that are still in force here.

A log that comes back from an older copy lacks the last changes, and gives
their offsets out again. A process that had folded them writes them into the
log again, under their identifiers: the fold takes a change once, whoever
writes it. One that somebody has replaced since is refused for its base.
"""

from collections import abc
import typing

import msgspec

from gentianpoint_core import configuration

__all__ = ("find_common_offset", "list_lost_changes")

_ABSENT: typing.Final = 0
"""Revision of a resource that does not exist."""


def find_common_offset(
    known: configuration.Configuration, found: configuration.Configuration
) -> int:
    """Return the offset up to which two states folded the same records.

    ``found`` is the state of the log as it came back. Only as many outcomes
    as a state retains can be compared; what is older counts as the same.
    """
    common = min(known.offset, found.offset)
    for outcome in known.list_outcomes():
        if outcome.offset > common:
            break
        other = found.find_outcome(outcome.change)
        if other is None or other.offset != outcome.offset:
            return outcome.offset - 1
    return common


def list_lost_changes(
    known: configuration.Configuration, found: configuration.Configuration
) -> abc.Sequence[bytes]:
    """Return the records of changes in ``known`` that ``found`` lacks.

    Each is the last accepted change of its resource, based on the revision
    that the resource has in ``found``. A change whose resource was written
    since the log came back is left out.
    """
    common = find_common_offset(known, found)
    last: dict[tuple[str, str], configuration.ChangeOutcome] = {}
    for outcome in known.list_outcomes():
        if outcome.offset > common and outcome.accepted:
            last[outcome.kind, outcome.name] = outcome
    records = []
    for outcome in sorted(last.values(), key=lambda item: item.offset):
        current = found.find_resource(outcome.kind, outcome.name)
        revision = current.revision if current else _ABSENT
        if revision > common or found.find_outcome(outcome.change):
            continue
        resource = known.find_resource(outcome.kind, outcome.name)
        if resource is None and current is None:
            continue
        records.append(
            configuration.encode_change(
                outcome.change,
                "delete" if resource is None else "put",
                typing.cast(typing.Any, outcome.kind),
                outcome.name,
                revision,
                msgspec.json.decode(resource.spec) if resource else {},
            )
        )
    return records
