"""The HTTP route that serves the configuration to other entries."""

import hmac
import typing

import quart
import trio

from gentianpoint_core import errors
from gentianpoint_core import peer_connections
from gentianpoint_core import snapshots
from gentianpoint_entry import configuration_tail
from gentianpoint_entry import peer_state
from gentianpoint_entry import request_options

__all__ = ("make_peer_routes",)

_RETRY_AFTER_MS: typing.Final = 1000


def _check_peer_key(given: str, peer_key: str) -> None:
    if not hmac.compare_digest(given.encode(), peer_key.encode()):
        raise errors.CallError(
            errors.UNAUTHORIZED, "the peer key is wrong", step="give state"
        )


def make_peer_routes(
    tail: configuration_tail.ConfigurationTail, peer_key: str
) -> quart.Blueprint:
    """Return the routes under ``/peer``, open to ``peer_key`` only."""
    routes = quart.Blueprint("peer", __name__)

    @routes.get(peer_state.STATE_PATH)
    async def get_state() -> quart.Response:
        headers = quart.request.headers
        _check_peer_key(
            headers.get(peer_connections.PEER_KEY_HEADER, ""), peer_key
        )
        if not tail.is_ready():
            raise errors.CallError(
                errors.NOT_RUN,
                "this entry has no configuration yet",
                step="give state",
                retry_after_ms=_RETRY_AFTER_MS,
            )
        after = request_options.read_after(quart.request.args)
        if tail.position.to_number() <= after:
            return quart.Response("", status=204)
        era = tail.position.era
        encoded = await trio.to_thread.run_sync(
            snapshots.encode_state, tail.state.copy_state()
        )
        compressed = await trio.to_thread.run_sync(
            snapshots.compress_state, encoded.data
        )
        return quart.Response(
            compressed,
            content_type="application/octet-stream",
            headers={
                peer_state.OFFSET_HEADER: str(encoded.offset),
                peer_state.ERA_HEADER: str(era),
                peer_state.DIGEST_HEADER: encoded.digest,
            },
        )

    return routes
