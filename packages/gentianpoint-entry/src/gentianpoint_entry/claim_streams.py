"""Claims on idempotency keys, with one log stream for each key.

The log assigns offset 1 of a stream only once, however many entries append.
The record at offset 1 is therefore the key's permanent claim, and every entry
finds the same claim without reading the records of other keys. An expired
record keeps its offset, so its key no longer names a generation but never
becomes free again.
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

__all__ = ("ClaimStreams", "KeyClaim", "make_unknown_outcome")

_FIRST_OFFSET: typing.Final = 1
_MAX_APPENDS: typing.Final = 3
"""Attempts to append a claim."""
_LOG_TIMEOUT_MS: typing.Final = 2000
"""Time limit of reading or making a claim, in milliseconds."""
_RETRY_AFTER_MS: typing.Final = 1000
"""Default retry delay that callers are told, in milliseconds."""
_STEP: typing.Final = "claim idempotency key"


class KeyClaim(typing.NamedTuple):
    """The claim of a key for one generation."""

    request: bytes
    """Digest of the request for which the key was used."""
    generation: str
    """Identifier of the only generation that may start for the key."""


def make_unknown_outcome(
    reason: str, peer: str, retry_after_ms: int = _RETRY_AFTER_MS
) -> errors.CallError:
    """Return the error of a keyed call that can't be bound to its claim.

    The outcome is never ``not_run``: an earlier call with the key may be
    running, and a claim whose reply was lost may take effect later.
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
    except Exception as error:  # Corrupt data must not stop the process.
        raise make_unknown_outcome(
            "the key's claim can't be read", stream, 0
        ) from (error)


class ClaimStreams:
    """Reads and appends claims with a time limit on each operation."""

    def __init__(
        self, log: ports.Log, rate: claim_rates.ClaimRateLimiter
    ) -> None:
        """Append claims to ``log``, limited by ``rate``."""
        self._log: typing.Final = log
        self._rate: typing.Final = rate

    async def find_claim(self, stream: str) -> typing.Optional[KeyClaim]:
        """Return the claim of a stream; None if the key was never claimed.

        Raises :class:`errors.CallError` with ``outcome_unknown`` when the
        log can't be read or the claim has expired.
        """
        deadline = deadlines.make_deadline(_LOG_TIMEOUT_MS)
        with trio.move_on_at(deadline.at):
            return await self._read_first(stream)
        raise self._report_unclaimed(stream, "the log does not answer")

    async def make_claim(self, stream: str, wanted: KeyClaim) -> KeyClaim:
        """Append a claim and return the valid one, which may be another's.

        Raises :class:`errors.CallError` with ``outcome_unknown`` when the
        valid claim can't be determined; ``wanted`` may still become it.
        """
        deadline = deadlines.make_deadline(_LOG_TIMEOUT_MS)
        with trio.move_on_at(deadline.at):
            return await self._append(stream, wanted)
        raise self._report_unclaimed(stream, "the log does not answer")

    async def _append(self, stream: str, wanted: KeyClaim) -> KeyClaim:
        data = cbor2.dumps(list(wanted))
        for _ in range(_MAX_APPENDS):
            self._require_rate(stream)
            try:
                offset = await self._log.append_record(stream, data)
            except ports.PortError as error:
                if not error.took_effect:
                    raise self._report_unclaimed(
                        stream, error.reason
                    ) from error
                # The append may have succeeded or may still take effect.
                # Reading shows which claim is first, and appending the same
                # claim again is harmless.
                offset = 0
            if offset == _FIRST_OFFSET:
                return wanted
            found = await self._read_first(stream)
            if found is not None:
                return found
        raise self._report_unclaimed(stream, "the log took no claim")

    def _require_rate(self, stream: str) -> None:
        if not self._rate.try_acquire():
            raise self._report_unclaimed(
                stream, "this entry claims too many keys"
            )

    async def _read_first(self, stream: str) -> typing.Optional[KeyClaim]:
        try:
            found = await self._log.read_records(stream, _FIRST_OFFSET, 1, 0)
        except ports.PortError as error:
            raise self._report_unclaimed(stream, error.reason) from error
        if found.next == _FIRST_OFFSET:
            return None
        if not found.records or found.records[0].offset != _FIRST_OFFSET:
            # Treating the key as free would run an old request again.
            logs.log_event(events.KEY_EXPIRED, stream=stream)
            raise make_unknown_outcome(
                "the key was used, its claim expired", stream, 0
            )
        return _decode_claim(stream, found.records[0].data)

    def _report_unclaimed(self, stream: str, reason: str) -> errors.CallError:
        logs.log_event(events.KEY_UNCLAIMED, stream=stream, reason=reason)
        return make_unknown_outcome(
            f"{reason}; send the same key again", stream
        )
