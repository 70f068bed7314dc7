"""Digests of requests, which are the same for each attempt at one."""

import hashlib
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
_DIGEST_BYTES: typing.Final = 20
"""Length of the truncated SHA-256 digests, in bytes."""


def digest_parts(parts: typing.Sequence[typing.Any]) -> bytes:
    """Return the digest of a sequence of values."""
    # CBOR delimits the parts. With plain concatenation, different pairs of
    # customer and key could have the same digest.
    return hashlib.sha256(cbor2.dumps(list(parts))).digest()[:_DIGEST_BYTES]


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
