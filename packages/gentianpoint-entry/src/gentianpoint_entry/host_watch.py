"""Follows the platform's host list."""

import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_entry import link_pool
from gentianpoint_entry import live_hosts

__all__ = ("compute_poll_interval_ms", "watch_hosts")

_FREE_BYTES: typing.Final = 2048
_BUDGET_BYTES_S: typing.Final = 500


def compute_poll_interval_ms(
    poll_ms: int, read_bytes: int, processes_on_host: int = 1
) -> int:
    """Return the time to the next reading of the list, milliseconds.

    The list of some thousand hosts is longer than what a node may spend on
    control in a minute, if it is read each second. So a reading of more
    than a few hosts is paid off before the next one, from the share of one
    of the host's entry processes. What the list says
    comes late anyway: agents tell themselves that they leave, and one that
    is gone is noticed by its silence.

    >>> compute_poll_interval_ms(1000, 2048)
    1000
    >>> compute_poll_interval_ms(1000, 32048)
    60000
    """
    owed_bytes = (read_bytes - _FREE_BYTES) * processes_on_host
    return max(poll_ms, owed_bytes * 1000 // _BUDGET_BYTES_S)


async def watch_hosts(
    host_list: ports.HostList,
    pool: link_pool.LinkPool,
    live: live_hosts.LiveHosts,
    poll_ms: int,
    processes_on_host: int,
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
        pause_ms = compute_poll_interval_ms(
            poll_ms, host_list.count_read_bytes(), processes_on_host
        )
        await trio.sleep(pause_ms / 1000)
