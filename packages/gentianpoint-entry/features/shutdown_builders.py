"""Builds a dispatcher with one connected agent that never answers."""

import types
import typing

import link_builders
import suspect_builders

from gentianpoint_core import codec
from gentianpoint_core import deadlines
from gentianpoint_core.generated import messages
from gentianpoint_entry import agent_links
from gentianpoint_entry import call_requests
from gentianpoint_entry import crash_suspects
from gentianpoint_entry import dispatch
from gentianpoint_entry import link_pool
from gentianpoint_entry import placement_policy
from gentianpoint_entry import suspect_stream

__all__ = ("IDENTIFIER", "make_dispatcher", "make_request")

IDENTIFIER: typing.Final = "agent-1~run-1~1~secret"
"""Identifier of a generation that the agent holds."""
_WELCOME: typing.Final[messages.Welcome] = {
    "type": "welcome",
    "version": codec.PROTOCOL_VERSION,
    "peer": "agent-1",
    "incarnation": "run-1",
    "target": "agent-1",
    "leaving": False,
}
_REQUEST: typing.Final[messages.Request] = {
    "kind": "generation",
    "prompt": "a",
    "max_tokens": 1,
    "method": "",
    "path": "",
    "headers": [],
    "body": b"",
}


class _UnansweredConnection:
    async def send(self, message: codec.MessageMap) -> None:
        """Accept a message without ever answering it."""


class _FirstLinkPolicy(placement_policy.PlacementPolicy):
    def choose(
        self,
        candidates: typing.Sequence[agent_links.AgentLink],
        prompt: str,
    ) -> agent_links.AgentLink:
        return candidates[0]


def make_dispatcher() -> dispatch.Dispatcher:
    """Return a dispatcher that knows only the unresponsive agent."""
    link = link_builders.make_link("agent-1", "north")
    link.welcome = _WELCOME
    link._connection = typing.cast(typing.Any, _UnansweredConnection())
    pool = types.SimpleNamespace(
        list_links=lambda service: [link],
        find_target_link=lambda target, incarnation="": link,
    )
    return dispatch.Dispatcher(
        typing.cast(link_pool.LinkPool, pool),
        _FirstLinkPolicy(),
        64,
        suspect_stream.SuspectStream(
            suspect_builders.SharedLog(),
            crash_suspects.CrashSuspects(),
            "entry",
        ),
    )


def make_request(
    repeatable: bool, generation: str = ""
) -> call_requests.CallRequest:
    """Return a request that has no deadlines."""
    return call_requests.CallRequest(
        "request-1",
        "service",
        "customer",
        1.0,
        0,
        0,
        repeatable,
        _REQUEST,
        deadlines.NO_DEADLINE,
        deadlines.NO_DEADLINE,
        generation,
        0.0,
    )
