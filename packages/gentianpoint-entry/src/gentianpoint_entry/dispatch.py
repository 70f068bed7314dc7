"""Finding a link for a call: a new one, its home, or one that comes back."""

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

__all__ = ("RETRY_AFTER_MS", "Dispatcher", "HomeLostError", "OpenCall")

RETRY_AFTER_MS: typing.Final = 1000
"""When to come back where nothing better is known, milliseconds."""
_HOME_WITHIN_MS: typing.Final = 15_000
_HOME_FIRST_MS: typing.Final = 1500


class HomeLostError(Exception):
    """The home of a generation is gone, or does not come back in time."""


class OpenCall:
    """What counts as a call in flight."""

    def end_wait(self) -> None:
        """Wait for no further message of an agent."""


class Dispatcher:
    """Finds links for calls, and bounds their retries."""

    def __init__(
        self,
        pool: link_pool.LinkPool,
        policy: placement_policy.PlacementPolicy,
        window: int,
    ) -> None:
        """Offer calls on the links of ``pool`` as ``policy`` chooses."""
        self.pool: typing.Final = pool
        self.window: typing.Final = window
        self.shutdown: typing.Final = shutdown_limits.ShutdownLimits()
        self._policy: typing.Final = policy
        self._open_calls: typing.Final[set[OpenCall]] = set()
        self._budgets: typing.Final = retry_budgets.RetryBudgets()

    def add_call(
        self, call: OpenCall, request: call_requests.CallRequest
    ) -> None:
        """Count an open call; a fresh one adds to the retry budget."""
        self._open_calls.add(call)
        self._budgets.note_request(request.service, request.retry_share)

    def forget_call(self, call: OpenCall) -> None:
        """Count a call no more."""
        self._open_calls.discard(call)

    def count_calls(self) -> int:
        """Return the number of calls that were not closed yet.

        All count, also those whose first item has not come, so that an entry
        which is told to stop cuts none of them.
        """
        return len(self._open_calls)

    def end_calls(self) -> None:
        """Have all calls that still wait answer what they can."""
        self.shutdown.cancel_waits()
        for call in self._open_calls:
            call.end_wait()

    async def choose_link(
        self, request: call_requests.CallRequest, tried: typing.Collection[str]
    ) -> agent_links.AgentLink:
        """Return an agent's link that was not tried yet.

        A link that was lost a moment ago is waited for, since one cut would
        otherwise refuse all calls of that moment. Raises
        :class:`errors.CallError` with ``not_run`` when there is none.
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
        """Tell whether a link that was not tried takes calls now."""
        return any(
            link.is_usable() and link.host.host not in tried
            for link in self.pool.list_links(request.service)
        )

    def may_retry(self, request: call_requests.CallRequest) -> bool:
        """Take a retry from the service's budget, if there is one."""
        if self._budgets.take_retry(request.service):
            return True
        logs.log_event(
            events.RETRY_BUDGET_SPENT,
            service=request.service,
            request=request.identifier,
        )
        return False

    async def wait_home(
        self, generation: str, has_choice: bool = False
    ) -> agent_links.AgentLink:
        """Return a connected link to the home of a generation.

        With ``has_choice`` the work can be done elsewhere, and the wait is
        short.

        A later run of the agent stands in for a home that is gone: it
        adopts what the target still has, and starts nothing. Raises
        :class:`HomeLostError` when no run answers in time.
        """
        parsed = generation_ids.parse_generation_id(generation)
        if parsed.is_error():
            raise HomeLostError(str(parsed.error))
        home = parsed.ok
        within_ms = _HOME_FIRST_MS if has_choice else _HOME_WITHIN_MS
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

    async def wait_recovery(
        self,
        request: call_requests.CallRequest,
        link: agent_links.AgentLink,
        incarnation: str,
    ) -> bool:
        """Wait for a lost link; tell whether the same run answers again.

        While the work could be done elsewhere the wait is short.
        """
        wait_ms = math.inf
        others = [
            other
            for other in self.pool.list_links(request.service)
            if other.is_usable()
        ]
        if others and self._budgets.has_retry(request.service):
            wait_ms = _HOME_FIRST_MS
        with trio.move_on_after(wait_ms / 1000):
            while link.is_recovering():
                await self.pool.wait_changed()
        return (
            link.is_connected()
            and link.welcome is not None
            and link.welcome["incarnation"] == incarnation
        )
