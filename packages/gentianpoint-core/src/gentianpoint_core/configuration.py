"""The configuration: a deterministic fold over the platform's log.

Operators' writes are records of one stream. Every process folds them in the
order of their offsets by the rule below, so that all agree which of two
racing writes was accepted, with no leader and no lock: the log is the
referee. The idea that first write wins and the loser learns it by reading is
described in "Following the leader: leadership election in XTDB 2.2".

The rule, in this order: bytes that are no change record are passed over; a
change whose identifier was seen before changes nothing; a specification that
breaks the frozen rules of ``schema/fold.json`` is refused; a write whose base
revision is not the resource's current one is refused; a bearer key that
another customer has is refused; all else is accepted, and the record's offset
becomes the revision. Nothing of it may differ between two versions, which
fold side by side while hosts are replaced: docs/design/upgrades.md.
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
"""Stream of the log that holds operators' writes."""
SERVICE: typing.Final = specifications.SERVICE
"""Kind of a service resource."""
CUSTOMER: typing.Final = specifications.CUSTOMER
"""Kind of a customer resource."""
ANY_REVISION: typing.Final = -1
"""Base revision of a write that replaces whatever is there."""
_ABSENT: typing.Final = 0
_KEPT_OUTCOMES: typing.Final = 4096
_RECORD_VERSION: typing.Final = 1
_BUCKETS: typing.Final = 64


class Resource(typing.NamedTuple):
    """A declared resource."""

    kind: str
    """``service`` or ``customer``."""
    name: str
    """Name, unique within the kind."""
    revision: int
    """Offset of the record that was accepted last."""
    spec: bytes
    """Specification as JSON with sorted keys."""


class ChangeOutcome(typing.NamedTuple):
    """What became of one write."""

    change: str
    """Identifier of the change."""
    offset: int
    """Offset of its first record."""
    kind: str
    """Kind of the resource."""
    name: str
    """Name of the resource."""
    action: str
    """``put`` or ``delete``."""
    accepted: bool
    """True when it is in force from this offset on."""
    reason: str
    """Why it was refused; empty when accepted."""


class StateCopy(typing.NamedTuple):
    """A configuration at one offset, which nothing changes any more."""

    offset: int
    """Offset up to which records are folded in."""
    resources: abc.Sequence[Resource]
    """All resources, in no order."""
    outcomes: abc.Sequence[ChangeOutcome]
    """The outcomes still kept, oldest first."""


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
    """Return a digest in hex as its bytes, which take half the memory.

    Text that is no plain hex is kept as it is: two texts stay two keys, or
    the fold would refuse what processes before this one accepted.
    """
    try:
        packed = bytes.fromhex(key_hash)
    except ValueError:
        return key_hash.encode()
    return packed if packed.hex() == key_hash else key_hash.encode()


