"""Targets, requests and callers for features of forwarding."""

from collections import abc
import contextlib
import random
import typing

from opentelemetry import metrics
import trio

from gentianpoint_core import deadlines
from gentianpoint_core import ports
from gentianpoint_entry import crash_suspects
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import engine_probes
from gentianpoint_entry.forwarding import entry_metrics
from gentianpoint_entry.forwarding import forwarder
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import request_handling
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import retry_limits
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import target_ends
from gentianpoint_entry.forwarding import targets

SERVICE: typing.Final = "service"
DATA_CENTRE: typing.Final = "north"
EVENT_S: typing.Final = 0.1
"""Seconds between two events of a stream."""
LATE_S: typing.Final = 0.6
"""Seconds by which a late event is later than usual."""
SLOW_S: typing.Final = 1.0
"""Seconds that a slow target takes for its answer."""

ENGINE: typing.Final = routes.EngineSpec(
    slots=16,
    memory_tokens=10000,
    can_move=True,
    can_back_up=True,
)


def make_route(
    kind: routes.RouteKind,
    *,
    may_resume: bool = False,
    max_attempts: int = 1,
) -> routes.Route:
    """Return a route to the one service."""
    return routes.Route(
        name="route",
        host="host.example",
        path_prefix="/a/",
        shares=(routes.ServiceShare(SERVICE, 1.0),),
        kind=kind,
        may_resume=may_resume,
        timeout_ms=30000.0,
        objective_ms=400.0,
        gap_objective_ms=200.0,
        max_attempts=max_attempts,
        priority=0,
        is_public=False,
        is_generation=kind is routes.RouteKind.STREAM,
    )


def make_request(
    route: routes.Route, engine: typing.Optional[routes.EngineSpec]
) -> requests.CallerRequest:
    """Return a request; to be called while trio runs."""
    deadline = deadlines.make_deadline(30000)
    return requests.CallerRequest(
        request_id="request-1",
        method=b"POST",
        path=b"/a/b",
        headers=(),
        body=b"",
        route=route,
        service=routes.Service(SERVICE, "/health", 100, engine),
        customer=None,
        caller_deadline=deadline,
        deadline=deadline,
        prompt_tokens=100,
        likely_output_tokens=100,
        most_output_tokens=200,
        last_event_id="",
        content="content-1",
    )


def make_entry(name: str, **changes: typing.Any) -> targets.TargetEntry:
    """Return the entry of a target in the platform's list."""
    entry = targets.TargetEntry(
        target_id=name,
        service=SERVICE,
        address=f"10.0.0.1:{1000 + ord(name[-1])}",
        data_centre=DATA_CENTRE,
        slots=16,
        is_leaving=False,
        cold_left_ms=0.0,
        started_ms=1,
        software="v1",
    )
    return entry._replace(**changes)


def make_event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


async def give_notice(
    answer: "RecordedAnswer",
    shared: forwarder.Forwarder,
    number: int,
    left_ms: float,
) -> None:
    """Give target a notice once its caller has the event ``number``."""
    wanted = make_event(number)
    while wanted not in answer.data:
        await trio.sleep(0.01)
    target = shared.registry.find("a")
    assert target is not None
    target.entry = target.entry._replace(is_leaving=True)
    target.leaves_at = deadlines.make_deadline(left_ms)


class GoodAnswer(target_calls.TargetAnswer):
    """The head of an answer of a target that serves."""

    def __init__(self) -> None:
        """Answer with success and the target's seal."""
        self.status = 200
        self.headers = ()
        self.has_not_run = False
        self.is_wrong_target = False
        self.has_target_seal = True
        self.retry_after_ms = 0.0


