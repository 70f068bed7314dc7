"""Follows the platform's host list."""

import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_entry import link_pool
from gentianpoint_entry import live_hosts

__all__ = ("watch_hosts",)


async def watch_hosts(
    host_list: ports.HostList,
    pool: link_pool.LinkPool,
    live: live_hosts.LiveHosts,
    poll_ms: int,
) -> None:
    """Read the host list for ever and tell the pool and ``live``.

    While the list can't be read, the last known hosts stay in use: the
    agents' own word tells which of them are gone.
    """
    available = True
    while True:
        try:
            hosts: typing.Sequence[ports.Host] = await host_list.read_hosts()
        except ports.PortError as error:
            if available:
                logs.log_event(
                    events.HOST_LIST_UNAVAILABLE,
                    step=error.step,
                    peer=error.peer,
                    reason=error.reason,
                )
            available = False
        else:
            if not available:
                logs.log_event(events.HOST_LIST_AVAILABLE)
            available = True
            pool.update_hosts(hosts)
            live.update_hosts(hosts)
        await trio.sleep(poll_ms / 1000)
