"""State of the dispatch specification.

Processes, connections and requests are small numbers. An agent process is
one incarnation: a restarted or replaced agent is another process for the
same target, and a paused one is a process that takes no step for a while.
"""

import enum
import typing

from spec import lifecycle

__all__ = (
    "NO_GENERATION",
    "NO_ATTEMPT",
    "Agent",
    "Attempt",
    "Call",
    "Caller",
    "Connection",
    "Faults",
    "Generation",
    "Guard",
    "Item",
    "Job",
    "Message",
    "Reader",
    "RequestKind",
    "Scope",
    "State",
    "Witness",
    "make_initial_state",
    "replace_at",
)


class Guard(enum.StrEnum):
    """Rules of the protocol; each can be taken out to show its need."""

    START_DEADLINE_CHECK = "start_deadline_check"
    """The agent checks the start-by deadline right before the engine call."""
    REPEATED_CALL_CHECK = "repeated_call_check"
    """A call number seen on a connection is never handled as new again."""
    INCARNATION_CHECK = "incarnation_check"
    """An agent starts a prepared identifier only if it issued it."""
    PREPARED_STARTS_ONCE = "prepared_starts_once"
    """A repeated start of a prepared identifier attaches to the first."""
    REFUSED_IDENTIFIER_IS_SPENT = "refused_identifier_is_spent"
    """A prepared identifier that was refused can't be started later."""
    RETRACT_IS_ACKNOWLEDGED = "retract_is_acknowledged"
    """Not run is said after a retract only once the agent confirmed it."""
    UNKNOWN_RETRACT_IS_SILENT = "unknown_retract_is_silent"
    """A retract of an offer that the agent has not seen gets no answer."""
    REPEATED_ATTEMPT_ATTACHES = "repeated_attempt_attaches"
    """An attempt offered again after a lost connection is found again."""
    NEW_CONNECTION_SUPERSEDES = "new_connection_supersedes"
    """Nothing of an entry's old connection is read once it has a new one."""
    LOST_OFFER_IS_NOT_REPEATED = "lost_offer_is_not_repeated"
    """A not repeatable request without an answer is not offered again."""
    LOST_OFFER_IS_UNKNOWN = "lost_offer_is_unknown"
    """A connection lost after an offer never leads to not run."""
    EVERY_ATTEMPT_REFUSED = "every_attempt_refused"
    """Not run needs the refusal of every attempt, not of the last one."""
    LOST_START_REPLY_IS_UNKNOWN = "lost_start_reply_is_unknown"
    """An agent that lost the engine's reply does not refuse the call."""
    NO_RETRY_AFTER_DELIVERY = "no_retry_after_delivery"
    """After the first delivered item the request is not offered again."""
    CLOSED_CONNECTION_CHECK = "closed_connection_check"
    """What comes from a connection given up on is ignored."""
    ITEM_NUMBER_CHECK = "item_number_check"
    """An entry passes on an item only if its number is the next one."""
    CALL_NUMBERS_ARE_UNIQUE = "call_numbers_are_unique"
    """A call number is used once on a connection."""
    FINAL_ANSWER_ONCE = "final_answer_once"
    """A finished call takes no further answer."""
    EXPLICIT_INCOMPLETE = "explicit_incomplete"
    """A stream that can't go on ends with incomplete."""
    END_COUNT_CHECK = "end_count_check"
    """The end counts only when all items before it were passed on."""
    ONLY_HOME_SAYS_NOT_RUN = "only_home_says_not_run"
    """For a prepared identifier, not run needs the word of its home."""
    IDENTIFIER_COMES_WITH_FIRST_ITEM = "identifier_comes_with_first_item"
    """A caller learns an identifier once no other can answer any more."""
    CANCEL_IS_ACKNOWLEDGED = "cancel_is_acknowledged"
    """Cancelled is said only once the agent has stopped the generation."""
    ADOPTED_IS_ONLY_READ = "adopted_is_only_read"
    """A later incarnation reads on what it adopts and never starts it."""
    ADOPTED_IS_AT_THE_ENGINE = "adopted_is_at_the_engine"
    """A later incarnation answers only for what the engine has started."""