class ScriptedAnswer(target_calls.TargetAnswer):
    """An answer that follows a short script."""

    def __init__(self, words: str, target: targets.Target) -> None:
        """Answer by ``words``, such as ``events 1-4 then break``.

        An ``unmarked`` answer lacks the target's seal. An ``unproved refusal``
        has the status of a refusal, but does not say that nothing has run.
        """
        self.headers = ((b"x-mark", b"1"),)
        self.has_not_run = words == "refuse"
        self.is_wrong_target = words == "other target"
        self.has_target_seal = words != "unmarked"
        self.retry_after_ms = 0.0
        self.status = 200
        if self.has_not_run or words == "unproved refusal":
            self.status = 503
        if words.endswith("failure"):
            self.status = 500
        self._words: typing.Final = words
        self._target: typing.Final = target
        # Set when an event that is held comes.
        self.released: typing.Optional[trio.Event] = None

    async def receive_body(self) -> abc.AsyncIterator[bytes]:
        """Yield the events or the body."""
        while self._words == "endless failure":
            await trio.sleep(0.001)
            yield bytes(65536)
        if not self._words.startswith("events"):
            yield f"body of {self._target.target_id}".encode()
            return
        _, numbers, _, end = self._words.split(" ", 3)
        first, _, last = numbers.partition("-")
        for number in range(int(first), int(last) + 1):
            if end == f"end, held before {number}":
                assert self.released is not None
                await self.released.wait()
            else:
                await trio.sleep(EVENT_S)
            if end in (f"end, late before {number}", "end, late before each"):
                await trio.sleep(LATE_S)
            yield make_event(number)
        if end == "half an event":
            yield make_event(int(last) + 1)[:7]
        if end == "silence":
            await trio.sleep_forever()
        if not end.startswith("end"):
            raise ports.PortError(
                "receive body", "target", "broke off", took_effect=True
            )


class ScriptedCalls(target_calls.TargetCalls):
    """Targets that follow a script, one item for each send."""

    def __init__(self) -> None:
        """Start without targets."""
        self.scripts: dict[str, list[str]] = {}
        self.copy_results: list[str] = []
        self.stop_flags: list[bool] = []
        self.sends: list[tuple[str, requests.SendOptions]] = []
        self.open: set[str] = set()
        self.max_open = 0
        self.freed_copies: list[tuple[str, str]] = []
        self.released: typing.Optional[trio.Event] = None
        self.make_answer: abc.Callable[
            [str, targets.Target], ScriptedAnswer
        ] = ScriptedAnswer

    @contextlib.asynccontextmanager
    async def send_request(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        options: requests.SendOptions,
    ) -> abc.AsyncIterator[target_calls.TargetAnswer]:
        """Answer by the next item of the target's script."""
        name = target.target_id
        script = self.scripts[name]
        words = script.pop(0) if len(script) > 1 else script[0]
        if words == "unreachable":
            raise ports.PortError("connect", name, "down", took_effect=False)
        self.sends.append((name, options))
        self.open.add(name)
        self.max_open = max(self.max_open, len(self.open))
        try:
            await trio.sleep(0.01)
            if words == "lost":
                raise ports.PortError(
                    "receive head", name, "reset", took_effect=True
                )
            if words == "mute":
                await trio.sleep_forever()
            if words.startswith("slow"):
                await trio.sleep(SLOW_S)
            answer = self.make_answer(words, target)
            answer.released = self.released
            yield answer
        finally:
            self.open.discard(name)

    async def copy_memory(
        self,
        source: targets.Target,
        destination: targets.Target,
        request_id: str,
        *,
        stops_first: bool,
        deadline: deadlines.Deadline,
    ) -> target_calls.CopyResult:
        """Answer by the next scripted result of a copy."""
        self.stop_flags.append(stops_first)
        await trio.sleep(0.05)
        words = (
            self.copy_results.pop(0)
            if len(self.copy_results) > 1
            else self.copy_results[0]
        )
        if words == "unreachable":
            raise ports.PortError(
                "move memory", "source", "down", took_effect=False
            )
        return target_calls.CopyResult("handle-1", words == "copied")

    async def free_copy(self, target: targets.Target, name: str) -> None:
        """Record what is freed."""
        self.freed_copies.append((target.target_id, name))

    async def check_listening(
        self, target: targets.Target
    ) -> typing.Optional[bool]:
        """Tell that the target goes on."""
        return True

    def close_unlisted(self, listed: abc.Collection[targets.Target]) -> None:
        """Do nothing: no connection is kept."""