class Configuration:
    """The state after all records up to an offset.

    The offset only grows. Specifications are kept as JSON and decoded when
    used, which keeps tens of thousands of customers small.
    """

    def __init__(self) -> None:
        """Make the state before the first record."""
        self.offset = 0
        self._resources: typing.Final[
            abc.Mapping[str, dict[str, Resource]]
        ] = {SERVICE: {}, CUSTOMER: {}}
        self._outcomes: typing.Final[dict[str, ChangeOutcome]] = {}
        self._customer_of_key: typing.Final[dict[bytes, str]] = {}

    def find_resource(self, kind: str, name: str) -> typing.Optional[Resource]:
        """Return a resource, or None when it is not declared."""
        return self._resources[kind].get(name)

    def list_resources(self, kind: str) -> abc.Sequence[Resource]:
        """Return the resources of a kind in the order of their names."""
        return sorted(
            self._resources[kind].values(), key=lambda item: item.name
        )

    def find_outcome(self, change: str) -> typing.Optional[ChangeOutcome]:
        """Return what became of a change, or None when it is not known."""
        return self._outcomes.get(change)

    def list_outcomes(self) -> abc.Sequence[ChangeOutcome]:
        """Return the outcomes still kept, oldest first."""
        return tuple(self._outcomes.values())

    def find_oldest_watch_offset(self) -> int:
        """Return the lowest offset after which all outcomes are kept."""
        return max(0, self.offset - _KEPT_OUTCOMES)

    def find_customer(self, key_hash: str) -> typing.Optional[str]:
        """Return the customer that a key's digest belongs to.

        The digest is looked up, never the key: how long a look-up takes
        tells nothing about keys, since digests can't be chosen.
        """
        return self._customer_of_key.get(_pack_digest(key_hash))

    def apply_record(
        self, offset: int, data: bytes
    ) -> typing.Optional[ChangeOutcome]:
        """Fold one record and return its outcome, if it has one.

        Records at or below the current offset change nothing, so that a
        process which reads some of them again can't move backwards.
        """
        if offset <= self.offset:
            return None
        self.offset = offset
        self._forget_old_outcomes()
        record = self._decode_record(data)
        if record is None or record["change"] in self._outcomes:
            return None
        reason = self._find_reason_to_refuse(record)
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
            self._put_in_force(record, offset)
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

    def _forget_old_outcomes(self) -> None:
        # The rule counts offsets, not entries or time, so that every process
        # forgets a change at the same record and the fold stays the same.
        limit = self.offset - _KEPT_OUTCOMES
        while self._outcomes:
            oldest = next(iter(self._outcomes.values()))
            if oldest.offset > limit:
                return
            del self._outcomes[oldest.change]

    def _find_reason_to_refuse(self, record: resources.ChangeRecord) -> str:
        current = self.find_resource(record["kind"], record["name"])
        revision = current.revision if current else _ABSENT
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
            owner = self._customer_of_key.get(
                _pack_digest(key_hash), record["name"]
            )
            if owner != record["name"]:
                return "key_hashes: another customer has one of the keys"
        return ""

    def _put_in_force(
        self, record: resources.ChangeRecord, offset: int
    ) -> None:
        named = self._resources[record["kind"]]
        self._forget_keys(named.pop(record["name"], None))
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
        # A kind that was decoded is a string of its own for each resource.
        resource = resource._replace(kind=sys.intern(resource.kind))
        self._resources[resource.kind][resource.name] = resource
        if resource.kind == CUSTOMER:
            customer = specifications.decode_customer(resource.spec)
            for key_hash in customer["key_hashes"]:
                self._customer_of_key[_pack_digest(key_hash)] = resource.name

    def _forget_keys(self, resource: typing.Optional[Resource]) -> None:
        if resource is None or resource.kind != CUSTOMER:
            return
        customer = specifications.decode_customer(resource.spec)
        for key_hash in customer["key_hashes"]:
            self._customer_of_key.pop(_pack_digest(key_hash), None)

    def copy_state(self) -> StateCopy:
        """Return the state as it is now, for a thread to encode."""
        return StateCopy(
            self.offset,
            (
                *self._resources[SERVICE].values(),
                *self._resources[CUSTOMER].values(),
            ),
            tuple(self._outcomes.values()),
        )

    def encode_state(self) -> bytes:
        """Return the whole state at once; see :func:`encode_state`."""
        return encode_state(self.copy_state())

    @classmethod
    def decode_state(
        cls, data: bytes
    ) -> expression.Result["Configuration", errors.Failure]:
        """Return the state in ``data``, or why there is none."""
        state = cls()
        try:
            first, *lines = data.split(b"\n")
            offset, kept, rest = _decode_counts(first)
            if len(lines) != kept + rest:
                raise msgspec.DecodeError("lines are missing")
            for line in lines[:kept]:
                state._add_resource(_RESOURCE_DECODER.decode(line))
            for line in lines[kept:]:
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
    """Return up to ``limit`` resources of a kind, by name above ``after``."""
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
    """Return the whole state, the same bytes in every process.

    A line each for the counts, every resource and every outcome. One call
    that sorts or encodes 48,000 customers holds the interpreter for up to
    100 ms, also in a thread, and every stream of the process would stall as
    long; small calls let others in between. So the resources are sorted in
    buckets by the checksums of their names.
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
