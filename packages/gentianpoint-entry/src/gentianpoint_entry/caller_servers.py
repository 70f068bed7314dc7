"""Connections of the own interface's HTTP server, each within its limits.

The server accepts and reads whatever comes. It also runs all connections in
one nursery, where an error that it does not expect, such as two tasks that
write to a connection whose caller has just left, would end the process with
the calls of all callers.
"""

import typing

import hypercorn.events
import hypercorn.trio.run
import hypercorn.trio.tcp_server

from gentianpoint_core import caller_resources
from gentianpoint_core import limit_reports
from gentianpoint_entry import caller_streams
from gentianpoint_entry import waiting_connections

__all__ = ("guard_connections",)


def guard_connections(
    resources: caller_resources.CallerResources,
    reports: limit_reports.LimitReports,
) -> None:
    """Let the HTTP server's connections take what they need beforehand.

    An error ends its connection alone, and ``reports`` gets it. The server
    has no setting for the class of its connections, so its module is given
    another one.
    """
    waiting = waiting_connections.WaitingConnections()

    class _GuardedServer(hypercorn.trio.tcp_server.TCPServer):
        stream: typing.Any

        async def run(self) -> None:
            if not resources.take_connection(waiting.close_least):
                # Nothing was read, so its caller may try elsewhere.
                self.stream.socket.close()
                return
            self.stream = caller_streams.CallerStream(
                self.stream, resources, waiting
            )
            try:
                await super().run()
            except Exception as error:
                reports.note("failed_connection", exc_info=error)
            finally:
                resources.give_connection_back()

        async def protocol_send(self, event: hypercorn.events.Event) -> None:
            if isinstance(event, hypercorn.events.Updated):
                self.stream.note_idle(is_idle=event.idle)
            await super().protocol_send(event)

    module: typing.Any = hypercorn.trio.run
    module.TCPServer = _GuardedServer
