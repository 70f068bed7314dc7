"""Identifiers of generations, from which any entry can find the agent.

The identifier ``target~incarnation~number~secret`` names the target whose
agent holds the generation, the run of that agent's process and a number
within the run. Any entry finds the agent by the identifier alone, without a
shared table. The secret is a keyed digest of the other parts and the customer.
It makes the identifiers of other customers impossible to guess, and lets a
restarted agent that never saw the request verify whose generation it is. A
digest of the version of the target's software may follow the secret, so that
a restarted agent does not go on with what another version began::

    identifier = make_generation_id("target-1", "a1", 1, "rebobinados", key)
    assert is_owner(identifier, "rebobinados", key)
"""

import hashlib
import hmac
import typing

import expression

from gentianpoint_core import errors

__all__ = (
    "GenerationId",
    "digest_software",
    "format_generation_id",
    "is_owner",
    "make_generation_id",
    "parse_generation_id",
)

_SECRET_DIGITS: typing.Final = 16
"""Number of hex digits of the digest in an identifier."""
_SOFTWARE_DIGITS: typing.Final = 8
"""Number of hex digits of the digest of a version of software."""
_PURPOSE: typing.Final = "generation"
"""Prefix of the signed text, which separates it from other uses of the key."""
_MAX_LENGTH: typing.Final = 256
"""Largest accepted length of an identifier, in characters."""


class GenerationId(typing.NamedTuple):
    """The parts of an identifier."""

    target: str
    """Target whose agent holds the generation."""
    incarnation: str
    """Run of the agent's process; only this run may start the generation."""
    number: int
    """Number within the incarnation, from 1."""
    secret: str
    """Keyed digest of the other parts and the customer, and the digest of the
    target's software if its version is known."""

    @property
    def software_digest(self) -> str:
        """The digest of the target's software, empty if there is none."""
        return self.secret[_SECRET_DIGITS:]


def digest_software(software: str) -> str:
    """Return the digest of a version of software, empty for none.

    >>> digest_software("") == ""
    True
    """
    if not software:
        return ""
    digest = hashlib.sha256(software.encode("utf-8", "surrogateescape"))
    return digest.hexdigest()[:_SOFTWARE_DIGITS]


def _make_secret(
    target: str,
    incarnation: str,
    number: int,
    customer: str,
    key: str,
    software_digest: str,
) -> str:
    purpose = _PURPOSE
    if software_digest:
        purpose = f"{_PURPOSE}~{software_digest}"
    # The customer's name comes last, since only it may contain a separator.
    signed = f"{purpose}~{target}~{incarnation}~{number}~{customer}"
    digest = hmac.digest(key.encode(), signed.encode(), hashlib.sha256)
    return digest.hex()[:_SECRET_DIGITS] + software_digest


def make_generation_id(
    target: str,
    incarnation: str,
    number: int,
    customer: str,
    key: str,
    software: str = "",
) -> GenerationId:
    """Return the identifier of a customer's generation.

    ``key`` is a secret shared by all processes of a deployment. ``software``
    is the version of the target's software, empty if it is not known.
    """
    secret = _make_secret(
        target, incarnation, number, customer, key, digest_software(software)
    )
    return GenerationId(target, incarnation, number, secret)


def is_owner(identifier: GenerationId, customer: str, key: str) -> bool:
    """Return whether the identifier was issued to a customer."""
    secret = _make_secret(
        identifier.target,
        identifier.incarnation,
        identifier.number,
        customer,
        key,
        identifier.software_digest,
    )
    return hmac.compare_digest(identifier.secret.encode(), secret.encode())


def format_generation_id(identifier: GenerationId) -> str:
    """Return the text form that callers receive."""
    return (
        f"{identifier.target}~{identifier.incarnation}"
        f"~{identifier.number}~{identifier.secret}"
    )


def parse_generation_id(
    text: str,
) -> expression.Result[GenerationId, errors.Failure]:
    """Return the parts of ``text``, or why it is not an identifier."""
    parts = text.split("~")
    if len(text) > _MAX_LENGTH or len(parts) != 4 or not all(parts):
        return expression.Error(
            errors.Failure("parse generation id", "", "not of four parts")
        )
    target, incarnation, number, secret = parts
    if not number.isdecimal() or not number.isascii():
        return expression.Error(
            errors.Failure("parse generation id", target, "no number")
        )
    return expression.Ok(
        GenerationId(target, incarnation, int(number), secret)
    )
