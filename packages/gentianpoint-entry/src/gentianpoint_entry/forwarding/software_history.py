"""Which software versions served each service lately.

While one version serves, and did so as long as any stream lasts, it began
every stream that a caller takes up, and nothing has to be told or asked.

That holds only if every entry knows a version before a stream begins there.
So a version that has come begins none that may be taken up until the log names
it and until the lists of all entries that count as current have it.
"""

from collections import abc
import math
import typing

__all__ = ("LIST_LAG_S", "UNKNOWN_WAIT_S", "SoftwareHistory")

LIST_LAG_S: typing.Final = 1.5
"""Age in seconds up to which an entry's list of targets counts as current. It
is polled more often."""
_UNKNOWN: typing.Final = ""
_KEPT_S: typing.Final = 600.0
"""Seconds for which a version is remembered that serves no longer."""
UNKNOWN_WAIT_S: typing.Final = 3.0
"""Seconds after which streams begin also at a version that is not known, or
that the log does not name, as while it is out."""


class _Version(typing.NamedTuple):
    """One version of a service's software."""

    known_at: float
    """When it became known here; minus infinity if the log named it as this
    entry started."""
    seen_at: float
    """When it was last known to serve."""


class SoftwareHistory:
    """The versions that this entry has seen in the list of targets.

    What was before its start it knows from the log, see
    :meth:`note_earlier`. Times are those of trio's clock.
    """

    def __init__(self) -> None:
        """Start without having seen a target."""
        self._versions: typing.Final[dict[str, dict[str, _Version]]] = {}
        self._marked: typing.Final[set[tuple[str, str]]] = set()
        # Services whose versions before the start are known.
        self._told: typing.Final[set[str]] = set()
        self._are_all_told = False
        self._watched_since = math.inf

    def note_start(self, now: float) -> None:
        """Record that the list is watched from now on."""
        self._watched_since = min(self._watched_since, now)

    def note_earlier(
        self,
        softwares: abc.Mapping[str, abc.Collection[str]],
        now: float,
        *,
        are_all_told: bool = False,
    ) -> None:
        """Record which versions services had before the start.

        They may have served until now. With ``are_all_told`` no service had
        others, also none that is missing in ``softwares``.
        """
        self._are_all_told |= are_all_told
        for service, found in softwares.items():
            self._told.add(service)
            versions = self._versions.setdefault(service, {})
            for software in found:
                versions[software] = _Version(-math.inf, now)

    def note(
        self, service: str, softwares: abc.Iterable[str], now: float
    ) -> None:
        """Record the versions that serve now, empty if one is not known."""
        versions = self._versions.setdefault(service, {})
        for software in softwares:
            known = versions.get(software)
            known_at = now if known is None else known.known_at
            versions[software] = _Version(known_at, now)

    def set_marked(self, marked: abc.Iterable[tuple[str, str]]) -> None:
        """Record which services and versions the log names, and no others."""
        self._marked.clear()
        self._marked.update(marked)

    def find_last_seen(self, service: str, software: str) -> float:
        """Return when a version last served, minus infinity if never."""
        version = self._versions.get(service, {}).get(software)
        return -math.inf if version is None else version.seen_at

    def find_begin_at(self, service: str, software: str, now: float) -> float:
        """Return from when streams that may be taken up begin at a version.

        ``software`` is empty if the version is not known.
        """
        version = self._versions.get(service, {}).get(software)
        known_at = now if version is None else version.known_at
        is_marked = bool(software) and (service, software) in self._marked
        return known_at + (LIST_LAG_S if is_marked else UNKNOWN_WAIT_S)

    def knows_all(self, service: str, window_s: float, now: float) -> bool:
        """Tell whether all versions of the last ``window_s`` are known."""
        if self._are_all_told or service in self._told:
            return True
        return now - self._watched_since >= window_s

    def find_sole(self, service: str, window_s: float, now: float) -> str:
        """Return the one version of the last ``window_s`` seconds.

        Empty if there were several, if one is not known, or if this entry
        has not watched, or does not remember, for so long.
        """
        if window_s > _KEPT_S or not self.knows_all(service, window_s, now):
            return _UNKNOWN
        recent = [
            software
            for software, version in self._versions.get(service, {}).items()
            if now - version.seen_at <= window_s
        ]
        return recent[0] if len(recent) == 1 else _UNKNOWN

    def prune(self, now: float) -> None:
        """Forget versions that have not served for long."""
        for service, versions in list(self._versions.items()):
            for software, version in list(versions.items()):
                if now - version.seen_at > _KEPT_S:
                    del versions[software]
            if not versions:
                del self._versions[service]
