"""A fake log with one stream and scripted failures."""

from collections import abc
import typing

import cbor2
import trio

from gentianpoint_core import ports
from gentianpoint_core.generated import messages
from gentianpoint_entry import claim_streams

__all__ = ("OWN_CLAIM", "OTHER_CLAIM", "ScriptedLog", "make_request")

OWN_CLAIM: typing.Final = claim_streams.KeyClaim(b"digest", "mine")
"""Claim of the entry under test."""
OTHER_CLAIM: typing.Final = claim_streams.KeyClaim(b"digest", "others")
"""Claim of another entry."""
_OTHER_FIRST: typing.Final = "follow another entry's"


def _encode(claim: claim_streams.KeyClaim) -> bytes:
    return cbor2.dumps(list(claim))


def make_request(**changes: typing.Any) -> messages.Request:
    """Return a request with some fields replaced by ``changes``."""
    request: messages.Request = {
        "kind": "plain",
        "prompt": "a",
        "max_tokens": 1,
        "method": "POST",
        "path": "/a",
        "headers": [],
        "body": b"a",
    }
    return typing.cast(messages.Request, {**request, **changes})


class ScriptedLog(ports.Log):
    """Log that handles each append as the next script step says."""

    def __init__(self, script: abc.Sequence[str] = ()) -> None:
        """Start without records; the last step of the script repeats."""
        self.records: typing.Final[list[bytes]] = []
        self.first = 1
        self.appends = 0
        self.reading = "works"
        self._script: typing.Final = list(script)
        self._late: typing.Optional[bytes] = None

    def put_records(self, words: str) -> None:
        """Add the records that a table cell describes."""
        match words:
            case "one claim" | "an expired claim":
                self.records.append(_encode(OTHER_CLAIM))
            case "two claims" | "an expired claim and another":
                self.records += [_encode(OTHER_CLAIM), _encode(OWN_CLAIM)]
            case "a claim that can't be read":
                self.records.append(b"\xff")
        if "expired" in words:
            self.first = 2

    async def append_record(self, stream: str, data: bytes) -> int:
        """Append a record, or fail, as the next step says."""
        self.appends += 1
        step = self._script[0]
        if len(self._script) > 1:
            del self._script[0]
        if self._late is not None:
            self.records.append(self._late)
            self._late = None
        if step.startswith(_OTHER_FIRST):
            self._let_other_be_first(step)
        if step == "are refused":
            raise _fail(took_effect=False)
        if step == "are never answered":
            await trio.sleep_forever()
        if step == "take effect late":
            self._late = data
        if step in ("are lost", "take effect late"):
            raise _fail(took_effect=True)
        self.records.append(data)
        offset = len(self.records)
        if step == "are taken twice":
            self.records.append(data)
        if "lose the reply" in step:
            raise _fail(took_effect=True)
        return offset

    def _let_other_be_first(self, step: str) -> None:
        broken = "can't be read" in step
        self.records.append(b"\xff" if broken else _encode(OTHER_CLAIM))
        if "expired" in step:
            self.first = 2

    async def read_records(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> ports.LogSlice:
        """Return the records that have not expired, or fail."""
        if self.reading == "refuses to read":
            raise _fail(took_effect=False)
        if self.reading == "answers nothing":
            await trio.sleep_forever()
        rows = [
            ports.LogRecord(offset, data)
            for offset, data in enumerate(self.records, 1)
            if offset >= max(start, self.first)
        ]
        return ports.LogSlice(self.first, len(self.records) + 1, rows[:limit])


def _fail(*, took_effect: bool) -> ports.PortError:
    return ports.PortError("use log", "log", "out", took_effect=took_effect)
