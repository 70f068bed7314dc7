"""What a replay is made of: engines, kinds of generations, and loads."""

import math
import typing

__all__ = (
    "Crashes",
    "EngineCosts",
    "Generation",
    "Leaving",
    "Load",
    "NearlyFull",
    "SlowPhases",
    "StreamKind",
    "Surge",
    "Wave",
)


class EngineCosts(typing.NamedTuple):
    """What an engine's work takes."""

    slots: int = 96
    """Most generations in a batch."""
    memory_tokens: int = 34_609
    """Tokens that its memory holds."""
    step_ms: float = 7.0
    """A step without anything running."""
    slot_ms: float = 0.12
    """What each generation adds to a step."""
    chunk_tokens: int = 112
    """Most prompt tokens that are read in a step."""
    read_tokens_per_ms: float = 14.0
    """Prompt tokens that are read in a millisecond."""
    event_tokens: int = 4
    """Tokens in an event of a stream."""
    token_bytes: float = 18_432.0
    """Memory of a token, in bytes."""
    link_mbps: float = 2700.0
    """Rate of an engine's link, for copies of memory."""
    far_factor: float = 2.0
    """Times that a copy takes longer between data centres."""
    queue: int = 288
    """Most requests that wait."""


class StreamKind(typing.NamedTuple):
    """One kind of generation, as callers send it."""

    name: str
    """Name in the figures."""
    per_s: float
    """Arrivals a second."""
    prompt_tokens: float
    """Mean length of prompts."""
    prompt_spread: float
    """Standard deviation of prompts over their mean."""
    answer_events: float
    """Mean length of answers, in events."""
    answer_spread: float
    """Standard deviation of answers over their mean."""
    most_events: int
    """Longest answer."""
    objective_ms: float
    """Time to the first event that is on time."""
    pause_ms: float
    """Longest pause that is on time."""
    deadline_ms: float
    """Time that callers wait."""
    worth: float
    """Worth of an answer on time."""
    late_worth: float
    """Worth of a late one."""
    may_resume: bool
    """True when it may be run again."""
    max_attempts: int
    """Targets that one attempt may be sent to."""
    priority: int = 0
    """Priority of its route; 0 is the highest."""


class SlowPhases(typing.NamedTuple):
    """Phases in which an engine's work takes longer."""

    share: float = 0.0
    """Share of the time that they take; 0 for none."""
    factor: float = 1.0
    """Times that work takes longer in a phase."""
    length_s: float = 0.6
    """Length of a phase."""


class NearlyFull(typing.NamedTuple):
    """Engines whose work takes longer while their memory is nearly full."""

    every: int = 0
    """One engine of so many is like this; 0 for none."""
    used_share: float = 0.85
    """Share of the memory in use from which work takes longer."""
    factor: float = 2.0
    """Times that work takes longer then."""


class Wave(typing.NamedTuple):
    """Arrivals that rise above their mean and fall below it."""

    depth: float = 0.0
    """Difference between the highest rate and the mean, as a share of the
    mean; 0 for no wave."""
    period_s: float = 17.0
    """Time from one peak to the next."""
    is_apart: bool = False
    """True when each data centre has its peak at another time. Callers then
    send to the entries of their own data centre."""


class Leaving(typing.NamedTuple):
    """Engines that the platform takes away, one after another."""

    every_s: float = 3.3
    """Time between notices; 0 for none."""
    first_at: float = 1.5
    """When the first one gets notice."""
    notice_s: tuple[float, float] = (1.54, 2.1)
    """Shortest and longest notice."""
    replaced_after_s: float = 4.0
    """Time from a notice until another engine starts."""
    at_once: int = 1
    """Engines that get notice together."""
    known_after_s: tuple[float, float] = (0.1, 0.3)
    """Time from its start until entries know it. Sooner than agents tell,
    which takes 0.7 to 0.8 s, so gains by new engines are overstated."""


class Crashes(typing.NamedTuple):
    """Engines that end without notice."""

    contents: int = 0
    """Requests that end each engine that begins to run them."""
    every_s: float = 4.0
    """Time after which the caller of such a request sends it again."""
    killed_every_s: float = 0.0
    """Time between engines that are killed from outside; 0 for none."""
    back_s: float = 4.0
    """Time until another engine has started in place of one that ended."""


class Surge(typing.NamedTuple):
    """A span in which a kind comes more often."""

    at: float
    """Its beginning, in seconds."""
    for_s: float
    """Its length."""
    factor: float
    """Times the usual rate."""
    kind: str = ""
    """The kind; all if empty."""
    customer: int = -1
    """Number of the customer that sends what exceeds the usual rate; negative
    if all send more."""


class Load(typing.NamedTuple):
    """One pattern of load."""

    name: str
    """Name in the figures."""
    answers: str
    """What it is a picture of."""
    kinds: tuple[StreamKind, ...]
    """What callers send."""
    engines: int = 5
    """Engines at the start."""
    data_centres: int = 3
    """Data centres over which engines and entries are spread."""
    entries: int = 5
    """Entries."""
    length_s: float = 34.0
    """Time in which requests arrive."""
    leaving: Leaving = Leaving()
    """How engines come and go."""
    surges: tuple[Surge, ...] = ()
    """Spans with more requests."""
    slow_engines: int = 0
    """Engines of the start that work slower all the while."""
    slow_factor: float = 4.0
    """Times that their steps take longer."""
    crashes: Crashes = Crashes()
    """Engines that end without notice."""
    gone_at: float = -1.0
    """When half of the engines die at once; negative for never."""
    evacuated_at: float = -1.0
    """When a data centre is evacuated; negative for never."""
    evacuated_for_s: float = 8.0
    """Time until it is taken back."""
    impatient_share: float = 0.0
    """Share of callers that leave after half of the objective."""
    slots: int = 96
    """Most generations in an engine's batch."""
    memory_tokens: int = 34_609
    """Tokens that an engine's memory holds."""
    link_mbps: float = 2700.0
    """Rate of an engine's link, for copies of memory."""
    report_lag_s: float = 0.02
    """Time until entries have an engine's report."""
    lost_at: float = math.inf
    """When all entries are killed at once, with every stream that they pass
    on; infinite for never."""
    speeds: tuple[float, ...] = (1.0,)
    """Factors of the time that engines take, dealt round robin within each
    data centre."""
    swapped_at: float = math.inf
    """When the factors are dealt in reverse order; infinite for never."""
    slow_phases: SlowPhases = SlowPhases()
    """Phases in which each engine is slow."""
    nearly_full: NearlyFull = NearlyFull()
    """Engines that are slow while their memory is nearly full."""
    customer_shares: tuple[float, ...] = ()
    """Shares of the customers in all generations; empty for no customers."""
    wave: Wave = Wave()
    """How the rate of arrivals swings."""
    controls_room: bool = False
    """True when entries claim room, unless the policy leaves that out, and
    keep what a reply said against older reports."""


class Generation(typing.NamedTuple):
    """What a caller asks for, drawn before the replay."""

    request_id: str
    """Identifier, also of its attempts."""
    at: float
    """When it arrives."""
    kind: StreamKind
    """Its kind."""
    prompt_tokens: int
    """Length of its prompt."""
    answer_events: int
    """Length of its answer."""
    hinted_tokens: int
    """The caller's guess of the answer's length."""
    entry: int
    """Entry at which its caller arrives."""
    is_impatient: bool
    """True when its caller leaves early."""
    fatal_content: str = ""
    """Content that ends each engine that begins to run it; empty if this is
    no such request."""
    customer: str = ""
    """Customer that sends it; empty for none."""