class RequestKind(enum.StrEnum):
    """How a caller sends its request."""

    REPEATABLE = "repeatable"
    """May run several times."""
    ONCE = "once"
    """Not repeatable, sent in one step."""
    PREPARED = "prepared"
    """Not repeatable; the caller has an identifier and may retry."""


class Faults(typing.NamedTuple):
    """How many faults of each kind may still happen.

    Refusals, cancels and retracts are choices, not faults; they are bounded
    here as well.
    """

    together: int = 0
    """Faults of all kinds together."""
    cuts: int = 0
    """Connections between entry and agent that are lost."""
    caller_cuts: int = 0
    """Connections between caller and entry that are lost."""
    duplicates: int = 0
    """Messages that are delivered twice."""
    entry_crashes: int = 0
    """Entries that die."""
    agent_crashes: int = 0
    """Agents that die and start again as a new incarnation."""
    replacements: int = 0
    """Paused agents whose target gets a new agent; the old one wakes up."""
    engine_deaths: int = 0
    """Engines that die."""
    lost_replies: int = 0
    """Replies of an engine to a start that are lost."""
    unseen_delays: int = 0
    """Delays past a start-by deadline that the agent's check can't see.

    The agent is paused between its check and the engine call, or the offer
    lay unread in its socket while it was paused.
    """
    refusals: int = 0
    """Refusals by an agent or its engine."""
    cancels: int = 0
    """Cancellations by callers."""
    retracts: int = 0
    """Offers that an entry withdraws."""


class Scope(typing.NamedTuple):
    """Bounds of one check."""

    name: str
    """Name in reports."""
    requests: tuple[RequestKind, ...]
    """Kind of each request; each has a payload of its own."""
    targets: int
    """Targets, each with an agent and an engine."""
    items: int
    """Items of a whole answer."""
    in_flight: int
    """Most messages on their way at once."""
    connections: int
    """Most connections that an entry uses for one call."""
    faults: Faults
    """Faults that may happen."""


class Generation(typing.NamedTuple):
    """Identifier of a generation, which names its home."""

    agent: int
    """Agent process that issued it."""
    number: int
    """Number there."""


NO_GENERATION: typing.Final = Generation(-1, -1)


class Connection(typing.NamedTuple):
    """One call on one connection between an entry and an agent."""

    number: int
    """Call number, by which the entry finds the call again."""
    entry: int
    """Entry that opened it."""
    opened: int
    """Counts the connections that the call used."""


class Attempt(typing.NamedTuple):
    """An offer of a new generation, the same when it is sent again."""

    request: int
    """Request that is offered."""
    entry: int
    """Entry that offers it."""
    number: int
    """Counts the attempts of the call."""


NO_ATTEMPT: typing.Final = Attempt(-1, -1, -1)


class Message(typing.NamedTuple):
    """A message on its way; messages may overtake one another."""

    kind: str
    """Type of the message."""
    to_agent: bool
    """Whether it goes from an entry to an agent."""
    connection: Connection
    """Connection on which it travels."""
    agent: int
    """Agent process at the other end."""
    generation: Generation
    """Generation it is about, if one is known."""
    number: int = 0
    """Number of the item, or the last number had."""
    payload: int = 0
    """Request whose content it carries."""
    attempt: Attempt = NO_ATTEMPT
    """Attempt that an offer makes, unless it names a generation."""


class Reader(typing.NamedTuple):
    """A call that reads a generation."""

    connection: Connection
    """Connection to which items go."""
    sent: int = 0
    """Number of the last item sent."""
    told: bool = False
    """Whether it was sent how the generation ended."""


class Job(typing.NamedTuple):
    """A generation as its agent sees it."""

    state: str
    """State of :mod:`spec.lifecycle`."""
    identifier: Generation
    """Identifier under which it may be started and resumed."""
    payload: int
    """Request whose content it runs."""
    attempt: Attempt = NO_ATTEMPT
    """Attempt that made it, unless it was prepared."""
    readers: tuple[Reader, ...] = ()
    """Calls that read it, each with a cursor of its own."""
    late: bool = False
    """Whether the start-by deadline has passed on the agent's clock."""
    produced: int = 0
    """Items that the engine gave."""
    kept_after: int = 0
    """Items up to this number were acknowledged and are gone."""


