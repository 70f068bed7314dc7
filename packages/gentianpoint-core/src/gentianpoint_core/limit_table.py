"""The limits on requests to targets that all entries together keep.

An entry meets a limit in an answer of the target, or in the target's entry in
the list. Entries tell each other of it, so that those keep to it too that have
not met it, and of its end. The news carry the turns that a limit is divided
into, so that the turns begin everywhere at the same time. They carry ages and
no times of day, as hosts' clocks differ.
"""

from collections import abc
import math
import typing

from gentianpoint_core import change_log
from gentianpoint_core import logs
from gentianpoint_core import named_limits
from gentianpoint_core.decisions import request_turns
from gentianpoint_core.generated import events

__all__ = ("LimitNews", "LimitTable")

_NAMED_WINDOW_S: typing.Final = 4.0
"""Seconds over which a target counts requests against a limit it names."""
_MIN_PER_S: typing.Final = 0.25
"""Least rate at which a target is still sent requests. Only its answers tell
that a limit of 0, or one that is even lower than this, is over."""
_MAX_PER_S: typing.Final = 1000.0
"""Limits above this count as none."""
_MIN_CHANGE_SHARE: typing.Final = 0.05
"""Share by which a limit has to change to be told anew. A target that names
another figure in each answer would make all entries tell each other of it."""
_REFRESH_INTERVAL_S: typing.Final = 5.0
"""Seconds after which a limit that still holds is told once more. Entries
whose clocks stood still for some time then agree on its turns again."""
_MAX_ORIGIN_DIFFERENCE_S: typing.Final = 0.02
"""Seconds by which turns may begin at different times at two entries. Ages of
news are known with about this error."""
_MAX_KEPT: typing.Final = 4096
"""Limits that are remembered."""
_UNUSED_KEPT_S: typing.Final = 60.0
"""Seconds for which a limit is remembered that is over or not used."""
_MAX_WINDOW_S: typing.Final = 60.0
"""Longest window that other entries may tell."""
_MAX_KEY_LENGTH: typing.Final = 256
"""Longest key that other entries may tell."""
_MAX_TURN: typing.Final = 2**52
"""Highest number of a turn that other entries may tell."""


class LimitNews(typing.NamedTuple):
    """What is known of the limit of one start of a target."""

    key: str
    """Identifies the start, and what the limit is for."""
    clock: request_turns.TurnClock
    """The limit and its turns; the last ones if it is over."""
    said_at: float
    """When the target said so last, in seconds of the own clock."""
    is_over: bool
    """True when the target has no limit any more."""


