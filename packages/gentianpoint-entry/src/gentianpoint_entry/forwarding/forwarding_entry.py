"""An entry that forwards, put together from its parts."""

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
    tell_leaving: abc.Callable[[], None],
    give_up_unanswered: abc.Callable[[], abc.Awaitable[None]],
) -> None:
    """Serve callers until SIGTERM, and then leave in good order.

    ``tell_leaving`` tells other entries that this one has begun to leave, and
    ``give_up_unanswered`` gives the requests that are left at its end their
    final answers.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
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
            tell_leaving()
            await server.shut_down()
            await give_up_unanswered()
            nursery.cancel_scope.cancel()
    logs.log_event(events.PROCESS_STOPPED)


async def _ignore_signals(signals: abc.AsyncIterator[int]) -> None:
    """Take signals that come while the entry leaves.

    One that is left would end the process when the receiver is closed.
    """
    async for _ in signals:
        pass
