"""Identifiers of generations, which name their home.

The identifier ``target~incarnation~number~secret`` names the target whose
agent holds the generation, the run of that agent's process and a number
there, so any entry finds the home by the identifier alone and no table is
shared. The secret makes identifiers of others impossible to guess; the agent
checks the customer besides.
"""

import secrets
import typing

import expression

from gentianpoint_core import errors

__all__ = (
    "GenerationId",
    "format_generation_id",
    "make_generation_id",
    "parse_generation_id",
)

_SECRET_BYTES: typing.Final = 8
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
    """Random text."""


def make_generation_id(
    target: str, incarnation: str, number: int
) -> GenerationId:
    """Return a new identifier with a random secret."""
    secret = secrets.token_hex(_SECRET_BYTES)
    return GenerationId(target, incarnation, number, secret)


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