class LimitTable:
    """The limits that this entry knows, from targets and from other entries.

    >>> table = LimitTable()
    >>> named = named_limits.NamedLimit(True, 2.0)
    >>> table.note_answer("target", named, 1.0, 1.1)
    >>> table.find("target").per_s
    2.0
    """

    def __init__(
        self, notify_urgent: abc.Callable[[], None] = lambda: None
    ) -> None:
        """Call ``notify_urgent`` when the other entries should be told."""
        self.notify_urgent = notify_urgent
        self._news: typing.Final = change_log.ChangeLog[LimitNews]()
        self._told_at: typing.Final[dict[str, float]] = {}

    def __len__(self) -> int:
        """Return how many limits are remembered, those that are over too."""
        return len(self._news)

    @property
    def changes(self) -> int:
        """Number of changes made so far."""
        return self._news.changes

    def list_since(self, seen: int) -> abc.Sequence[LimitNews]:
        """Return what changed after the first ``seen`` changes."""
        return [news for _, news in self._news.list_since(seen)]

    def find(self, key: str) -> typing.Optional[request_turns.TurnClock]:
        """Return the limit with a key, None if there is none."""
        news = self._news.find(key)
        return None if news is None or news.is_over else news.clock

    def note_answer(
        self,
        key: str,
        named: named_limits.NamedLimit,
        asked_at: float,
        now: float,
    ) -> None:
        """Apply what an answer to a request sent at ``asked_at`` names.

        The answer may have been made before one that was met earlier. So a
        limit is lifted or raised only by an answer to a request that was sent
        after the limit was last said to hold.
        """
        if named == named_limits.UNREADABLE:
            return
        known = self._news.find(key)
        per_s = None
        if named.per_s is not None and named.per_s <= _MAX_PER_S:
            per_s = max(named.per_s, _MIN_PER_S)
        if known is None or known.is_over:
            if per_s is not None:
                self._begin(key, known, per_s, _NAMED_WINDOW_S, now)
        elif per_s is not None and _is_close(per_s, known.clock.per_s):
            self._refresh(known, now)
        elif per_s is not None and per_s < known.clock.per_s:
            self._begin(key, known, per_s, _NAMED_WINDOW_S, now)
        elif asked_at >= known.said_at:
            if per_s is None:
                self._tell(known._replace(is_over=True, said_at=now), now)
            else:
                self._begin(key, known, per_s, _NAMED_WINDOW_S, now)

    def declare(
        self, key: str, per_s: float, window_s: float, now: float
    ) -> request_turns.TurnClock:
        """Return the turns of a limit that holds by configuration."""
        known = self._news.find(key)
        per_s = max(per_s, _MIN_PER_S)
        if known is None or known.is_over or known.clock.per_s != per_s:
            self._begin(key, known, per_s, window_s, now)
        else:
            self._refresh(known, now)
        clock = self.find(key)
        assert clock is not None
        return clock

    def _begin(
        self,
        key: str,
        known: typing.Optional[LimitNews],
        per_s: float,
        window_s: float,
        now: float,
    ) -> None:
        clock = request_turns.TurnClock(per_s, window_s, 0, now)
        if known is not None:
            clock = known.clock.change_rate(per_s, now)
        self._tell(LimitNews(key, clock, now, is_over=False), now)

    def _refresh(self, known: LimitNews, now: float) -> None:
        refreshed = known._replace(said_at=now)
        if now - self._told_at[known.key] > _REFRESH_INTERVAL_S:
            self._told_at[known.key] = now
            self._news.put(known.key, refreshed)
        else:
            self._news.replace(known.key, refreshed)

    def _tell(self, news: LimitNews, now: float) -> None:
        """Keep news of a target, and let all others know them at once."""
        self._put(news, now)
        self.notify_urgent()

    def _put(self, news: LimitNews, now: float) -> None:
        known = self._news.find(news.key)
        self._news.put(news.key, news)
        self._told_at[news.key] = now
        if (
            known is None
            or known.is_over != news.is_over
            or (known.clock.per_s != news.clock.per_s)
        ):
            logs.log_event(
                events.LIMIT_CHANGED,
                key=news.key,
                per_s=None if news.is_over else news.clock.per_s,
            )
        if len(self._news) > _MAX_KEPT:
            self._drop(self._news.list_all()[0][0])

    def merge(self, news: LimitNews) -> bool:
        """Apply what another entry tells; False if it isn't adopted.

        The news said last count. Of turns that began at different times, those
        that began first count, since all entries then choose the same ones;
        an entry that has later ones is told.
        """
        if not _is_sound(news):
            return False
        known = self._news.find(news.key)
        if known is None:
            self._put(news, news.said_at)
            return True
        is_same = (known.is_over, known.clock.per_s) == (
            news.is_over,
            news.clock.per_s,
        )
        if not is_same:
            if news.said_at <= known.said_at:
                return False
            self._put(news, news.said_at)
            return True
        said_at = max(known.said_at, news.said_at)
        gain_s = known.clock.find_origin() - news.clock.find_origin()
        if gain_s > _MAX_ORIGIN_DIFFERENCE_S:
            self._put(news._replace(said_at=said_at), said_at)
            return True
        if gain_s < -_MAX_ORIGIN_DIFFERENCE_S:
            self._put(known._replace(said_at=said_at), said_at)
            return False
        is_refreshed = news.said_at > known.said_at + _REFRESH_INTERVAL_S / 2
        if is_refreshed:
            self._put(known._replace(said_at=said_at), said_at)
        return is_refreshed

    def prune(self, kept: abc.Container[str], now: float) -> None:
        """Forget old limits that are over or not among those ``kept``."""
        for key, news in self._news.list_all():
            is_old = now - news.said_at > _UNUSED_KEPT_S
            if is_old and (news.is_over or key not in kept):
                self._drop(key)

    def _drop(self, key: str) -> None:
        self._news.drop(key)
        self._told_at.pop(key, None)


def _is_close(per_s: float, known_per_s: float) -> bool:
    return abs(per_s - known_per_s) <= known_per_s * _MIN_CHANGE_SHARE


def _is_sound(news: LimitNews) -> bool:
    """Tell whether news of another entry can be used."""
    clock = news.clock
    return (
        len(news.key) <= _MAX_KEY_LENGTH
        and _MIN_PER_S <= clock.per_s <= _MAX_PER_S
        and 0 < clock.window_s <= _MAX_WINDOW_S
        and 0 <= clock.turn <= _MAX_TURN
        and math.isfinite(clock.turn_at)
        and math.isfinite(news.said_at)
    )
