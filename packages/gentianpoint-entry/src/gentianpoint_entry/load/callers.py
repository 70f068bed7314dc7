"""Sends the requests of a load and reads their streams, one task each."""

from collections import abc
import typing

import httpx
import msgspec
import trio

from gentianpoint_entry.load import arrivals
from gentianpoint_entry.load import results

__all__ = ("LoadTarget", "send_load")

_CONNECT_TIMEOUT_S: typing.Final = 5.0
"""Timeout of a connection attempt, seconds."""
_MS_PER_S: typing.Final = 1000
_EVENT_ID_PREFIX: typing.Final = b"id: "
_DATA_PREFIX: typing.Final = b"data: "
_DONE_LINE: typing.Final = b"data: [DONE]"


class LoadTarget(typing.NamedTuple):
    """The deployment that a load is sent to."""

    entries: abc.Sequence[str]
    """Base URLs of entries, used in turn as a load balancer would."""
    keys: abc.Mapping[str, str]
    """Bearer keys, by customer."""
    service: str
    """Name of the service that requests name as their model."""


class _TokenTimer:
    """Measures the times at which one stream's tokens arrive."""

    def __init__(self) -> None:
        self.started_s: typing.Final = trio.current_time()
        self.gaps_ms: typing.Final[list[float]] = []
        self.first_ms = 0.0
        self._last_s = 0.0

    def record_tokens(self, count: int) -> None:
        """Record tokens that came together: only the first has a gap."""
        now_s = trio.current_time()
        if not self.first_ms:
            self.first_ms = (now_s - self.started_s) * _MS_PER_S
        else:
            self.gaps_ms.append((now_s - self._last_s) * _MS_PER_S)
        self.gaps_ms.extend([0.0] * (count - 1))
        self._last_s = now_s

    def measure_total_ms(self) -> float:
        """Return the time since the request was sent, milliseconds."""
        return (trio.current_time() - self.started_s) * _MS_PER_S


def _read_error_code(data: bytes) -> str:
    try:
        return str(msgspec.json.decode(data)["error"]["code"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return "broken"


async def _read_stream(answer: httpx.Response, timer: _TokenTimer) -> str:
    """Read the events of a streamed answer, and return its outcome."""
    outcome = "broken"
    partial = b""
    async for chunk in answer.aiter_raw():
        lines = (partial + chunk).split(b"\n")
        partial = lines.pop()
        tokens = sum(line.startswith(_EVENT_ID_PREFIX) for line in lines)
        if tokens:
            timer.record_tokens(tokens)
        for line in lines:
            if line.startswith(_DONE_LINE):
                outcome = results.OK
            elif line.startswith(b'data: {"error"'):
                outcome = _read_error_code(line.removeprefix(_DATA_PREFIX))
    return outcome


def _make_headers(arrival: arrivals.Arrival, key: str) -> dict[str, str]:
    headers = {"Authorization": f"Bearer {key}"}
    if not arrival.kind.repeatable:
        headers["Gentianpoint-Repeatable"] = "false"
    if arrival.kind.deadline_ms:
        headers["Gentianpoint-Deadline-Ms"] = str(arrival.kind.deadline_ms)
    return headers


async def _send_request(
    client: httpx.AsyncClient,
    target: LoadTarget,
    entry: str,
    arrival: arrivals.Arrival,
) -> results.RequestOutcome:
    body: dict[str, typing.Any] = {
        "model": target.service,
        "prompt": arrival.prompt,
        "stream": True,
    }
    if arrival.kind.max_tokens:
        body["max_tokens"] = arrival.kind.max_tokens
    timer = _TokenTimer()
    outcome = "broken"
    try:
        async with client.stream(
            "POST",
            f"{entry}/v1/completions",
            json=body,
            headers=_make_headers(arrival, target.keys[arrival.customer]),
        ) as answer:
            if answer.status_code == httpx.codes.OK:
                outcome = await _read_stream(answer, timer)
            else:
                outcome = _read_error_code(await answer.aread())
    except httpx.HTTPError:
        outcome = "broken"
    tokens = len(timer.gaps_ms) + (1 if timer.first_ms else 0)
    return results.RequestOutcome(
        arrival.kind.name,
        arrival.customer,
        outcome,
        arrival.at_s,
        timer.first_ms,
        timer.gaps_ms,
        tokens,
        timer.measure_total_ms(),
    )


async def send_load(
    target: LoadTarget,
    scheduled: abc.Sequence[arrivals.Arrival],
    on_outcome: abc.Callable[[results.RequestOutcome], None],
) -> None:
    """Send all requests at their times, and wait until all have ended.

    ``on_outcome`` is called when a request ends.
    """
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
    timeout = httpx.Timeout(None, connect=_CONNECT_TIMEOUT_S)
    async with (
        httpx.AsyncClient(
            limits=limits, timeout=timeout, trust_env=False
        ) as client,
        trio.open_nursery() as nursery,
    ):
        started_s = trio.current_time()

        async def send(number: int, arrival: arrivals.Arrival) -> None:
            entry = target.entries[number % len(target.entries)]
            on_outcome(await _send_request(client, target, entry, arrival))

        for number, arrival in enumerate(scheduled):
            await trio.sleep_until(started_s + arrival.at_s)
            nursery.start_soon(send, number, arrival)
