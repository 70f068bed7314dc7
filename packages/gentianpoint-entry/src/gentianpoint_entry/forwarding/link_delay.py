"""Estimates how long messages of a connection were delayed.

Gossip carries ages. A message that stayed in a socket buffer while its reader
was frozen would make old data look fresh, and the reader would pass it on as
such. The clocks of two hosts differ by an unknown but constant amount. So the
time that a message took beyond the fastest one of its connection is its
delay. What can't be seen is the time that every message took, which is the
latency of the network.
"""

import math
import typing

__all__ = ("LinkDelay",)

_SETTLED_S: typing.Final = 1.0
"""Seconds after the opening of a connection from which its fastest message
so far is a sound reference."""


class LinkDelay:
    """Measures the delays of the messages of one connection."""

    def __init__(self, now: float) -> None:
        """Start with a connection that was opened at ``now``."""
        self._settled_at: typing.Final = now + _SETTLED_S
        self._min_transit_s = math.inf

    def measure_s(self, sent_at: float, received_at: float) -> float:
        """Return the delay of a message, in seconds.

        ``sent_at`` is on the sender's clock, and ``received_at`` on this
        host's.
        """
        transit_s = received_at - sent_at
        self._min_transit_s = min(self._min_transit_s, transit_s)
        return transit_s - self._min_transit_s

    def is_settled(self, now: float) -> bool:
        """Tell whether the connection is old enough to measure delays."""
        return now >= self._settled_at
