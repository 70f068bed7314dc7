"""Which targets this entry may send to now, where limits are shared by all.

A target may name a limit in its answers, and the configuration limits what
cold targets get. Both are kept in the same way: each request that reaches a
target takes one of this entry's turns there, whatever it is sent for.
"""

from collections import abc
import math
import typing

from gentianpoint_core import limit_table
from gentianpoint_core import named_limits
from gentianpoint_core.decisions import request_turns
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import targets

__all__ = ("Permit", "RequestPermits", "list_keys", "make_key")

_COLD_WINDOW_S: typing.Final = 1.0
"""Seconds over which requests to a cold target are counted."""
_COLD_SUFFIX: typing.Final = "/cold"


class Permit(typing.NamedTuple):
    """The right to send one request to a target."""

    target_id: str
    """The target."""
    turns: tuple[tuple[str, int], ...]
    """Turns that were taken for it, with the keys of their limits."""


class _Limit(typing.NamedTuple):
    key: str
    clock: request_turns.TurnClock
    ends_at: float
    """When it ends by itself."""


def make_key(target: targets.Target) -> str:
    """Return the key of a start of a target, and of the limit it names."""
    return f"{target.target_id}/{target.entry.started_ms}"


def list_keys(
    listed: abc.Iterable[targets.Target],
) -> abc.Collection[str]:
    """Return the keys of all limits that targets may have."""
    keys = [make_key(target) for target in listed]
    return keys + [key + _COLD_SUFFIX for key in keys]


class RequestPermits:
    """This entry's permits for targets with limits."""

    def __init__(
        self,
        turns: request_turns.RequestTurns,
        table: limit_table.LimitTable,
    ) -> None:
        """Permit requests by ``turns`` under the limits in ``table``."""
        self._turns: typing.Final = turns
        self._table: typing.Final = table

    def note_answer(
        self,
        target: targets.Target,
        named: named_limits.NamedLimit,
        asked_at: float,
        now: float,
    ) -> None:
        """Apply the limit that an answer of a target names, or its end."""
        self._table.note_answer(make_key(target), named, asked_at, now)

    def has_named_limit(self, target: targets.Target) -> bool:
        """Tell whether a target has named a limit."""
        return self._table.find(make_key(target)) is not None

    def find_permitted_at(
        self,
        target: targets.Target,
        service: routes.Service,
        now: float,
        ahead: int = 0,
    ) -> float:
        """Return when a request may be sent to a target that takes work.

        That is ``now`` if it may be sent at once, and infinity if it is not
        known when. ``ahead`` other requests are sent there before it.
        """
        return max(
            (
                min(
                    limit.ends_at,
                    self._turns.find_permitted_at(
                        limit.key, limit.clock, now, ahead
                    ),
                )
                for limit in self._list_limits(target, service, now)
            ),
            default=now,
        )

    def take(
        self, target: targets.Target, service: routes.Service, now: float
    ) -> typing.Optional[Permit]:
        """Take a permit to send a request now; None if there is none."""
        if self.find_permitted_at(target, service, now) > now:
            return None
        taken = []
        for limit in self._list_limits(target, service, now):
            turn = self._turns.take(limit.key, limit.clock, now)
            assert turn is not None
            taken.append((limit.key, turn))
        return Permit(target.target_id, tuple(taken))

    def give_back(self, permit: Permit) -> None:
        """Return a permit with which nothing was sent."""
        for key, turn in permit.turns:
            self._turns.give_back(key, turn)

    def forget_unlisted(
        self, listed: abc.Iterable[targets.Target], now: float
    ) -> None:
        """Forget limits of targets that have gone."""
        kept = tuple(listed)
        # Limits of cold targets are in use only while these are cold.
        self._table.prune({make_key(target) for target in kept}, now)
        self._turns.forget(frozenset(list_keys(kept)))

    def _list_limits(
        self, target: targets.Target, service: routes.Service, now: float
    ) -> abc.Sequence[_Limit]:
        cold_until = target.find_cold_until(service.cold_ms)
        is_cold = service.cold_per_s and now < cold_until
        if not is_cold and not len(self._table):
            return ()
        limits = []
        key = make_key(target)
        named = self._table.find(key)
        if named is not None:
            limits.append(_Limit(key, named, math.inf))
        if is_cold:
            cold_key = key + _COLD_SUFFIX
            clock = self._table.declare(
                cold_key, service.cold_per_s, _COLD_WINDOW_S, now
            )
            limits.append(_Limit(cold_key, clock, cold_until))
        return limits
