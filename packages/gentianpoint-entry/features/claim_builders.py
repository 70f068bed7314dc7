"""A log of one stream that does what its script says."""

from collections import abc
import typing

import cbor2
import trio

from gentianpoint_core import ports
from gentianpoint_core.generated import messages
from gentianpoint_entry import claim_streams

__all__ = ("MINE", "OTHERS", "ScriptedLog", "make_request")

MINE: typing.Final = claim_streams.KeyClaim(b"digest", "mine")
"""The claim of the entry that is looked at."""
OTHERS: typing.Final = claim_streams.KeyClaim(b"digest", "others")
"""The claim of another entry."""
_OTHER: typing.Final = "follow another entry's"


def _encode(claim: claim_streams.KeyClaim) -> bytes:
    return cbor2.dumps(list(claim))


def make_request(**changes: typing.Any) -> messages.Request:
    """Return a request with ``changes``."""
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
    """Answers each append as the next line of the script says."""

    def __init__(self, script: abc.Sequence[str] = ()) -> None:
        """Keep no record; a script that is spent repeats its last line."""
        self.records: typing.Final[list[bytes]] = []
        self.first = 1
        self.appends = 0
        self.reading = "works"
        self._script: typing.Final = list(script)
        self._late: typing.Optional[bytes] = None

    def put_records(self, words: str) -> None:
        """Have the records that a table's words name."""
        match words:
            case "one claim" | "an expired claim":
                self.records.append(_encode(OTHERS))
            case "two claims" | "an expired claim and another":
                self.records += [_encode(OTHERS), _encode(MINE)]
            case "a claim that can't be read":
                self.records.append(b"\xff")
        if "expired" in words:
            self.first = 2

    async def append_record(self, stream: str, data: bytes) -> int:
        """Append as the script says."""
        self.appends += 1
        step = self._script[0]
        if len(self._script) > 1:
            del self._script[0]
        if self._late is not None:
            self.records.append(self._late)
            self._late = None
        if step.startswith(_OTHER):
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
        self.records.append(b"\xff" if broken else _encode(OTHERS))
        if "expired" in step:
            self.first = 2

    async def read_records(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> ports.LogSlice:
        """Read what is kept."""
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
