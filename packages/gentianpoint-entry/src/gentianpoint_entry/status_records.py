"""Records with which entries report which configuration is in force.

A record has the offset of an entry, and the agents connected to it that have
at least this offset; lagging agents are left out. Agents are identified by
short digests to keep the records small: an entry has up to a hundred agents,
and 380 entries write such a record after each change.
"""

from collections import abc
import typing

import cbor2
import msgspec
import xxhash

__all__ = (
    "STATUS_STREAM",
    "StatusRecord",
    "decode_status",
    "digest_name",
    "encode_status",
    "list_digests",
    "make_status",
)

STATUS_STREAM: typing.Final = "configuration-status"
"""Stream of the log that holds the records."""
_DIGEST_BYTES: typing.Final = 5
"""Length of a digest, bytes."""


class StatusRecord(typing.NamedTuple):
    """The configuration in force at an entry and at its agents."""

    host: str
    """Name of the entry's host."""
    offset: int
    """Configuration offset in force at the entry and the listed agents."""
    agents: bytes
    """Digests of the agents' host names, sorted and concatenated."""


def digest_name(host: str) -> bytes:
    """Return the digest that identifies an agent's host.

    With five bytes, two of 2,700 names collide in one of about 300,000
    deployments. One of the two hosts would then count as up to date when the
    other one is.
    """
    return xxhash.xxh64_digest(host.encode())[:_DIGEST_BYTES]


def make_status(
    host: str, offset: int, agents: abc.Iterable[str]
) -> StatusRecord:
    """Return the record of an entry and its agents' host names."""
    digests = sorted(digest_name(agent) for agent in agents)
    return StatusRecord(host, offset, b"".join(digests))


def encode_status(record: StatusRecord) -> bytes:
    """Return the CBOR bytes of a record."""
    return cbor2.dumps(list(record))


def decode_status(data: bytes) -> typing.Optional[StatusRecord]:
    """Return the record in ``data``, or None if it is malformed."""
    try:
        return msgspec.convert(cbor2.loads(data), StatusRecord)
    except Exception:  # Malformed input must not end the process.
        return None


def list_digests(record: StatusRecord) -> abc.Iterator[bytes]:
    """Yield the digests of the agents in a record."""
    for start in range(0, len(record.agents), _DIGEST_BYTES):
        yield record.agents[start : start + _DIGEST_BYTES]
