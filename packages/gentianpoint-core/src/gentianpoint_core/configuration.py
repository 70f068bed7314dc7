"""The configuration: a deterministic fold over the platform's log.

Operators' writes are records of one stream. Every process folds the records
in offset order by the same rules, so all processes agree which of two
concurrent writes was accepted, without a leader or a lock: the order of the
log decides. A writer learns the outcome of its write by reading the log.
"Following the leader: leadership election in XTDB 2.2" describes this scheme,
in which the first write wins.

The rules, in this order:

1. Data that is not a valid change record is skipped.
2. A change whose identifier was seen before has no effect.
3. A write whose base revision is not the resource's current revision is
   refused, as is the deletion of a resource that does not exist.
4. A specification that violates the frozen rules of ``schema/fold.json`` is
   refused.
5. A bearer key that belongs to another customer is refused.
6. Every other change is accepted, and the record's offset becomes the
   resource's revision.

Every version must apply the same rules, because processes of two versions
fold the same log during a rolling upgrade: docs/design/upgrades.md.
"""

from collections import abc
import hashlib
import heapq
import sys
import typing
import zlib

import expression
import msgspec

from gentianpoint_core import errors
from gentianpoint_core import resource_rules
from gentianpoint_core import specifications
from gentianpoint_core.generated import resources

__all__ = (
    "ANY_REVISION",
    "CONFIGURATION_STREAM",
    "CUSTOMER",
    "SERVICE",
    "ChangeOutcome",
    "Configuration",
    "Resource",
    "StateCopy",
    "digest_state",
    "encode_change",
    "encode_state",
    "list_page",
)

CONFIGURATION_STREAM: typing.Final = "configuration"
"""Name of the log stream that holds operators' writes."""
SERVICE: typing.Final = specifications.SERVICE
"""Kind of a service resource."""
CUSTOMER: typing.Final = specifications.CUSTOMER
"""Kind of a customer resource."""
ANY_REVISION: typing.Final = -1
"""Base revision of a write that applies whatever the current revision is."""
_ABSENT_REVISION: typing.Final = 0
"""Revision of a resource that does not exist."""
_OUTCOME_WINDOW: typing.Final = 4096
"""Number of offsets for which the outcome of a change is kept."""
_RECORD_VERSION: typing.Final = 1
"""Format version of the change records that this code writes."""
_BUCKETS: typing.Final = 64
"""Number of groups in which the resources are sorted for encoding."""


class Resource(typing.NamedTuple):
    """A declared resource."""

    kind: str
    """``service`` or ``customer``."""
    name: str
    """Name, unique within the kind."""
    revision: int
    """Offset of the last accepted record for this resource."""
    spec: bytes
    """Specification as JSON with sorted keys."""


class ChangeOutcome(typing.NamedTuple):
    """Whether one write was accepted, and the reason if it was not."""

    change: str
    """Identifier of the change."""
    offset: int
    """Offset of the first record with this identifier."""
    kind: str
    """Kind of the resource."""
    name: str
    """Name of the resource."""
    action: str
    """``put`` or ``delete``."""
    accepted: bool
    """True if the change took effect at this offset."""
    reason: str
    """Why it was refused; empty if accepted. Part of the encoded state."""


class StateCopy(typing.NamedTuple):
    """Immutable copy of a configuration at one offset."""

    offset: int
    """Offset of the last folded record."""
    resources: abc.Sequence[Resource]
    """All resources, in no particular order."""
    outcomes: abc.Sequence[ChangeOutcome]
    """The retained outcomes, oldest first."""


_RESOURCE_DECODER: typing.Final = msgspec.json.Decoder(Resource)
_OUTCOME_DECODER: typing.Final = msgspec.json.Decoder(ChangeOutcome)


def encode_change(
    change: str,
    action: typing.Literal["put", "delete"],
    kind: typing.Literal["service", "customer"],
    name: str,
    base: int,
    spec: abc.Mapping[str, typing.Any],
) -> bytes:
    """Return the bytes of a change record."""
    record: resources.ChangeRecord = {
        "version": _RECORD_VERSION,
        "change": change,
        "action": action,
        "kind": kind,
        "name": name,
        "base": base,
        "spec": dict(spec),
    }
    return msgspec.json.encode(record, order="sorted")


