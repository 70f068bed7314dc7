"""An entry before targets of which some are cold."""

from collections import abc
import typing

import forwarding_builders
import trio

from gentianpoint_core import limit_table
from gentianpoint_core import ports
from gentianpoint_core.decisions import request_turns
from gentianpoint_entry import crash_suspects
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import forwarder
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import request_handling
from gentianpoint_entry.forwarding import request_permits
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import target_ends
from gentianpoint_entry.forwarding import targets
from gentianpoint_standins import windows

_OWN: typing.Final = "entry"
_COLD_MS: typing.Final = 1000.0
_COLD_PER_S: typing.Final = 5.0


class Refused(typing.NamedTuple):
    """A refusal, and when the first target became warm."""

    status: int
    at: float
    retry_after_ms: float
    warm_at: float


class _TimedCalls(forwarding_builders.ScriptedCalls):
    """Targets that answer at once and record when they were asked."""

    def __init__(self) -> None:
        super().__init__()
        self.sent_at: typing.Final[list[tuple[str, float, bool]]] = []

    def send_request(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        options: requests.SendOptions,
    ) -> typing.Any:
        now = trio.current_time()
        is_cold = now < target.find_cold_until(_COLD_MS)
        self.sent_at.append((target.target_id, now, is_cold))
        self.scripts[target.target_id] = ["answer"]
        return super().send_request(target, request, options)


class ColdStage:
    """One entry, its targets, and what they were sent."""

    def __init__(self) -> None:
        self.members: frozenset[str] = frozenset((_OWN,))
        self.calls: typing.Final = _TimedCalls()
        self._added: typing.Final[list[targets.TargetEntry]] = []
        self._changes: typing.Final[list[abc.Callable[[], None]]] = []
        self._answers: typing.Final[
            list[forwarding_builders.RecordedAnswer]
        ] = []
        self._refused: typing.Final[list[Refused]] = []
        self._registry: typing.Final = targets.TargetRegistry()
        self._shared: typing.Optional[forwarder.Forwarder] = None

    def add_targets(self, name: str, count: int, cold_ms: float) -> None:
        """Add targets, cold for some time from the start of the run on."""
        for number in range(count):
            entry = forwarding_builders.make_entry(
                f"{name}-{number}", cold_left_ms=cold_ms
            )
            self._added.append(entry)

    def cool(self, cold_ms: float) -> None:
        """Let the entries in the list say that the targets are cold."""

        def change() -> None:
            for entry in self._added:
                self._registry.put_entry(
                    entry._replace(cold_left_ms=cold_ms), trio.current_time()
                )

        self._changes.append(change)

    def take_back(self) -> None:
        """Evacuate the data centre of all targets, and take it back."""

        def change() -> None:
            now = trio.current_time()
            self._registry.set_evacuated(
                [forwarding_builders.DATA_CENTRE], now
            )
            self._registry.set_evacuated([], now)

        self._changes.append(change)

    async def run(self, action: abc.Callable[[], abc.Awaitable[None]]) -> None:
        """Start the entry and run ``action``."""
        for entry in self._added:
            self._registry.put_entry(entry, trio.current_time())
        for change in self._changes:
            change()
        ends = target_ends.TargetEnds(
            crash_suspects.CrashSuspects(),
            "entry",
            self.calls.check_listening,
            lambda contents: None,
        )
        self._shared = forwarding_builders.connect_forwarder(
            self._registry,
            self.calls,
            ends,
            retry_slack=100.0,
            permits=request_permits.RequestPermits(
                request_turns.RequestTurns(_OWN, lambda: self.members),
                limit_table.LimitTable(),
            ),
        )
        await action()

    def _make_request(self) -> requests.CallerRequest:
        request = forwarding_builders.make_request(
            forwarding_builders.make_route(routes.RouteKind.ONCE), None
        )
        return request._replace(
            service=request.service._replace(
                cold_ms=_COLD_MS, cold_per_s=_COLD_PER_S
            )
        )

    async def serve(self) -> None:
        """Serve one caller's request."""
        assert self._shared is not None
        answer = forwarding_builders.RecordedAnswer()
        handler = request_handling.RequestHandler(
            self._shared, self._send_refusal, lambda: None
        )
        await handler.serve(self._make_request(), answer)
        self._answers.append(answer)

    async def _send_refusal(
        self,
        answer: caller_answers.CallerAnswer,
        refusal: refusals.Refusal,
    ) -> None:
        warm_at = min(
            target.find_cold_until(_COLD_MS)
            for target in self._registry.list_all()
        )
        self._refused.append(
            Refused(
                refusal.status,
                trio.current_time(),
                refusal.retry_after_ms,
                warm_at,
            )
        )
        await forwarding_builders.send_refusal(answer, refusal)

    async def send(self, options: requests.SendOptions) -> None:
        """Send one request to the first target, as a move does."""
        assert self._shared is not None
        target = self._registry.list_all()[0]
        try:
            async with self._shared.send(
                target, self._make_request(), options
            ) as answer:
                async for _ in answer.receive_body():
                    pass
        except ports.PortError as error:
            raise AssertionError(str(error)) from error

    def count_most(self, *, only_cold: bool) -> dict[str, int]:
        """Return by target the most requests that it got in any second."""
        by_target: dict[str, list[float]] = {}
        for name, at, is_cold in self.calls.sent_at:
            if is_cold or not only_cold:
                by_target.setdefault(name, []).append(at)
        return {
            name: windows.count_most(times, 1.0)
            for name, times in by_target.items()
        }

    def count_served(self) -> int:
        """Return how many callers got an answer of a target."""
        return sum(answer.status == 200 for answer in self._answers)

    def list_refused(self) -> abc.Sequence[Refused]:
        """Return the refusals."""
        return self._refused
