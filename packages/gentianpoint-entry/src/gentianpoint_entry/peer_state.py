"""Fetches the configuration from other entries when the log fails."""

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
    "ERA_HEADER",
    "OFFSET_HEADER",
    "STATE_PATH",
    "PeerAnswer",
    "PeerStateClient",
)

STATE_PATH: typing.Final = "/peer/v1/state"
"""Path at which an entry serves its configuration to other entries."""
OFFSET_HEADER: typing.Final = "Gentianpoint-State-Offset"
"""Header with the configuration offset of the state in the body."""
ERA_HEADER: typing.Final = "Gentianpoint-State-Era"
"""Header with the log's era in which that offset was read."""
DIGEST_HEADER: typing.Final = "Gentianpoint-State-Digest"
"""Header with the SHA-256 digest in hex of the uncompressed state."""
_ANSWER_TIMEOUT_S: typing.Final = 5.0
_ASKED_AT_ONCE: typing.Final = 3
"""Number of entries that are asked at the same time."""
_NOTHING_NEWER: typing.Final = 204
"""HTTP status of an entry that has no state above the given offset."""


class PeerAnswer(typing.NamedTuple):
    """The result of asking one or several entries."""

    answered: bool
    """True when an entry with a complete configuration answered."""
    state: typing.Optional[configuration.Configuration]
    """A state above the given position; None when no entry has one."""
    era: int = 0
    """The log's era in which that state's offset was read."""


class PeerStateClient:
    """Asks other entries for their configuration state."""

    def __init__(
        self,
        hosts: live_hosts.LiveHosts,
        client: httpx.AsyncClient,
        peer_key: str,
    ) -> None:
        """Ask the entries in ``hosts``, authenticated by ``peer_key``."""
        self._hosts: typing.Final = hosts
        self._client: typing.Final = client
        self._peer_key: typing.Final = peer_key
        self._logged_reasons: typing.Final[dict[str, str]] = {}

    async def fetch_newer_state(
        self, position: ports.LogPosition
    ) -> PeerAnswer:
        """Ask a few other entries for a state above ``position``.

        They are chosen at random, so that many entries which start during
        an outage don't all ask the same ones.
        """
        others = self._hosts.list_other_entries()
        asked = random.sample(others, min(_ASKED_AT_ONCE, len(others)))
        answers: list[PeerAnswer] = []
        async with trio.open_nursery() as nursery:
            # Concurrently: asked one after the other, each silent entry
            # would delay the answer of the others by its whole timeout.
            for host in asked:
                nursery.start_soon(
                    self._collect_answer, host, position, answers, nursery
                )
        found = next((item for item in answers if item.state), None)
        answered = any(item.answered for item in answers)
        return PeerAnswer(answered, None) if found is None else found

    async def _collect_answer(
        self,
        host: ports.Host,
        position: ports.LogPosition,
        answers: list[PeerAnswer],
        nursery: trio.Nursery,
    ) -> None:
        """Add one entry's answer; cancel the others at a newer state."""
        answer = await self._fetch_from(host, position)
        answers.append(answer)
        if answer.state is not None:
            nursery.cancel_scope.cancel()

    async def _fetch_from(
        self, host: ports.Host, position: ports.LogPosition
    ) -> PeerAnswer:
        try:
            answer = await self._client.get(
                f"http://{host.address}{STATE_PATH}",
                params={"after": position.to_number()},
                headers={peer_connections.PEER_KEY_HEADER: self._peer_key},
                timeout=_ANSWER_TIMEOUT_S,
            )
        except httpx.HTTPError as error:
            return self._report_unavailable(host, repr(error))
        if answer.status_code == _NOTHING_NEWER:
            return PeerAnswer(True, None)
        if answer.status_code != 200:
            return self._report_unavailable(
                host, f"status {answer.status_code}"
            )
        return await self._check_state(host, position, answer)

    async def _check_state(
        self,
        host: ports.Host,
        position: ports.LogPosition,
        answer: httpx.Response,
    ) -> PeerAnswer:
        garbage_collection.freeze_live_objects()
        result = await trio.to_thread.run_sync(
            snapshots.expand_state,
            answer.content,
            answer.headers.get(DIGEST_HEADER, ""),
            host.host,
        )
        if result.is_error():
            return self._report_refused(host, result.error.reason)
        state = result.ok
        if str(state.offset) != answer.headers.get(OFFSET_HEADER):
            return self._report_refused(
                host, "the offset is not that of the state"
            )
        era = int(answer.headers.get(ERA_HEADER, "0"))
        if ports.LogPosition(era, state.offset) <= position:
            # The configuration must not revert to that of a peer that was
            # suspended or that follows another log.
            return self._report_refused(
                host,
                f"its offset {state.offset} of era {era} is not above"
                f" {position.offset} of era {position.era}",
            )
        return PeerAnswer(True, state, era)

    def _report_unavailable(self, host: ports.Host, reason: str) -> PeerAnswer:
        return self._report_failure(
            events.PEER_RECORDS_UNAVAILABLE, host, reason
        )

    def _report_refused(self, host: ports.Host, reason: str) -> PeerAnswer:
        return self._report_failure(events.STATE_REFUSED, host, reason)

    def _report_failure(
        self, event: events.Event, host: ports.Host, reason: str
    ) -> PeerAnswer:
        # Logged once per reason: an entry that can't become ready asks
        # every second.
        if self._logged_reasons.get(host.host) != reason:
            self._logged_reasons[host.host] = reason
            logs.log_event(
                event,
                step="take state from peer",
                peer=host.host,
                reason=reason,
            )
        return PeerAnswer(False, None)
