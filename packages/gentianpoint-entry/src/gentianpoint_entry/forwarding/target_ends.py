"""Finds out which targets ended while they ran requests.

A connection that breaks off may have been cut on the way, closed by a target
that goes on, or lost with its target. A target that has ended refuses new
connections, unless a proxy in front of it takes them. So the list of targets
has the last word: it drops a target that writes nothing more, or names
another start at the same address.
The end of a target that was leaving was planned and says nothing about the
requests that it ran.
"""

from collections import abc
import math
import typing

import trio

from gentianpoint_core import answer_bodies
from gentianpoint_core import logs
from gentianpoint_core.generated import events
from gentianpoint_entry import crash_suspects
from gentianpoint_entry import trial_claims
from gentianpoint_entry.forwarding import targets

__all__ = ("CheckListening", "TargetEnds")

CheckListening = abc.Callable[
    [targets.Target], abc.Awaitable[typing.Optional[bool]]
]
"""Tells whether a process listens at a target's address; None if nothing
answers."""

_CHECK_DELAYS_S: typing.Final = (0.25, 1.0)
"""Seconds before each further check, if nothing answers."""
_LISTED_WITHIN_S: typing.Final = 10.0
"""Seconds within which the list shows that a target has ended."""
_POLL_INTERVAL_S: typing.Final = 0.25
"""Seconds between two looks at the list."""
_VERDICT_WITHIN_S: typing.Final = 0.1
"""Seconds, at most, for which a request waits until it is known whether the
target that it ran at has ended."""
_MAX_KEPT_TARGETS: typing.Final = 128
"""Targets that are remembered as ended. Connections to one target may break
off one after the other."""


_CLAIM_HEARD_S: typing.Final = 0.25
"""Seconds after which a claim is known to all entries, and theirs here."""


class _BrokenTarget:
    """A target to which connections broke off."""

    def __init__(self, target: targets.Target) -> None:
        self.target: typing.Final = target
        self.contents: typing.Final[set[str]] = set()
        self.examined: typing.Final = trio.Event()


class _GossipedClaims(trial_claims.ClaimSender):
    """Tells of claims as of ends; of rivals, the same one counts for all."""

    def __init__(
        self,
        suspects: crash_suspects.CrashSuspects,
        notify: abc.Callable[[abc.Collection[str]], None],
    ) -> None:
        self._suspects: typing.Final = suspects
        self._notify: typing.Final = notify

    async def announce(
        self, claims: abc.Sequence[crash_suspects.SuspectNews]
    ) -> None:
        for claim in claims:
            self._suspects.merge(claim, trio.current_time())
        self._notify([claim.content for claim in claims])
        await trio.sleep(_CLAIM_HEARD_S)


def _has_no_other_start(target: targets.Target) -> bool:
    """Tell that the list names no other start, as without a list."""
    return False


class TargetEnds:
    """Examines targets to which connections broke off."""

    def __init__(
        self,
        suspects: crash_suspects.CrashSuspects,
        claimant: str,
        check_listening: CheckListening,
        notify: abc.Callable[[abc.Collection[str]], None],
        has_other_start: abc.Callable[
            [targets.Target], bool
        ] = _has_no_other_start,
    ) -> None:
        """Record ends and answers in ``suspects``.

        ``claimant`` is the name of this entry, under which it claims trials.
        After each change ``notify`` is called with the digests of the
        requests that it concerns. ``has_other_start`` tells whether the list
        names another start at a target's address.
        """
        self.trials: typing.Final = trial_claims.TrialClaims(
            suspects, claimant, _GossipedClaims(suspects, notify)
        )
        self._has_other_start: typing.Final = has_other_start
        self.suspects: typing.Final = suspects
        self._check_listening: typing.Final = check_listening
        self._notify: typing.Final = notify
        self._broken: typing.Final[dict[str, _BrokenTarget]] = {}
        # Used as an ordered set, oldest first.
        self._ended: typing.Final[dict[str, None]] = {}
        send, receive = trio.open_memory_channel[_BrokenTarget](math.inf)
        self._sender: typing.Final = send
        self._receiver: typing.Final = receive

    def note_disconnect(
        self, target: targets.Target, contents: abc.Collection[str]
    ) -> None:
        """Note that a target's connection broke off while it ran a request.

        ``contents`` are the digests of the request and of the parts of its
        prompt.
        """
        target_id = target.target_id
        if target_id in self._ended:
            self._record(target, contents)
        elif target_id in self._broken:
            self._broken[target_id].contents.update(contents)
        elif target.accepts_work():
            broken = _BrokenTarget(target)
            broken.contents.update(contents)
            self._broken[target_id] = broken
            self._sender.send_nowait(broken)

    def note_answered(self, contents: abc.Iterable[str]) -> None:
        """Note that a target answered a request, or parts of its prompt."""
        now = trio.current_time()
        cleared = [
            content
            for content in contents
            if self.suspects.note_answered(content, now)
        ]
        if cleared:
            self._notify(cleared)

    async def wait_for_verdict(self, contents: abc.Collection[str]) -> None:
        """Wait until it is known whether a request may run once more.

        Returns at once unless the ends that are being examined would make the
        request be refused.
        """
        now = trio.current_time()
        with trio.move_on_after(_VERDICT_WITHIN_S):
            for content in contents:
                examined = [
                    broken.examined
                    for broken in self._broken.values()
                    if content in broken.contents
                ]
                if self.suspects.would_refuse(content, len(examined), now):
                    for event in examined:
                        await event.wait()

    async def run(self) -> None:
        """Examine targets until cancelled."""
        self.trials.start()
        async with trio.open_nursery() as nursery:
            async for broken in self._receiver:
                nursery.start_soon(self._examine, broken)

    async def _examine(self, broken: _BrokenTarget) -> None:
        has_ended = await self._has_ended(broken)
        del self._broken[broken.target.target_id]
        if has_ended:
            self._ended[broken.target.target_id] = None
            if len(self._ended) > _MAX_KEPT_TARGETS:
                del self._ended[next(iter(self._ended))]
            self._record(broken.target, broken.contents)
        broken.examined.set()

    async def _has_ended(self, broken: _BrokenTarget) -> bool:
        target = broken.target
        if await self._check_listening(target) is False:
            return True
        for delay_s in (answer_bodies.CLOSING_S, *_CHECK_DELAYS_S):
            await trio.sleep(delay_s)
            is_listening = await self._check_listening(target)
            if is_listening is not None:
                # A process that listens may be the next start already.
                if target.is_replaced or not is_listening:
                    return True
                # Requests don't wait for what the list tells later.
                broken.examined.set()
                return await self._is_succeeded(target)
        with trio.move_on_after(_LISTED_WITHIN_S):
            while not (target.is_gone or target.is_replaced):
                await trio.sleep(_POLL_INTERVAL_S)
            return True
        return False

    async def _is_succeeded(self, target: targets.Target) -> bool:
        """Tell whether the list names another start in place of a target.

        That of a target which was given notice meanwhile is planned.
        """
        with trio.move_on_after(_LISTED_WITHIN_S):
            while not (target.is_replaced or self._has_other_start(target)):
                if not (target.is_gone or target.accepts_work()):
                    return False
                await trio.sleep(_POLL_INTERVAL_S)
            return True
        return False

    def _record(
        self, target: targets.Target, contents: abc.Collection[str]
    ) -> None:
        now = trio.current_time()
        if not self.suspects.note_ends(target.target_id, contents, now):
            return
        logs.log_event(
            events.TARGET_ENDED,
            target=target.target_id,
            peer=target.entry.address,
            contents=sorted(contents),
        )
        self._notify(contents)
