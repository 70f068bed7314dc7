"""Bytes and processor time of each message between entry and agent.

The messages are filled as at the target size: names of real length, numbers
with as many digits as they will have.
"""

from collections import abc
import time
import typing

from bench import measures
from gentianpoint_core import codec

__all__ = ("measure",)

_REPEATS: typing.Final = 5
_TIMES: typing.Final = 2000
_TOKENS: typing.Final = (1, 4, 16, 64)
_RUNS: typing.Final = (1, 4, 16)
_PREFIXES: typing.Final = (0, 16, 64)
_TOKEN_TEXT: typing.Final = " palab"
_SERVICE_SPEC_BYTES: typing.Final = 220
_PROMPT_CHARACTERS: typing.Final = 2000
_MICROSECONDS: typing.Final = 1e6
_GENERATION: typing.Final = "modelo-taller-0123-0a1b2c3d4e5f-123456-a1b2c3d4"

Message: typing.TypeAlias = abc.Mapping[str, typing.Any]
"""A message before it is encoded."""


def _make_report(prefixes: int) -> Message:
    return {
        "type": "report",
        "running": 19,
        "queued": 3,
        "memory_used": 0.8123456789,
        "memory_predicted": 0.9123456789,
        "pace_ms": 29.123456789,
        "queue_wait_ms": 123.456789,
        "age_ms": 212,
        "prefixes": [2**63 + number for number in range(prefixes)],
    }


def _make_items(runs: int, tokens: int) -> Message:
    return {
        "type": "items",
        "runs": [
            {
                "call": 123456 + number,
                "first": 1234,
                "texts": [_TOKEN_TEXT] * tokens,
                "chunks": [],
            }
            for number in range(runs)
        ],
    }


_MESSAGES: typing.Final[abc.Mapping[str, Message]] = {
    "hello": {
        "type": "hello",
        "version": 1,
        "peer": "host-00123",
        "incarnation": "0a1b2c3d4e5f",
        "data_centre": "zona-norte-1",
        "offset": 123456,
        "window": 256,
        "report_ms": 5500,
    },
    "welcome": {
        "type": "welcome",
        "version": 1,
        "peer": "host-00123",
        "incarnation": "0a1b2c3d4e5f",
        "data_centre": "zona-norte-1",
        "service": "modelo-taller",
        "target": "modelo-taller-0123",
        "offset": 123456,
        "leaving": False,
    },
    "heartbeat": {"type": "heartbeat", "number": 123456, "echo": 123456},
    "report": _make_report(0),
    "configure": {
        "type": "configure",
        "offset": 123456,
        "revision": 123456,
        "service": b"x" * _SERVICE_SPEC_BYTES,
        "replicas": 245,
    },
    "configured": {
        "type": "configured",
        "offset": 123456,
        "revision": 123456,
    },
    "offer": {
        "type": "offer",
        "call": 123456,
        "attempt": "0a1b2c3d4e5f-123456-1",
        "customer": "customer-012345",
        "weight": 1.0,
        "customer_limit": 4,
        "priority": 5,
        "repeatable": True,
        "start_within_ms": 20000,
        "finish_within_ms": 0,
        "request": {
            "kind": "generation",
            "prompt": "p" * _PROMPT_CHARACTERS,
            "max_tokens": 2048,
            "method": "",
            "path": "",
            "headers": [],
            "body": b"",
        },
        "trace": "00-" + "a" * 32 + "-" + "b" * 16 + "-01",
    },
    "admitted": {
        "type": "admitted",
        "call": 123456,
        "generation": _GENERATION,
    },
    "acknowledge": {"type": "acknowledge", "call": 123456, "through": 1234},
    "ended": {
        "type": "ended",
        "call": 123456,
        "reason": "stop",
        "count": 1234,
        "prompt_tokens": 512,
        "completion_tokens": 1234,
        "detail": "",
    },
    "resume": {
        "type": "resume",
        "call": 123456,
        "generation": _GENERATION,
        "customer": "customer-012345",
        "after": 1234,
    },
}


def _time_codec(message: Message) -> list[float]:
    """Return microseconds to encode and decode a message, repeated."""
    values = []
    for _ in range(_REPEATS):
        began = time.process_time()
        for _ in range(_TIMES):
            decoded = codec.decode_message(
                codec.encode_message(message), "peer"
            )
        took = time.process_time() - began
        assert decoded.is_ok(), decoded
        values.append(took / _TIMES * _MICROSECONDS)
    return values


def _measure_messages(
    name: str, per: str, rows: abc.Mapping[int, Message]
) -> list[measures.Series]:
    sizes = tuple(rows)
    data = [[len(codec.encode_message(row))] for row in rows.values()]
    times = [_time_codec(row) for row in rows.values()]
    return [
        measures.Series(f"message.{name}_bytes", "bytes", per, sizes, data),
        measures.Series(f"message.{name}_cpu", "us", per, sizes, times),
    ]


def measure() -> list[measures.Series]:
    """Return the series of this program."""
    series = []
    for name, message in _MESSAGES.items():
        series += _measure_messages(name, "message", {1: message})
    tokens = {count: _make_items(1, count) for count in _TOKENS}
    series += _measure_messages("items_by_token", "token", tokens)
    runs = {count: _make_items(count, 1) for count in _RUNS}
    series += _measure_messages("items_by_run", "run", runs)
    prefixes = {count or 1: _make_report(count) for count in _PREFIXES}
    series += _measure_messages("report_by_prefix", "prefix", prefixes)
    return series


if __name__ == "__main__":
    measures.write_series(measure())
