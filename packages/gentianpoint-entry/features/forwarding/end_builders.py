"""Targets whose answers end with their connection."""

from collections import abc
import contextlib
import typing
from unittest import mock

import forwarding_builders
import trio
import trio.testing

from gentianpoint_core import ports
from gentianpoint_core import standstills
from gentianpoint_core.decisions import answer_ends
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import targets

__all__ = (
    "EVENTS",
    "Cut",
    "CutCalls",
    "LateCalls",
    "LateCut",
    "PausingAnswer",
    "list_cuts",
)

EVENTS: typing.Final = tuple(
    event.encode()
    for event in (
        "id: 1\ndata: first\n\n",
        "id: 2\r\ndata: secönd\r\n\r\n",
        ": a comment\nid: 3\nevent: token\ndata: third\n\n",
    )
)
"""Events with both line ends, a comment, and a character of two bytes."""
_BYTES: typing.Final = b"".join(EVENTS)


class Cut(typing.NamedTuple):
    """How a target's first answer ends."""

    at: int
    """Number of bytes that it brings."""
    is_delimited: bool = False
    """True for an answer in chunks, which says by itself whether it ended."""
    ends_target: bool = False
    """True if the target ends with it, and refuses connections."""
    is_broken: bool = False
    """True for an answer that raises if it is delimited, as a broken one in
    chunks does."""

    def is_inside_event(self) -> bool:
        """Tell whether the answer ends inside an event."""
        ends = (0, *(len(b"".join(EVENTS[: n + 1])) for n in range(3)))
        return self.at not in ends


def list_cuts(*, ends_target: bool = False) -> abc.Sequence[Cut]:
    """Return a cut at each byte before the last one."""
    return [Cut(at, ends_target=ends_target) for at in range(1, len(_BYTES))]


class _CutAnswer(forwarding_builders.GoodAnswer):
    def __init__(
        self,
        body: bytes,
        status: int,
        *,
        is_delimited: bool,
        is_broken: bool = False,
    ) -> None:
        super().__init__()
        self.status = status
        self.is_delimited = is_delimited
        self._body: typing.Final = body
        self._is_broken: typing.Final = is_broken

    async def receive_body(self) -> abc.AsyncIterator[bytes]:
        await trio.sleep(forwarding_builders.EVENT_S)
        yield self._body
        if self.is_delimited and self._is_broken:
            raise ports.PortError(
                "receive body",
                "target",
                "incomplete chunked read",
                took_effect=True,
                disconnected=True,
            )


class CutCalls(forwarding_builders.ScriptedCalls):
    """Target a answers as a cut says, the others from there to the end."""

    def __init__(self, cut: Cut, status: int = 200) -> None:
        """Answer first by ``cut``."""
        super().__init__()
        self.scripts = {"a": [], "b": []}
        self._cut: typing.Final = cut
        self._status: typing.Final = status

    @contextlib.asynccontextmanager
    async def send_request(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        options: requests.SendOptions,
    ) -> abc.AsyncIterator[target_calls.TargetAnswer]:
        """Answer with the events after the last one that is named."""
        name = target.target_id
        cut = self._cut
        if name == "a" and cut.ends_target and self.sends:
            raise ports.PortError(
                "connect", name, "refused", took_effect=False
            )
        self.sends.append((name, options))
        if name == "a":
            yield _CutAnswer(
                _BYTES[: cut.at],
                self._status,
                is_delimited=cut.is_delimited,
                is_broken=cut.is_broken,
            )
            return
        rest = b"".join(EVENTS[int(options.last_event_id or 0) :])
        yield _CutAnswer(rest, 200, is_delimited=True)

    async def check_listening(
        self, target: targets.Target
    ) -> typing.Optional[bool]:
        """Tell whether the target goes on."""
        return not (self._cut.ends_target and target.target_id == "a")


