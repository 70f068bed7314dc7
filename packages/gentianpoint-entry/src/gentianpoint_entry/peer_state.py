"""The configuration from another entry, when the log does not give it."""

import random
import typing

import httpx
import trio

from gentianpoint_core import configuration
from gentianpoint_core import logs
from gentianpoint_core import peer_connections
from gentianpoint_core import ports
from gentianpoint_core import snapshots
from gentianpoint_core.generated import events
from gentianpoint_entry import garbage_collection
from gentianpoint_entry import live_hosts

__all__ = (
    "DIGEST_HEADER",
    "OFFSET_HEADER",
    "STATE_PATH",
    "PeerAnswer",
    "PeerStateClient",
)

STATE_PATH: typing.Final = "/peer/v1/state"
"""Path at which an entry gives its state to another."""
OFFSET_HEADER: typing.Final = "Gentianpoint-State-Offset"
"""Header with the configuration offset of the state in the body."""
DIGEST_HEADER: typing.Final = "Gentianpoint-State-Digest"
"""Header with the SHA-256 digest in hex of the uncompressed state."""
_ANSWER_TIMEOUT_S: typing.Final = 5.0
_ASKED_AT_ONCE: typing.Final = 3
_NOTHING_NEWER: typing.Final = 204


class PeerAnswer(typing.NamedTuple):
    """What the asked entries said."""

    heard: bool
    """True when one with a configuration answered."""
    state: typing.Optional[configuration.Configuration]
    """A state above one's own offset; None when none has one."""


class PeerStateClient:
    """Asks other entries for their folded state."""

    def __init__(
        self,
        hosts: live_hosts.LiveHosts,
        client: httpx.AsyncClient,
        peer_key: str,
    ) -> None:
        """Find entries in ``hosts`` and show them ``peer_key``."""
        self._hosts: typing.Final = hosts
        self._client: typing.Final = client
        self._peer_key: typing.Final = peer_key
        self._refused: typing.Final[dict[str, str]] = {}

    async def ask(self, offset: int) -> PeerAnswer:
        """Ask some entries for a state above ``offset``.

        They are chosen at random, so that many entries which start during
        an outage don't all ask the same one.
        """
        others = self._hosts.list_other_entries()
        asked = random.sample(others, min(_ASKED_AT_ONCE, len(others)))
        answers: list[PeerAnswer] = []
        async with trio.open_nursery() as nursery:
            # One after the other, each that is silent would put off the one
            # that knows a change by the whole time of an answer.
            for host in asked:
                nursery.start_soon(
                    self._note_answer, host, offset, answers, nursery
                )
        state = next((item.state for item in answers if item.state), None)
        return PeerAnswer(any(item.heard for item in answers), state)

    async def _note_answer(
        self,
        host: ports.Host,
        offset: int,
        answers: list[PeerAnswer],
        nursery: trio.Nursery,
    ) -> None:
        """Add one entry's answer; a newer state ends the asking of others."""
        answer = await self._ask_one(host, offset)
        answers.append(answer)
        if answer.state is not None:
            nursery.cancel_scope.cancel()

    async def _ask_one(self, host: ports.Host, offset: int) -> PeerAnswer:
        try:
            answer = await self._client.get(
                f"http://{host.address}{STATE_PATH}",
                params={"after": offset},
                headers={peer_connections.PEER_KEY_HEADER: self._peer_key},
                timeout=_ANSWER_TIMEOUT_S,
            )
        except httpx.HTTPError as error:
            return self._miss(host, repr(error))
        if answer.status_code == _NOTHING_NEWER:
            return PeerAnswer(True, None)
        if answer.status_code != 200:
            return self._miss(host, f"status {answer.status_code}")
        return await self._check_state(host, offset, answer)

    async def _check_state(
        self, host: ports.Host, offset: int, answer: httpx.Response
    ) -> PeerAnswer:
        garbage_collection.freeze_live_objects()
        result = await trio.to_thread.run_sync(
            snapshots.expand_state,
            answer.content,
            answer.headers.get(DIGEST_HEADER, ""),
            host.host,
        )
        if result.is_error():
            return self._refuse(host, result.error.reason)
        state = result.ok
        if str(state.offset) != answer.headers.get(OFFSET_HEADER):
            return self._refuse(host, "the offset is not that of the state")
        if state.offset <= offset:
            # A configuration never reverts: a peer that was paused, or that
            # another log feeds, must not take this entry back.
            return self._refuse(
                host, f"its offset {state.offset} is not above {offset}"
            )
        return PeerAnswer(True, state)

    def _miss(self, host: ports.Host, reason: str) -> PeerAnswer:
        return self._fail(events.PEER_RECORDS_UNAVAILABLE, host, reason)

    def _refuse(self, host: ports.Host, reason: str) -> PeerAnswer:
        return self._fail(events.STATE_REFUSED, host, reason)

    def _fail(
        self, event: events.Event, host: ports.Host, reason: str
    ) -> PeerAnswer:
        # One line for each reason is enough: an entry that can't get ready
        # asks every second.
        if self._refused.get(host.host) != reason:
            self._refused[host.host] = reason
            logs.log_event(
                event,
                step="take state from peer",
                peer=host.host,
                reason=reason,
            )
        return PeerAnswer(False, None)
