"""Claims trials of refused requests, and uses them for one run each.

A claim that counts allows one run. Until a target has begun that run, any
request of the kind at this entry may use the claim, one at a time.
"""

import abc
from collections import abc as collections_abc
import math
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core.generated import events
from gentianpoint_entry import crash_suspects

__all__ = ("ClaimSender", "TrialClaims")

_NEW_S: typing.Final = 10.0
"""Seconds for which an entry that has started claims nothing. It may not have
heard yet what the others have tried."""

_Claims = collections_abc.Sequence[crash_suspects.SuspectNews]


class ClaimSender(abc.ABC):
    """Tells the other entries of claims."""

    @abc.abstractmethod
    async def announce(self, claims: _Claims) -> None:
        """Tell all entries of ``claims``.

        When this returns, each of the claims counts here, or that of another
        entry does, or the entries could not be told.
        """


class TrialClaims:
    """The trials that this entry may make."""

    def __init__(
        self,
        suspects: crash_suspects.CrashSuspects,
        claimant: str,
        sender: ClaimSender,
    ) -> None:
        """Claim trials of what ``suspects`` refuses, in ``claimant``'s name.

        ``sender`` tells the other entries of them.
        """
        self._suspects: typing.Final = suspects
        self._claimant: typing.Final = claimant
        self._sender: typing.Final = sender
        self._claims_from = math.inf
        # Contents of which a claim is being told.
        self._announced: typing.Final[set[str]] = set()
        # Claims of which no target has begun the run, by content.
        self._unused: typing.Final[dict[str, crash_suspects.SuspectNews]] = {}
        # Those that a request is about to use, or has used, by its identifier.
        self._in_hand: typing.Final[dict[str, _Claims]] = {}
        self._used: typing.Final[dict[str, _Claims]] = {}

    def start(self) -> None:
        """Note that this entry has started."""
        self._claims_from = trio.current_time() + _NEW_S

    async def take(
        self, request_id: str, contents: collections_abc.Collection[str]
    ) -> bool:
        """Take a trial of all ``contents`` for a request.

        Returns False, mostly at once, if another entry or request has one of
        them, or if none is due.
        """
        if request_id in self._in_hand:
            return True
        if trio.current_time() < self._claims_from:
            return False
        missing = [item for item in contents if not self._has_unused(item)]
        if missing and not await self._claim(missing):
            return False
        if not all(map(self._has_unused, contents)):
            # Another entry or request was faster.
            return False
        self._in_hand[request_id] = [
            self._unused.pop(content) for content in contents
        ]
        return True

    async def _claim(self, contents: collections_abc.Sequence[str]) -> bool:
        """Claim trials of ``contents``; False if one of them is not due."""
        now = trio.current_time()
        planned = [
            self._suspects.plan_trial(content, self._claimant, now)
            for content in contents
        ]
        claims = [claim for claim in planned if claim is not None]
        is_due = len(claims) == len(planned)
        if not is_due or not self._announced.isdisjoint(contents):
            return False
        self._announced.update(contents)
        try:
            await self._sender.announce(claims)
        finally:
            self._announced.difference_update(contents)
        self._keep_unused(claims)
        return True

    def _has_unused(self, content: str) -> bool:
        claim = self._unused.get(content)
        return claim is not None and self._suspects.holds_trial(claim)

    def has_taken(self, request_id: str) -> bool:
        """Tell whether a request may make a trial that it has taken."""
        return request_id in self._in_hand

    def begin(self, request_id: str) -> bool:
        """Use the trial of a request; False if it has none."""
        claims = self._in_hand.pop(request_id, None)
        if claims is None:
            return False
        self._used[request_id] = claims
        for claim in claims:
            logs.log_event(
                events.REQUEST_TRIED,
                content=claim.content,
                trial=claim.target,
            )
        return True

    def give_back(self, request_id: str) -> None:
        """Let others use a trial, since no target has begun the run."""
        self._keep_unused(self._used.pop(request_id, ()))

    def end(self, request_id: str) -> None:
        """Let others use what an ended request has not used."""
        self._used.pop(request_id, None)
        self._keep_unused(self._in_hand.pop(request_id, ()))

    def _keep_unused(self, claims: _Claims) -> None:
        """Keep claims that count for the next request."""
        self._unused.update((claim.content, claim) for claim in claims)
        for content in list(self._unused):
            if not self._has_unused(content):
                del self._unused[content]
