"""Which software versions served each service lately.

While one version serves, and did so as long as any stream lasts, it began
every stream that a caller takes up, and nothing has to be told or asked.
"""

from collections import abc
import math
import typing

__all__ = ("SoftwareHistory",)

_UNKNOWN: typing.Final = ""
_KEPT_S: typing.Final = 600.0
"""Seconds for which a version is remembered that serves no longer."""


class SoftwareHistory:
    """The versions that this entry has seen in the list of targets.

    What was before its start it knows from the log, see
    :meth:`note_earlier`.
    """

    def __init__(self) -> None:
        """Start without having seen a target."""
        self._seen_at: typing.Final[dict[str, dict[str, float]]] = {}
        self._complete_since = math.inf

    def note_start(self, now: float) -> None:
        """Record that the list is watched from now on."""
        self._complete_since = min(self._complete_since, now)

    def note_earlier(self, mixed: abc.Iterable[str], now: float) -> None:
        """Record which services had several versions before the start.

        All others had one.
        """
        self._complete_since = -math.inf
        for service in mixed:
            self.note(service, (_UNKNOWN,), now)

    def note(
        self, service: str, softwares: abc.Iterable[str], now: float
    ) -> None:
        """Record the versions that serve now, empty if one is not known."""
        seen_at = self._seen_at.setdefault(service, {})
        for software in softwares:
            seen_at[software] = now

    def find_sole(self, service: str, window_s: float, now: float) -> str:
        """Return the one version of the last ``window_s`` seconds.

        Empty if there were several, if one is not known, or if this entry
        has not watched, or does not remember, for so long.
        """
        if window_s > _KEPT_S or now - self._complete_since < window_s:
            return _UNKNOWN
        recent = [
            software
            for software, at in self._seen_at.get(service, {}).items()
            if now - at <= window_s
        ]
        return recent[0] if len(recent) == 1 else _UNKNOWN

    def prune(self, now: float) -> None:
        """Forget versions that have not served for long."""
        for service, seen_at in list(self._seen_at.items()):
            for software, at in list(seen_at.items()):
                if now - at > _KEPT_S:
                    del seen_at[software]
            if not seen_at:
                del self._seen_at[service]
