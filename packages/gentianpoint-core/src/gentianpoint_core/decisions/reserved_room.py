"""Decides how much memory of an engine is reserved for urgent generations.

The load: bursts of long generations fill the memory of all engines, and a few
seconds later short urgent ones come. An engine that has no room left must
preempt for them, and what it preempts is prefilled a second time.

The need of urgent generations follows from the claims of the last seconds:
those that come while one of them holds its room hold theirs at the same time.
If claims come independently, the sum of their sizes varies by the sum of the
squares, so that one standard deviation more than the mean covers most bursts.
"""

import collections
import math
import typing

__all__ = ("WINDOW_S", "ReservedRoom")

WINDOW_S: typing.Final = 5.0
"""Time for which a claim counts, in seconds. After the last urgent claim
nothing is reserved any longer than this."""
_MAX_SHARE: typing.Final = 0.25
"""Largest share of the memory that is reserved. Less urgent generations would
otherwise not start at all while urgent ones come in a burst."""
_MAX_CLAIMS: typing.Final = 1024
"""Most claims that are remembered; then the oldest one is forgotten. An engine
gets some hundred in the window."""
_INITIAL_HELD_S: typing.Final = 1.0
"""Assumed time for which a generation holds its room until one has ended."""
_MAX_HELD_S: typing.Final = WINDOW_S
"""Longest time for which a generation counts as holding its room. Claims say
nothing on generations that began before the window."""
_SMOOTHING: typing.Final = 0.125
"""Weight of a generation that ended in the mean time that room is held."""


class _Claim(typing.NamedTuple):
    """A claim of the last seconds."""

    at: float
    urgency: int
    tokens: int


class _Demand:
    """The claims of one urgency in the window."""

    def __init__(self) -> None:
        self.tokens = 0
        self.squares = 0
        self.held_s = _INITIAL_HELD_S
        self.has_ended = False


class ReservedRoom:
    """Memory reserved for urgent generations, from their claims.

    Times are in seconds on a monotonic clock.

    >>> reserved = ReservedRoom()
    >>> reserved.note_claim("a", 0, 2500, 10.0)
    >>> reserved.find_tokens(5, 27_000, 10.0)
    1618
    >>> reserved.find_tokens(0, 27_000, 10.0)
    0
    >>> reserved.find_tokens(5, 27_000, 15.1)
    0
    """

    def __init__(self) -> None:
        """Start without claims."""
        # By request, the oldest first: a claim that is repeated counts once.
        self._claims: typing.Final[collections.OrderedDict[str, _Claim]] = (
            collections.OrderedDict()
        )
        self._demands: typing.Final[dict[int, _Demand]] = {}

    def note_claim(
        self, request_id: str, urgency: int, tokens: int, now: float
    ) -> None:
        """Count a claim for ``tokens`` tokens, also one that is refused."""
        self._drop(request_id)
        self._claims[request_id] = _Claim(now, urgency, tokens)
        demand = self._demands.setdefault(urgency, _Demand())
        demand.tokens += tokens
        demand.squares += tokens * tokens
        if len(self._claims) > _MAX_CLAIMS:
            self._drop(next(iter(self._claims)))

    def note_end(self, urgency: int, held_s: float) -> None:
        """Learn for how long a generation has held its room."""
        demand = self._demands.get(urgency)
        if demand is None:
            return
        held_s = min(held_s, _MAX_HELD_S)
        share = _SMOOTHING if demand.has_ended else 1.0
        demand.has_ended = True
        demand.held_s += share * (held_s - demand.held_s)

    def find_tokens(self, urgency: int, total_tokens: int, now: float) -> int:
        """Return the tokens that generations more urgent than this need.

        At most a quarter of ``total_tokens``, the memory of the engine. What
        such generations hold at present is part of it.
        """
        self._drop_old(now)
        mean = variance = 0.0
        for other, demand in self._demands.items():
            if other < urgency:
                at_once = demand.held_s / WINDOW_S
                mean += demand.tokens * at_once
                variance += demand.squares * at_once
        need = mean + math.sqrt(variance)
        return int(min(need, _MAX_SHARE * total_tokens))

    def _drop_old(self, now: float) -> None:
        while self._claims:
            request_id, claim = next(iter(self._claims.items()))
            if claim.at + WINDOW_S > now:
                return
            self._drop(request_id)

    def _drop(self, request_id: str) -> None:
        claim = self._claims.pop(request_id, None)
        if claim is not None:
            demand = self._demands[claim.urgency]
            demand.tokens -= claim.tokens
            demand.squares -= claim.tokens * claim.tokens
