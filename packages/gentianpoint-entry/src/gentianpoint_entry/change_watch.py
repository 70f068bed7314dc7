"""Lines that an operator who watches gets, one JSON object each.

A watcher has a place in the order of changes and reads the fold from there;
nothing is queued for it. One that reads slowly falls behind, and when it has
fallen behind what is kept it is told so and starts again from a list. So a
slow watcher costs its connection and no memory.
"""

from collections import abc
import typing

import msgspec
import trio

from gentianpoint_core import configuration
from gentianpoint_core import errors
from gentianpoint_entry import administration_state
from gentianpoint_entry import change_answers
from gentianpoint_entry import change_writer
from gentianpoint_entry import status_tracker

__all__ = ("Watchers",)

_COMPACTED_CODE: typing.Final = "compacted"
_COMPACTED_STATUS: typing.Final = 410
_HEARTBEAT_S: typing.Final = 3.0
_MOST_WATCHERS: typing.Final = 64
_MOST_COUNTED: typing.Final = 64
_RETRY_AFTER_MS: typing.Final = 5000


def _encode_line(kind: str, body: abc.Mapping[str, typing.Any]) -> bytes:
    return msgspec.json.encode({"type": kind, **body}) + b"\n"


class _Watch:
    """One watcher's place in the order of changes."""

    def __init__(
        self,
        state: administration_state.AdministrationState,
        writer: change_writer.ChangeWriter,
        after: int,
        kind: str,
    ) -> None:
        self._state: typing.Final = state
        self._writer: typing.Final = writer
        self._cursor = after
        self._kind: typing.Final = kind
        self._pending: set[str] = set()
        self._counted: typing.Final[dict[int, int]] = {}
        self._changes: typing.Final[dict[int, str]] = {}

    def is_compacted(self) -> bool:
        """Tell whether changes after the watcher's place are forgotten."""
        return self._cursor < self._state.tail.state.find_oldest_watch_offset()

    async def write_lines(self) -> abc.AsyncGenerator[bytes, None]:
        """Yield lines until the watcher goes or has fallen behind."""
        version = -1
        yield self._write_heartbeat()
        while not self.is_compacted():
            while version != self._state.board.version:
                version = self._state.board.version
                for line in self._write_news():
                    yield line
            self._state.board.ask()
            with trio.move_on_after(_HEARTBEAT_S) as scope:
                await self._state.board.wait_changed(version)
            if scope.cancelled_caught:
                yield self._write_heartbeat()
        yield _encode_line(_COMPACTED_CODE, {"revision": self._cursor})

    def _write_heartbeat(self) -> bytes:
        revision = self._state.tail.state.offset
        return _encode_line("heartbeat", {"revision": revision})

    def _write_news(self) -> list[bytes]:
        return [
            *self._write_pending(),
            *self._write_outcomes(),
            *self._write_in_force(),
        ]

    def _is_wanted(self, kind: str) -> bool:
        return self._kind in ("", kind)

    def _write_pending(self) -> abc.Iterator[bytes]:
        rows = self._writer.list_pending()
        for row in rows:
            if row.change not in self._pending and self._is_wanted(row.kind):
                yield _encode_line(
                    "change", change_answers.describe_change(row)
                )
        self._pending = {row.change for row in rows}

    def _write_outcomes(self) -> abc.Iterator[bytes]:
        for outcome in self._state.tail.state.list_outcomes():
            if outcome.offset <= self._cursor:
                continue
            self._cursor = outcome.offset
            if self._is_wanted(outcome.kind):
                yield self._write_outcome(outcome)

    def _write_outcome(self, outcome: configuration.ChangeOutcome) -> bytes:
        row: dict[str, typing.Any] = dict(
            change_answers.describe_change(outcome)
        )
        if outcome.accepted:
            self._count_from_now(outcome)
            found = self._state.tail.state.find_resource(
                outcome.kind, outcome.name
            )
            # A specification that a later change replaced is not kept; that
            # change has a line of its own.
            if found is not None and found.revision == outcome.offset:
                row["spec"] = msgspec.json.decode(found.spec)
        return _encode_line("change", row)

    def _count_from_now(self, outcome: configuration.ChangeOutcome) -> None:
        self._counted[outcome.offset] = -1
        self._changes[outcome.offset] = outcome.change
        while len(self._counted) > _MOST_COUNTED:
            self._stop_counting(next(iter(self._counted)))

    def _stop_counting(self, offset: int) -> None:
        del self._counted[offset]
        del self._changes[offset]

    def _write_in_force(self) -> abc.Iterator[bytes]:
        for offset, counted in tuple(self._counted.items()):
            found = self._state.board.count_in_force(offset)
            if found.n != counted:
                self._counted[offset] = found.n
                yield self._write_count(offset, found)
            if found.of and found.n == found.of:
                self._stop_counting(offset)

    def _write_count(
        self, offset: int, found: status_tracker.InForce
    ) -> bytes:
        return _encode_line(
            "in_force",
            {
                "change": self._changes[offset],
                "revision": offset,
                **change_answers.describe_in_force(found),
            },
        )


class Watchers:
    """The operators who watch through this entry; their number is bounded."""

    def __init__(
        self,
        state: administration_state.AdministrationState,
        writer: change_writer.ChangeWriter,
    ) -> None:
        """Show the changes of ``state`` and the writes of ``writer``."""
        self._state: typing.Final = state
        self._writer: typing.Final = writer
        self._count = 0

    def open_watch(
        self, after: int, kind: str
    ) -> abc.AsyncGenerator[bytes, None]:
        """Return the lines of a new watcher.

        ``after`` is the last revision it has; a ``kind`` leaves out other
        resources. Raises 410 ``compacted`` when changes after the revision
        are forgotten, and ``not_run`` when there are too many watchers.
        """
        watch = _Watch(self._state, self._writer, after, kind)
        if watch.is_compacted():
            raise errors.CallError(
                _COMPACTED_CODE,
                f"changes after revision {after} are no longer kept: list "
                "the resources and watch from the list's revision",
                step="watch changes",
                status=_COMPACTED_STATUS,
            )
        if self._count >= _MOST_WATCHERS:
            raise errors.CallError(
                errors.NOT_RUN,
                "this entry has too many watchers",
                step="watch changes",
                retry_after_ms=_RETRY_AFTER_MS,
            )
        return self._count_while(watch)

    async def _count_while(
        self, watch: _Watch
    ) -> abc.AsyncGenerator[bytes, None]:
        self._count += 1
        try:
            async for line in watch.write_lines():
                yield line
        finally:
            self._count -= 1
