"""Callers: each request is a task that reads its stream."""

from collections import abc
import typing

import httpx
import msgspec
import trio

from gentianpoint_entry.load import arrivals
from gentianpoint_entry.load import results

__all__ = ("LoadTarget", "send_load")

_CONNECT_TIMEOUT_S: typing.Final = 5.0
_MS_IN_S: typing.Final = 1000
_EVENT_ID: typing.Final = b"id: "
_DATA: typing.Final = b"data: "
_DONE: typing.Final = b"data: [DONE]"


class LoadTarget(typing.NamedTuple):
    """Where the load goes."""

    entries: abc.Sequence[str]
    """Base URLs of entries, taken in turn as a balancer would."""
    keys: abc.Mapping[str, str]
    """Bearer key of each customer."""
    service: str
    """Service that is asked."""


class _StreamClock:
    """Times of one stream's tokens."""

    def __init__(self) -> None:
        self.began_s: typing.Final = trio.current_time()
        self.gaps_ms: typing.Final[list[float]] = []
        self.first_ms = 0.0
        self._last_s = 0.0

    def note_tokens(self, count: int) -> None:
        """Note tokens that came together; only the first waited."""
        now_s = trio.current_time()
        if not self.first_ms:
            self.first_ms = (now_s - self.began_s) * _MS_IN_S
        else:
            self.gaps_ms.append((now_s - self._last_s) * _MS_IN_S)
        self.gaps_ms.extend([0.0] * (count - 1))
        self._last_s = now_s

    def read_total_ms(self) -> float:
        """Return the time since the request was sent."""
        return (trio.current_time() - self.began_s) * _MS_IN_S


def _read_code(data: bytes) -> str:
    try:
        return str(msgspec.json.decode(data)["error"]["code"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return "broken"


async def _read_stream(answer: httpx.Response, clock: _StreamClock) -> str:
    """Read the events of a streamed answer and return its outcome."""
    outcome = "broken"
    partial = b""
    async for chunk in answer.aiter_raw():
        lines = (partial + chunk).split(b"\n")
        partial = lines.pop()
        tokens = sum(line.startswith(_EVENT_ID) for line in lines)
        if tokens:
            clock.note_tokens(tokens)
        for line in lines:
            if line.startswith(_DONE):
                outcome = results.OK
            elif line.startswith(b'data: {"error"'):
                outcome = _read_code(line.removeprefix(_DATA))
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
    clock = _StreamClock()
    outcome = "broken"
    try:
        async with client.stream(
            "POST",
            f"{entry}/v1/completions",
            json=body,
            headers=_make_headers(arrival, target.keys[arrival.customer]),
        ) as answer:
            if answer.status_code == httpx.codes.OK:
                outcome = await _read_stream(answer, clock)
            else:
                outcome = _read_code(await answer.aread())
    except httpx.HTTPError:
        outcome = "broken"
    tokens = len(clock.gaps_ms) + (1 if clock.first_ms else 0)
    return results.RequestOutcome(
        arrival.kind.name,
        arrival.customer,
        outcome,
        arrival.at_s,
        clock.first_ms,
        clock.gaps_ms,
        tokens,
        clock.read_total_ms(),
    )


async def send_load(
    target: LoadTarget,
    planned: abc.Sequence[arrivals.Arrival],
    note: abc.Callable[[results.RequestOutcome], None],
) -> None:
    """Send all requests at their times and wait for their ends.

    ``note`` is called with each outcome as it comes.
    """
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
    timeout = httpx.Timeout(None, connect=_CONNECT_TIMEOUT_S)
    async with (
        httpx.AsyncClient(
            limits=limits, timeout=timeout, trust_env=False
        ) as client,
        trio.open_nursery() as nursery,
    ):
        began_s = trio.current_time()

        async def send(number: int, arrival: arrivals.Arrival) -> None:
            entry = target.entries[number % len(target.entries)]
            note(await _send_request(client, target, entry, arrival))

        for number, arrival in enumerate(planned):
            await trio.sleep_until(began_s + arrival.at_s)
            nursery.start_soon(send, number, arrival)
