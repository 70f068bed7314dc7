"""Cost of the configuration: a record folded, the state kept and started.

The state is measured at 1,000, 10,000 and 48,000 customers. Memory is what
a new process gains by decoding the state.
"""

from collections import abc
import hashlib
import time
import typing

from bench import measures
from bench import memory_gains
from gentianpoint_core import configuration
from gentianpoint_core import snapshots

__all__ = ("decode_state", "measure")

_CUSTOMERS: typing.Final = (1000, 10_000, 48_000)
_SERVICES: typing.Final = 11
_FOLDED: typing.Final = 1000
_REPEATS: typing.Final = 3
_MICROSECONDS: typing.Final = 1e6
_MILLISECONDS: typing.Final = 1e3


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


def measure() -> list[measures.Series]:
    """Return the series of this program."""
    folded = [_fold(count) for count in _CUSTOMERS]
    encoded = [row.state.encode_state() for row in folded]
    fold_costs = [row.last_us for row in folded]
    encode = [_time_ms(row.state.encode_state) for row in folded]
    write = [_time_ms(_make_snapshot_writer(row.state)) for row in folded]
    del folded
    digests = [configuration.digest_state(data) for data in encoded]
    packed = [snapshots.compress_state(data) for data in encoded]

    def make_start(data: bytes, digest: str) -> abc.Callable[[], object]:
        return lambda: snapshots.expand_state(data, digest, "snapshot").ok

    def make_decode(data: bytes) -> abc.Callable[[], object]:
        return lambda: decode_state(data)

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
        _make_series("snapshot_bytes", "bytes", [[len(d)] for d in packed]),
        _make_series("snapshot_write_cpu", "ms", write),
        _make_series(
            "snapshot_start_cpu",
            "ms",
            [
                _time_ms(make_start(data, digest))
                for data, digest in zip(packed, digests, strict=True)
            ],
        ),
        _make_series(
            "memory",
            "bytes",
            [[memory_gains.measure_gain(decode_state, d)] for d in encoded],
        ),
        measures.make_figure(
            "configuration.fold_cpu_mean",
            "us",
            [cost for costs in fold_costs for cost in costs],
            "record",
        ),
        measures.make_figure(
            "configuration.record_bytes",
            "bytes",
            [len(_make_record(1))],
            "record",
        ),
    ]


def decode_state(data: bytes) -> object:
    """Return the state in ``data``."""
    return configuration.Configuration.decode_state(data)


def _make_snapshot_writer(
    state: configuration.Configuration,
) -> abc.Callable[[], object]:
    return lambda: snapshots.split_state(
        snapshots.encode_state(state.copy_state()), "0a1b2c3d4e5f"
    )


def _make_series(
    name: str, unit: str, values: abc.Sequence[abc.Sequence[float]]
) -> measures.Series:
    return measures.Series(
        f"configuration.{name}", unit, "customer", _CUSTOMERS, values
    )


if __name__ == "__main__":
    measures.write_series(measure())
