"""Steps of agents and engines in the dispatch specification.

An agent receives a message and acts on it in one step; the start at the
engine is a step of its own, so an agent paused between the two acts later
on what it believed before.
"""

from collections import abc

from spec import dispatch_network
from spec import dispatch_state
from spec import lifecycle

__all__ = ("list_agent_actions", "list_engine_streams", "receive_at_agent")

_Guard = dispatch_state.Guard

_TERMINAL_KINDS = {
    lifecycle.ENDED: "ended",
    lifecycle.INCOMPLETE: "incomplete",
    lifecycle.UNKNOWN: "unknown",
    lifecycle.CANCELLED: "cancelled",
    lifecycle.REFUSED: "refused",
}


def list_agent_actions(
    rules: dispatch_network.Rules, state: dispatch_state.State
) -> abc.Iterator[dispatch_network.Action]:
    """Yield what agents and engines may do on their own."""
    for process, agent in enumerate(state.agents):
        if not agent.alive:
            continue
        for number, job in enumerate(agent.jobs):
            if job.state == lifecycle.QUEUED:
                yield from _start(rules, state, process, number)
            if job.state == lifecycle.RUNNING:
                yield from _generate(rules, state, process, number)
            if dispatch_network.has_room(rules, state):
                yield from _serve_readers(rules, state, process, number)
        yield from _adopt(rules, state, process)


def list_engine_streams(
    agent: dispatch_state.Agent,
) -> abc.Iterator[dispatch_state.Job]:
    """Yield what the engine has of an agent's generations.

    Also what has ended, and what the agent could not tell to have started.
    """
    for job in agent.jobs:
        if job.state in (
            lifecycle.RUNNING,
            lifecycle.ENDED,
            lifecycle.UNKNOWN,
        ):
            yield _strip(job)


def _strip(job: dispatch_state.Job) -> dispatch_state.Job:
    """Return a job as one that the engine was asked for and still has."""
    return dispatch_state.Job(lifecycle.RUNNING, job.identifier, job.payload)


def _adopt(
    rules: dispatch_network.Rules, state: dispatch_state.State, process: int
) -> abc.Iterator[dispatch_network.Action]:
    """Let a later incarnation take up what an earlier one started.

    It reads from the first item again.
    """
    agent = state.agents[process]
    if process != len(state.agents) - 1:
        return
    earlier = state.agents[0]
    streams = [*state.left, *list_engine_streams(earlier)]
    if not rules.keep(_Guard.ADOPTED_IS_AT_THE_ENGINE):
        streams += [_strip(job) for job in earlier.jobs]
    for job in streams:
        if _find_job(agent, job.identifier) >= 0:
            continue
        if not rules.keep(_Guard.ADOPTED_IS_ONLY_READ):
            job = job._replace(state=lifecycle.QUEUED)
        after = _put_job(state, process, -1, job)
        yield f"agent {process} adopts a generation of agent 0", after


def receive_at_agent(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    message: dispatch_state.Message,
) -> abc.Iterator[dispatch_network.Action]:
    """Yield what an agent may do with a message."""
    process = message.agent
    if not state.agents[process].alive:
        return
    rest = dispatch_network.take(state, message)
    label = f"agent {process} gets {message.kind}"
    if message.kind == "offer":
        for choice, after in _receive_offer(rules, rest, message):
            yield f"{label} and {choice}", after
        return
    receive = {
        "retract": _receive_retract,
        "resume": _receive_resume,
        "cancel": _receive_cancel,
        "acknowledge": _receive_acknowledge,
    }[message.kind]
    yield label, receive(rules, rest, message)


def _receive_offer(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    offer: dispatch_state.Message,
) -> abc.Iterator[dispatch_network.Action]:
    agent = state.agents[offer.agent]
    if offer.connection in agent.seen and rules.keep(
        _Guard.REPEATED_CALL_CHECK
    ):
        yield "ignores the repeat", state
        return
    state = _see(state, offer)
    if offer.generation == dispatch_state.NO_GENERATION:
        known = _find_attempt(agent, offer.attempt)
        if known >= 0 and rules.keep(_Guard.REPEATED_ATTEMPT_ATTACHES):
            yield "attaches", _attach(rules, state, offer, known)
            return
        number = len(agent.jobs)
        identifier = dispatch_state.Generation(offer.agent, number)
        yield from _admit_or_refuse(rules, state, offer, identifier)
        return
    number = _find_job(agent, offer.generation)
    is_foreign = number < 0 and offer.generation.agent != offer.agent
    if is_foreign and rules.keep(_Guard.INCARNATION_CHECK):
        # Another incarnation issued the identifier and may have started it.
        yield "does not know it", _reply(rules, state, offer, "unknown")
        return
    if number < 0 or agent.jobs[number].state == lifecycle.PREPARED:
        identifier = offer.generation
        yield from _admit_or_refuse(rules, state, offer, identifier)
        return
    yield "attaches", _attach(rules, state, offer, number)


