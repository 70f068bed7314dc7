"""Identifiers of generations, which name their home.

The identifier ``target~incarnation~number~secret`` names the target whose
agent holds the generation, the run of that agent's process and a number
there, so any entry finds the home by the identifier alone and no table is
shared. The secret is a keyed digest of the other parts and the customer: it
makes identifiers of others impossible to guess, and a run of the agent that
never saw the request can still tell whose generation it is::

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
    "format_generation_id",
    "is_owner",
    "make_generation_id",
    "parse_generation_id",
)

_SECRET_DIGITS: typing.Final = 16
_PURPOSE: typing.Final = "generation"
_MAX_LENGTH: typing.Final = 256


class GenerationId(typing.NamedTuple):
    """The parts of an identifier."""

    target: str
    """Target whose agent holds the generation."""
    incarnation: str
    """Run of the agent's process; no other run may start it."""
    number: int
    """Number within the incarnation, from 1."""
    secret: str
    """Keyed digest of the other parts and the customer."""


def _make_secret(
    target: str, incarnation: str, number: int, customer: str, key: str
) -> str:
    # The customer's name comes last, since it alone may hold a separator.
    signed = f"{_PURPOSE}~{target}~{incarnation}~{number}~{customer}"
    digest = hmac.digest(key.encode(), signed.encode(), hashlib.sha256)
    return digest.hex()[:_SECRET_DIGITS]


def make_generation_id(
    target: str, incarnation: str, number: int, customer: str, key: str
) -> GenerationId:
    """Return the identifier of a customer's generation.

    ``key`` is shared by all processes of a deployment and by nobody else.
    """
    secret = _make_secret(target, incarnation, number, customer, key)
    return GenerationId(target, incarnation, number, secret)


def is_owner(identifier: GenerationId, customer: str, key: str) -> bool:
    """Tell whether the identifier was given out to a customer."""
    secret = _make_secret(
        identifier.target,
        identifier.incarnation,
        identifier.number,
        customer,
        key,
    )
    return hmac.compare_digest(identifier.secret.encode(), secret.encode())


def format_generation_id(identifier: GenerationId) -> str:
    """Return the text that callers see."""
    return (
        f"{identifier.target}~{identifier.incarnation}"
        f"~{identifier.number}~{identifier.secret}"
    )


def parse_generation_id(
    text: str,
) -> expression.Result[GenerationId, errors.Failure]:
    """Return the parts of ``text``, or why it is no identifier."""
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
