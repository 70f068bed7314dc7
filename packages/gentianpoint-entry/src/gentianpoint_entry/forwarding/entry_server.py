"""Listens for callers and for the balancer, and leaves in good order."""

from collections import abc
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core import option_types
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import caller_connections
from gentianpoint_entry.forwarding import entry_metrics
from gentianpoint_entry.forwarding import leaving
from gentianpoint_entry.forwarding import routes

__all__ = ("EntryServer", "ListenAddresses")

_BACKLOG: typing.Final = 1024
"""New connections that wait to be taken; when it is full the opening packet
is lost and comes again only after a second."""
_LAST_S: typing.Final = 0.45
"""Time before the process is killed at which it ends by itself."""
_LAST_WRITES_S: typing.Final = 0.2
"""Time after that for what callers still take; a stalled one would hold the
process until it is killed."""


class ListenAddresses(typing.NamedTuple):
    """Where an entry listens, each as IP:PORT."""

    callers: str
    """For callers."""
    ready: str
    """For the balancer, which asks whether this entry is ready."""
    metrics: str
    """For scrapers of the measures."""


class EntryServer:
    """The listeners of an entry, and its leaving."""

    def __init__(
        self,
        handler: caller_connections.Handler,
        read_limits: abc.Callable[[], routes.CallerLimits],
        is_ready: abc.Callable[[], bool],
        leave_within_s: float,
    ) -> None:
        """Serve callers with ``handler`` while ``is_ready`` tells so."""
        self._callers: typing.Final = caller_connections.CallerConnections(
            handler, read_limits
        )
        self._balancer: typing.Final = caller_connections.CallerConnections(
            self._answer_ready, read_limits
        )
        self._scrapers: typing.Final = caller_connections.CallerConnections(
            _answer_scraper, read_limits
        )
        self._is_ready: typing.Final = is_ready
        self._leave_within_s: typing.Final = leave_within_s
        self._stops_at: typing.Optional[float] = None

    @property
    def stops_at(self) -> typing.Optional[float]:
        """When this entry ends, on trio's clock; None while it stays."""
        return self._stops_at

    async def serve(self, addresses: ListenAddresses) -> None:
        """Serve on all addresses until cancelled."""
        listening = [
            (await _listen(addresses.callers), self._callers),
            (await _listen(addresses.ready), self._balancer),
            (await _listen(addresses.metrics), self._scrapers),
        ]
        async with trio.open_nursery() as nursery:
            for listeners, connections in listening:
                nursery.start_soon(
                    trio.serve_listeners, connections.serve, listeners
                )

    async def shut_down(self) -> None:
        """Stop being ready, finish what runs, and return.

        New connections are served until the balancer has noticed; long
        before the kill, nothing runs any more or is given up.
        """
        now = trio.current_time()
        self._stops_at = now + self._leave_within_s - _LAST_S
        self._callers.is_leaving = True
        self._callers.write_until = self._stops_at + _LAST_WRITES_S
        logs.log_event(
            events.LEAVING_STARTED, busy_connections=self._callers.busy_count
        )
        await trio.sleep(
            min(leaving.READINESS_LAG_MS / 1000, self._leave_within_s / 2)
        )
        while trio.current_time() < self._stops_at:
            self._callers.close_idle()
            if not self._callers.is_busy():
                return
            await trio.sleep(0.05)
        logs.log_event(
            events.SHUTDOWN_OVERDUE, busy_connections=self._callers.busy_count
        )

    async def _answer_ready(
        self,
        request: caller_connections.RawRequest,
        answer: caller_answers.CallerAnswer,
    ) -> None:
        is_ready = self._stops_at is None and self._is_ready()
        await answer.send_whole(200 if is_ready else 503, (), b"")


async def _answer_scraper(
    request: caller_connections.RawRequest,
    answer: caller_answers.CallerAnswer,
) -> None:
    headers = ((b"content-type", b"text/plain; version=0.0.4"),)
    await answer.send_whole(200, headers, entry_metrics.render_metrics())


async def _listen(address: str) -> list[trio.SocketListener]:
    host, port = option_types.split_address(address)
    return await trio.open_tcp_listeners(port, host=host, backlog=_BACKLOG)