def _pack_digest(key_hash: str) -> bytes:
    """Return a hex digest as raw bytes, which take half the memory.

    Text that is not lower-case hex is encoded unchanged, so that different
    texts remain different keys. Otherwise the fold would refuse records that
    earlier versions accepted.
    """
    try:
        packed = bytes.fromhex(key_hash)
    except ValueError:
        return key_hash.encode()
    return packed if packed.hex() == key_hash else key_hash.encode()


class Configuration:
    """The state after folding all records up to an offset.

    The offset never decreases. Specifications are stored as JSON and decoded
    on use, which saves memory with tens of thousands of customers.
    """

    def __init__(self) -> None:
        """Create the empty state, before the first record."""
        self.offset = 0
        self._resources: typing.Final[
            abc.Mapping[str, dict[str, Resource]]
        ] = {SERVICE: {}, CUSTOMER: {}}
        self._outcomes: typing.Final[dict[str, ChangeOutcome]] = {}
        self._customer_by_key: typing.Final[dict[bytes, str]] = {}

    def find_resource(self, kind: str, name: str) -> typing.Optional[Resource]:
        """Return a resource, or None if it is not declared."""
        return self._resources[kind].get(name)

    def list_resources(self, kind: str) -> abc.Sequence[Resource]:
        """Return the resources of a kind, sorted by name."""
        return sorted(
            self._resources[kind].values(), key=lambda item: item.name
        )

    def find_outcome(self, change: str) -> typing.Optional[ChangeOutcome]:
        """Return the outcome of a change, or None if it is not retained."""
        return self._outcomes.get(change)

    def list_outcomes(self) -> abc.Sequence[ChangeOutcome]:
        """Return the retained outcomes, oldest first."""
        return tuple(self._outcomes.values())

    def find_oldest_watch_offset(self) -> int:
        """Return the lowest offset after which all outcomes are retained."""
        return max(0, self.offset - _OUTCOME_WINDOW)

    def find_customer(self, key_hash: str) -> typing.Optional[str]:
        """Return the customer that a key's digest belongs to.

        Looking up the digest instead of the key prevents timing attacks:
        a caller can't choose digests, so the duration of the look-up reveals
        nothing about the keys.
        """
        return self._customer_by_key.get(_pack_digest(key_hash))

    def apply_record(
        self, offset: int, data: bytes
    ) -> typing.Optional[ChangeOutcome]:
        """Fold one record and return its outcome, if it has one.

        Records at or below the current offset are ignored, so reading some
        records again can't move the state backwards.
        """
        if offset <= self.offset:
            return None
        self.offset = offset
        self._drop_expired_outcomes()
        record = self._decode_record(data)
        if record is None or record["change"] in self._outcomes:
            return None
        reason = self._check_change(record)
        outcome = ChangeOutcome(
            record["change"],
            offset,
            record["kind"],
            record["name"],
            record["action"],
            not reason,
            reason,
        )
        self._outcomes[outcome.change] = outcome
        if outcome.accepted:
            self._apply_change(record, offset)
        return outcome

    def _decode_record(
        self, data: bytes
    ) -> typing.Optional[resources.ChangeRecord]:
        try:
            record = msgspec.json.decode(data)
        except (msgspec.DecodeError, RecursionError):
            return None
        if resource_rules.find_record_fault(record):
            return None
        return typing.cast(resources.ChangeRecord, record)

    def _drop_expired_outcomes(self) -> None:
        # Expiry depends on offsets, not on the number of outcomes or on time,
        # so that every process drops an outcome at the same record.
        limit = self.offset - _OUTCOME_WINDOW
        while self._outcomes:
            oldest = next(iter(self._outcomes.values()))
            if oldest.offset > limit:
                return
            del self._outcomes[oldest.change]

    def _check_change(self, record: resources.ChangeRecord) -> str:
        current = self.find_resource(record["kind"], record["name"])
        revision = current.revision if current else _ABSENT_REVISION
        if record["base"] not in (ANY_REVISION, revision):
            return f"revision is {revision}, the write is based on " + str(
                record["base"]
            )
        if record["action"] == "delete":
            return "" if current else "no such resource"
        fault = resource_rules.find_fold_fault(record["kind"], record["spec"])
        if fault or record["kind"] != CUSTOMER:
            return fault
        for key_hash in record["spec"]["key_hashes"]:
            owner = self._customer_by_key.get(
                _pack_digest(key_hash), record["name"]
            )
            if owner != record["name"]:
                return "key_hashes: another customer has one of the keys"
        return ""

    def _apply_change(
        self, record: resources.ChangeRecord, offset: int
    ) -> None:
        resources_by_name = self._resources[record["kind"]]
        self._remove_keys(resources_by_name.pop(record["name"], None))
        if record["action"] == "delete":
            return
        resource = Resource(
            record["kind"],
            record["name"],
            offset,
            msgspec.json.encode(record["spec"], order="sorted"),
        )
        self._add_resource(resource)

    def _add_resource(self, resource: Resource) -> None:
        # Decoding creates a separate string object for each resource's kind;
        # interning shares one to save memory.
        resource = resource._replace(kind=sys.intern(resource.kind))
        self._resources[resource.kind][resource.name] = resource
        if resource.kind == CUSTOMER:
            customer = specifications.decode_customer(resource.spec)
            for key_hash in customer["key_hashes"]:
                self._customer_by_key[_pack_digest(key_hash)] = resource.name

    def _remove_keys(self, resource: typing.Optional[Resource]) -> None:
        if resource is None or resource.kind != CUSTOMER:
            return
        customer = specifications.decode_customer(resource.spec)
        for key_hash in customer["key_hashes"]:
            self._customer_by_key.pop(_pack_digest(key_hash), None)

    def copy_state(self) -> StateCopy:
        """Return a copy of the state that another thread can encode."""
        return StateCopy(
            self.offset,
            (
                *self._resources[SERVICE].values(),
                *self._resources[CUSTOMER].values(),
            ),
            tuple(self._outcomes.values()),
        )

    def encode_state(self) -> bytes:
        """Return the encoded state; see :func:`encode_state`."""
        return encode_state(self.copy_state())

    @classmethod
    def decode_state(
        cls, data: bytes
    ) -> expression.Result["Configuration", errors.Failure]:
        """Return the state encoded in ``data``, or why decoding failed."""
        state = cls()
        try:
            first, *lines = data.split(b"\n")
            offset, resource_count, outcome_count = _decode_counts(first)
            if len(lines) != resource_count + outcome_count:
                raise msgspec.DecodeError(
                    "the number of lines differs from the counts"
                )
            for line in lines[:resource_count]:
                state._add_resource(_RESOURCE_DECODER.decode(line))
            for line in lines[resource_count:]:
                outcome = _OUTCOME_DECODER.decode(line)
                state._outcomes[outcome.change] = outcome
        except (msgspec.DecodeError, RecursionError) as error:
            return expression.Error(
                errors.Failure("decode configuration", "", str(error))
            )
        state.offset = offset
        return expression.Ok(state)