class LateCut(typing.NamedTuple):
    """An answer whose end is read late."""

    at: int
    """Number of bytes that it brings."""
    does: str
    """What the entry does as the answer ends: ``goes on``, ``stands still for
    4 s``, ``is suspended for 4 s`` or ``waits 4 s for its caller``."""

    def find_pause_s(self, words: str) -> float:
        """Return for how long the entry does what ``words`` begin with."""
        if not self.does.startswith(words):
            return 0.0
        return next(
            float(word)
            for word in self.does.split()
            if word.replace(".", "").isdigit()
        )


class PausingAnswer(forwarding_builders.RecordedAnswer):
    """An answer whose caller stops reading once."""

    def __init__(self) -> None:
        """Read everything at once."""
        super().__init__()
        self.pause_s = 0.0

    async def send(self, data: bytes) -> None:
        """Record a part of the body, and wait once."""
        await super().send(data)
        pause_s, self.pause_s = self.pause_s, 0.0
        await trio.sleep(pause_s)


class _LateAnswer(forwarding_builders.GoodAnswer):
    is_delimited = False

    def __init__(self, cut: LateCut, calls: "LateCalls") -> None:
        super().__init__()
        self._cut: typing.Final = cut
        self._calls: typing.Final = calls

    async def receive_body(self) -> abc.AsyncIterator[bytes]:
        await trio.sleep(forwarding_builders.EVENT_S)
        yield _BYTES[: self._cut.at]
        self._calls.has_ended.set()
        still_s = self._cut.find_pause_s("stands still")
        if still_s:
            clock = typing.cast(
                "trio.testing.MockClock", trio.lowlevel.current_clock()
            )
            clock.jump(still_s)
        self._calls.suspended_s += self._cut.find_pause_s("is suspended")


class LateCalls(CutCalls):
    """Target a sends an answer whose end is read late.

    Some process listens at its address ever after.
    """

    def __init__(
        self, late: LateCut, answer: PausingAnswer, news: str
    ) -> None:
        """Tell ``news`` of the target after that."""
        self.cut: typing.Final = Cut(late.at)
        super().__init__(self.cut)
        answer.pause_s = late.find_pause_s("waits")
        self._late: typing.Final = late
        self._news: typing.Final = news
        self.has_ended: typing.Final = trio.Event()
        self.registry: typing.Optional[targets.TargetRegistry] = None
        self.suspended_s = 0.0

    @contextlib.asynccontextmanager
    async def send_request(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        options: requests.SendOptions,
    ) -> abc.AsyncIterator[target_calls.TargetAnswer]:
        """Answer as late as said at a, and with the rest elsewhere."""
        if target.target_id != "a":
            async with super().send_request(
                target, request, options
            ) as answer:
                yield answer
            return
        self.sends.append(("a", options))
        with mock.patch.object(
            standstills, "_read_suspended_s", lambda: self.suspended_s
        ):
            yield _LateAnswer(self._late, self)

    async def check_listening(
        self, target: targets.Target
    ) -> typing.Optional[bool]:
        """Tell that some process listens."""
        return True

    async def check_sender(
        self, target: targets.Target, alive_at: float
    ) -> answer_ends.Sender:
        """Tell what the connections to it show."""
        if self._news == "an older connection to it is open":
            return answer_ends.Sender.GOES_ON
        return await super().check_sender(target, alive_at)

    async def tell_news(self) -> None:
        """Let the list or an agent tell of the target's start."""
        await self.has_ended.wait()
        assert self.registry is not None
        target = self.registry.find("a")
        assert target is not None
        if self._news == "the list names another start":
            target.is_replaced = True
        if not self._news.startswith("an agent reports"):
            return
        # What an agent sent before is read first.
        for _ in range(5):
            await trio.sleep(0.1)
            self._report(target)

    def _report(self, target: targets.Target) -> None:
        started_ms = target.entry.started_ms
        if self._news.endswith("a later start"):
            started_ms += 1000
            target.reported_start_ms = started_ms
        target.take_report(
            targets.EngineReport(
                sampled_at=trio.current_time(),
                running=0,
                waiting=0,
                used_tokens=0,
                total_tokens=10000,
                is_leaving=False,
                leaves_at=None,
                is_silent=self._news.endswith("silent"),
                pending_prefill_tokens=0,
                started_ms=started_ms,
            )
        )
