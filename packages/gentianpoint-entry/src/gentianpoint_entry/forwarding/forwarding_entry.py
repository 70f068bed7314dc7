"""Runs the parts of a forwarding entry and handles its signals."""

from collections import abc
import signal

import trio

from gentianpoint_core import logs
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import entry_server
from gentianpoint_entry.forwarding import topic_follower

__all__ = ("run_entry",)


async def run_entry(
    server: entry_server.EntryServer,
    addresses: entry_server.ListenAddresses,
    followers: abc.Sequence[topic_follower.TopicFollower],
    tasks: abc.Sequence[abc.Callable[[], abc.Awaitable[None]]],
    reload_settings: abc.Callable[[], None],
    announce_leaving: abc.Callable[[], None],
    give_up_unanswered: abc.Callable[[], abc.Awaitable[None]],
) -> None:
    """Serve callers until SIGTERM, then shut down gracefully.

    SIGHUP calls ``reload_settings``. ``announce_leaving`` tells the other
    entries that this one has begun to shut down, and ``give_up_unanswered``
    sends final answers to the requests that are still open at its end.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
        # A signal that came before has not been handled.
        reload_settings()
        async with trio.open_nursery() as nursery:
            for follower in followers:
                nursery.start_soon(follower.run)
            for task in tasks:
                nursery.start_soon(task)
            nursery.start_soon(server.serve, addresses)
            logs.log_event(
                events.ENTRY_STARTED,
                callers=addresses.callers,
                ready=addresses.ready,
                measures=addresses.metrics,
            )
            async for number in signals:
                if number == signal.SIGTERM:
                    break
                reload_settings()
            nursery.start_soon(_ignore_signals, signals)
            announce_leaving()
            await server.shut_down()
            await give_up_unanswered()
            nursery.cancel_scope.cancel()
    logs.log_event(events.PROCESS_STOPPED)


async def _ignore_signals(signals: abc.AsyncIterator[int]) -> None:
    """Consume signals that arrive during the shutdown.

    A signal that is left unconsumed would be raised again when the receiver
    is closed, and end the process.
    """
    async for _ in signals:
        pass
