"""The stream of changes that an operator watches, one JSON object a line.

A watcher has a cursor into the changes that the configuration keeps; nothing
is queued for it. A watcher that reads slowly falls behind. Once changes after
its cursor are no longer kept, its stream ends with a ``compacted`` line, and
it has to list the resources again. So a slow watcher uses a connection, but
no memory for its backlog.
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
"""Time without another line after which a heartbeat is sent, seconds."""
_MAX_WATCHERS: typing.Final = 64
_MAX_TRACKED: typing.Final = 64
"""Number of changes per watcher whose progress on the hosts is reported."""
_RETRY_AFTER_MS: typing.Final = 5000


def _encode_line(kind: str, body: abc.Mapping[str, typing.Any]) -> bytes:
    return msgspec.json.encode({"type": kind, **body}) + b"\n"


class _Watch:
    """The stream of one watcher."""

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
        self._era = state.tail.position.era
        self._kind: typing.Final = kind
        self._reported_pending: set[str] = set()
        self._tracked_counts: typing.Final[dict[int, int]] = {}
        self._tracked_changes: typing.Final[dict[int, str]] = {}

    def is_compacted(self) -> bool:
        """Tell whether changes after the cursor are no longer kept.

        That holds for a cursor of an earlier era, too: the log has given out
        the offsets after it again.
        """
        tail = self._state.tail
        return (
            self._cursor < tail.state.find_oldest_watch_offset()
            or self._cursor > tail.state.offset
            or self._era != tail.position.era
        )

    async def stream_lines(self) -> abc.AsyncGenerator[bytes, None]:
        """Yield lines until the watcher disconnects or its cursor expires."""
        version = -1
        yield self._encode_heartbeat()
        while not self.is_compacted():
            while version != self._state.tracker.version:
                version = self._state.tracker.version
                for line in self._encode_new_lines():
                    yield line
            self._state.tracker.keep_following()
            with trio.move_on_after(_HEARTBEAT_S) as scope:
                await self._state.tracker.wait_changed(version)
            if scope.cancelled_caught:
                yield self._encode_heartbeat()
        yield _encode_line(_COMPACTED_CODE, {"revision": self._cursor})

    def _encode_heartbeat(self) -> bytes:
        revision = self._state.tail.state.offset
        return _encode_line("heartbeat", {"revision": revision})

    def _encode_new_lines(self) -> list[bytes]:
        return [
            *self._encode_pending(),
            *self._encode_outcomes(),
            *self._encode_in_force(),
        ]

    def _matches_kind(self, kind: str) -> bool:
        return self._kind in ("", kind)

    def _encode_pending(self) -> abc.Iterator[bytes]:
        rows = self._writer.list_pending()
        for row in rows:
            if row.change not in self._reported_pending and self._matches_kind(
                row.kind
            ):
                yield _encode_line(
                    "change", change_answers.describe_change(row)
                )
        self._reported_pending = {row.change for row in rows}

    def _encode_outcomes(self) -> abc.Iterator[bytes]:
        for outcome in self._state.tail.state.list_outcomes():
            if outcome.offset <= self._cursor:
                continue
            self._cursor = outcome.offset
            if self._matches_kind(outcome.kind):
                yield self._encode_outcome(outcome)

    def _encode_outcome(self, outcome: configuration.ChangeOutcome) -> bytes:
        row: dict[str, typing.Any] = dict(
            change_answers.describe_change(outcome)
        )
        if outcome.accepted:
            self._track(outcome)
            resource = self._state.tail.state.find_resource(
                outcome.kind, outcome.name
            )
            # A specification that a later change replaced is not kept; the
            # later change is reported with its own.
            if resource is not None and resource.revision == outcome.offset:
                row["spec"] = msgspec.json.decode(resource.spec)
        return _encode_line("change", row)

    def _track(self, outcome: configuration.ChangeOutcome) -> None:
        self._tracked_counts[outcome.offset] = -1
        self._tracked_changes[outcome.offset] = outcome.change
        while len(self._tracked_counts) > _MAX_TRACKED:
            self._untrack(next(iter(self._tracked_counts)))

    def _untrack(self, offset: int) -> None:
        del self._tracked_counts[offset]
        del self._tracked_changes[offset]

    def _encode_in_force(self) -> abc.Iterator[bytes]:
        for offset, last_count in tuple(self._tracked_counts.items()):
            progress = self._state.tracker.count_hosts_in_force(offset)
            if progress.in_force_count != last_count:
                self._tracked_counts[offset] = progress.in_force_count
                yield self._encode_count(offset, progress)
            if (
                progress.live_count
                and progress.in_force_count == progress.live_count
            ):
                self._untrack(offset)

    def _encode_count(
        self, offset: int, progress: status_tracker.InForce
    ) -> bytes:
        return _encode_line(
            "in_force",
            {
                "change": self._tracked_changes[offset],
                "revision": offset,
                **change_answers.describe_in_force(progress),
            },
        )


class Watchers:
    """Opens streams for watching operators, up to a maximum number."""

    def __init__(
        self,
        state: administration_state.AdministrationState,
        writer: change_writer.ChangeWriter,
    ) -> None:
        """Report the changes of ``state`` and those pending in ``writer``."""
        self._state: typing.Final = state
        self._writer: typing.Final = writer
        self._open_count = 0

    def open_watch(
        self, after: int, kind: str
    ) -> abc.AsyncGenerator[bytes, None]:
        """Return the lines of a new watcher.

        ``after`` is the last revision that the watcher has seen. ``kind``
        limits the lines to resources of this kind; empty means all kinds.
        Raises 410 ``compacted`` when changes after the revision are no
        longer kept, and ``not_run`` when there are too many watchers.
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
        if self._open_count >= _MAX_WATCHERS:
            raise errors.CallError(
                errors.NOT_RUN,
                "this entry has too many watchers",
                step="watch changes",
                retry_after_ms=_RETRY_AFTER_MS,
            )
        return self._count_open(watch)

    async def _count_open(
        self, watch: _Watch
    ) -> abc.AsyncGenerator[bytes, None]:
        self._open_count += 1
        try:
            async for line in watch.stream_lines():
                yield line
        finally:
            self._open_count -= 1
