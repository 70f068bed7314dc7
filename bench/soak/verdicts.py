"""What promises are judged by, and how one fared."""

from collections import abc
import itertools
import typing

__all__ = (
    "OF_KNOWLEDGE",
    "UNSTEADY_LINKS",
    "Bounds",
    "Verdict",
    "judge",
)

OF_KNOWLEDGE: typing.Final = frozenset(
    ("entry_kill", "entry_pause", "entry_stop", "entries_stop")
)
"""Faults after which an entry may not know yet what the others do."""
UNSTEADY_LINKS: typing.Final = frozenset(
    ("target_link_stalls", "target_link_silent", "target_link_cut")
)
"""Faults that hold back what was sent to a target."""
_MOST_NAMED: typing.Final = 5
"""Failures of one promise that are named."""


class Bounds(typing.NamedTuple):
    """Figures of the promises."""

    in_force_s: float = 2.0
    """Time from an acknowledgement until a version is in force."""
    calm_s: float = 3.0
    """Time after a fault from which an entry is bound again."""
    drain_s: float = 2.0
    """Time from a notice until a target gets nothing new."""
    recovery_s: float = 12.0
    """Time after the last fault in which service is back."""
    recovered_share: float = 0.25
    """Share of requests that is served then, at least."""
    retry_ratio: float = 0.2
    """Repeated arrivals for each request."""
    retry_slack: int = 58
    """Repeated arrivals in a window that are allowed besides."""
    retry_window_s: float = 10.0
    """Length of that window."""
    memory_mb: float = 150.0
    """Memory of an entry."""
    asked_enough: int = 20
    """Requests of a kind of which one is served, at least."""
    grace_s: float = 8.0
    """Time from the signal to end until a program is killed."""
    outlast_share: float = 5 / 6
    """Share of it after which a request may be cut that came before it."""
    silent_s: float = 5.0
    """Time for which kept connections that fell silent are still used."""
    read_s: float = 1.0
    """Time for which a request may lie unread in a connection that is
    closed."""
    fatal_runs: int = 3
    """Runs of a request that has ended targets, from ``calm_s`` after the
    third end on."""
    limit_window_s: float = 4.0
    """Time over which requests to a target with a limit are counted."""
    limit_factor: float = 1.5
    """Factor by which it may get more than its limit allows."""
    limit_slack: int = 5
    """Requests in such a time that are allowed besides."""
    under_way_s: float = 0.5
    """Time after an answer in which requests may arrive that were under
    way."""
    rest_requests: int = 2
    """Requests of an entry that a target may get besides while it rests."""
    preferred_s: float = 4.0
    """Time from which on a preferred entry serves as many as others did."""
    preferred_share: float = 0.75
    """Share that is served then, against the one before."""
    serving: int = 2
    """Engines of a stream's version that serve, for it to go on."""
    taken_up: int = 12
    """Streams that are taken up, from which on their share counts."""
    went_on_share: float = 0.5
    """Share of them that go on, against that of new ones that begin."""
    lag_s: float = 1.0
    """Time for which the soak's own process may stand still."""
    do_agents_carry: bool = False
    """True where requests pass through agents, so that faults of these cut
    them."""
    are_timed: bool = True
    """False leaves out the promises with a time, which a busy machine
    can't be held to."""


class Verdict(typing.NamedTuple):
    """How one promise fared."""

    promise: str
    """The promise."""
    tested: int
    """How often it was put to the test."""
    failures: tuple[str, ...]
    """What broke it, the first few."""
    is_timed: bool = False
    """True when it depends on how fast the machine is."""


def judge(
    promise: str,
    tested: int,
    failures: abc.Iterable[str],
    *,
    is_timed: bool = False,
) -> Verdict:
    """Return how a promise fared, with the first of its failures."""
    named = tuple(itertools.islice(failures, _MOST_NAMED))
    return Verdict(promise, tested, named, is_timed)
