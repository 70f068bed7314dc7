"""Keeps in the log which software versions serve each service.

Entries remember which versions served lately. What they know is lost if all
of them start again at once, and a release may begin and end before the first
is back. So each version is written into a topic of the log before streams that
may be taken up begin there, also where it is the only one, and removed once it
has not served for as long as any stream lasts. Each mark has a key of its own,
so that entries with other lists don't write over each other.

No entry takes a mark for written that it has not seen in the log. What the log
loses when it comes back from an older copy is written again.
"""

from collections import abc
import functools
import hashlib
import json
import math
import typing

import trio

from gentianpoint_core import log_eras
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.decisions import ranking
from gentianpoint_core.generated import events
from gentianpoint_entry import log_availability
from gentianpoint_entry.forwarding import software_history
from gentianpoint_entry.forwarding import stream_records

__all__ = ("WRITERS", "VersionMarkers", "make_key")

_CALL_TIMEOUT_MS: typing.Final = 2000.0
"""Time limit of a call of the log, in milliseconds."""
_CHECK_S: typing.Final = 0.25
"""Seconds between checks of which marks are missing."""
_READ_PAUSE_S: typing.Final = 0.5
"""Seconds, at least, between two readings of the topic."""
_READ_AGAIN_S: typing.Final = 30.0
"""Seconds after which the topic is read again although no mark is missing."""
WRITERS: typing.Final = 2
"""Entries that write a mark at once; one of them may be lost."""
_KNOWN_MEMBERS_S: typing.Final = 1.0
"""Seconds after its start from which on an entry knows who else may write."""
_ALL_WRITE_AFTER_S: typing.Final = 1.5
"""Seconds after which every entry writes a mark that is still missing, as the
first ones may all be lost or cut off from the log."""
_KEY_BYTES: typing.Final = 16
_MIXED: typing.Final = b"1"
"""Value of a mark of an earlier release, whose key is a service that had
several versions."""


class _Mark(typing.NamedTuple):
    """A version that serves, or did so lately."""

    service: str
    """Service that it serves."""
    software: str
    """The version, empty if it is not known."""
    window_s: float
    """Seconds for which it is kept once it serves no longer."""
    era: int
    """Era of the log in which it was written."""


