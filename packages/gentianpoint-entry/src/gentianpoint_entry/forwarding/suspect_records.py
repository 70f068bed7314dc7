"""Keeps refused requests in the log, for when all entries stop at once.

Entries tell each other of the ends of targets. What they know is lost if none
of them goes on, so a request is written into a topic of the log when it begins
to be refused, and removed when a target answers it. An entry reads the topic
once, when it starts. What the log loses when it comes back from an older copy
is written again.
"""

from collections import abc
import functools
import json
import math
import time
import typing

import trio

from gentianpoint_core import log_eras
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_entry import crash_suspects
from gentianpoint_entry import log_availability

__all__ = ("SuspectRecords",)

_CALL_TIMEOUT_MS: typing.Final = 2000.0
"""Time limit of a call of the log, in milliseconds."""
_RETRY_PAUSE_S: typing.Final = 1.0
"""Pause before a call that failed is repeated, in seconds."""
_MAX_READ_RECORDS: typing.Final = 1024
"""Records that are read, of which each has one request."""


class SuspectRecords:
    """The refused requests, as a topic of the log has them."""

    def __init__(
        self,
        topic: ports.WritableTopic,
        suspects: crash_suspects.CrashSuspects,
        eras: log_eras.LogEras,
        is_writer: abc.Callable[[str], bool],
    ) -> None:
        """Keep ``topic`` as ``suspects`` is, and add to that what it has.

        ``eras`` tells when the log has come back from a copy. Then this entry
        writes the requests again for which ``is_writer`` returns True.
        """
        self._topic: typing.Final = topic
        self._eras: typing.Final = eras
        self._is_writer: typing.Final = is_writer
        self._suspects: typing.Final = suspects
        self._log: typing.Final = log_availability.LogAvailability()
        send, receive = trio.open_memory_channel[str](math.inf)
        self._sender: typing.Final = send
        self._receiver: typing.Final = receive

    def note_changes(self, contents: abc.Iterable[str]) -> None:
        """Note that this entry learned more of the ends under requests."""
        for content in contents:
            if self._suspects.was_ever_refused(content):
                self._sender.send_nowait(content)

    async def run(self) -> None:
        """Read the topic, then write changes until cancelled."""
        era = self._eras.newest
        found = await self._repeat(self._read)
        await self._remove_lapsed(found)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._note_lost, era)
            async for content in self._receiver:
                await self._repeat(functools.partial(self._write, content))

    async def _note_lost(self, era: int) -> None:
        """Have all requests written again in each era after ``era``."""
        while True:
            await self._eras.wait_after(era)
            era = self._eras.newest
            self.note_changes(
                content
                for content in self._suspects.list_ever_refused()
                if self._is_writer(content)
            )

    async def _repeat(
        self,
        call: abc.Callable[[], abc.Awaitable[typing.Any]],
    ) -> typing.Any:
        """Make a call until it succeeds, and return what it returned."""
        while True:
            try:
                result = await call()
            except ports.PortError as error:
                self._log.note_outcome(error)
                await trio.sleep(_RETRY_PAUSE_S)
            else:
                self._log.note_outcome(None)
                return result

    async def _read(self) -> abc.Sequence[ports.KeyedRecord]:
        found = await self._topic.read_newest(_CALL_TIMEOUT_MS)
        return found.records[:_MAX_READ_RECORDS]

    async def _remove_lapsed(
        self, records: abc.Iterable[ports.KeyedRecord]
    ) -> None:
        """Apply records, and remove those that say nothing any more."""
        for record in records:
            now = trio.current_time()
            for news in _decode_record(record):
                self._suspects.merge(news, now)
            if not self._suspects.was_ever_refused(record.key):
                await self._repeat(functools.partial(self._write, record.key))

    async def _write(self, content: str) -> None:
        """Write what is known of a request, or remove it once it may run."""
        ends = [
            [news.target, _to_unix_ms(news.ended_at)]
            for news in self._suspects.list_ends(content)
            if not news.is_cleared
        ]
        value = json.dumps(ends).encode() if ends else None
        await self._topic.put(content, value, _CALL_TIMEOUT_MS)


def _to_unix_ms(at: float) -> int:
    return round((time.time() - (trio.current_time() - at)) * 1000)


def _decode_record(
    record: ports.KeyedRecord,
) -> abc.Sequence[crash_suspects.SuspectNews]:
    """Return the ends in a record, none if it can't be read."""
    now = trio.current_time()
    now_ms = time.time() * 1000
    try:
        return [
            crash_suspects.SuspectNews(
                record.key,
                str(target),
                now - max(0.0, now_ms - int(ended_ms)) / 1000,
                is_cleared=False,
            )
            for target, ended_ms in json.loads(record.value or b"[]")
        ]
    except (ValueError, TypeError, OverflowError, RecursionError) as error:
        logs.log_event(
            events.RECORD_IGNORED,
            step="read refused requests",
            key=record.key,
            offset=record.offset,
            reason=repr(error),
        )
        return ()
