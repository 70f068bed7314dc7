"""Snapshots of the configuration: parts, digest and bounded decoding.

Records of the configuration stream expire. A snapshot carries the folded
state at one offset, so that a process which starts later needs only the
records after it. It is cut into parts that the log takes, and an entry of
the index tells where the parts are: a process that starts reads a few small
entries and the parts of one snapshot, never all that the log still holds.

A part may be missing, doubled or mixed with those of another writer; bytes
may be damaged. The digest of the whole encoded state decides.
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
"""Stream of the log that holds the parts of snapshots."""
INDEX_STREAM: typing.Final = "configuration-snapshot-index"
"""Stream of the log that tells where whole snapshots are."""
MAX_PART_BYTES: typing.Final = 256 * 1024
"""Most bytes of one record of the snapshot stream."""
_ENVELOPE_BYTES: typing.Final = 512
_MAX_STATE_BYTES: typing.Final = 256 * 1024 * 1024
_COMPRESSION_LEVEL: typing.Final = 1


class EncodedState(typing.NamedTuple):
    """A whole configuration as bytes."""

    offset: int
    """Configuration offset up to which records are folded in."""
    digest: str
    """SHA-256 digest in hex of ``data``."""
    data: bytes
    """The state as :func:`configuration.encode_state` wrote it."""


class SnapshotPart(typing.NamedTuple):
    """One record of the snapshot stream."""

    snapshot: str
    """Identifier of the snapshot that the part belongs to."""
    offset: int
    """Configuration offset of the snapshot."""
    part: int
    """Place of the part, from 0."""
    parts: int
    """Number of parts."""
    digest: str
    """SHA-256 digest in hex of the whole encoded state."""
    data: bytes
    """This part's share of the compressed state."""


class IndexEntry(typing.NamedTuple):
    """Where the log holds a whole snapshot."""

    snapshot: str
    """Identifier of the snapshot."""
    offset: int
    """Configuration offset of the snapshot."""
    digest: str
    """SHA-256 digest in hex of the whole encoded state."""
    first: int
    """Offset of the first part in the snapshot stream."""
    last: int
    """Offset of the last part in the snapshot stream."""


_Record = typing.TypeVar("_Record", SnapshotPart, IndexEntry)


def encode_state(state: configuration.StateCopy) -> EncodedState:
    """Return the bytes of a configuration, with offset and digest."""
    data = configuration.encode_state(state)
    return EncodedState(state.offset, configuration.digest_state(data), data)


def compress_state(data: bytes) -> bytes:
    """Return an encoded state compressed.

    The lowest level is taken: most of the state is digests of keys, which
    no level makes smaller.
    """
    return zlib.compress(data, _COMPRESSION_LEVEL)


def expand_state(
    packed: bytes, digest: str, peer: str
) -> expression.Result[configuration.Configuration, errors.Failure]:
    """Return the configuration in compressed bytes from ``peer``.

    Fails when the digest is not that of the state, so that damaged bytes
    never become a configuration, and when the state is beyond all measure,
    so that a few damaged bytes can't fill the memory.
    """
    step = "expand state"
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(packed, _MAX_STATE_BYTES)
    except zlib.error as error:
        return expression.Error(errors.Failure(step, peer, str(error)))
    if not inflater.eof:
        return expression.Error(
            errors.Failure(step, peer, "the state is cut off or too large")
        )
    if hashlib.sha256(data).hexdigest() != digest:
        return expression.Error(
            errors.Failure(step, peer, "the digest is wrong")
        )
    return configuration.Configuration.decode_state(data)


def split_state(state: EncodedState, snapshot: str) -> abc.Sequence[bytes]:
    """Return the records that carry ``state`` as the given snapshot."""
    packed = compress_state(state.data)
    share = MAX_PART_BYTES - _ENVELOPE_BYTES
    shares = [
        packed[start : start + share] for start in range(0, len(packed), share)
    ]
    return [
        encode_record(
            SnapshotPart(
                snapshot,
                state.offset,
                number,
                len(shares),
                state.digest,
                data,
            )
        )
        for number, data in enumerate(shares)
    ]


def encode_record(record: typing.Union[SnapshotPart, IndexEntry]) -> bytes:
    """Return the CBOR bytes of a part or an index entry."""
    return cbor2.dumps(record._asdict())


def _decode(data: bytes, expected: type[_Record]) -> typing.Optional[_Record]:
    try:
        fields = msgspec.convert(cbor2.loads(data), dict[str, typing.Any])
        values = [fields[name] for name in expected._fields]
        return msgspec.convert(values, expected)
    except Exception:  # Broken input must never end a process.
        return None


def decode_part(data: bytes) -> typing.Optional[SnapshotPart]:
    """Return the part in ``data``, or None when it holds none."""
    return _decode(data, SnapshotPart)


def decode_index_entry(data: bytes) -> typing.Optional[IndexEntry]:
    """Return the index entry in ``data``, or None when it holds none."""
    return _decode(data, IndexEntry)


def join_parts(
    entry: IndexEntry, records: abc.Iterable[bytes]
) -> expression.Result[configuration.Configuration, errors.Failure]:
    """Return the configuration of the snapshot that ``entry`` names.

    Parts of other snapshots, which another writer appended in between, are
    passed over, and so are parts that came twice.
    """
    shares: dict[int, bytes] = {}
    wanted = 1
    for data in records:
        part = decode_part(data)
        if part is not None and part.snapshot == entry.snapshot:
            wanted = part.parts
            shares[part.part] = part.data
    if sorted(shares) != list(range(wanted)):
        return expression.Error(
            errors.Failure(
                "join snapshot",
                entry.snapshot,
                f"{len(shares)} of {wanted} parts are there",
            )
        )
    packed = b"".join(shares[number] for number in range(wanted))
    return expand_state(packed, entry.digest, entry.snapshot)
