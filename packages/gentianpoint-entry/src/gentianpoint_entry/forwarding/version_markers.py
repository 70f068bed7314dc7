"""Keeps in the log which services have targets of several versions.

Entries remember which versions served lately. What they know is lost if all
of them start again at once, so a service is written into a topic of the log
when a second version comes, and removed once one version has served for as
long as any stream lasts. An entry reads the topic once, when it starts. What
the log loses when it comes back from an older copy is written again.
"""

from collections import abc
import functools
import typing

import trio

from gentianpoint_core import log_eras
from gentianpoint_core import ports
from gentianpoint_core.decisions import ranking
from gentianpoint_entry import log_availability
from gentianpoint_entry.forwarding import software_history
from gentianpoint_entry.forwarding import stream_records

__all__ = ("VersionMarkers",)

_CALL_TIMEOUT_MS: typing.Final = 2000.0
"""Time limit of a call of the log, in milliseconds."""
_CHECK_S: typing.Final = 1.0
"""Seconds between checks, and before a call that failed is repeated."""
_WRITERS: typing.Final = 2
"""Entries that write a change; one of them may be lost."""
_MARK: typing.Final = b"1"


class VersionMarkers:
    """The services with several versions, as a topic of the log has them."""

    def __init__(
        self,
        topic: ports.WritableTopic,
        history: software_history.SoftwareHistory,
        records: stream_records.StreamRecords,
        address: str,
        list_members: abc.Callable[[], abc.Collection[str]],
        eras: log_eras.LogEras,
    ) -> None:
        """Keep ``topic`` as ``records`` sees the services.

        ``address`` is this entry's among ``list_members()``, and ``eras``
        tells when the log has come back from a copy.
        """
        self._topic: typing.Final = topic
        self._history: typing.Final = history
        self._records: typing.Final = records
        self._address: typing.Final = address
        self._list_members: typing.Final = list_members
        self._eras: typing.Final = eras
        self._marked: typing.Final[set[str]] = set()
        # Era of the log in which the services were marked.
        self._era = 0
        self._log: typing.Final = log_availability.LogAvailability()

    async def run(self) -> None:
        """Read the topic, then write changes until cancelled."""
        while not await self._try(self._read):
            await trio.sleep(_CHECK_S)
        while True:
            await trio.sleep(_CHECK_S)
            await self._write_changes()

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
        self._era = self._eras.newest
        found = await self._topic.read_newest(_CALL_TIMEOUT_MS)
        self._marked.update(
            record.key for record in found.records if record.value is not None
        )
        self._history.note_earlier(self._marked, trio.current_time())

    async def _write_changes(self) -> None:
        if self._era != self._eras.newest:
            # A service that the log still marks although it has one version
            # by now is remembered for longer than needed, at most.
            self._era = self._eras.newest
            self._marked.clear()
        for service, is_mixed in self._records.list_mixed().items():
            if is_mixed != (service in self._marked):
                # One that can't be written must not hold up the others.
                await self._try(
                    functools.partial(self._write_change, service, is_mixed)
                )

    async def _write_change(self, service: str, is_mixed: bool) -> None:
        members = self._list_members()
        if ranking.is_among_first(self._address, service, members, _WRITERS):
            value = _MARK if is_mixed else None
            await self._topic.put(service, value, _CALL_TIMEOUT_MS)
        # Others write it otherwise.
        if is_mixed:
            self._marked.add(service)
        else:
            self._marked.discard(service)
