"""Decides when a target whose connections break off gets requests again.

The load: a target resets each connection for a second or two while the report
of its engine is good. Idle as it is, all entries prefer it, and each of them
would find out by losing a request of its own, which may not be run again.

So entries tell each other of the first failure, and leave the target out.
After a hold-off a few of them try it again, and twice as many in each turn
that follows, by an order that all compute, until one of them is answered.
"""

from collections import abc
import math
import typing

from gentianpoint_core import change_log
from gentianpoint_core.decisions import ranking

__all__ = ("OutageNews", "TargetOutages")

_HOLD_OFF_S: typing.Final = 0.5
"""Seconds after a failure for which a target gets nothing. All entries know of
the failure well before."""
_TURN_S: typing.Final = 0.25
"""Seconds of a turn, in which an entry sends at most one request. News of its
failure takes less time."""
_ENTRIES_PER_TRIAL: typing.Final = 25
"""Entries of which one tries a target first. Each of many entries seldom has
a request in its turn."""
_MAX_DOUBLINGS: typing.Final = 16
"""Turns in which the number of entries that try a target doubles."""
_FORGOTTEN_S: typing.Final = 5.0
"""Seconds after which a failure no longer counts, also if nobody had a request
to try the target with."""
_MAX_KEPT: typing.Final = 1024
"""Outages that are remembered."""
_OWN_FAULT_S: typing.Final = 0.5
"""Seconds within which failures of several targets are compared."""
_OWN_FAULT_TARGETS: typing.Final = 3
"""Targets that fail together if the fault is at this entry's host."""


class OutageNews(typing.NamedTuple):
    """What is known of one target's outage."""

    key: str
    """Identifies the start of the target."""
    failed_at: float
    """When a connection last broke off, in seconds of the own clock."""
    is_over: bool = False
    """True once the target has answered after that."""


class TargetOutages:
    """The outages that one entry knows."""

    def __init__(
        self, own: str, list_members: abc.Callable[[], frozenset[str]]
    ) -> None:
        """Take turns as ``own`` among the members that are listed."""
        self._ranks: typing.Final = ranking.RankTable(own, list_members)
        self._news: typing.Final = change_log.ChangeLog[OutageNews]()
        # Turn in which this entry tried a target last, by the target's key.
        self._tried: typing.Final[dict[str, int]] = {}
        self._own_failures: typing.Final[dict[str, float]] = {}

    @property
    def changes(self) -> int:
        """Number of changes made so far."""
        return self._news.changes

    def list_since(self, seen: int) -> abc.Sequence[OutageNews]:
        """Return what changed after the first ``seen`` changes."""
        return [news for _, news in self._news.list_since(seen)]

    def note_failure(self, key: str, now: float) -> bool:
        """Record that a connection broke off; True if others are told.

        They are not if connections to several targets break off at once.
        """
        self._own_failures[key] = now
        for other, at in list(self._own_failures.items()):
            if now - at > _OWN_FAULT_S:
                del self._own_failures[other]
        if len(self._own_failures) >= _OWN_FAULT_TARGETS:
            return False
        self._put(OutageNews(key, now))
        return True

    def note_success(self, key: str, now: float) -> bool:
        """Record that a target answers; True if that ends an outage."""
        known = self._news.find(key)
        if known is None or known.is_over:
            return False
        self._put(known._replace(is_over=True))
        return True

    def merge(self, news: OutageNews, now: float) -> bool:
        """Apply what another entry tells; False if it is nothing new."""
        known = self._news.find(news.key)
        if now - news.failed_at >= _FORGOTTEN_S:
            return False
        if known is not None:
            # The clocks of two entries are compared with an error of
            # milliseconds, and a turn separates two failures.
            is_later = news.failed_at > known.failed_at + _TURN_S
            is_end = news.is_over and not known.is_over
            is_same = abs(news.failed_at - known.failed_at) <= _TURN_S
            if not (is_later or (is_end and is_same)):
                return False
        self._put(news)
        return True

    def _put(self, news: OutageNews) -> None:
        self._news.put(news.key, news)
        self._tried.pop(news.key, None)
        if len(self._news) > _MAX_KEPT:
            self._news.drop(self._news.list_all()[0][0])

    def may_send(self, key: str, now: float) -> bool:
        """Tell whether a request may be sent to a target now."""
        if not len(self._news):
            return True
        news = self._news.find(key)
        if news is None or news.is_over:
            return True
        if now - news.failed_at >= _FORGOTTEN_S:
            return True
        turn = self._find_turn(news, now)
        if turn < 0 or self._tried.get(key) == turn:
            return False
        rank = self._ranks.find_rank(key)
        if rank is None:
            return True
        first = math.ceil(self._ranks.count() / _ENTRIES_PER_TRIAL)
        return rank < first << min(turn, _MAX_DOUBLINGS)

    def note_sent(self, key: str, now: float) -> None:
        """Record that a request is sent, which takes this entry's turn."""
        if not len(self._news):
            return
        news = self._news.find(key)
        if news is not None and not news.is_over:
            self._tried[key] = self._find_turn(news, now)

    @staticmethod
    def _find_turn(news: OutageNews, now: float) -> int:
        """Return the number of the turn, negative during the hold-off."""
        return int((now - news.failed_at - _HOLD_OFF_S) // _TURN_S)

    def forget(self, now: float) -> None:
        """Forget failures that no longer count."""
        for key, news in self._news.list_all():
            if now - news.failed_at >= _FORGOTTEN_S:
                self._news.drop(key)
                self._tried.pop(key, None)
