"""One process of callers, for loads that a single process can't bring.

It reads a plan once and the state of the balancer again and again, both JSON
files, sends requests over new connections until the state says that it ends,
and writes a line of JSON for each request. Started by
:mod:`bench.few_entries` as ``python -m bench.caller_process PLAN``.
"""

from collections import abc
import functools
import json
import pathlib
import random
import sys
import time
import typing
import uuid

import trio

from bench.soak import dialects
from bench.soak import kinds
from gentianpoint_core import connection_pools
from gentianpoint_core import ports

__all__ = (
    "BalancerState",
    "CallerPlan",
    "Call",
    "main",
    "read_calls",
    "write_state",
)

_CONNECT_MS: typing.Final = 1000.0
_LOOK_S: typing.Final = 0.1
"""Time between two looks at the balancer's state, in seconds."""
_PREFERRED_SHARE: typing.Final = 0.9
"""Share of new connections that preferred entries get."""
_READ_BYTES: typing.Final = 65536
_TRIES: typing.Final = 2
"""Times that a caller sends a request that was not read or not run."""
_NOT_RUN: typing.Final = (408, 421, 429, 503)
"""Statuses that promise that a request has not run."""
_OK: typing.Final = 200


class CallerPlan(typing.TypedDict):
    """What a process of callers does."""

    seed: int
    """Seed of what it draws."""
    rates_per_s: dict[str, float]
    """Requests a second, by kind."""
    most_events: dict[str, int]
    """Bound on the events of a stream, by kind; half of it on average."""
    body_bytes: dict[str, int]
    """Length of a request's body, by kind."""
    deadline_ms: dict[str, int]
    """Time that a caller waits, by kind."""
    silence_ms: dict[str, float]
    """Longest silence of an answer that a caller bears, by kind."""
    state: str
    """File of the balancer's state."""
    calls: str
    """File that the lines are written to."""


class BalancerState(typing.TypedDict):
    """What the balancer knows."""

    ready: list[str]
    """Entries in rotation, as IP:PORT."""
    preferred: list[str]
    """Those that get most new connections; empty for none."""
    rate: float
    """Factor of all rates; 0 while no requests are sent."""
    has_ended: bool
    """True once the processes of callers end."""


class Call(typing.NamedTuple):
    """One request of a caller, and what came of its tries."""

    kind: str
    """Kind of request."""
    sent_at: float
    """When it was sent, by the monotonic clock that all processes share."""
    entry: str
    """Entry of the first try that was read, as IP:PORT."""
    end: str
    """How that try ended: served, refused, failed, cut, given_up; unread if
    no try was read, open if it has not ended."""
    status: int
    """Its status, 0 without one."""
    unread_tries: int
    """Tries before it that were not read."""
    is_served: bool
    """True if any try was served."""
    first_ms: float
    """Time from the first try until the first byte of the body."""
    longest_pause_ms: float
    """Longest time between two reads of the body."""
    took_ms: float
    """Time from the first try to the end."""


class _Try:
    """What has come of one try so far."""

    def __init__(self) -> None:
        self.end = "open"
        self.status = 0
        self.first_at = 0.0
        self.longest_pause_s = 0.0
        self._read_at = 0.0

    def note_read(self, now: float) -> None:
        """Note that a part of the body was read."""
        if not self.first_at:
            self.first_at = now
        else:
            pause_s = now - self._read_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._read_at = now

    def note_end(self) -> None:
        """Note that the answer is complete."""
        self.end = "refused" if self.status in _NOT_RUN else "failed"
        if self.status == _OK:
            self.end = "served"


def write_state(path: pathlib.Path, state: BalancerState) -> None:
    """Replace the balancer's state."""
    fresh = path.with_suffix(".new")
    fresh.write_text(json.dumps(state))
    fresh.replace(path)


def read_calls(path: pathlib.Path) -> list[Call]:
    """Return the calls that a process has written."""
    return [Call(*json.loads(line)) for line in path.open()]


