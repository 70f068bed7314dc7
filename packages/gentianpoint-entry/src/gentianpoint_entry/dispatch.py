"""Selection of the agent link for a call, and the limit on retries.

A new call may use any usable link of its service. A started generation needs
the link to its home, the target that its identifier names.
"""

import math
import typing

import trio

from gentianpoint_core import errors
from gentianpoint_core import generation_ids
from gentianpoint_core import logs
from gentianpoint_core.generated import events
from gentianpoint_entry import agent_links
from gentianpoint_entry import call_requests
from gentianpoint_entry import link_pool
from gentianpoint_entry import placement_policy
from gentianpoint_entry import retry_budgets
from gentianpoint_entry import shutdown_limits
from gentianpoint_entry import suspect_stream

__all__ = ("RETRY_AFTER_MS", "Dispatcher", "HomeLostError", "OpenCall")

RETRY_AFTER_MS: typing.Final = 1000
"""Default retry delay that callers are told, in milliseconds."""
_HOME_TIMEOUT_MS: typing.Final = 15_000
"""Longest wait for the home of a generation, in milliseconds."""
_SHORT_HOME_TIMEOUT_MS: typing.Final = 1500
"""The same while another agent could repeat the work."""


class HomeLostError(Exception):
    """The home of a generation is gone or can't be reached in time."""


class OpenCall:
    """An operation that the entry waits for when it shuts down."""

    def stop_waiting(self) -> None:
        """Stop waiting for messages from agents."""


class Dispatcher:
    """Selects links for calls and limits their retries."""

    def __init__(
        self,
        pool: link_pool.LinkPool,
        policy: placement_policy.PlacementPolicy,
        window: int,
        suspects: suspect_stream.SuspectStream,
    ) -> None:
        """Place calls on links of ``pool`` that ``policy`` chooses.

        Requests under which several targets ended, which ``suspects`` tells,
        are refused. ``window`` is the number of items of a call that may be
        in flight.
        """
        self.pool: typing.Final = pool
        self.window: typing.Final = window
        self.suspects: typing.Final = suspects
        self.shutdown: typing.Final = shutdown_limits.ShutdownLimits()
        self._policy: typing.Final = policy
        self._open_calls: typing.Final[set[OpenCall]] = set()
        self._budgets: typing.Final = retry_budgets.RetryBudgets()

    def add_call(
        self, call: OpenCall, request: call_requests.CallRequest
    ) -> None:
        """Register an open call and credit its service's retry budget."""
        self._open_calls.add(call)
        self._budgets.note_request(request.service, request.retry_share)

    def forget_call(self, call: OpenCall) -> None:
        """Remove a call that was closed."""
        self._open_calls.discard(call)

    def count_calls(self) -> int:
        """Return the number of calls that are not closed yet.

        Calls that still wait for their first item count too, so that a
        shutdown does not cut them off.
        """
        return len(self._open_calls)

    def end_calls(self) -> None:
        """Make all waiting calls end with what they have received."""
        self.shutdown.cancel_waits()
        for call in self._open_calls:
            call.stop_waiting()

    async def require_harmless(
        self, request: call_requests.CallRequest, content: str
    ) -> None:
        """Raise ``not_run`` if several targets ended under the request.

        ``content`` is the digest of what is requested. A request that names a
        generation may have run, so for that it is ``outcome_unknown``. One
        that takes a trial may go on.
        """
        suspects = self.suspects.suspects
        if suspects.find_trial_at(content, trio.current_time()) is None:
            return
        with trio.move_on_at(request.start_by.at):
            if await self.suspects.trials.take(request.identifier, [content]):
                return
        now = trio.current_time()
        trial_at = suspects.find_trial_at(content, now)
        if trial_at is None:
            # It was answered elsewhere meanwhile.
            return
        raise errors.CallError(
            errors.OUTCOME_UNKNOWN if request.generation else errors.NOT_RUN,
            "several targets ended while they ran this request",
            step="choose target",
            peer=request.service,
            retry_after_ms=max(
                RETRY_AFTER_MS, math.ceil((trial_at - now) * 1000)
            ),
        )

    async def choose_link(
        self, request: call_requests.CallRequest, tried: typing.Collection[str]
    ) -> agent_links.AgentLink:
        """Return a usable link to an agent that was not tried yet.

        When only links that were lost a moment ago are left, this waits for
        them, since a short network cut would otherwise fail every call that
        arrives meanwhile. Raises :class:`errors.CallError` with ``not_run``
        when no link is usable.
        """
        usable: list[agent_links.AgentLink] = []
        with trio.move_on_at(request.start_by.at):
            while True:
                links = [
                    link
                    for link in self.pool.list_links(request.service)
                    if link.host.host not in tried
                ]
                usable = [link for link in links if link.is_usable()]
                if usable or not any(link.is_recovering() for link in links):
                    break
                await self.pool.wait_changed()
        if not usable:
            raise errors.CallError(
                errors.NOT_RUN,
                "no target of the service takes calls now",
                step="choose target",
                peer=request.service,
                retry_after_ms=RETRY_AFTER_MS,
            )
        return self._policy.choose(usable, request.request["prompt"])

    def has_other_link(
        self, request: call_requests.CallRequest, tried: typing.Collection[str]
    ) -> bool:
        """Tell whether a link that was not tried is usable now."""
        return any(
            link.is_usable() and link.host.host not in tried
            for link in self.pool.list_links(request.service)
        )

    def may_retry(self, request: call_requests.CallRequest) -> bool:
        """Spend a retry of the service's budget; False when none is left."""
        if self._budgets.take_retry(request.service):
            return True
        logs.log_event(
            events.RETRY_BUDGET_SPENT,
            service=request.service,
            request=request.identifier,
        )
        return False

    async def wait_for_home(
        self, generation: str, can_regenerate: bool = False
    ) -> agent_links.AgentLink:
        """Return a connected link to the home of a generation.

        With ``can_regenerate`` another agent can repeat the work, so the wait
        is short.

        After the agent process that issued the identifier is gone, a later
        incarnation of the agent answers for it: it adopts the generations
        that the target still has and starts none. Raises
        :class:`HomeLostError` when no agent of the target connects in time.
        """
        parsed = generation_ids.parse_generation_id(generation)
        if parsed.is_error():
            raise HomeLostError(str(parsed.error))
        home = parsed.ok
        within_ms = (
            _SHORT_HOME_TIMEOUT_MS if can_regenerate else _HOME_TIMEOUT_MS
        )
        with trio.move_on_after(within_ms / 1000):
            while True:
                link = self.pool.find_target_link(
                    home.target, home.incarnation
                )
                if link is None:
                    raise HomeLostError(f"no agent of target {home.target}")
                if link.is_connected() and link.welcome is not None:
                    return link
                await self.pool.wait_changed()
        raise HomeLostError("its agent can't be reached")

    async def wait_for_recovery(
        self,
        request: call_requests.CallRequest,
        link: agent_links.AgentLink,
        incarnation: str,
    ) -> bool:
        """Wait until a lost link reconnects to the same agent process.

        Returns False when it does not. The wait is short while another agent
        is usable and a retry is left.
        """
        wait_ms = math.inf
        others = [
            other
            for other in self.pool.list_links(request.service)
            if other.is_usable()
        ]
        if others and self._budgets.has_retry(request.service):
            wait_ms = _SHORT_HOME_TIMEOUT_MS
        with trio.move_on_after(wait_ms / 1000):
            while link.is_recovering():
                await self.pool.wait_changed()
        return (
            link.is_connected()
            and link.welcome is not None
            and link.welcome["incarnation"] == incarnation
        )
