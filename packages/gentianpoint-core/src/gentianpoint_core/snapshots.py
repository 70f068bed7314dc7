"""Snapshots of the configuration in the platform's log.

Records of the configuration stream expire. A snapshot holds the folded state
at one offset, so a process that starts later needs only the records after
it. Each snapshot is split into parts that fit into a log record, and an index
entry gives the offsets of the parts. A starting process reads a few small
index entries and the parts of one snapshot instead of everything that the log
retains.

Parts may be missing, duplicated or interleaved with those of another writer,
and data may be corrupt. The digest of the complete encoded state detects it.
"""

from collections import abc
import hashlib
import typing
import zlib

import cbor2
import expression
import msgspec

from gentianpoint_core import configuration
from gentianpoint_core import errors

__all__ = (
    "INDEX_STREAM",
    "MAX_PART_BYTES",
    "SNAPSHOT_STREAM",
    "EncodedState",
    "IndexEntry",
    "SnapshotPart",
    "compress_state",
    "decode_index_entry",
    "decode_part",
    "encode_record",
    "encode_state",
    "expand_state",
    "join_parts",
    "split_state",
)

SNAPSHOT_STREAM: typing.Final = "configuration-snapshots"
"""Name of the log stream that holds the parts of snapshots."""
INDEX_STREAM: typing.Final = "configuration-snapshot-index"
"""Name of the log stream that locates complete snapshots."""
MAX_PART_BYTES: typing.Final = 256 * 1024
"""Largest record of the snapshot stream, in bytes."""
_ENVELOPE_BYTES: typing.Final = 512
"""Space in a record that is reserved for the fields beside ``data``."""
_MAX_STATE_BYTES: typing.Final = 256 * 1024 * 1024
"""Largest decompressed state, in bytes."""
_COMPRESSION_LEVEL: typing.Final = 1


class EncodedState(typing.NamedTuple):
    """A complete configuration as bytes."""

    offset: int
    """Configuration offset of the last folded record."""
    digest: str
    """SHA-256 digest in hex of ``data``."""
    data: bytes
    """State as encoded by :func:`configuration.encode_state`."""


class SnapshotPart(typing.NamedTuple):
    """One record of the snapshot stream."""

    snapshot: str
    """Identifier of the snapshot to which the part belongs."""
    offset: int
    """Configuration offset of the snapshot."""
    part: int
    """Index of the part, from 0."""
    parts: int
    """Number of parts of the snapshot."""
    digest: str
    """SHA-256 digest in hex of the complete encoded state."""
    data: bytes
    """Section of the compressed state in this part."""


class IndexEntry(typing.NamedTuple):
    """Location of a complete snapshot in the log."""

    snapshot: str
    """Identifier of the snapshot."""
    offset: int
    """Configuration offset of the snapshot."""
    digest: str
    """SHA-256 digest in hex of the complete encoded state."""
    first: int
    """Offset of the first part in the snapshot stream."""
    last: int
    """Offset of the last part in the snapshot stream."""


_Record = typing.TypeVar("_Record", SnapshotPart, IndexEntry)


def encode_state(state: configuration.StateCopy) -> EncodedState:
    """Return an encoded configuration with its offset and digest."""
    data = configuration.encode_state(state)
    return EncodedState(state.offset, configuration.digest_state(data), data)


def compress_state(data: bytes) -> bytes:
    """Return the compressed form of an encoded state.

    The lowest level is used, because most of the state is digests of keys,
    which higher levels do not compress further.
    """
    return zlib.compress(data, _COMPRESSION_LEVEL)


def expand_state(
    packed: bytes, digest: str, peer: str
) -> expression.Result[configuration.Configuration, errors.Failure]:
    """Return the configuration in compressed bytes from ``peer``.

    Fails if the digest does not match, so that corrupt data never becomes a
    configuration. Also fails if the decompressed state exceeds a fixed size,
    so that a small amount of corrupt data can't exhaust the memory.
    """
    step = "expand state"
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, _MAX_STATE_BYTES)
    except zlib.error as error:
        return expression.Error(errors.Failure(step, peer, str(error)))
    if not decompressor.eof:
        return expression.Error(
            errors.Failure(step, peer, "the state is cut off or too large")
        )
    if hashlib.sha256(data).hexdigest() != digest:
        return expression.Error(
            errors.Failure(step, peer, "the digest is wrong")
        )
    return configuration.Configuration.decode_state(data)


def split_state(state: EncodedState, snapshot: str) -> abc.Sequence[bytes]:
    """Return the records that store ``state`` as the given snapshot."""
    packed = compress_state(state.data)
    section_bytes = MAX_PART_BYTES - _ENVELOPE_BYTES
    sections = [
        packed[start : start + section_bytes]
        for start in range(0, len(packed), section_bytes)
    ]
    return [
        encode_record(
            SnapshotPart(
                snapshot,
                state.offset,
                number,
                len(sections),
                state.digest,
                data,
            )
        )
        for number, data in enumerate(sections)
    ]


def encode_record(record: typing.Union[SnapshotPart, IndexEntry]) -> bytes:
    """Return the CBOR bytes of a part or an index entry."""
    return cbor2.dumps(record._asdict())


def _decode(data: bytes, expected: type[_Record]) -> typing.Optional[_Record]:
    try:
        fields = msgspec.convert(cbor2.loads(data), dict[str, typing.Any])
        values = [fields[name] for name in expected._fields]
        return msgspec.convert(values, expected)
    except Exception:  # Invalid input must never stop a process.
        return None


def decode_part(data: bytes) -> typing.Optional[SnapshotPart]:
    """Return the part in ``data``, or None if it is not a valid part."""
    return _decode(data, SnapshotPart)


def decode_index_entry(data: bytes) -> typing.Optional[IndexEntry]:
    """Return the index entry in ``data``, or None if it is not valid."""
    return _decode(data, IndexEntry)


def join_parts(
    entry: IndexEntry, records: abc.Iterable[bytes]
) -> expression.Result[configuration.Configuration, errors.Failure]:
    """Return the configuration of the snapshot that ``entry`` names.

    Skips parts of other snapshots, which another writer may have appended in
    between, and duplicates.
    """
    sections: dict[int, bytes] = {}
    part_count = 1
    for data in records:
        part = decode_part(data)
        if part is not None and part.snapshot == entry.snapshot:
            part_count = part.parts
            sections[part.part] = part.data
    if sorted(sections) != list(range(part_count)):
        return expression.Error(
            errors.Failure(
                "join snapshot",
                entry.snapshot,
                f"{len(sections)} of {part_count} parts are there",
            )
        )
    packed = b"".join(sections[number] for number in range(part_count))
    return expand_state(packed, entry.digest, entry.snapshot)
