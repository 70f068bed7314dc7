"""Where streams began, for those that callers may take up.

A record belongs to one customer, and no customer can push out the records of
others. Records are forgotten when their callers no longer wait.
"""

from collections import abc
import hashlib
import typing

from gentianpoint_core.decisions import stream_origins

__all__ = (
    "MAX_KEPT_S",
    "OriginRecord",
    "OriginTable",
    "make_key",
    "pack_record",
    "unpack_records",
)

_Row = abc.Mapping[str, typing.Any]
MAX_KEPT_S: typing.Final = 600.0
"""Seconds, at most, for which a record is kept."""
_MAX_TEXT: typing.Final = 300
"""Longest text in a record that another process tells."""

_OWNER_DIGITS: typing.Final = 8
"""First hex digits of a key, which stand for the customer."""
_KEY_DIGITS: typing.Final = 32
"""Hex digits of a key."""
_MAX_RECORDS: typing.Final = 8192
"""Records that are kept; each takes about half a kilobyte."""


class OriginRecord(typing.NamedTuple):
    """Where one stream began."""

    key: str
    """Key of the stream, see :func:`make_key`."""
    origin: stream_origins.StreamOrigin
    """The start that brought its first event."""
    expires_at: float
    """When its caller no longer waits, in seconds of the own clock."""


def make_key(customer: str, request_id: str) -> str:
    """Return the key of a customer's stream.

    ``request_id`` names the attempt that brought its first event. The key
    can't be told by another customer, who would have another one.
    """
    owner = _digest(customer)[:_OWNER_DIGITS]
    return owner + _digest(f"{customer}\n{request_id}")[:-_OWNER_DIGITS]


def _digest(text: str) -> str:
    raw = text.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(raw, digest_size=_KEY_DIGITS // 2).hexdigest()


def pack_record(record: OriginRecord, now: float) -> _Row:
    """Return a record as it is told to other processes at ``now``."""
    return {
        "key": record.key,
        **record.origin._asdict(),
        "left_ms": round((record.expires_at - now) * 1000),
    }


def unpack_records(
    rows: abc.Iterable[_Row], now: float
) -> abc.Iterator[OriginRecord]:
    """Yield the usable records of those that were told at ``now``."""
    for row in rows:
        texts = (row["key"], row["service"], row["start"], row["software"])
        if max(map(len, texts)) > _MAX_TEXT:
            continue
        left_s = min(max(0, row["left_ms"]), MAX_KEPT_S * 1000) / 1000
        origin = stream_origins.StreamOrigin(*texts[1:])
        yield OriginRecord(row["key"], origin, now + left_s)


class OriginTable:
    """Records of streams, up to a number that is shared by customers."""

    def __init__(self, most: int = _MAX_RECORDS) -> None:
        """Keep ``most`` records."""
        self._most: typing.Final = most
        self._records: typing.Final[dict[str, OriginRecord]] = {}
        # Keys by customer, oldest first.
        self._owned: typing.Final[dict[str, dict[str, None]]] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def find(
        self, key: str, now: float
    ) -> typing.Optional[stream_origins.StreamOrigin]:
        """Return where a stream began, None if that is not known."""
        record = self._records.get(key)
        if record is None or record.expires_at <= now:
            return None
        return record.origin

    def put(self, record: OriginRecord) -> None:
        """Keep a record.

        Of two that differ neither can be relied on, so no target goes on with
        the stream.
        """
        known = self._records.get(record.key)
        if known is not None and known.origin != record.origin:
            unusable = stream_origins.StreamOrigin(
                record.origin.service, "", ""
            )
            record = record._replace(origin=unusable)
        elif known is None and len(self._records) >= self._most:
            self._make_room(_get_owner(record.key))
        self._records[record.key] = record
        self._owned.setdefault(_get_owner(record.key), {})[record.key] = None

    def list_by_service(self, service: str) -> abc.Sequence[OriginRecord]:
        """Return the records of streams that a service began."""
        return [
            record
            for record in self._records.values()
            if record.origin.service == service
        ]

    def drop(self, key: str) -> None:
        """Forget a stream."""
        if self._records.pop(key, None) is None:
            return
        owned = self._owned[_get_owner(key)]
        del owned[key]
        if not owned:
            del self._owned[_get_owner(key)]

    def _make_room(self, owner: str) -> None:
        """Drop the oldest record of a customer with more than its share.

        That is the one whose record comes, or else the oldest of all.
        """
        owned = self._owned.get(owner, {})
        is_above_share = len(owned) * len(self._owned) >= self._most
        self.drop(next(iter(owned if is_above_share else self._records)))

    def prune(self, now: float) -> None:
        """Forget streams whose callers no longer wait."""
        lapsed = [
            key
            for key, record in self._records.items()
            if record.expires_at <= now
        ]
        for key in lapsed:
            self.drop(key)


def _get_owner(key: str) -> str:
    return key[:_OWNER_DIGITS]
