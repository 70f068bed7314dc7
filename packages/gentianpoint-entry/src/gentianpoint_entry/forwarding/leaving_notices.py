"""Targets that have said in an answer that they leave.

The platform's list may tell that later, or not at all while the log is out. So
the entry that gets such an answer tells all others. What a target said holds
for one start of it; a later start is another target.
"""

from collections import abc
import math
import typing

from gentianpoint_core import change_log
from gentianpoint_entry.forwarding import request_permits
from gentianpoint_entry.forwarding import targets

__all__ = ("LeavingNotice", "LeavingNotices")

_KEPT_S: typing.Final = 60.0
"""Seconds after which a target that still runs is tried again. It may have
stayed, or may have never meant to leave."""
_MAX_KEPT: typing.Final = 4096
"""Notices that are remembered."""
_MAX_KEY_LENGTH: typing.Final = 256
"""Longest key that another entry may tell."""


class LeavingNotice(typing.NamedTuple):
    """A start of a target that leaves."""

    key: str
    """Identifies the start."""
    said_at: float
    """When it first said so, in seconds of the own clock."""


class LeavingNotices:
    """The notices that this entry knows, from answers and other entries."""

    def __init__(
        self,
        registry: targets.TargetRegistry,
        notify_urgent: abc.Callable[[], None] = lambda: None,
    ) -> None:
        """Apply notices to the targets of ``registry``.

        Call ``notify_urgent`` when the other entries should be told.
        """
        self._registry: typing.Final = registry
        self.notify_urgent = notify_urgent
        self._notices: typing.Final = change_log.ChangeLog[LeavingNotice]()
        registry.is_said_to_leave = self._is_said_to_leave

    @property
    def changes(self) -> int:
        """Number of changes made so far."""
        return self._notices.changes

    def list_since(self, seen: int) -> abc.Sequence[LeavingNotice]:
        """Return what changed after the first ``seen`` changes."""
        return [notice for _, notice in self._notices.list_since(seen)]

    def note_answer(self, target: targets.Target, now: float) -> bool:
        """Apply an answer that says so; True if that is news."""
        is_new = self._put(
            LeavingNotice(request_permits.make_key(target), now), now
        )
        if is_new:
            self.notify_urgent()
        return is_new

    def merge(self, notice: LeavingNotice, now: float) -> bool:
        """Apply what another entry tells; False if it is nothing new."""
        is_sound = len(notice.key) <= _MAX_KEY_LENGTH and math.isfinite(
            notice.said_at
        )
        return is_sound and self._put(notice, now)

    def _put(self, notice: LeavingNotice, now: float) -> bool:
        self.prune(now)
        if self._notices.find(notice.key) is not None:
            return False
        if now - notice.said_at >= _KEPT_S:
            return False
        self._notices.put(notice.key, notice)
        if len(self._notices) > _MAX_KEPT:
            self._drop(self._notices.list_all()[0][0])
        self._mark(notice.key, is_leaving=True)
        return True

    def prune(self, now: float) -> None:
        """Forget notices that are too old."""
        for key, notice in self._notices.list_all():
            if now - notice.said_at >= _KEPT_S:
                self._drop(key)

    def _drop(self, key: str) -> None:
        self._notices.drop(key)
        self._mark(key, is_leaving=False)

    def _mark(self, key: str, *, is_leaving: bool) -> None:
        target_id, _, _ = key.rpartition("/")
        target = self._registry.find(target_id)
        if target is not None and request_permits.make_key(target) == key:
            target.is_said_to_leave = is_leaving

    def _is_said_to_leave(self, target: targets.Target) -> bool:
        return self._notices.find(request_permits.make_key(target)) is not None
