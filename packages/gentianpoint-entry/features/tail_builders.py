"""Simulates an entry whose log service stops answering for some time.

The outage is simulated below the HTTP adapter of the log.
"""

import base64
from collections import abc
import math
import random
import types
import typing
from unittest import mock

import httpx
import trio
import trio.testing

from gentianpoint_core import configuration
from gentianpoint_core import http_log
from gentianpoint_core import ports
from gentianpoint_core import snapshots
from gentianpoint_entry import configuration_tail
from gentianpoint_entry import live_hosts
from gentianpoint_entry import peer_state

__all__ = ()

_LATENCY_S: typing.Final = 0.004
"""Latency of an answer, seconds."""
_GIVE_UP_AFTER_S: typing.Final = 20.0
"""Time after which a change that is not in force counts as lost, seconds."""
_LOST_AT_S: typing.Final = 5.0
"""Virtual time at which the entry alone loses the log, seconds."""
_CHANGE_OFFSET: typing.Final = 2
"""Offset of the change whose delay is measured."""
_UP_TO_DATE: typing.Final = "up-to-date"
"""Address of the other entry that has the change."""


class SilentLogTransport(httpx.AsyncBaseTransport):
    """A log that leaves reads unanswered during an outage.

    Like a real connection, it raises an error after the client's timeout.
    """

    def __init__(self, outage_start: float, outage_end: float) -> None:
        """Answer nothing between two times of the virtual clock."""
        self._outage_start: typing.Final = outage_start
        self._outage_end: typing.Final = outage_end
        self._record_count = 1
        self._written = trio.Event()

    def write(self) -> None:
        """Append one record to the configuration stream."""
        self._record_count += 1
        self._written.set()

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Answer one read, or time out if it overlaps the outage."""
        began_at = trio.current_time()
        if not self._overlaps_outage(began_at):
            await self._wait_for_records(request)
        if self._overlaps_outage(began_at):
            await trio.sleep(request.extensions["timeout"]["read"])
            raise httpx.ReadTimeout("silent", request=request)
        await trio.sleep(_LATENCY_S)
        start = int(request.url.params["from"])
        records = [
            {"offset": offset, "data": base64.b64encode(b"-").decode()}
            for offset in range(start, self._count_records(request) + 1)
        ]
        body = {
            "first": 1,
            "next": self._count_records(request) + 1,
            "records": records,
        }
        return httpx.Response(200, json=body, request=request)

    def _overlaps_outage(self, began_at: float) -> bool:
        now = trio.current_time()
        return began_at < self._outage_end and now >= self._outage_start

    def _count_records(self, request: httpx.Request) -> int:
        is_configuration = (
            configuration.CONFIGURATION_STREAM in request.url.path
        )
        return self._record_count if is_configuration else 0

    async def _wait_for_records(self, request: httpx.Request) -> None:
        params = request.url.params
        if int(params["from"]) <= self._count_records(request):
            return
        with trio.move_on_after(int(params["wait_ms"]) / 1000):
            await self._written.wait()


class _NoPeers:
    async def fetch_newer_state(self, offset: int) -> peer_state.PeerAnswer:
        return peer_state.PeerAnswer(False, None)


class _PeerTransport(httpx.AsyncBaseTransport):
    """Other entries: one has the change, the others never answer."""

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        if request.url.host != _UP_TO_DATE:
            await trio.sleep(request.extensions["timeout"]["read"])
            raise httpx.ReadTimeout("silent", request=request)
        await trio.sleep(_LATENCY_S)
        state = configuration.Configuration()
        state.apply_record(_CHANGE_OFFSET, b"-")
        encoded = snapshots.encode_state(state.copy_state())
        return httpx.Response(
            200,
            content=snapshots.compress_state(encoded.data),
            headers={
                peer_state.OFFSET_HEADER: str(encoded.offset),
                peer_state.DIGEST_HEADER: encoded.digest,
            },
            request=request,
        )


def _make_peers(silent: int, up_to_date: int) -> peer_state.PeerStateClient:
    names = [f"silent-{number}" for number in range(silent)]
    names += [_UP_TO_DATE] * up_to_date
    others = [
        ports.Host(name, "entry", "", "", name, "centre", "live")
        for name in names
    ]
    hosts = types.SimpleNamespace(list_other_entries=lambda: others)
    return peer_state.PeerStateClient(
        typing.cast("live_hosts.LiveHosts", hosts),
        httpx.AsyncClient(transport=_PeerTransport()),
        "key",
    )


def measure_peer_delay_ms(silent: int, up_to_date: int, seed: int) -> float:
    """Return the delay of a change at an entry that can't read the log.

    ``up_to_date`` other entries have the change and ``silent`` ones never
    answer; ``seed`` determines the order in which they are asked. The delay
    is infinite when the change doesn't arrive.
    """
    random.seed(seed)
    # The virtual clock would jump ahead while a worker thread runs.
    with mock.patch.object(trio.to_thread, "run_sync", _run_without_thread):
        return _measure_delay_ms(
            _LOST_AT_S, math.inf, _LOST_AT_S, _make_peers(silent, up_to_date)
        )


async def _run_without_thread(
    function: abc.Callable[..., typing.Any], *args: typing.Any
) -> typing.Any:
    return function(*args)


def measure_outage_delay_ms(outage_start: float, outage_end: float) -> float:
    """Return the delay of a change that is written as an outage ends.

    No other entry has a state. The delay is infinite when the change
    doesn't arrive.
    """
    peers = typing.cast("peer_state.PeerStateClient", _NoPeers())
    return _measure_delay_ms(outage_start, outage_end, outage_end, peers)


def _measure_delay_ms(
    outage_start: float,
    outage_end: float,
    written_at: float,
    peers: peer_state.PeerStateClient,
) -> float:
    delays_ms: list[float] = []

    async def run() -> None:
        transport = SilentLogTransport(outage_start, outage_end)
        client = httpx.AsyncClient(transport=transport)
        tail = configuration_tail.ConfigurationTail(
            http_log.HttpLog("http://log", client), peers
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(tail.run)
            await trio.sleep_until(written_at)
            transport.write()
            with trio.move_on_after(_GIVE_UP_AFTER_S):
                while tail.state.offset < _CHANGE_OFFSET:
                    await tail.wait_changed()
                delays_ms.append((trio.current_time() - written_at) * 1000)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return delays_ms[0] if delays_ms else math.inf
