"""Cost of the configuration: a record folded, the state kept and started.

The state is measured at 1,000, 10,000 and 48,000 customers. Memory is what
a fresh child of this program gains by decoding the state.
"""

from collections import abc
import hashlib
import os
import time
import typing

from bench import measures
from gentianpoint_core import configuration

__all__ = ("measure",)

_CUSTOMERS: typing.Final = (1000, 10_000, 48_000)
_SERVICES: typing.Final = 11
_FOLDED: typing.Final = 1000
_REPEATS: typing.Final = 3
_MICROSECONDS: typing.Final = 1e6
_MILLISECONDS: typing.Final = 1e3
_PAGE_BYTES: typing.Final = 8


def _make_record(number: int) -> bytes:
    name = f"customer-{number:06}"
    return configuration.encode_change(
        f"change-0a1b2c3d4e5f-{number:08}",
        "put",
        "customer",
        name,
        configuration.ANY_REVISION,
        {
            "key_hashes": [hashlib.sha256(name.encode()).hexdigest()],
            "weight": 1.0,
            "max_concurrent": 8,
            "priority": 5,
        },
    )


def _make_service(number: int) -> bytes:
    return configuration.encode_change(
        f"change-service-{number}",
        "put",
        "service",
        f"modelo-{number}",
        configuration.ANY_REVISION,
        {"kind": "model", "customers": ["*"], "model": "modelo-base"},
    )


class _Folded(typing.NamedTuple):
    state: configuration.Configuration
    last_us: list[float]
    """Microseconds of each record, over stretches at the end."""


def _fold(customers: int) -> _Folded:
    state = configuration.Configuration()
    records = [_make_service(number) for number in range(_SERVICES)]
    records += [_make_record(number) for number in range(customers)]
    costs = []
    began = time.process_time()
    for offset, record in enumerate(records, 1):
        state.apply_record(offset, record)
        if not offset % _FOLDED:
            now = time.process_time()
            costs.append((now - began) / _FOLDED * _MICROSECONDS)
            began = now
    return _Folded(state, costs[-_REPEATS:])


def _time_ms(work: abc.Callable[[], object]) -> list[float]:
    values = []
    for _ in range(_REPEATS):
        began = time.process_time()
        work()
        values.append((time.process_time() - began) * _MILLISECONDS)
    return values


def measure_gain(work: abc.Callable[[], object]) -> int:
    """Return the bytes that a child of this process gains by ``work``.

    The result of the work is kept until memory is read.
    """
    reader, writer = os.pipe()
    child = os.fork()
    if not child:
        before = measures.read_memory(os.getpid())
        kept: list[object] = []
        kept.append(work())
        gained = measures.read_memory(os.getpid()) - before
        os.write(writer, gained.to_bytes(_PAGE_BYTES, "big", signed=True))
        os._exit(0)
    os.waitpid(child, 0)
    gained = int.from_bytes(os.read(reader, _PAGE_BYTES), "big", signed=True)
    os.close(reader)
    os.close(writer)
    return gained


def measure() -> list[measures.Series]:
    """Return the series of this program."""
    folded = [_fold(count) for count in _CUSTOMERS]
    encoded = [row.state.encode_state() for row in folded]
    fold_costs = [row.last_us for row in folded]
    encode = [_time_ms(row.state.encode_state) for row in folded]
    del folded

    def make_decode(data: bytes) -> abc.Callable[[], object]:
        return lambda: configuration.Configuration.decode_state(data)

    def make_digest(data: bytes) -> abc.Callable[[], object]:
        return lambda: configuration.digest_state(data)

    return [
        _make_series("fold_cpu", "us", fold_costs),
        _make_series("encode_cpu", "ms", encode),
        _make_series(
            "decode_cpu", "ms", [_time_ms(make_decode(d)) for d in encoded]
        ),
        _make_series(
            "digest_cpu", "ms", [_time_ms(make_digest(d)) for d in encoded]
        ),
        _make_series("state_bytes", "bytes", [[len(d)] for d in encoded]),
        _make_series(
            "memory",
            "bytes",
            [[measure_gain(make_decode(d))] for d in encoded],
        ),
        measures.make_figure(
            "configuration.record_bytes",
            "bytes",
            [len(_make_record(1))],
            "record",
        ),
    ]


def _make_series(
    name: str, unit: str, values: abc.Sequence[abc.Sequence[float]]
) -> measures.Series:
    return measures.Series(
        f"configuration.{name}", unit, "customer", _CUSTOMERS, values
    )


if __name__ == "__main__":
    measures.write_series(measure())
