"""A log service that is silent for a while, behind its HTTP adapter."""

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

_ANSWER_S: typing.Final = 0.004
_READ_ON_S: typing.Final = 20.0
_LOST_AT_S: typing.Final = 5.0
_CHANGE: typing.Final = 2
"""Offset of the change that is to be in force."""
_KNOWING: typing.Final = "knowing"
"""The other entry that has it."""


class SilentLogTransport(httpx.AsyncBaseTransport):
    """Answers readings, except those that meet the log's silence.

    As a real connection does, it gives up after the client's own timeout.
    """

    def __init__(self, silent_from: float, silent_until: float) -> None:
        """Be silent between two moments of the virtual clock."""
        self._silent_from: typing.Final = silent_from
        self._silent_until: typing.Final = silent_until
        self._count = 1
        self._written = trio.Event()

    def write(self) -> None:
        """Append one record to the configuration."""
        self._count += 1
        self._written.set()

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Answer one reading."""
        began_at = trio.current_time()
        if not self._meets_silence(began_at):
            await self._wait_for_records(request)
        if self._meets_silence(began_at):
            await trio.sleep(request.extensions["timeout"]["read"])
            raise httpx.ReadTimeout("silent", request=request)
        await trio.sleep(_ANSWER_S)
        start = int(request.url.params["from"])
        records = [
            {"offset": offset, "data": base64.b64encode(b"-").decode()}
            for offset in range(start, self._count_of(request) + 1)
        ]
        body = {
            "first": 1,
            "next": self._count_of(request) + 1,
            "records": records,
        }
        return httpx.Response(200, json=body, request=request)

    def _meets_silence(self, began_at: float) -> bool:
        now = trio.current_time()
        return began_at < self._silent_until and now >= self._silent_from

    def _count_of(self, request: httpx.Request) -> int:
        is_ours = configuration.CONFIGURATION_STREAM in request.url.path
        return self._count if is_ours else 0

    async def _wait_for_records(self, request: httpx.Request) -> None:
        params = request.url.params
        if int(params["from"]) <= self._count_of(request):
            return
        with trio.move_on_after(int(params["wait_ms"]) / 1000):
            await self._written.wait()


class _NoPeers:
    async def ask(self, offset: int) -> peer_state.PeerAnswer:
        return peer_state.PeerAnswer(False, None)


class _PeerTransport(httpx.AsyncBaseTransport):
    """Other entries: one has the newest change, the rest are silent."""

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        if request.url.host != _KNOWING:
            await trio.sleep(request.extensions["timeout"]["read"])
            raise httpx.ReadTimeout("silent", request=request)
        await trio.sleep(_ANSWER_S)
        state = configuration.Configuration()
        state.apply_record(_CHANGE, b"-")
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


def _make_peers(silent: int, knowing: int) -> peer_state.PeerStateClient:
    names = [f"silent-{number}" for number in range(silent)]
    names += [_KNOWING] * knowing
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


def measure_alone_ms(silent: int, knowing: int, seed: int) -> float:
    """Return how long an entry without the log takes for a change.

    Of the other entries ``knowing`` ones have it and ``silent`` ones don't
    answer; ``seed`` gives the order in which they are drawn.
    """
    random.seed(seed)
    # The virtual clock jumps while only a thread works.
    with mock.patch.object(trio.to_thread, "run_sync", _run_here):
        return _measure_ms(
            _LOST_AT_S, math.inf, _LOST_AT_S, _make_peers(silent, knowing)
        )


async def _run_here(
    function: abc.Callable[..., typing.Any], *args: typing.Any
) -> typing.Any:
    return function(*args)


def measure_lateness_ms(silent_from: float, silent_until: float) -> float:
    """Return how long after the log's return its newest change is in force.

    The change is written as the log returns, and no other entry helps.
    """
    peers = typing.cast("peer_state.PeerStateClient", _NoPeers())
    return _measure_ms(silent_from, silent_until, silent_until, peers)


def _measure_ms(
    silent_from: float,
    silent_until: float,
    written_at: float,
    peers: peer_state.PeerStateClient,
) -> float:
    took: list[float] = []

    async def run() -> None:
        transport = SilentLogTransport(silent_from, silent_until)
        client = httpx.AsyncClient(transport=transport)
        tail = configuration_tail.ConfigurationTail(
            http_log.HttpLog("http://log", client), peers
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(tail.run)
            await trio.sleep_until(written_at)
            transport.write()
            with trio.move_on_after(_READ_ON_S):
                while tail.state.offset < _CHANGE:
                    await tail.wait_changed()
                took.append((trio.current_time() - written_at) * 1000)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return took[0] if took else math.inf
