"""Digests of requests, which are the same for each attempt at one."""

import hashlib
import struct
import typing

import cbor2

from gentianpoint_core.generated import messages

__all__ = (
    "PART_PREFIX",
    "digest_content",
    "digest_parts",
    "digest_prompt_part",
    "digest_request",
)

PART_PREFIX: typing.Final = "part~"
"""Start of the digests of parts of prompts, which tells them from those of
whole requests."""
_PART_BYTES: typing.Final = 10
"""Length of the digests of parts, in bytes."""
_CBOR_BYTES: typing.Final = 0x40
"""Major type of byte strings, see RFC 8949, section 3."""
_CBOR_SHORT: typing.Final = 24
"""Length from which on it does not stand beside the major type."""
_CBOR_LENGTHS: typing.Final = ((24, "B"), (25, "H"), (26, "I"), (27, "Q"))
"""Codes of longer lengths, and the forms in which those follow."""
_DIGEST_BYTES: typing.Final = 20
"""Length of the truncated SHA-256 digests, in bytes."""


def digest_parts(parts: typing.Sequence[typing.Any]) -> bytes:
    """Return the digest of a sequence of values."""
    # CBOR delimits the parts. With plain concatenation, different pairs of
    # customer and key could have the same digest.
    digest = hashlib.sha256(cbor2.dumps(list(parts[:-1]) + [b""])[:-1])
    # The last part can be a long body, which is not copied.
    last = parts[-1]
    if isinstance(last, (bytes, bytearray)):
        digest.update(_encode_bytes_head(len(last)))
        digest.update(last)
    else:
        digest.update(cbor2.dumps(last))
    return digest.digest()[:_DIGEST_BYTES]


def _encode_bytes_head(length: int) -> bytes:
    """Return what precedes a byte string of a length in CBOR."""
    if length < _CBOR_SHORT:
        return bytes((_CBOR_BYTES | length,))
    for code, form in _CBOR_LENGTHS:
        if length < 1 << 8 * struct.calcsize(form):
            return struct.pack(f">B{form}", _CBOR_BYTES | code, length)
    raise ValueError("the byte string is too long")


def digest_prompt_part(service: str, name: str) -> str:
    """Return the digest by which a part of a service's prompts is known."""
    return PART_PREFIX + digest_parts((service, name))[:_PART_BYTES].hex()


def digest_request(service: str, request: messages.Request) -> bytes:
    """Return the digest of a request to a service.

    The headers of plain calls are left out, since proxies in front of the
    entry may add different ones to a repeated request.
    """
    parts = (
        service,
        request["kind"],
        request["prompt"],
        request["max_tokens"],
        request["method"],
        request["path"],
        request["body"],
    )
    return digest_parts(parts)


def digest_content(
    customer: str, service: str, request: messages.Request
) -> str:
    """Return the digest by which a customer's request is recognized."""
    return digest_parts((customer, digest_request(service, request))).hex()
