"""Serves callers, readiness probes and scrapers until the entry stops."""

from collections import abc
import typing

import trio

from gentianpoint_core import caller_resources
from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import caller_connections
from gentianpoint_entry.forwarding import connection_listener
from gentianpoint_entry.forwarding import entry_metrics
from gentianpoint_entry.forwarding import head_checks
from gentianpoint_entry.forwarding import leaving
from gentianpoint_entry.forwarding import raw_requests
from gentianpoint_entry.forwarding import routes

__all__ = ("EntryServer", "ListenAddresses")

_STOP_MARGIN_S: typing.Final = 0.45
"""Seconds before the platform kills the process at which it ends by itself."""
_FINAL_WRITES_S: typing.Final = 0.2
"""Seconds after that in which answers may still be written. A caller that
reads nothing would otherwise hold the process until it is killed."""


_METRICS_MS: typing.Final = 500.0
"""Milliseconds for which scrapers get the same text. Rendering takes longer
than serving a request."""
_PORT_CONNECTIONS: typing.Final = 32
"""Connections that are set aside for readiness probes, and for scrapers."""


class ListenAddresses(typing.NamedTuple):
    """Where an entry listens, each as IP:PORT."""

    callers: str
    """For callers."""
    ready: str
    """For the load balancer, which asks whether this entry is ready."""
    metrics: str
    """For scrapers of the metrics."""


class EntryServer:
    """The listeners of an entry, and its graceful shutdown."""

    def __init__(
        self,
        handler: caller_connections.Handler,
        read_limits: abc.Callable[[], routes.CallerLimits],
        is_ready: abc.Callable[[], bool],
        shut_down_within_s: float,
        takes_connection: abc.Callable[[], bool] = lambda: True,
        head_check: typing.Optional[head_checks.HeadCheck] = None,
        resources: typing.Optional[caller_resources.CallerResources] = None,
    ) -> None:
        """Serve callers with ``handler``; report whether ``is_ready()``.

        ``takes_connection`` is called for each new connection of a caller,
        which is closed unread if it returns False. ``head_check`` decides on
        callers' requests by their heads. All ports take from ``resources``;
        a part of them is set aside for probes and for scrapers.
        """
        shared = resources or caller_resources.make_unlimited()
        self._takes_connection: typing.Final = takes_connection
        self._callers: typing.Final = caller_connections.CallerConnections(
            handler,
            read_limits,
            _log_abandoned,
            head_check=head_check,
            resources=shared,
        )
        self._probes: typing.Final = caller_connections.CallerConnections(
            self._answer_probe,
            read_limits,
            resources=shared.set_aside(_PORT_CONNECTIONS),
            reads_bodies=False,
        )
        self._scrapers: typing.Final = caller_connections.CallerConnections(
            self._answer_scraper,
            read_limits,
            resources=shared.set_aside(_PORT_CONNECTIONS),
            reads_bodies=False,
        )
        self._is_ready: typing.Final = is_ready
        self._shut_down_within_s: typing.Final = shut_down_within_s
        self._stops_at: typing.Optional[float] = None
        self._metrics_text = b""
        self._metrics_until = deadlines.Deadline(deadlines.NEVER)

    @property
    def stops_at(self) -> typing.Optional[float]:
        """Trio time at which this entry ends; None until it shuts down."""
        return self._stops_at

    async def serve(self, addresses: ListenAddresses) -> None:
        """Serve on all addresses until cancelled."""
        listeners = (
            connection_listener.ConnectionListener(
                addresses.callers, self._callers.serve, self._takes_connection
            ),
            connection_listener.ConnectionListener(
                addresses.ready, self._probes.serve
            ),
            connection_listener.ConnectionListener(
                addresses.metrics, self._scrapers.serve
            ),
        )
        async with trio.open_nursery() as nursery:
            for listener in listeners:
                nursery.start_soon(listener.run)

    async def shut_down(self) -> None:
        """Report not ready, finish open requests, and return.

        New connections are served until the load balancer has noticed. Well
        before the process is killed, each request has ended or is given up.
        """
        now = trio.current_time()
        self._stops_at = now + self._shut_down_within_s - _STOP_MARGIN_S
        self._callers.is_shutting_down = True
        self._callers.write_deadline = self._stops_at + _FINAL_WRITES_S
        logs.log_event(
            events.LEAVING_STARTED,
            busy_connections=self._callers.active_requests,
        )
        await trio.sleep(
            min(leaving.READINESS_LAG_MS / 1000, self._shut_down_within_s / 2)
        )
        while trio.current_time() < self._stops_at:
            self._callers.close_idle()
            if not self._callers.is_busy():
                return
            await trio.sleep(0.05)
        logs.log_event(
            events.SHUTDOWN_OVERDUE,
            busy_connections=self._callers.active_requests,
        )

    async def _answer_probe(
        self,
        request: raw_requests.RawRequest,
        answer: caller_answers.CallerAnswer,
    ) -> None:
        is_ready = self._stops_at is None and self._is_ready()
        await answer.send_whole(200 if is_ready else 503, (), b"")

    async def _answer_scraper(
        self,
        request: raw_requests.RawRequest,
        answer: caller_answers.CallerAnswer,
    ) -> None:
        if self._metrics_until.is_past():
            self._metrics_text = entry_metrics.render_metrics()
            self._metrics_until = deadlines.make_deadline(_METRICS_MS)
        headers = ((b"content-type", b"text/plain; version=0.0.4"),)
        await answer.send_whole(200, headers, self._metrics_text)


def _log_abandoned() -> None:
    logs.log_event(events.REQUEST_ABANDONED)
