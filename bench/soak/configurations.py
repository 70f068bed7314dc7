"""Versions of the configuration that a soak's operator writes."""

import typing

from bench.soak import dialects
from bench.soak import kinds

__all__ = ("make_configuration",)

_ROUTES_KEPT: typing.Final = 6
"""Versions whose own route a later version still has."""


def _make_route(
    prefix: str, service: str, kind: str, **more: typing.Any
) -> dict[str, typing.Any]:
    return {
        "name": prefix,
        "host": kinds.HOST,
        "path_prefix": f"/{prefix}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 15000,
        "goal_ms": 1000,
        "priority": 1,
        "max_attempts": 2,
        **more,
    }


def _make_kind_route(kind: kinds.RequestKind) -> dict[str, typing.Any]:
    return _make_route(
        kind.name,
        kind.service,
        kind.wire_kind,
        max_attempts=kind.max_attempts,
        sticky=kind.is_stream,
        resumable=kind.is_stream and kind.may_run_again,
        gap_goal_ms=100,
    )


def make_configuration(version: int) -> dict[str, typing.Any]:
    """Return the fields of a version.

    It has a route of its own, and a key that the next one takes away.
    """
    routes = [_make_kind_route(kind) for kind in kinds.KINDS]
    oldest = max(1, version - _ROUTES_KEPT)
    routes += [
        _make_route(f"version-{number}", kinds.PLAIN, "idempotent")
        for number in range(oldest, version + 1)
    ]
    engine = {"slots": 32, "kv_capacity": 60000}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": kinds.ENGINES,
                "health_path": "/health",
                "conn_limit": 99,
                "engine": engine,
            },
            {"name": kinds.PLAIN, "health_path": "/health", "conn_limit": 99},
        ],
        "tenants": [
            {"name": "all", "api_keys": [dialects.MAIN_KEY]},
            {"name": "newest", "api_keys": [f"key-{version}"]},
        ],
        "limits": {"idle_timeout_ms": 9000},
    }
