"""Steps of entries and callers in the dispatch specification."""

from collections import abc

from spec import dispatch_network
from spec import dispatch_state

__all__ = (
    "list_entry_actions",
    "lose_connection",
    "receive_at_entry",
)

_Guard = dispatch_state.Guard
_Kind = dispatch_state.RequestKind


def list_entry_actions(
    rules: dispatch_network.Rules, state: dispatch_state.State
) -> abc.Iterator[dispatch_network.Action]:
    """Yield what callers and entries may do on their own."""
    for request, caller in enumerate(state.callers):
        if caller.state == "idle":
            yield _ask(state, request)
        if caller.state == "broken":
            yield from _ask_again(rules, state, request)
        if caller.state == "calling":
            yield from _cancel(rules, state, request)
        for entry, alive in enumerate(state.entries):
            if alive:
                yield from _handle_call(rules, state, request, entry)


def _ask(state: dispatch_state.State, request: int) -> dispatch_network.Action:
    caller = state.callers[request]
    call = dispatch_state.Call("new", generation=caller.generation)
    state = dispatch_network.replace_call(state, request, 0, call)
    caller = caller._replace(state="calling")
    state = dispatch_network.replace_caller(state, request, caller)
    return f"caller {request} asks entry 0", state


def _ask_again(
    rules: dispatch_network.Rules, state: dispatch_state.State, request: int
) -> abc.Iterator[dispatch_network.Action]:
    """Go to the other entry with the identifier, if there is one."""
    caller = state.callers[request]
    entry = caller.entry + 1
    known = caller.generation != dispatch_state.NO_GENERATION
    if not known or entry == dispatch_state.ENTRIES:
        gone = caller._replace(state="gave up")
        state = dispatch_network.replace_caller(state, request, gone)
        yield f"caller {request} gives up", state
        return
    had = len(caller.items)
    call = dispatch_state.Call("new", generation=caller.generation)
    caller = caller._replace(state="calling", entry=entry)
    state = dispatch_network.replace_caller(state, request, caller)
    if had == 0 and rules.scope.requests[request] is _Kind.PREPARED:
        state = dispatch_network.replace_call(state, request, entry, call)
        yield f"caller {request} starts again at entry {entry}", state
        return
    label = f"caller {request} resumes after {had} at entry {entry}"
    call = call._replace(passed=had, resumes=True)
    homes = _list_homes(state, call.generation) or [call.generation.agent]
    for home in homes:
        after = _resume(rules, state, request, entry, call, home)
        yield f"{label}, agent {home}", after


def _cancel(
    rules: dispatch_network.Rules, state: dispatch_state.State, request: int
) -> abc.Iterator[dispatch_network.Action]:
    caller = state.callers[request]
    entry = caller.entry
    call = state.calls[request][entry]
    spent = dispatch_network.spend(state, "cancels")
    if spent is None or not dispatch_network.has_room(rules, state):
        return
    if call.state not in ("offered", "streaming"):
        return
    if caller.generation == dispatch_state.NO_GENERATION:
        return
    label = f"caller {request} cancels"
    message = _address(rules, request, entry, call, "cancel")
    after = dispatch_network.send(rules, spent, message)
    if rules.keep(_Guard.CANCEL_IS_ACKNOWLEDGED):
        yield label, after
    else:
        yield label, _finish(rules, after, request, entry, "cancelled")


def _handle_call(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    request: int,
    entry: int,
) -> abc.Iterator[dispatch_network.Action]:
    call = state.calls[request][entry]
    label = f"entry {entry}, request {request}"
    if call.state == "new":
        yield from _offer(rules, state, request, entry)
        answer = _answer_without_offer(rules, call)
        after = _finish(rules, state, request, entry, answer)
        yield f"{label}: has nowhere to offer it", after
    if call.state == "lost":
        yield from _offer_again(rules, state, request, entry)
        after = _give_up_attempt(rules, state, request, entry)
        yield f"{label}: gives the attempt up", after
    if call.state == "offered":
        yield from _retract(rules, state, request, entry)
    if call.state == "streaming" and call.passed > call.acknowledged:
        yield from _acknowledge(rules, state, request, entry)
    has_agent = call.state in ("offered", "retracting", "streaming")
    if has_agent and not state.agents[call.agent].alive:
        yield from lose_connection(
            rules,
            state,
            request,
            entry,
            f"{label}: notices that the agent died",
        )