def list_page(
    state: StateCopy, kind: str, after: str, limit: int
) -> abc.Sequence[Resource]:
    """Return up to ``limit`` resources of a kind, sorted by name.

    Only names that sort after ``after`` are included.
    """
    found = (
        item
        for item in state.resources
        if item.kind == kind and item.name > after
    )
    return heapq.nsmallest(limit, found, key=lambda item: item.name)


def _decode_counts(line: bytes) -> tuple[int, int, int]:
    return msgspec.json.decode(line, type=tuple[int, int, int])


def _split_into_buckets(
    resources: abc.Iterable[Resource],
) -> abc.Sequence[list[Resource]]:
    buckets: list[list[Resource]] = [[] for _ in range(_BUCKETS)]
    for resource in resources:
        buckets[zlib.crc32(resource.name.encode()) % _BUCKETS].append(resource)
    return buckets


def encode_state(state: StateCopy) -> bytes:
    """Return the encoded state, the same bytes in every process.

    The first line holds the counts; each resource and each outcome follows
    on a line of its own. A single call that sorts or encodes 48,000 customers
    holds the interpreter lock for up to 100 ms, even in another thread, and
    stalls every stream of the process for that time. Short calls let other
    threads run in between, so the resources are sorted in buckets, chosen by
    the checksum of their names.
    """
    counts = (state.offset, len(state.resources), len(state.outcomes))
    lines = [msgspec.json.encode(counts)]
    for bucket in _split_into_buckets(state.resources):
        lines += [msgspec.json.encode(item) for item in sorted(bucket)]
    lines += [msgspec.json.encode(item) for item in state.outcomes]
    return b"\n".join(lines)


def digest_state(data: bytes) -> str:
    """Return the SHA-256 digest in hex of an encoded state."""
    return hashlib.sha256(data).hexdigest()
