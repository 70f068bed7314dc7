"""Claims on idempotency keys, in a stream of the log for each key.

The log gives out offset 1 of a stream once, whoever appends and however
often. So the claim at offset 1 is the key's claim, for good, and every entry
finds the same one without reading any other key's records. A record that
expired still has its offset: such a key names nothing any more, but it is
never free again.
"""

import typing

import cbor2
import msgspec
import trio

from gentianpoint_core import deadlines
from gentianpoint_core import errors
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_entry import claim_rates

__all__ = ("ClaimStreams", "KeyClaim", "make_unknown")

_FIRST: typing.Final = 1
_MOST_APPENDS: typing.Final = 3
_WITHIN_MS: typing.Final = 2000
_RETRY_AFTER_MS: typing.Final = 1000
_STEP: typing.Final = "claim idempotency key"


class KeyClaim(typing.NamedTuple):
    """What a key names."""

    request: bytes
    """Digest of the request that the key stands for."""
    generation: str
    """Identifier of the generation; only this one may ever start."""


def make_unknown(
    reason: str, peer: str, retry_after_ms: int = _RETRY_AFTER_MS
) -> errors.CallError:
    """Return the answer of a keyed call that can't be bound to its claim.

    It is never ``not_run``: an earlier call with the key may be running, or
    a claim whose reply was lost may be found by a later one.
    """
    return errors.CallError(
        errors.OUTCOME_UNKNOWN,
        reason,
        step=_STEP,
        peer=peer,
        retry_after_ms=retry_after_ms,
    )


def _decode_claim(stream: str, data: bytes) -> KeyClaim:
    try:
        return msgspec.convert(cbor2.loads(data), KeyClaim)
    except Exception as error:  # Broken input must never end a process.
        raise make_unknown("the key's claim can't be read", stream, 0) from (
            error
        )


class ClaimStreams:
    """Finds and makes claims, each step bounded in time."""

    def __init__(
        self, log: ports.Log, rate: claim_rates.ClaimRateLimiter
    ) -> None:
        """Claim in ``log``, as often as ``rate`` allows."""
        self._log: typing.Final = log
        self._rate: typing.Final = rate

    async def find_claim(self, stream: str) -> typing.Optional[KeyClaim]:
        """Return the first claim; None when there never was any.

        Raises :class:`errors.CallError` with ``outcome_unknown`` when the
        log can't be read or the claim has expired.
        """
        deadline = deadlines.make_deadline(_WITHIN_MS)
        with trio.move_on_at(deadline.at):
            return await self._read_first(stream)
        raise self._fail(stream, "the log does not answer")

    async def make_claim(self, stream: str, wanted: KeyClaim) -> KeyClaim:
        """Append a claim and return the one that holds, this or another's.

        Raises :class:`errors.CallError` with ``outcome_unknown`` when that
        can't be told; the claim may hold all the same.
        """
        deadline = deadlines.make_deadline(_WITHIN_MS)
        with trio.move_on_at(deadline.at):
            return await self._append(stream, wanted)
        raise self._fail(stream, "the log does not answer")

    async def _append(self, stream: str, wanted: KeyClaim) -> KeyClaim:
        data = cbor2.dumps(list(wanted))
        for _ in range(_MOST_APPENDS):
            self._require_rate(stream)
            try:
                offset = await self._log.append_record(stream, data)
            except ports.PortError as error:
                if not error.took_effect:
                    raise self._fail(stream, error.reason) from error
                # It may be there, or come to be there later: reading tells
                # who is first, and the same claim once more changes nothing.
                offset = 0
            if offset == _FIRST:
                return wanted
            found = await self._read_first(stream)
            if found is not None:
                return found
        raise self._fail(stream, "the log took no claim")

    def _require_rate(self, stream: str) -> None:
        if not self._rate.take():
            raise self._fail(stream, "this entry claims too many keys")

    async def _read_first(self, stream: str) -> typing.Optional[KeyClaim]:
        try:
            found = await self._log.read_records(stream, _FIRST, 1, 0)
        except ports.PortError as error:
            raise self._fail(stream, error.reason) from error
        if found.next == _FIRST:
            return None
        if not found.records or found.records[0].offset != _FIRST:
            # Who took this for a free key would run what ran long ago.
            logs.log_event(events.KEY_EXPIRED, stream=stream)
            raise make_unknown(
                "the key was used, its claim expired", stream, 0
            )
        return _decode_claim(stream, found.records[0].data)

    def _fail(self, stream: str, reason: str) -> errors.CallError:
        logs.log_event(events.KEY_UNCLAIMED, stream=stream, reason=reason)
        return make_unknown(f"{reason}; send the same key again", stream)
