"""Decides when an entry takes no more callers, and when it does again.

An entry whose scheduler is never idle can't serve what comes to it. What it
reads all the same is answered too late, and keeps it from answering the rest.
So it reports to the load balancer that it is not ready, which sends new
connections to other entries. If far more come than usually do, others have
time for them, and those that come until the balancer has noticed are closed.
Their requests are not read, so their callers may send them elsewhere.

Other connections have nowhere better to go, as where most entries are
saturated, and are served.
"""

import math
import typing

from gentianpoint_core import logs
from gentianpoint_core import loop_load
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import connection_rates
from gentianpoint_entry.forwarding import leaving

__all__ = ("Saturation",)

_SATURATED_SHARE: typing.Final = 0.95
"""Share of time in which the scheduler is busy from which an entry is
saturated."""
_RELIEVED_SHARE: typing.Final = 0.8
"""Share of busy time below which it no longer is."""
_LEAST_HOLD_S: typing.Final = 3.0
"""Least seconds for which a saturated entry stays so. The balancer takes as
long to notice."""
_MOST_HOLD_S: typing.Final = 12.0
"""Most seconds for which it stays so after it was idle enough."""
_CALM_S: typing.Final = 10.0
"""Seconds after which an entry that was relieved counts as calm. One that is
saturated again sooner stays so for twice as long as the last time."""


class Saturation:
    """Whether one entry is saturated, from how busy its scheduler is."""

    def __init__(self, load: loop_load.LoopLoad) -> None:
        """Start as not saturated; ``load`` measures the scheduler."""
        self._load: typing.Final = load
        self._rates: typing.Final = connection_rates.ConnectionRates()
        self._since = math.inf
        self._relieved_at = -math.inf
        self._hold_s = _LEAST_HOLD_S
        self._held_until = -math.inf

    def is_saturated(self, now: float) -> bool:
        """Tell whether other entries serve callers better.

        ``now`` is on trio's clock.
        """
        busy_share = self._load.busy_share
        if self._since == math.inf:
            if busy_share >= _SATURATED_SHARE:
                self._begin(now, busy_share)
        elif busy_share < _RELIEVED_SHARE and now >= self._held_until:
            self._end(now, busy_share)
        return self._since < math.inf

    def takes_connection(self, now: float) -> bool:
        """Count a new connection, and tell whether it is served.

        Otherwise it is closed before it is read.
        """
        self._rates.note_connection(now)
        if not self.is_saturated(now):
            return True
        has_balancer_noticed = (
            now >= self._since + leaving.READINESS_LAG_MS / 1000
        )
        return has_balancer_noticed or not self._rates.are_raised(now)

    def _begin(self, now: float, busy_share: float) -> None:
        is_calm = now - self._relieved_at >= _CALM_S
        self._hold_s = (
            _LEAST_HOLD_S if is_calm else min(2 * self._hold_s, _MOST_HOLD_S)
        )
        self._since = now
        self._held_until = now + self._hold_s
        logs.log_event(
            events.ENTRY_SATURATED,
            busy_share=round(busy_share, 2),
            hold_ms=round(self._hold_s * 1000),
        )

    def _end(self, now: float, busy_share: float) -> None:
        logs.log_event(
            events.ENTRY_RELIEVED,
            busy_share=round(busy_share, 2),
            after_ms=round((now - self._since) * 1000),
        )
        self._since = math.inf
        self._relieved_at = now