class VersionMarkers:
    """The versions of each service, as a topic of the log has them."""

    def __init__(
        self,
        topic: ports.WritableTopic,
        history: software_history.SoftwareHistory,
        records: stream_records.StreamRecords,
        address: str,
        list_members: abc.Callable[[], abc.Collection[str]],
        eras: log_eras.LogEras,
        *,
        is_first_start: bool = False,
    ) -> None:
        """Keep ``topic`` as ``records`` sees the services.

        ``address`` is this entry's among ``list_members()``, and ``eras``
        tells when the log has come back from a copy. With ``is_first_start``
        no entry has served before.
        """
        self._topic: typing.Final = topic
        self._history: typing.Final = history
        self._records: typing.Final = records
        self._address: typing.Final = address
        self._list_members: typing.Final = list_members
        self._eras: typing.Final = eras
        self._is_first_start: typing.Final = is_first_start
        # Marks by their keys, as the log was last seen to have them.
        self._known: typing.Final[dict[str, _Mark]] = {}
        self._served: abc.Set[tuple[str, str]] = frozenset()
        self._missing_since: typing.Final[dict[tuple[str, str], float]] = {}
        self._read_at = -math.inf
        self._started_at = -math.inf
        # Era of the log in which the marks were known.
        self._era = 0
        self._log: typing.Final = log_availability.LogAvailability()

    async def run(self) -> None:
        """Read the topic, then keep it until cancelled."""
        self._started_at = trio.current_time()
        while not await self._try(self._read):
            await trio.sleep(_READ_PAUSE_S)
        self._note_earlier()
        while True:
            await self._keep()
            await trio.sleep(_CHECK_S)

    async def _try(self, call: abc.Callable[[], abc.Awaitable[None]]) -> bool:
        """Make a call; False if it failed."""
        try:
            await call()
        except ports.PortError as error:
            self._log.note_outcome(error)
            return False
        self._log.note_outcome(None)
        return True

    async def _read(self) -> None:
        self._read_at = trio.current_time()
        self._era = self._eras.newest
        found = await self._topic.read_newest(_CALL_TIMEOUT_MS)
        marks = {
            record.key: mark
            for record in found.records
            if (mark := _decode_mark(record)) is not None
        }
        self._known.clear()
        self._known.update(marks)
        self._tell_history()

    async def _read_again(self) -> None:
        known = set(self._known)
        await self._read()
        now = trio.current_time()
        for key, mark in self._known.items():
            if key not in known:
                # Another entry has seen what this one's list may lack yet.
                self._history.note(mark.service, (mark.software,), now)

    def _note_earlier(self) -> None:
        """Record what the log tells of the time before the start.

        Marks of an earlier era may lack others that the log has lost.
        """
        now = trio.current_time()
        softwares: dict[str, list[str]] = {}
        for mark in self._known.values():
            if mark.era >= self._eras.newest:
                softwares.setdefault(mark.service, []).append(mark.software)
            else:
                self._history.note(mark.service, (mark.software,), now)
        self._history.note_earlier(
            softwares,
            now,
            are_all_told=self._is_first_start,
        )
        self._records.note_listed()

    async def _keep(self) -> None:
        """Write the marks that are missing, and remove those not needed."""
        now = trio.current_time()
        if self._era != self._eras.newest:
            self._era = self._eras.newest
            self._known.clear()
            self._read_at = -math.inf
        self._note_served()
        is_read_due = now - self._read_at >= (
            _READ_PAUSE_S if self._list_missing() else _READ_AGAIN_S
        )
        if is_read_due and not await self._try(self._read_again):
            return
        for mark in self._list_missing():
            if is_read_due and self._is_writer(mark, now):
                await self._try(functools.partial(self._write, mark))
        if self._records.is_list_current():
            for key, mark in self._list_unneeded(now):
                await self._remove(key, mark)

    def _note_served(self) -> None:
        """Look for marks anew of versions that have come, or come back.

        An unknown version is marked as well where others may have served
        before the start: entries that start later must not take the known
        ones for all.
        """
        now = trio.current_time()
        served = {
            (service, software)
            for service, found in self._records.list_serving().items()
            for software in found
        }
        served |= {
            (service, "")
            for service, window_s in self._records.list_windows_s().items()
            if not self._history.knows_all(service, window_s, now)
        }
        for service, software in served - self._served:
            self._known.pop(make_key(service, software), None)
        self._served = served
        for place in list(self._missing_since):
            if place not in served:
                del self._missing_since[place]

    def _list_missing(self) -> abc.Sequence[_Mark]:
        """Return the marks to write, and note since when they are missing."""
        now = trio.current_time()
        windows_s = self._records.list_windows_s()
        missing = []
        for service, software in sorted(self._served):
            window_s = windows_s.get(service, 0.0)
            wanted = _Mark(service, software, window_s, self._eras.newest)
            known = self._known.get(make_key(service, software))
            if (
                known is None
                or known.window_s < wanted.window_s
                or known.era < wanted.era
            ):
                missing.append(wanted)
                self._missing_since.setdefault((service, software), now)
            else:
                self._missing_since.pop((service, software), None)
        return missing

    def _is_writer(self, mark: _Mark, now: float) -> bool:
        """Tell whether this entry writes a missing mark, or removes one."""
        key = make_key(mark.service, mark.software)
        since = self._missing_since.get((mark.service, mark.software), now)
        if now - since >= _ALL_WRITE_AFTER_S:
            return True
        if now - self._started_at < _KNOWN_MEMBERS_S:
            return False
        return ranking.is_among_first(
            self._address, key, self._list_members(), WRITERS
        )

    async def _write(self, mark: _Mark) -> None:
        key = make_key(mark.service, mark.software)
        value = json.dumps(mark._asdict()).encode()
        await self._topic.put(key, value, _CALL_TIMEOUT_MS)
        self._known[key] = mark
        self._missing_since.pop((mark.service, mark.software), None)
        self._tell_history()

    def _list_unneeded(self, now: float) -> abc.Sequence[tuple[str, _Mark]]:
        """Return the marks of versions that no stream can have begun at."""
        windows_s = self._records.list_windows_s()
        return [
            (key, mark)
            for key, mark in self._known.items()
            if (mark.service, mark.software) not in self._served
            and now - self._history.find_last_seen(mark.service, mark.software)
            > max(mark.window_s, windows_s.get(mark.service, 0.0))
        ]

    async def _remove(self, key: str, mark: _Mark) -> None:
        if self._is_writer(mark, trio.current_time()):
            removed = await self._try(
                functools.partial(self._topic.put, key, None, _CALL_TIMEOUT_MS)
            )
            if not removed:
                return
        # An entry that leaves it to others knows it as removed, too: should
        # the version come back, the mark is looked for anew.
        self._known.pop(key, None)
        self._tell_history()

    def _tell_history(self) -> None:
        self._history.set_marked(
            (mark.service, mark.software) for mark in self._known.values()
        )


def make_key(service: str, software: str) -> str:
    """Return the key of a mark, whatever the length of both names."""
    text = json.dumps([service, software])
    return hashlib.blake2b(text.encode(), digest_size=_KEY_BYTES).hexdigest()


def _decode_mark(record: ports.KeyedRecord) -> typing.Optional[_Mark]:
    """Return the mark in a record, None if it can't be read."""
    if record.value is None:
        return None
    if record.value == _MIXED:
        return _Mark(record.key, "", 0.0, 0)
    try:
        fields = json.loads(record.value)
        window_s = float(fields["window_s"])
        era = int(fields["era"])
        if not (0 <= window_s < math.inf and era >= 0):
            raise ValueError("a number is out of range")
        return _Mark(
            str(fields["service"]), str(fields["software"]), window_s, era
        )
    except (
        ValueError,
        KeyError,
        TypeError,
        OverflowError,
        RecursionError,
    ) as error:
        logs.log_event(
            events.RECORD_IGNORED,
            step="read versions",
            key=record.key,
            offset=record.offset,
            reason=repr(error),
        )
        return None
