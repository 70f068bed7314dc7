"""What simulated entries tell each other of their customers' usage."""

from collections import abc
import typing

import trio

from gentianpoint_core.decisions import customer_usage

__all__ = ("share_usage",)

_INTERVAL_S: typing.Final = 0.25
"""Time between two looks for news."""
_GOSSIP_S: typing.Final = 0.1
"""Time until all entries know what one tells."""


async def share_usage(
    usages: abc.Sequence[customer_usage.CustomerUsage],
) -> None:
    """Pass on what each entry tells, until cancelled."""
    while True:
        await trio.sleep(_INTERVAL_S)
        rows: list[customer_usage.MemberRow] = []
        for usage in usages:
            now = trio.current_time()
            seen = usage.changes
            if usage.tell(now):
                rows += usage.list_since(seen, now)
        await trio.sleep(_GOSSIP_S)
        now = trio.current_time()
        for usage in usages:
            for row in rows:
                usage.merge(row, now, now)