def _offer(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    request: int,
    entry: int,
) -> abc.Iterator[dispatch_network.Action]:
    call = state.calls[request][entry]
    if call.connection == rules.scope.connections:
        return
    if not dispatch_network.has_room(rules, state):
        return
    for process, agent in enumerate(state.agents):
        if not agent.alive or not _is_home(state, call, agent):
            continue
        offered = call._replace(
            state="offered",
            connection=call.connection + 1,
            attempt=call.attempt + 1,
            agent=process,
        )
        after = dispatch_network.replace_call(state, request, entry, offered)
        message = _address(rules, request, entry, offered, "offer")
        after = dispatch_network.send(rules, after, message)
        yield f"entry {entry} offers {request} to agent {process}", after


def _offer_again(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    request: int,
    entry: int,
) -> abc.Iterator[dispatch_network.Action]:
    """Offer the same attempt to the same agent over a new connection."""
    call = state.calls[request][entry]
    if call.connection == rules.scope.connections:
        return
    if not state.agents[call.agent].alive:
        return
    if rules.keep(_Guard.NEW_CONNECTION_SUPERSEDES):
        # An offer that the agent has not read yet could start later what
        # the agent refuses now.
        state = dispatch_network.drop_messages(
            state, lambda message: _is_older(message, request, entry, call)
        )
    if not dispatch_network.has_room(rules, state):
        return
    call = call._replace(state="offered", connection=call.connection + 1)
    after = dispatch_network.replace_call(state, request, entry, call)
    message = _address(rules, request, entry, call, "offer")
    after = dispatch_network.send(rules, after, message)
    yield f"entry {entry} offers {request} again to {call.agent}", after


def _is_older(
    message: dispatch_state.Message,
    request: int,
    entry: int,
    call: dispatch_state.Call,
) -> bool:
    return (
        message.to_agent
        and message.agent == call.agent
        and message.connection.entry == entry
        and message.payload == request
    )


def _is_home(
    state: dispatch_state.State,
    call: dispatch_state.Call,
    agent: dispatch_state.Agent,
) -> bool:
    """Tell whether the agent stands beside the target the call needs.

    An identifier names its target; any incarnation there may be reached.
    """
    if call.generation == dispatch_state.NO_GENERATION:
        return True
    return state.agents[call.generation.agent].target == agent.target


def _retract(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    request: int,
    entry: int,
) -> abc.Iterator[dispatch_network.Action]:
    call = state.calls[request][entry]
    spent = dispatch_network.spend(state, "retracts")
    if spent is None or not dispatch_network.has_room(rules, state):
        return
    label = f"entry {entry} retracts {request}"
    message = _address(rules, request, entry, call, "retract")
    after = dispatch_network.send(rules, spent, message)
    if rules.keep(_Guard.RETRACT_IS_ACKNOWLEDGED):
        retracting = call._replace(state="retracting")
        after = dispatch_network.replace_call(
            after, request, entry, retracting
        )
    else:
        after = _finish(rules, after, request, entry, "not_run")
    yield label, after


def _acknowledge(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    request: int,
    entry: int,
) -> abc.Iterator[dispatch_network.Action]:
    if not dispatch_network.has_room(rules, state):
        return
    call = state.calls[request][entry]
    message = _address(rules, request, entry, call, "acknowledge")
    call = call._replace(acknowledged=call.passed)
    after = dispatch_network.replace_call(state, request, entry, call)
    after = dispatch_network.send(rules, after, message)
    yield f"entry {entry} acknowledges {call.passed} of {request}", after


def lose_connection(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    request: int,
    entry: int,
    label: str,
) -> abc.Iterator[dispatch_network.Action]:
    """Go on after the connection of a call is lost.

    A call with a known generation is resumed where it runs, or at a later
    incarnation there. An offer that was neither admitted nor refused may
    have started.
    """
    call = state.calls[request][entry]
    if call.state != "streaming":
        yield label, _lose_offer(rules, state, request, entry)
        return
    if call.passed > 0 and not rules.keep(_Guard.EXPLICIT_INCOMPLETE):
        yield label, _finish(rules, state, request, entry, "")
        return
    homes = _list_homes(state, call.generation)
    may_resume = (
        call.connection < rules.scope.connections
        and homes
        and rules.keep(_Guard.NO_RETRY_AFTER_DELIVERY)
    )
    if not may_resume:
        yield label, _give_up_attempt(rules, state, request, entry)
        return
    for home in homes:
        after = _resume(rules, state, request, entry, call, home)
        yield f"{label}, resumes at agent {home}", after


