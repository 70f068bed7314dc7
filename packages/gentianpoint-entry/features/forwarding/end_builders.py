"""Targets whose answers end with their connection."""

from collections import abc
import contextlib
import typing

import forwarding_builders
import trio

from gentianpoint_core import ports
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import targets

__all__ = ("EVENTS", "Cut", "CutCalls", "list_cuts")

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