class Agent(typing.NamedTuple):
    """One incarnation of an agent."""

    target: int
    """Target beside which it runs."""
    alive: bool
    """Whether it takes steps."""
    jobs: tuple[Job, ...] = ()
    """Its generations."""
    seen: tuple[Connection, ...] = ()
    """Calls that were offered or retracted on its connections."""


class Call(typing.NamedTuple):
    """A request as one entry handles it."""

    state: str = "idle"
    """One of idle, new, offered, retracting, streaming, lost and done."""
    connection: int = 0
    """Connection in use."""
    attempt: int = 0
    """Attempt in use."""
    agent: int = -1
    """Agent process in use."""
    generation: Generation = NO_GENERATION
    """Generation that answers."""
    passed: int = 0
    """Items passed on to the caller, or had by it before."""
    acknowledged: int = 0
    """Items acknowledged to the agent."""
    uncertain: bool = False
    """Whether an attempt ended without saying that nothing ran."""
    resumes: bool = False
    """Whether it only reads a generation and has no request to offer."""


class Item(typing.NamedTuple):
    """An item as its caller got it."""

    generation: Generation
    """Generation it came from."""
    number: int
    """Number it had."""
    payload: int
    """Request that it answers."""


class Caller(typing.NamedTuple):
    """A caller and what it got."""

    state: str = "idle"
    """One of idle, calling, broken, ended and gave up."""
    entry: int = 0
    """Entry it talks to."""
    generation: Generation = NO_GENERATION
    """Identifier it knows."""
    items: tuple[Item, ...] = ()
    """Items received."""
    answers: tuple[str, ...] = ()
    """Final answers received; more than one is a fault."""


class Witness(typing.NamedTuple):
    """What the engines saw: the only witness that can't be fooled."""

    starts: tuple[int, ...]
    """Starts of each request."""
    foreign: bool = False
    """Whether an agent started an identifier that it did not issue."""
    late: bool = False
    """Whether a start was made after its deadline."""
    after_cancel: bool = False
    """Whether a cancelled, not repeatable request was started."""


class State(typing.NamedTuple):
    """The whole system."""

    callers: tuple[Caller, ...]
    """One caller for each request."""
    calls: tuple[tuple[Call, ...], ...]
    """For each request, the call at each entry."""
    entries: tuple[bool, ...]
    """Whether each entry is alive."""
    agents: tuple[Agent, ...]
    """Agent processes; the last waits to replace the first."""
    messages: tuple[Message, ...]
    """Messages on their way, sorted."""
    faults: Faults
    """Faults that may still happen."""
    witness: Witness
    """What the engines saw."""
    left: tuple[Job, ...] = ()
    """What the engine still has of the first agent after its crash."""


ENTRIES: typing.Final = 2


def make_initial_state(scope: Scope) -> State:
    """Return the state in which nothing was asked yet.

    The two-step form begins with an identifier in the caller's hand: a lost
    answer to the first step leaves an identifier that nobody uses.
    """
    callers = []
    jobs: list[Job] = []
    for payload, kind in enumerate(scope.requests):
        identifier = NO_GENERATION
        if kind is RequestKind.PREPARED:
            identifier = Generation(0, len(jobs))
            jobs.append(Job(lifecycle.PREPARED, identifier, payload))
        callers.append(Caller(generation=identifier))
    agents = [Agent(target, True) for target in range(scope.targets)]
    agents[0] = agents[0]._replace(jobs=tuple(jobs))
    count = len(scope.requests)
    return State(
        callers=tuple(callers),
        calls=((Call(),) * ENTRIES,) * count,
        entries=(True,) * ENTRIES,
        agents=(*agents, Agent(0, False)),
        messages=(),
        faults=scope.faults,
        witness=Witness(starts=(0,) * count),
    )


_Value = typing.TypeVar("_Value")


def replace_at(
    values: tuple[_Value, ...], index: int, value: _Value
) -> tuple[_Value, ...]:
    """Return ``values`` with another value at ``index``."""
    return (*values[:index], value, *values[index + 1 :])
