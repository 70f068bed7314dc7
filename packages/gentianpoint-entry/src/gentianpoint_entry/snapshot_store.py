"""Reads and writes snapshots of the configuration in the log."""

from collections import abc
import math
import secrets
import typing

import trio

from gentianpoint_core import configuration
from gentianpoint_core import errors
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core import snapshots
from gentianpoint_core.generated import events
from gentianpoint_entry import garbage_collection

__all__ = ("read_newest_entry", "read_newer_state", "write_snapshot")

_IDENTIFIER_BYTES: typing.Final = 8
"""Length of a snapshot's identifier, random bytes."""
_TRIED_ENTRIES: typing.Final = 8
"""Number of the latest index entries whose snapshots are tried."""
_PARTS_AT_ONCE: typing.Final = 4
"""Number of parts that one read returns at most."""


async def _read_entries(
    log: ports.Log,
) -> abc.Sequence[snapshots.IndexEntry]:
    """Return the latest index entries, the highest offset first."""
    end = await log.read_records(snapshots.INDEX_STREAM, 1, 1, 0)
    start = max(1, end.first, end.next - _TRIED_ENTRIES)
    batch = await log.read_records(
        snapshots.INDEX_STREAM, start, _TRIED_ENTRIES, 0
    )
    entries = [
        entry
        for record in batch.records
        if (entry := snapshots.decode_index_entry(record.data))
    ]
    return sorted(entries, key=lambda entry: -entry.offset)


async def read_newest_entry(
    log: ports.Log,
) -> typing.Optional[snapshots.IndexEntry]:
    """Return the index entry of the snapshot with the highest offset.

    Raises :class:`ports.PortError` when the log can't be read.
    """
    entries = await _read_entries(log)
    return entries[0] if entries else None


async def read_newer_state(
    log: ports.Log, offset: int, before: float = math.inf
) -> typing.Optional[configuration.Configuration]:
    """Return the newest complete snapshot above ``offset``, or None.

    Its offset is below ``before``, the end of the configuration stream: a log
    that lost records may have kept a snapshot of them.

    A snapshot that lacks parts, or whose digest is wrong, is logged as
    refused, and the next older one is tried. Raises
    :class:`ports.PortError` when the log can't be read.
    """
    for entry in await _read_entries(log):
        if entry.offset <= offset:
            return None
        if entry.offset >= before:
            continue
        records = await _read_parts(log, entry)
        garbage_collection.freeze_live_objects()
        result = await trio.to_thread.run_sync(
            snapshots.join_parts, entry, records
        )
        if result.is_ok() and result.ok.offset == entry.offset:
            return result.ok
        failure = errors.Failure(
            "load snapshot",
            entry.snapshot,
            "the offset is not that of the index entry",
        )
        if result.is_error():
            failure = result.error
        logs.log_event(
            events.STATE_REFUSED,
            step=failure.step,
            peer=entry.snapshot,
            reason=failure.reason,
        )
    return None


async def _read_parts(
    log: ports.Log, entry: snapshots.IndexEntry
) -> abc.Sequence[bytes]:
    records: list[bytes] = []
    start = entry.first
    while start <= entry.last:
        batch = await log.read_records(
            snapshots.SNAPSHOT_STREAM, start, _PARTS_AT_ONCE, 0
        )
        if not batch.records:
            return records
        records += [
            record.data
            for record in batch.records
            if record.offset <= entry.last
        ]
        start = batch.records[-1].offset + 1
    return records


async def write_snapshot(
    log: ports.Log, state: configuration.Configuration
) -> snapshots.IndexEntry:
    """Append a snapshot of ``state`` and return its index entry.

    The index entry is written after the parts, so that a writer which dies
    in between leaves unreferenced parts, but never an entry without parts.
    Raises :class:`ports.PortError`, also for an append whose reply was lost,
    since the offset of the part isn't known then.
    """
    encoded = await trio.to_thread.run_sync(
        snapshots.encode_state, state.copy_state()
    )
    identifier = secrets.token_hex(_IDENTIFIER_BYTES)
    era = log.find_newest_era()
    parts = await trio.to_thread.run_sync(
        snapshots.split_state, encoded, identifier
    )
    offsets = [
        await log.append_record(snapshots.SNAPSHOT_STREAM, part)
        for part in parts
    ]
    if log.find_newest_era() != era:
        raise ports.PortError(
            "write snapshot",
            "log",
            "it came back from an older copy meanwhile",
            took_effect=False,
        )
    entry = snapshots.IndexEntry(
        identifier, encoded.offset, encoded.digest, offsets[0], offsets[-1]
    )
    await log.append_record(
        snapshots.INDEX_STREAM, snapshots.encode_record(entry)
    )
    logs.log_event(
        events.SNAPSHOT_WRITTEN,
        offset=entry.offset,
        snapshot=identifier,
        parts=len(parts),
        bytes=sum(len(part) for part in parts),
    )
    return entry
