"""The specifications by name, for tests and for the report."""

from collections import abc
import typing

import minicheck

from spec import claims
from spec import configuration
from spec import dispatch
from spec import dispatch_state
from spec import fencing
from spec import moves
from spec import turns

__all__ = ("SPECIFICATIONS", "Specification")


class Specification(typing.NamedTuple):
    """A specification, its scopes and its guards."""

    scopes: tuple[str, ...]
    """Names of the scopes that are checked."""
    guards: tuple[str, ...]
    """Names of the guards that can be taken out."""
    build: abc.Callable[[str, typing.Optional[str]], minicheck.Protocol]
    """Makes the model for a scope, without a guard if one is named."""


def _build_dispatch(
    scope: str, without: typing.Optional[str]
) -> minicheck.Protocol:
    guard = None if without is None else dispatch_state.Guard(without)
    return dispatch.build_dispatch(dispatch.SCOPES[scope], guard)


def _build_configuration(
    scope: str, without: typing.Optional[str]
) -> minicheck.Protocol:
    guard = None if without is None else configuration.Guard(without)
    return configuration.build_configuration(
        configuration.SCOPES[scope], guard
    )


def _build_fencing(
    scope: str, without: typing.Optional[str]
) -> minicheck.Protocol:
    guard = None if without is None else fencing.Guard(without)
    return fencing.build_fencing(fencing.SCOPES[scope], guard)


def _build_turns(
    scope: str, without: typing.Optional[str]
) -> minicheck.Protocol:
    guard = None if without is None else turns.Guard(without)
    return turns.build_turns(turns.SCOPES[scope], guard)


def _build_moves(
    scope: str, without: typing.Optional[str]
) -> minicheck.Protocol:
    guard = None if without is None else moves.Guard(without)
    return moves.build_moves(moves.SCOPES[scope], guard)


def _build_claims(
    scope: str, without: typing.Optional[str]
) -> minicheck.Protocol:
    guard = None if without is None else claims.Guard(without)
    return claims.build_claims(claims.SCOPES[scope], guard)


SPECIFICATIONS: typing.Final[typing.Mapping[str, Specification]] = {
    "dispatch": Specification(
        tuple(dispatch.SCOPES),
        tuple(dispatch_state.Guard),
        _build_dispatch,
    ),
    "configuration": Specification(
        tuple(configuration.SCOPES),
        tuple(configuration.Guard),
        _build_configuration,
    ),
    "fencing": Specification(
        tuple(fencing.SCOPES), tuple(fencing.Guard), _build_fencing
    ),
    "turns": Specification(
        tuple(turns.SCOPES), tuple(turns.Guard), _build_turns
    ),
    "moves": Specification(
        tuple(moves.SCOPES), tuple(moves.Guard), _build_moves
    ),
    "claims": Specification(
        tuple(claims.SCOPES), tuple(claims.Guard), _build_claims
    ),
}
"""All specifications."""