def _admit_or_refuse(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    offer: dispatch_state.Message,
    identifier: dispatch_state.Generation,
) -> abc.Iterator[dispatch_network.Action]:
    agent = state.agents[offer.agent]
    number = _find_job(agent, identifier)
    job = dispatch_state.Job(
        lifecycle.PREPARED,
        identifier,
        offer.payload,
        offer.attempt,
        (dispatch_state.Reader(offer.connection),),
    )
    job = _move(job, lifecycle.ADMIT)
    admitted = _put_job(state, offer.agent, number, job)
    admitted = _reply(rules, admitted, offer, "admitted", identifier)
    yield "admits it", admitted
    spent = dispatch_network.spend(state, "refusals")
    if spent is None:
        return
    if number >= 0 and rules.keep(_Guard.REFUSED_IDENTIFIER_IS_SPENT):
        # A late copy of the offer must not start what the caller was told
        # has not run.
        refused = _move(agent.jobs[number], lifecycle.REFUSE)
        spent = _put_job(spent, offer.agent, number, refused)
    yield "refuses it", _reply(rules, spent, offer, "refused")


def _attach(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    offer: dispatch_state.Message,
    number: int,
) -> dispatch_state.State:
    job = state.agents[offer.agent].jobs[number]
    reader = dispatch_state.Reader(offer.connection)
    if rules.keep(_Guard.PREPARED_STARTS_ONCE):
        job = job._replace(readers=(*job.readers, reader))
    else:
        job = dispatch_state.Job(
            lifecycle.QUEUED,
            job.identifier,
            job.payload,
            job.attempt,
            (reader,),
        )
    state = _put_job(state, offer.agent, number, job)
    return _reply(rules, state, offer, "admitted", job.identifier)


def _receive_retract(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    retract: dispatch_state.Message,
) -> dispatch_state.State:
    agent = state.agents[retract.agent]
    for number, job in enumerate(agent.jobs):
        if retract.connection not in [r.connection for r in job.readers]:
            continue
        if job.state != lifecycle.QUEUED:
            return state
        job = _move(job, lifecycle.REFUSE)
        return _put_job(state, retract.agent, number, job)
    if rules.keep(_Guard.UNKNOWN_RETRACT_IS_SILENT):
        # The identifier may have been started over another connection.
        return state
    return _reply(rules, _see(state, retract), retract, "refused")


def _receive_resume(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    resume: dispatch_state.Message,
) -> dispatch_state.State:
    number = _find_job(state.agents[resume.agent], resume.generation)
    if number < 0:
        return _reply(rules, state, resume, "unknown")
    job = state.agents[resume.agent].jobs[number]
    if resume.number < job.kept_after:
        # The items after that number were acknowledged and are gone.
        return _reply(rules, state, resume, "incomplete")
    reader = dispatch_state.Reader(resume.connection, resume.number)
    if resume.connection in [r.connection for r in job.readers]:
        return state
    job = job._replace(readers=(*job.readers, reader))
    return _put_job(state, resume.agent, number, job)


def _receive_cancel(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    cancel: dispatch_state.Message,
) -> dispatch_state.State:
    number = _find_job(state.agents[cancel.agent], cancel.generation)
    if number < 0:
        return state
    job = state.agents[cancel.agent].jobs[number]
    if job.state in _TERMINAL_KINDS:
        return state
    job = _move(job, lifecycle.CANCEL)
    return _put_job(state, cancel.agent, number, job)


def _receive_acknowledge(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    acknowledge: dispatch_state.Message,
) -> dispatch_state.State:
    agent = state.agents[acknowledge.agent]
    number = _find_job(agent, acknowledge.generation)
    if number < 0:
        return state
    job = agent.jobs[number]
    kept_after = max(job.kept_after, acknowledge.number)
    job = job._replace(kept_after=kept_after)
    return _put_job(state, acknowledge.agent, number, job)


def _start(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    process: int,
    number: int,
) -> abc.Iterator[dispatch_network.Action]:
    job = state.agents[process].jobs[number]
    label = f"agent {process}, generation {number}"
    if not job.late:
        late = job._replace(late=True)
        yield f"{label}: too late", _put_job(state, process, number, late)
    refused = _move(job, lifecycle.REFUSE)
    if job.late and rules.keep(_Guard.START_DEADLINE_CHECK):
        after = _put_job(state, process, number, refused)
        yield f"{label}: is not started any more", after
        return
    spent = dispatch_network.spend(state, "refusals")
    if spent is not None:
        after = _put_job(spent, process, number, refused)
        yield f"{label}: the engine is full", after
    started = _witness_start(state, process, job)
    asked = _move(job, lifecycle.ASK)
    running = _move(asked, lifecycle.ACCEPT)
    yield f"{label}: starts", _put_job(started, process, number, running)
    spent = dispatch_network.spend(state, "unseen_delays")
    if spent is not None:
        after = _witness_start(spent, process, job._replace(late=True))
        after = _put_job(after, process, number, running)
        yield f"{label}: starts after a delay it can't see", after
    spent = dispatch_network.spend(started, "lost_replies")
    if spent is not None:
        lost = _move(asked, lifecycle.LOSE_REPLY)
        if not rules.keep(_Guard.LOST_START_REPLY_IS_UNKNOWN):
            lost = refused
        after = _put_job(spent, process, number, lost)
        yield f"{label}: starts, the engine's reply is lost", after


