"""What was seen in a soak, by callers, targets and who started the programs.

Times are seconds of the soak's own clock.
"""

import typing

__all__ = (
    "TARGETS",
    "Answer",
    "Arrival",
    "Change",
    "Disturbance",
    "Ending",
    "Facts",
    "FatalCall",
    "FatalRun",
    "Leaving",
    "NamedLimit",
    "Notice",
    "Preference",
    "Probe",
    "Run",
    "Serving",
    "Stop",
)

TARGETS: typing.Final = "targets"
"""Stands for an entry where a fault concerns targets alone."""


class Run(typing.NamedTuple):
    """A target began to work on a request."""

    request_id: str
    """Identifier, which begins with the kind of request."""
    service: str
    """Service of the target."""
    target_id: str
    """The start of the target."""
    at: float
    """When it began."""
    after_event: int
    """Event after which it goes on, 0 from the beginning."""


class Serving(typing.NamedTuple):
    """A start of an engine took work for some time."""

    target_id: str
    """The start of the engine."""
    software: str
    """Version of its software."""
    begins_at: float
    """When it began to take work."""
    ends_at: float
    """When it was told to leave, or ended."""


class Arrival(typing.NamedTuple):
    """A request reached a target."""

    target_id: str
    """The start of the target."""
    at: float
    """When it came."""
    request_id: str = ""
    """Identifier of the attempt; empty if it is not known."""


class Notice(typing.NamedTuple):
    """An answer of a target that asked for less work."""

    target_id: str
    """The start of the target."""
    request_id: str
    """The attempt that it answered."""
    at: float
    """When."""
    rest_s: float
    """Seconds for which it wants nothing; 0 if it says that it leaves."""


class Preference(typing.NamedTuple):
    """The balancer sent most new connections to one entry for some time."""

    entry: str
    """Its name."""
    begins_at: float
    """When that began."""
    ends_at: float
    """When it was over."""


class NamedLimit(typing.NamedTuple):
    """A target named a limit on requests for some time."""

    target_id: str
    """The start of the target."""
    per_s: float
    """Requests a second that it takes from all entries."""
    begins_at: float
    """When its answers began to name it."""
    ends_at: float
    """When they ceased to."""


class Answer(typing.NamedTuple):
    """What a caller got for one request."""

    request_id: str
    """Identifier, which begins with the kind of request."""
    kind: str
    """Kind of request, as :mod:`bench.soak.kinds` names it."""
    sent_at: float
    """When it was sent."""
    status: int
    """HTTP status, 0 for none."""
    body: bytes
    """What came of the body."""
    is_whole: bool
    """True when the answer ended as a complete one does."""
    entry: str = ""
    """Entry that it was sent to."""
    pid: int = 0
    """Process of the entry."""
    ended_at: float = 0.0
    """When the answer, or the connection, ended."""
    end: typing.Literal["answered", "cut", "given_up", "not_sent"] = "answered"
    """How it ended: whole, by the entry before that, or by the caller."""
    stream_id: str = ""
    """Identifier of the attempt whose stream this one takes up; empty if it
    begins one."""
    after_event: int = 0
    """Last event of that stream that the caller has already."""


class Change(typing.NamedTuple):
    """A version of the configuration."""

    version: int
    """Its number."""
    acked_at: float
    """When the log acknowledged it."""


class Probe(typing.NamedTuple):
    """A request that shows whether a version is in force at an entry."""

    entry: str
    """Name of the entry."""
    pid: int
    """Process that was asked."""
    version: int
    """Version that was asked for."""
    sent_at: float
    """When it was sent."""
    answered_at: float
    """When its answer came."""
    is_in_force: bool
    """True when the answer was as this version or a newer one says."""


class Disturbance(typing.NamedTuple):
    """A fault that keeps an entry from being bound to times."""

    entry: str
    """Entry that it concerns; empty for all."""
    kind: str
    """Kind of the step, as :mod:`bench.soak.schedule` names it."""
    begins_at: float
    """When it began."""
    ends_at: float
    """When it was over."""


class Leaving(typing.NamedTuple):
    """A target's notice."""

    target_id: str
    """The start of the target."""
    acked_at: float
    """When the log acknowledged it."""


class Stop(typing.NamedTuple):
    """An entry was told to end."""

    entry: str
    """Its name."""
    pid: int
    """Its process."""
    at: float
    """When the signal was sent."""


class Ending(typing.NamedTuple):
    """A program ended without being told to."""

    program: str
    """Its name."""
    at: float
    """When that was noticed."""
    code: int
    """Its exit code."""


class FatalCall(typing.NamedTuple):
    """An attempt at a request that ends each target that runs it."""

    request_id: str
    """Identifier of the attempt."""
    entry: str
    """Entry that it was sent to."""
    sent_at: float
    """When it was sent."""


class FatalRun(typing.NamedTuple):
    """A target began to run such a request, and ended."""

    content: str
    """What was requested, the same for all attempts."""
    request_id: str
    """Identifier of the attempt; empty if the target did not tell."""
    target_id: str
    """The start of the target."""
    at: float
    """When it began."""


class Facts:
    """All that was seen in one soak."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.runs: typing.Final[list[Run]] = []
        self.arrivals: typing.Final[list[Arrival]] = []
        self.limits: typing.Final[list[NamedLimit]] = []
        self.notices: typing.Final[list[Notice]] = []
        self.preferences: typing.Final[list[Preference]] = []
        self.servings: typing.Final[list[Serving]] = []
        self.answers: typing.Final[list[Answer]] = []
        self.changes: typing.Final[list[Change]] = []
        self.probes: typing.Final[list[Probe]] = []
        self.disturbances: typing.Final[list[Disturbance]] = []
        self.leavings: typing.Final[list[Leaving]] = []
        self.stops: typing.Final[list[Stop]] = []
        self.endings: typing.Final[list[Ending]] = []
        self.fatal_calls: typing.Final[list[FatalCall]] = []
        self.fatal_runs: typing.Final[list[FatalRun]] = []
        self.most_memory_mb: typing.Final[dict[str, float]] = {}
        self.lags_s: typing.Final[list[float]] = []
        """How late the soak's own process was, each time that it looked."""
        self.calm_from = 0.0
        """End of the last fault."""
