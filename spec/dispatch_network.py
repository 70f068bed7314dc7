"""Connections and messages of the dispatch specification.

Messages are a bag: they may overtake one another, be delivered twice, or
late, after the entry has given up on their connection. What TCP excludes on
one connection is allowed here, except that items and the end of a stream
wait for their turn.
"""

from collections import abc
import typing

from spec import dispatch_state

__all__ = (
    "Action",
    "Rules",
    "close_connections",
    "drop_messages",
    "find_request",
    "has_room",
    "is_open",
    "replace_agent",
    "replace_call",
    "replace_caller",
    "send",
    "spend",
    "take",
)

_CHOICES: typing.Final = ("refusals", "cancels", "retracts")

Action: typing.TypeAlias = tuple[str, dispatch_state.State]
"""Label of a step and the state after it."""


class Rules(typing.NamedTuple):
    """What is checked: the bounds, and the guard that is taken out."""

    scope: dispatch_state.Scope
    """Bounds."""
    without: typing.Optional[dispatch_state.Guard] = None
    """Guard that is taken out, if any."""

    def keep(self, guard: dispatch_state.Guard) -> bool:
        """Tell whether the guard is in force."""
        return guard is not self.without


def has_room(rules: Rules, state: dispatch_state.State) -> bool:
    """Tell whether another message may be on its way."""
    return len(state.messages) < rules.scope.in_flight


def send(
    rules: Rules, state: dispatch_state.State, message: dispatch_state.Message
) -> dispatch_state.State:
    """Put a message on its way; one to a closed connection is lost."""
    if not message.to_agent and not is_open(rules, state, message.connection):
        return state
    messages = tuple(sorted((*state.messages, message)))
    return state._replace(messages=messages)


def take(
    state: dispatch_state.State, message: dispatch_state.Message
) -> dispatch_state.State:
    """Remove one copy of a message."""
    index = state.messages.index(message)
    kept = state.messages[:index] + state.messages[index + 1 :]
    return state._replace(messages=kept)


def drop_messages(
    state: dispatch_state.State,
    is_lost: abc.Callable[[dispatch_state.Message], bool],
) -> dispatch_state.State:
    """Remove the messages that are lost."""
    kept = tuple(m for m in state.messages if not is_lost(m))
    return state._replace(messages=kept)


def find_request(
    rules: Rules,
    state: dispatch_state.State,
    connection: dispatch_state.Connection,
) -> int:
    """Return the request that an entry finds under a call number."""
    if rules.keep(dispatch_state.Guard.CALL_NUMBERS_ARE_UNIQUE):
        return connection.number
    # Without the guard every call has the same number, and the entry finds
    # the newest one.
    begun = [
        request
        for request, calls in enumerate(state.calls)
        if calls[connection.entry].state != "idle"
    ]
    return max(begun)


def is_open(
    rules: Rules,
    state: dispatch_state.State,
    connection: dispatch_state.Connection,
) -> bool:
    """Tell whether the entry still reads from a connection."""
    if not state.entries[connection.entry]:
        return False
    request = find_request(rules, state, connection)
    call = state.calls[request][connection.entry]
    if call.state == "done":
        return not rules.keep(dispatch_state.Guard.FINAL_ANSWER_ONCE)
    if rules.keep(dispatch_state.Guard.CLOSED_CONNECTION_CHECK):
        is_read = call.state not in ("new", "lost")
        return is_read and connection.opened == call.connection
    return True


def close_connections(
    rules: Rules, state: dispatch_state.State
) -> dispatch_state.State:
    """Forget what would go to an entry over connections now closed."""

    def is_lost(message: dispatch_state.Message) -> bool:
        return not message.to_agent and not is_open(
            rules, state, message.connection
        )

    state = drop_messages(state, is_lost)
    agents = tuple(_drop_readers(rules, state, a) for a in state.agents)
    return state._replace(agents=agents)


def _drop_readers(
    rules: Rules, state: dispatch_state.State, agent: dispatch_state.Agent
) -> dispatch_state.Agent:
    jobs = tuple(
        job._replace(
            readers=tuple(
                reader
                for reader in job.readers
                if is_open(rules, state, reader.connection)
            )
        )
        for job in agent.jobs
    )
    return agent._replace(jobs=jobs)


def replace_agent(
    state: dispatch_state.State, process: int, agent: dispatch_state.Agent
) -> dispatch_state.State:
    """Return the state with another agent."""
    agents = dispatch_state.replace_at(state.agents, process, agent)
    return state._replace(agents=agents)


def replace_call(
    state: dispatch_state.State,
    request: int,
    entry: int,
    call: dispatch_state.Call,
) -> dispatch_state.State:
    """Return the state with another call."""
    calls = dispatch_state.replace_at(state.calls[request], entry, call)
    return state._replace(
        calls=dispatch_state.replace_at(state.calls, request, calls)
    )


def replace_caller(
    state: dispatch_state.State, request: int, caller: dispatch_state.Caller
) -> dispatch_state.State:
    """Return the state with another caller."""
    callers = dispatch_state.replace_at(state.callers, request, caller)
    return state._replace(callers=callers)


def spend(
    state: dispatch_state.State, fault: str
) -> typing.Optional[dispatch_state.State]:
    """Use up one fault, or return None when none is left."""
    left = getattr(state.faults, fault)
    if left == 0:
        return None
    faults = state.faults._replace(**{fault: left - 1})
    if fault not in _CHOICES:
        if faults.together == 0:
            return None
        faults = faults._replace(together=faults.together - 1)
    return state._replace(faults=faults)