def _list_homes(
    state: dispatch_state.State, generation: dispatch_state.Generation
) -> list[int]:
    """Return the live agents beside the target that a generation names."""
    target = state.agents[generation.agent].target
    return [
        process
        for process, agent in enumerate(state.agents)
        if agent.alive and agent.target == target
    ]


def _lose_offer(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    request: int,
    entry: int,
) -> dispatch_state.State:
    call = state.calls[request][entry]
    if rules.scope.requests[request] is _Kind.REPEATABLE:
        call = call._replace(state="lost")
        state = dispatch_network.replace_call(state, request, entry, call)
        state = dispatch_network.close_connections(rules, state)
        if rules.keep(_Guard.LOST_OFFER_IS_UNKNOWN):
            return state
    if not rules.keep(_Guard.LOST_OFFER_IS_UNKNOWN):
        return _finish(rules, state, request, entry, "not_run")
    return _give_up_attempt(rules, state, request, entry)


def _resume(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    request: int,
    entry: int,
    call: dispatch_state.Call,
    home: int,
) -> dispatch_state.State:
    """Ask an agent for the items after those passed."""
    call = call._replace(
        state="streaming",
        connection=call.connection + 1,
        agent=home,
        acknowledged=call.passed,
    )
    state = dispatch_network.replace_call(state, request, entry, call)
    state = dispatch_network.close_connections(rules, state)
    message = _address(rules, request, entry, call, "resume")
    if state.agents[home].alive:
        return dispatch_network.send(rules, state, message)
    return state


def _give_up_attempt(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    request: int,
    entry: int,
) -> dispatch_state.State:
    """End an attempt that may have run."""
    call = state.calls[request][entry]
    may_retry = _may_repeat(rules, request) and not call.resumes
    if call.passed > 0 and rules.keep(_Guard.NO_RETRY_AFTER_DELIVERY):
        return _finish(rules, state, request, entry, "incomplete")
    if not may_retry or call.connection == rules.scope.connections:
        answer = "incomplete" if call.passed > 0 else "outcome_unknown"
        return _finish(rules, state, request, entry, answer)
    return _begin_anew(rules, state, request, entry, uncertain=True)


def _may_repeat(rules: dispatch_network.Rules, request: int) -> bool:
    """Tell whether the request may be offered after a lost attempt.

    A prepared identifier may, since its home starts it once.
    """
    return rules.scope.requests[request] is not _Kind.ONCE or not rules.keep(
        _Guard.LOST_OFFER_IS_NOT_REPEATED
    )


def _begin_anew(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    request: int,
    entry: int,
    *,
    uncertain: bool,
) -> dispatch_state.State:
    """Look for another agent, or the same one over a new connection."""
    call = state.calls[request][entry]
    generation = dispatch_state.NO_GENERATION
    if rules.scope.requests[request] is _Kind.PREPARED:
        generation = call.generation
    call = call._replace(
        state="new", generation=generation, uncertain=uncertain
    )
    state = dispatch_network.replace_call(state, request, entry, call)
    return dispatch_network.close_connections(rules, state)


def _answer_without_offer(
    rules: dispatch_network.Rules, call: dispatch_state.Call
) -> str:
    """Return the answer of a call that can be offered to nobody."""
    # Another entry may have had a prepared identifier started.
    if call.generation != dispatch_state.NO_GENERATION and rules.keep(
        _Guard.ONLY_HOME_SAYS_NOT_RUN
    ):
        return "outcome_unknown"
    return _answer_without_run(rules, call)


def _answer_without_run(
    rules: dispatch_network.Rules, call: dispatch_state.Call
) -> str:
    """Return the answer of a call whose last attempt did not run."""
    # An earlier attempt that was lost may have started although the last
    # one was refused.
    if call.uncertain and rules.keep(_Guard.EVERY_ATTEMPT_REFUSED):
        return "outcome_unknown"
    return "not_run"