class _Callers:
    """Callers that share one state of the balancer."""

    def __init__(self, plan: CallerPlan) -> None:
        self._plan: typing.Final = plan
        self._source: typing.Final = random.Random(plan["seed"])
        self._dialect: typing.Final = dialects.PlatformDialect()
        self._state_path: typing.Final = pathlib.Path(plan["state"])
        self._state = self._read_state()
        self._calls: typing.Final[list[Call]] = []

    def _read_state(self) -> BalancerState:
        return typing.cast(
            "BalancerState", json.loads(self._state_path.read_text())
        )

    async def run(self) -> None:
        """Send requests until the state says that this ends."""
        async with trio.open_nursery() as nursery:
            for kind in kinds.KINDS:
                nursery.start_soon(self._send_kind, kind)
            while not self._state["has_ended"]:
                await trio.sleep(_LOOK_S)
                self._state = self._read_state()
            nursery.cancel_scope.cancel()
        pathlib.Path(self._plan["calls"]).write_text(
            "".join(json.dumps(call) + "\n" for call in self._calls)
        )

    async def _send_kind(self, kind: kinds.RequestKind) -> None:
        """Send requests of one kind at its rate, whatever comes of them."""
        kind = kind._replace(deadline_ms=self._plan["deadline_ms"][kind.name])
        rate_per_s = self._plan["rates_per_s"][kind.name]
        due_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            while True:
                if self._state["rate"] == 0:
                    await trio.sleep(_LOOK_S)
                    due_at = trio.current_time()
                    continue
                rate = rate_per_s * self._state["rate"]
                due_at += self._source.expovariate(rate)
                await trio.sleep_until(due_at)
                nursery.start_soon(self._call, kind)

    def _choose(self, tried: abc.Collection[str]) -> str:
        """Draw the entry of a new connection; a retry reaches another one."""
        ready = [item for item in self._state["ready"] if item not in tried]
        preferred = [
            item for item in self._state["preferred"] if item in ready
        ]
        if preferred and self._source.random() < _PREFERRED_SHARE:
            return self._source.choice(preferred)
        return self._source.choice(ready)

    async def _call(self, kind: kinds.RequestKind) -> None:
        """Send a request, and again if it was not read or has not run."""
        most = self._plan["most_events"].get(kind.name, 1)
        sent_at = trio.current_time()
        monotonic_at = time.monotonic()
        ends_at = sent_at + kind.deadline_ms / 1000
        tried: list[str] = []
        tries: list[_Try] = []
        try:
            while len(tries) < _TRIES:
                tried.append(self._choose(tried))
                tries.append(_Try())
                await self._try_once(kind, most, tried[-1], ends_at, tries[-1])
                if tries[-1].end not in ("unread", "refused"):
                    break
        finally:
            at = next(
                (at for at, item in enumerate(tries) if item.end != "unread"),
                len(tries) - 1,
            )
            last = tries[-1]
            self._calls.append(
                Call(
                    kind.name,
                    monotonic_at,
                    tried[at],
                    tries[at].end,
                    tries[at].status,
                    sum(item.end == "unread" for item in tries),
                    last.end == "served",
                    round((last.first_at - sent_at) * 1000, 1),
                    round(last.longest_pause_s * 1000, 1),
                    round((trio.current_time() - sent_at) * 1000, 1),
                )
            )

    async def _try_once(
        self,
        kind: kinds.RequestKind,
        most: int,
        address: str,
        ends_at: float,
        seen: _Try,
    ) -> None:
        """Send a request once and note what comes of it in ``seen``."""
        request_id = f"{kind.name}-{most}-{uuid.uuid4().hex}"
        request = self._dialect.make_call(
            kind, request_id, kinds.count_events(request_id)
        )
        request = request._replace(
            body=b"x" * self._plan["body_bytes"][kind.name]
        )
        silence_s = self._plan["silence_ms"][kind.name] / 1000
        connections = connection_pools.ConnectionPool(address, _CONNECT_MS)
        with trio.CancelScope() as scope:
            scope.deadline = min(ends_at, trio.current_time() + silence_s)
            try:
                async with connections.exchange(request) as exchange:
                    seen.status = exchange.status
                    async for _ in exchange.receive_body():
                        now = trio.current_time()
                        scope.deadline = min(ends_at, now + silence_s)
                        seen.note_read(now)
                seen.note_end()
            except ports.PortError:
                # An entry gives a final answer to whatever it has read.
                seen.end = "cut" if seen.status else "unread"
            finally:
                connections.close()
        if scope.cancelled_caught:
            seen.end = "given_up"


def main() -> None:
    """Send requests by the plan in the file that the first argument names."""
    plan = json.loads(pathlib.Path(sys.argv[1]).read_text())
    trio.run(functools.partial(_Callers(plan).run))


if __name__ == "__main__":
    main()