class RecordedAnswer(caller_answers.CallerAnswer):
    """Records what a caller receives."""

    def __init__(self) -> None:
        """Start without an answer."""
        self.data = b""
        self.headers: abc.Sequence[tuple[bytes, bytes]] = ()
        # Called once the answer is complete.
        self.leave: abc.Callable[[], None] = lambda: None

    async def send_whole(
        self,
        status: int,
        headers: abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Record a whole answer."""
        await self.start(status, headers)
        self.data = body
        await self.finish()

    async def start(
        self, status: int, headers: abc.Sequence[tuple[bytes, bytes]]
    ) -> None:
        """Record the head, unless the request is cancelled."""
        await trio.lowlevel.checkpoint_if_cancelled()
        assert not self.is_started
        self.is_started = True
        self.status = status
        self.headers = headers

    async def send(self, data: bytes) -> None:
        """Record a part of the body."""
        assert not self.is_finished
        self.data += data

    async def finish(self) -> None:
        """Record the end."""
        assert not self.is_finished
        self.is_finished = True
        self.leave()


def make_forwarder(
    names: abc.Sequence[str],
    calls: ScriptedCalls,
    *,
    retry_slack: float = 20.0,
    probes: typing.Optional[engine_probes.EngineProbes] = None,
    **parts: typing.Any,
) -> forwarder.Forwarder:
    """Return a forwarder for targets of these names, the first preferred.

    ``parts`` are further parts of it, by the names that it gives them.
    """
    registry = targets.TargetRegistry()
    for place, name in enumerate(names):
        target = registry.put_entry(make_entry(name), trio.current_time())
        target.open_requests = place * 4
    ends = target_ends.TargetEnds(
        crash_suspects.CrashSuspects(),
        "entry",
        calls.check_listening,
        lambda contents: None,
    )
    return connect_forwarder(
        registry, calls, ends, retry_slack=retry_slack, probes=probes, **parts
    )


def connect_forwarder(
    registry: targets.TargetRegistry,
    calls: target_calls.TargetCalls,
    ends: target_ends.TargetEnds,
    *,
    retry_slack: float,
    count_entries: abc.Callable[[], int] = lambda: 1,
    seed: int = 1,
    **parts: typing.Any,
) -> forwarder.Forwarder:
    """Return a forwarder for the targets in ``registry``.

    ``parts`` are further parts of it, by the names that it gives them.
    """
    return forwarder.Forwarder(
        registry,
        calls,
        retry_limits.RetryLimits(0.2, 10.0, retry_slack),
        DATA_CENTRE,
        count_entries,
        random.Random(seed),
        entry_metrics.EntryMetrics(metrics.NoOpMeterProvider()),
        ends,
        **parts,
    )


class ServingEntry:
    """An entry that serves requests, and keeps the refusals that it gave."""

    def __init__(self, shared: forwarder.Forwarder) -> None:
        """Serve with ``shared``."""
        self.forwarder: typing.Final = shared
        self.refusals: typing.Final[
            dict[caller_answers.CallerAnswer, refusals.Refusal]
        ] = {}
        self.handler: typing.Final = request_handling.RequestHandler(
            shared, self._send_refusal
        )

    async def _send_refusal(
        self, answer: caller_answers.CallerAnswer, refusal: refusals.Refusal
    ) -> None:
        self.refusals[answer] = refusal
        await answer.send_whole(refusal.status, (), b"")


async def send_refusal(
    answer: caller_answers.CallerAnswer, refusal: refusals.Refusal
) -> None:
    """Write a refusal as a whole answer."""
    await answer.send_whole(refusal.status, (), refusal.reason.encode())