def receive_at_entry(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    message: dispatch_state.Message,
) -> abc.Iterator[dispatch_network.Action]:
    """Yield what an entry does with a message, if its turn has come."""
    entry = message.connection.entry
    request = dispatch_network.find_request(rules, state, message.connection)
    call = state.calls[request][entry]
    rest = dispatch_network.take(state, message)
    label = f"entry {entry} gets {message.kind}"
    if message.kind == "item":
        label = f"{label} {message.number}"
        expected = call.passed + 1
        waits = message.number > expected or call.state != "streaming"
        if rules.keep(_Guard.ITEM_NUMBER_CHECK) and waits:
            return
        if rules.keep(_Guard.ITEM_NUMBER_CHECK) and message.number < expected:
            yield f"{label} again", rest
            return
        yield label, _pass_on(rest, request, entry, message)
        return
    if message.kind == "ended":
        missing = message.number > call.passed
        if missing and rules.keep(_Guard.END_COUNT_CHECK):
            return
    yield label, _receive_answer(rules, rest, request, entry, message)


def _receive_answer(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    request: int,
    entry: int,
    message: dispatch_state.Message,
) -> dispatch_state.State:
    call = state.calls[request][entry]
    if message.kind == "admitted":
        return _note_admitted(rules, state, request, entry, message)
    if message.kind == "ended":
        return _finish(rules, state, request, entry, "end")
    if message.kind == "cancelled":
        return _finish(rules, state, request, entry, "cancelled")
    if message.kind != "refused":
        return _give_up_attempt(rules, state, request, entry)
    if call.resumes or rules.scope.requests[request] is _Kind.PREPARED:
        # The home of the identifier says that it never started it.
        return _finish(rules, state, request, entry, "not_run")
    if call.connection == rules.scope.connections:
        answer = _answer_without_run(rules, call)
        return _finish(rules, state, request, entry, answer)
    return _begin_anew(rules, state, request, entry, uncertain=call.uncertain)


def _note_admitted(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    request: int,
    entry: int,
    message: dispatch_state.Message,
) -> dispatch_state.State:
    call = state.calls[request][entry]
    if call.state not in ("offered", "retracting"):
        return state
    call = call._replace(state="streaming", generation=message.generation)
    state = dispatch_network.replace_call(state, request, entry, call)
    if rules.keep(_Guard.IDENTIFIER_COMES_WITH_FIRST_ITEM):
        return state
    caller = state.callers[request]
    if caller.entry == entry and caller.state == "calling":
        caller = caller._replace(generation=message.generation)
        state = dispatch_network.replace_caller(state, request, caller)
    return state


def _pass_on(
    state: dispatch_state.State,
    request: int,
    entry: int,
    message: dispatch_state.Message,
) -> dispatch_state.State:
    call = state.calls[request][entry]
    call = call._replace(passed=call.passed + 1)
    state = dispatch_network.replace_call(state, request, entry, call)
    caller = state.callers[request]
    if caller.entry != entry or caller.state != "calling":
        return state
    item = dispatch_state.Item(
        message.generation, message.number, message.payload
    )
    caller = caller._replace(
        items=(*caller.items, item), generation=call.generation
    )
    return dispatch_network.replace_caller(state, request, caller)


def _finish(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    request: int,
    entry: int,
    answer: str,
) -> dispatch_state.State:
    """End a call; an empty answer ends it silently."""
    done = dispatch_state.Call("done")
    state = dispatch_network.replace_call(state, request, entry, done)
    state = dispatch_network.close_connections(rules, state)
    caller = state.callers[request]
    if caller.entry != entry or caller.state not in ("calling", "ended"):
        return state
    answers = (*caller.answers, answer) if answer else caller.answers
    caller = caller._replace(state="ended", answers=answers)
    return dispatch_network.replace_caller(state, request, caller)


def _address(
    rules: dispatch_network.Rules,
    request: int,
    entry: int,
    call: dispatch_state.Call,
    kind: str,
) -> dispatch_state.Message:
    unique = rules.keep(_Guard.CALL_NUMBERS_ARE_UNIQUE)
    number = request if unique else 0
    connection = dispatch_state.Connection(number, entry, call.connection)
    attempt = dispatch_state.NO_ATTEMPT
    if kind == "offer" and call.generation == dispatch_state.NO_GENERATION:
        attempt = dispatch_state.Attempt(request, entry, call.attempt)
    return dispatch_state.Message(
        kind,
        True,
        connection,
        call.agent,
        call.generation,
        call.passed,
        request,
        attempt,
    )
