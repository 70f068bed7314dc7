"""Links between engines: copies of memory, one after another."""

import typing

import trio

from bench.replay import shapes

__all__ = ("Link", "copy_over")


class Link:
    """One engine's link; a copy on it waits for those before it."""

    def __init__(self) -> None:
        """Start idle."""
        self.free_at = 0.0


async def copy_over(
    source: Link,
    destination: Link,
    tokens: int,
    costs: shapes.EngineCosts,
    *,
    is_far: bool,
) -> None:
    """Return once ``tokens`` are copied, behind what both links have."""
    seconds = tokens * costs.token_bytes * 8 / (costs.link_mbps * 1e6)
    if is_far:
        seconds *= costs.far_factor
    begins: typing.Final = max(
        trio.current_time(), source.free_at, destination.free_at
    )
    source.free_at = destination.free_at = begins + seconds
    await trio.sleep_until(begins + seconds)