def _witness_start(
    state: dispatch_state.State, process: int, job: dispatch_state.Job
) -> dispatch_state.State:
    seen = state.witness
    answers = state.callers[job.payload].answers
    starts = seen.starts[job.payload] + 1
    witness = dispatch_state.Witness(
        starts=dispatch_state.replace_at(seen.starts, job.payload, starts),
        foreign=seen.foreign or job.identifier.agent != process,
        late=seen.late or job.late,
        after_cancel=seen.after_cancel or "cancelled" in answers,
    )
    return state._replace(witness=witness)


def _generate(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    process: int,
    number: int,
) -> abc.Iterator[dispatch_network.Action]:
    job = state.agents[process].jobs[number]
    produced = job.produced + 1
    label = f"engine of agent {process}, generation {number}"
    more = job._replace(produced=produced)
    if produced == rules.scope.items:
        more = _move(more, lifecycle.END)
    after = _put_job(state, process, number, more)
    yield f"{label}: gives item {produced}", after
    spent = dispatch_network.spend(state, "engine_deaths")
    if spent is not None:
        dead = _move(job, lifecycle.DIE)
        after = _put_job(spent, process, number, dead)
        yield f"{label}: dies", after


def _serve_readers(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    process: int,
    number: int,
) -> abc.Iterator[dispatch_network.Action]:
    job = state.agents[process].jobs[number]
    label = f"agent {process}, generation {number}"
    for index, reader in enumerate(job.readers):
        if not dispatch_network.is_open(rules, state, reader.connection):
            continue
        if reader.sent < job.produced:
            kind = "item"
            moved = reader._replace(sent=reader.sent + 1)
        elif job.state in _TERMINAL_KINDS and not reader.told:
            kind = _TERMINAL_KINDS[job.state]
            moved = reader._replace(told=True)
        else:
            continue
        message = dispatch_state.Message(
            kind,
            False,
            reader.connection,
            process,
            job.identifier,
            moved.sent,
            job.payload,
        )
        readers = dispatch_state.replace_at(job.readers, index, moved)
        told = job._replace(readers=readers)
        after = _put_job(state, process, number, told)
        after = dispatch_network.send(rules, after, message)
        yield f"{label}: sends {kind} {moved.sent}", after


def _move(job: dispatch_state.Job, step: str) -> dispatch_state.Job:
    """Return the job after a step that its state must allow."""
    state = lifecycle.GENERATION_STEPS[job.state][step]
    return job._replace(state=state, late=False)


def _see(
    state: dispatch_state.State, message: dispatch_state.Message
) -> dispatch_state.State:
    agent = state.agents[message.agent]
    seen = tuple(sorted({*agent.seen, message.connection}))
    return dispatch_network.replace_agent(
        state, message.agent, agent._replace(seen=seen)
    )


def _find_attempt(
    agent: dispatch_state.Agent, attempt: dispatch_state.Attempt
) -> int:
    """Return the number of the job of an attempt; -1 when it did not run."""
    for number, job in enumerate(agent.jobs):
        if job.attempt == attempt and job.state != lifecycle.REFUSED:
            return number
    return -1


def _find_job(
    agent: dispatch_state.Agent, identifier: dispatch_state.Generation
) -> int:
    for number, job in enumerate(agent.jobs):
        if job.identifier == identifier:
            return number
    return -1


def _put_job(
    state: dispatch_state.State,
    process: int,
    number: int,
    job: dispatch_state.Job,
) -> dispatch_state.State:
    agent = state.agents[process]
    if number < 0:
        jobs = (*agent.jobs, job)
    else:
        jobs = dispatch_state.replace_at(agent.jobs, number, job)
    return dispatch_network.replace_agent(
        state, process, agent._replace(jobs=jobs)
    )


def _reply(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    message: dispatch_state.Message,
    kind: str,
    identifier: dispatch_state.Generation = dispatch_state.NO_GENERATION,
) -> dispatch_state.State:
    reply = message._replace(
        kind=kind,
        to_agent=False,
        generation=identifier,
        number=0,
        attempt=dispatch_state.NO_ATTEMPT,
    )
    return dispatch_network.send(rules, state, reply)
