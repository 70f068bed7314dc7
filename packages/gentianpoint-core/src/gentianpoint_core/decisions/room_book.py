"""Decides whether an engine has room for one more generation.

The load: long generations fill an engine's memory only seconds after their
start, and many entries send to it. Each of them sees room in the reports,
and together they send more than the memory holds; the engine then preempts
generations and prefills their prompts a second time. So entries claim room at
the engine's agent, which sees all claims and replies to one after the other.

A claim is granted if a slot is free and the forecast peak of the memory, with
the new generation, stays within the memory less what is reserved for more
urgent ones. Memory that is in use is counted once each:

- running generations by the engine's report, with their expected growth;
- prompts that wait or are in prefill by the larger of the leases that are not
  yet running and what the report says;
- copies of other engines' generations as they are.
"""

import bisect
from collections import abc
import itertools
import math
import typing

from gentianpoint_core import ports
from gentianpoint_core.decisions import length_distributions
from gentianpoint_core.decisions import memory_forecasts
from gentianpoint_core.decisions import reserved_room
from gentianpoint_core.decisions import run_lengths

__all__ = (
    "LEASE_S",
    "LEAVING",
    "MAX_LEASES",
    "MEMORY",
    "REFUSALS",
    "RESERVED",
    "SLOTS",
    "TOO_LARGE",
    "UNKNOWN",
    "RoomAnswer",
    "RoomBook",
    "RoomClaim",
    "RoomCounts",
)

LEASE_S: typing.Final = 1.0
"""Time in seconds for which a lease counts before the engine's report has to
show its request."""
MAX_LEASES: typing.Final = 256
"""Most leases that are given at the same time. Engines have some dozens of
slots, so only faulty senders reach it."""
MEMORY: typing.Final = "memory"
"""Refused: the forecast exceeds the memory."""
RESERVED: typing.Final = "reserved"
"""Refused: the forecast exceeds the memory that is not reserved."""
SLOTS: typing.Final = "slots"
"""Refused: no slot is free."""
LEAVING: typing.Final = "leaving"
"""Refused: the engine is about to end."""
TOO_LARGE: typing.Final = "too_large"
"""Refused: the prompt does not fit into the whole memory."""
UNKNOWN: typing.Final = "unknown"
"""Refused: the engine has not reported yet."""
REFUSALS: typing.Final = (
    MEMORY,
    RESERVED,
    SLOTS,
    LEAVING,
    TOO_LARGE,
    UNKNOWN,
)
"""Reasons of refusals."""

_DEVIATIONS: typing.Final = 1.5
"""Standard deviations above the mean for which memory must suffice. More than
at the agent's own admission control: a preempted generation is late for its
caller, while one that waits at its entry may go elsewhere in time."""
_UNTRAINED_DEVIATIONS: typing.Final = 1.0
"""Standard deviations added before any generation has ended."""
_TRAINING_STREAMS: typing.Final = 32
"""Number of ended generations at which a quarter of
``_UNTRAINED_DEVIATIONS`` is still added."""
_REFRESH_INTERVAL_MS: typing.Final = 100.0
"""Time after which a generation's part of the forecast is computed again, in
milliseconds; the agent reads the engine's report as often."""
_MAX_UNCLAIMED: typing.Final = 16
"""Most requests without a lease, not begun by the engine, whose growth is
forecast; their prompts all count."""
_MIN_STEP_SAMPLE_S: typing.Final = 0.05
"""Least time between the reports from which the time of a step is taken, in
seconds. In a shorter one the number of steps is too uncertain."""
_STEP_HALF_LIFE_S: typing.Final = 1.0
"""Half-life of a step time in the mean, in seconds; an engine's slow phases
last less than a second."""
_SLOT_HORIZONS: typing.Final = memory_forecasts.HORIZONS[1::3]
"""Horizons at which the number of running generations is forecast, each twice
the one before."""

_OPENING_SHARE: typing.Final = 0.5
"""Share of the standard deviations with which the time of the next room is
found, as part of the uncertainty is gone by then. With all of them room would
be expected later than it opens."""
_MAX_SAMPLED: typing.Final = 8
"""Most generations by which the time of a free slot is estimated."""

_Key = abc.Hashable


class RoomClaim(typing.NamedTuple):
    """A generation for which an entry claims room."""

    request_id: str
    """Identifier of its request."""
    prompt_tokens: int
    """Number of tokens of its prompt."""
    most_tokens: int
    """Most tokens that its response may have; 0 for no limit."""
    event_tokens: int
    """Number of tokens in each event of its response."""
    slots: int
    """Number of requests that the engine runs concurrently."""
    urgency: int
    """Urgency; 0 is the most urgent."""


class RoomAnswer(typing.NamedTuple):
    """Whether a claim was granted."""

    is_granted: bool
    """True if the room is leased to the request."""
    opens_at: typing.Optional[float] = None
    """Time of the claim's clock when room is expected; None if unknown."""
    refusal: str = ""
    """One of ``REFUSALS``; empty if granted."""


class RoomCounts(typing.NamedTuple):
    """What has become of claims since the counts were last taken."""

    granted: int
    """Claims granted."""
    refused: abc.Mapping[str, int]
    """Claims refused, by reason."""
    expired: int
    """Leases past their deadline whose requests the engine neither runs nor
    has waiting."""


class _Lease(typing.NamedTuple):
    """Room given to a claim."""

    claim: RoomClaim
    given_at: float
    expires_at: float


class _StepTimes:
    """Mean time of a decoding step, from the events between two reports."""

    def __init__(self) -> None:
        self.mean_s: typing.Optional[float] = None
        self._events: abc.Mapping[str, int] = {}
        self._at = -math.inf

    def note_report(
        self, runs: abc.Sequence[ports.EngineRun], now: float
    ) -> None:
        passed_s = now - self._at
        if passed_s < _MIN_STEP_SAMPLE_S:
            return
        # Each generation makes one event in a step; those that began or were
        # preempted since the last report have made fewer.
        steps = max(
            (
                run.events - self._events[run.request_id]
                for run in runs
                if run.request_id in self._events
            ),
            default=0,
        )
        self._events = {run.request_id: run.events for run in runs}
        self._at = now
        if steps <= 0:
            return
        step_s = passed_s / steps
        if self.mean_s is None:
            self.mean_s = step_s
        else:
            share = 1 - 0.5 ** (passed_s / _STEP_HALF_LIFE_S)
            self.mean_s += share * (step_s - self.mean_s)


class _EngineRecord:
    """All that is known of one start of an engine."""

    def __init__(self) -> None:
        self.runs: dict[str, ports.EngineRun] = {}
        # By request, the oldest first.
        self.leases: dict[str, _Lease] = {}
        # Leases of running generations.
        self.settled: dict[str, _Lease] = {}
        self.forecast = memory_forecasts.MemoryForecast(1)
        # What the forecast holds, by the same keys.
        self.streams: dict[_Key, memory_forecasts.StreamMemory] = {}
        self.lengths = run_lengths.RunLengths()
        # Engines may not list what they run; then no end is known.
        self.has_listed = False
        self.reserved = reserved_room.ReservedRoom()
        self.steps = _StepTimes()
        # Requests not begun that have no lease, and the tokens of each of
        # those that the forecast holds.
        self.unclaimed = 0
        self.unclaimed_tokens: tuple[int, ...] = ()
        # Tokens in use that belong to no request and no copy.
        self.other_tokens = 0


class RoomBook:
    """The room at one engine, and the leases given.

    Times are in seconds on a monotonic clock.
    """

    def __init__(self) -> None:
        """Start without a status; all claims are refused until then."""
        self._status: typing.Optional[ports.EngineStatus] = None
        self._record = _EngineRecord()
        self._event_tokens = 1
        self._granted = 0
        self._refused: dict[str, int] = {}
        self._expired = 0

    def note_status(self, status: ports.EngineStatus, now: float) -> None:
        """Take in a report of the engine."""
        last = self._status
        if last is not None and last.born_ms != status.born_ms:
            self._record = _EngineRecord()
            last = None
        self._status = status
        record = self._record
        runs = {run.request_id: run for run in status.runs}
        gone = [key for key in record.runs if key not in runs]
        for request_id in gone:
            self._remove(request_id)
            self._note_held(request_id, now)
        for request_id in runs:
            lease = record.leases.get(request_id)
            if lease is not None:
                self._drop_lease(request_id)
                record.settled[request_id] = lease
        begun = [key for key in runs if key not in record.runs]
        record.runs = runs
        record.has_listed = record.has_listed or bool(runs)
        was_leaving = last is not None and last.is_leaving
        record.lengths.note_report(
            {key: self._make_length(run) for key, run in runs.items()},
            now,
            is_leaving=status.is_leaving or was_leaving,
            may_return=_count_not_begun(status) > 0,
        )
        # A preempted generation keeps its limit while it may be listed again.
        for request_id in gone:
            if not record.lengths.is_followed(request_id):
                record.settled.pop(request_id, None)
        record.steps.note_report(status.runs, now)
        self._drop_overdue(now)
        for request_id in begun:
            self._add_run(request_id, now)
        self._count_unclaimed(status, now)
        self._refresh(now)

    def note_move(self, request_id: str) -> None:
        """Record that a generation is about to move to another engine."""
        self._record.lengths.note_move(request_id)

    def claim(self, claim: RoomClaim, now: float) -> RoomAnswer:
        """Grant or refuse a claim.

        One that is repeated replaces the lease of its request. For a request
        that runs already it is granted without a lease.
        """
        record = self._record
        status = self._status
        if claim.request_id in record.runs:
            return self._grant()
        self._drop_lease(claim.request_id)
        if status is None:
            return self._refuse(UNKNOWN)
        if status.is_leaving:
            return self._refuse(LEAVING)
        least = claim.prompt_tokens + claim.event_tokens
        if status.total_tokens and least > status.total_tokens:
            return self._refuse(TOO_LARGE)
        self._drop_overdue(now)
        self._event_tokens = claim.event_tokens
        stream = self._make_stream(claim, 0)
        needed = claim.prompt_tokens + stream.distribution.find_mean()
        if claim.most_tokens:
            needed = min(needed, claim.prompt_tokens + claim.most_tokens)
        record.reserved.note_claim(
            claim.request_id, claim.urgency, int(needed), now
        )
        answer = self._find_refusal(claim, stream, status, now)
        if answer is not None:
            return answer
        record.leases[claim.request_id] = _Lease(claim, now, now + LEASE_S)
        self._add(_name_lease(claim.request_id), stream, now)
        return self._grant()

    def give_back(self, request_id: str) -> None:
        """End the lease of a request that is not sent."""
        self._drop_lease(request_id)

    def count_leases(self) -> int:
        """Return the number of leases whose requests are not yet running."""
        return len(self._record.leases)

    def find_peak(self) -> int:
        """Return the forecast peak of the memory, in tokens."""
        peak = self._record.forecast.find_peak(self._find_deviations())
        return math.ceil(peak) + self._count_fixed()

    def find_distribution(
        self, urgency: int
    ) -> length_distributions.LengthDistribution:
        """Return the lengths of generations of an urgency, in tokens."""
        return self._record.lengths.find_distribution(urgency)

    def find_reserved(self, urgency: int, now: float) -> int:
        """Return the tokens reserved for generations more urgent than this.

        What such generations hold at present is not part of it.
        """
        if self._status is None:
            return 0
        record = self._record
        total = self._status.total_tokens
        need = record.reserved.find_tokens(urgency, total, now)
        if not need:
            return 0
        held = sum(
            run.tokens for run in record.runs.values() if run.urgency < urgency
        )
        held += sum(
            lease.claim.prompt_tokens
            for lease in record.leases.values()
            if lease.claim.urgency < urgency
        )
        return max(0, need - held)

    def take_counts(self) -> RoomCounts:
        """Return the counts since the last call, and reset them."""
        counts = RoomCounts(self._granted, self._refused, self._expired)
        self._granted = self._expired = 0
        self._refused = {}
        return counts

    def _grant(self) -> RoomAnswer:
        self._granted += 1
        return RoomAnswer(True)

    def _refuse(
        self, refusal: str, opens_at: typing.Optional[float] = None
    ) -> RoomAnswer:
        self._refused[refusal] = self._refused.get(refusal, 0) + 1
        return RoomAnswer(False, opens_at, refusal)

    def _find_refusal(
        self,
        claim: RoomClaim,
        stream: memory_forecasts.StreamMemory,
        status: ports.EngineStatus,
        now: float,
    ) -> typing.Optional[RoomAnswer]:
        """Return why there is no room, or None if there is."""
        record = self._record
        taken = len(record.runs) + len(record.leases) + record.unclaimed
        if taken >= claim.slots or len(record.leases) >= MAX_LEASES:
            horizon = self._find_slot_horizon(claim.slots)
            return self._refuse(SLOTS, self._find_time(horizon, now))
        if not status.total_tokens:
            return None
        free = status.total_tokens - self._count_fixed()
        # Nothing will ever make more room at an engine without requests.
        least = claim.prompt_tokens + claim.event_tokens
        if not taken and least <= free:
            return None
        deviations = self._find_deviations()
        peak = record.forecast.find_peak_with(stream, deviations)
        reserved = self.find_reserved(claim.urgency, now)
        if peak <= free - reserved:
            return None
        levels = record.forecast.list_levels(_OPENING_SHARE * deviations)
        own = peak - max(levels, default=0.0)
        horizon = _find_memory_horizon(
            levels, free - reserved - max(own, least)
        )
        return self._refuse(
            RESERVED if peak <= free else MEMORY,
            self._find_time(horizon, now),
        )

    def _find_deviations(self) -> float:
        ended = self._record.lengths.all.ended_streams
        untrained = _TRAINING_STREAMS / (_TRAINING_STREAMS + ended)
        return _DEVIATIONS + _UNTRAINED_DEVIATIONS * untrained**2

    def _count_fixed(self) -> int:
        copies = 0 if self._status is None else self._status.copy_tokens
        return copies + self._record.other_tokens

    def _find_slot_horizon(self, slots: int) -> typing.Optional[int]:
        """Return after how many tokens a slot is expected to be free.

        Some of the generations stand for all, as the time of a decision has
        to be the same for any number of them.
        """
        record = self._record
        count = len(record.streams)
        uncounted = record.unclaimed - len(record.unclaimed_tokens)
        wanted = slots - 1 - uncounted
        if wanted < 0 or not count:
            return None
        step = -(count // -_MAX_SAMPLED)
        sample = [
            _Survivor(stream)
            for stream in itertools.islice(
                record.streams.values(), 0, None, step
            )
        ]
        share = wanted / count
        place = bisect.bisect_left(
            _SLOT_HORIZONS,
            True,
            key=lambda horizon: (
                sum(item.find_survival(horizon) for item in sample)
                <= share * len(sample)
            ),
        )
        if place == len(_SLOT_HORIZONS):
            return None
        return _SLOT_HORIZONS[place]

    def _find_time(
        self, horizon: typing.Optional[int], now: float
    ) -> typing.Optional[float]:
        step_s = self._record.steps.mean_s
        if horizon is None or step_s is None:
            return None
        return now + horizon / self._event_tokens * step_s

    def _make_stream(
        self, claim: RoomClaim, tokens: int
    ) -> memory_forecasts.StreamMemory:
        return memory_forecasts.StreamMemory(
            self._record.lengths.find_distribution(claim.urgency),
            claim.prompt_tokens,
            tokens,
            claim.most_tokens,
        )

    def _make_run_stream(
        self, run: ports.EngineRun
    ) -> memory_forecasts.StreamMemory:
        tokens = self._count_generated(run)
        lease = self._record.settled.get(run.request_id)
        return memory_forecasts.StreamMemory(
            self._record.lengths.find_distribution(run.urgency),
            run.tokens - tokens,
            tokens,
            0 if lease is None else lease.claim.most_tokens,
        )

    def _count_generated(self, run: ports.EngineRun) -> int:
        lease = self._record.settled.get(run.request_id)
        event_tokens = (
            self._event_tokens if lease is None else lease.claim.event_tokens
        )
        return min(run.events * event_tokens, run.tokens)

    def _make_length(self, run: ports.EngineRun) -> run_lengths.RunLength:
        lease = self._record.settled.get(run.request_id)
        tokens = self._count_generated(run)
        most = 0 if lease is None else lease.claim.most_tokens
        return run_lengths.RunLength(
            run.urgency,
            tokens,
            is_limited=0 < most <= tokens,
            is_whole=lease is not None,
        )

    def _note_held(self, request_id: str, now: float) -> None:
        lease = self._record.settled.get(request_id)
        if lease is not None:
            self._record.reserved.note_end(
                lease.claim.urgency, now - lease.given_at
            )

    def _drop_overdue(self, now: float) -> None:
        """End leases past their deadline that no request can explain."""
        record = self._record
        if self._status is None:
            return
        not_begun = _count_not_begun(self._status)
        while len(record.leases) > not_begun:
            request_id, lease = next(iter(record.leases.items()))
            if lease.expires_at > now:
                return
            self._drop_lease(request_id)
            self._expired += 1
            if record.has_listed and not self._status.is_leaving:
                record.lengths.note_unlisted_end(
                    lease.claim.urgency, lease.claim.event_tokens
                )

    def _drop_lease(self, request_id: str) -> None:
        if self._record.leases.pop(request_id, None) is not None:
            self._remove(_name_lease(request_id))

    def _count_unclaimed(self, status: ports.EngineStatus, now: float) -> None:
        """Count what the engine has not begun beyond the leases.

        Leases given after this report come on top until the next one, as
        their requests can't be part of it.
        """
        record = self._record
        running_tokens = sum(run.tokens for run in status.runs)
        in_prefill = status.used_tokens - status.copy_tokens - running_tokens
        reported = status.waiting * status.next_prompt_tokens
        reported += max(0, in_prefill)
        leased = sum(
            lease.claim.prompt_tokens for lease in record.leases.values()
        )
        tokens = max(0, reported - leased)
        record.unclaimed = max(
            0, _count_not_begun(status) - len(record.leases)
        )
        count = min(record.unclaimed, _MAX_UNCLAIMED)
        each = tokens // count if count else 0
        record.other_tokens = tokens - each * count
        wanted = (each,) * count
        if wanted == record.unclaimed_tokens:
            return
        for number in range(len(record.unclaimed_tokens)):
            self._remove(number)
        record.unclaimed_tokens = wanted
        for number in range(count):
            stream = memory_forecasts.StreamMemory(
                record.lengths.all, each, 0, 0
            )
            self._add(number, stream, now)

    def _refresh(self, now: float) -> None:
        """Compute the oldest parts of the forecast again."""
        record = self._record
        for key in record.forecast.list_due(now * 1000):
            stream = record.streams[key]
            run = record.runs.get(key) if isinstance(key, str) else None
            self._remove(key)
            if run is not None:
                stream = self._make_run_stream(run)
            self._add(key, stream, now)

    def _add_run(self, request_id: str, now: float) -> None:
        run = self._record.runs[request_id]
        self._add(request_id, self._make_run_stream(run), now)

    def _add(
        self,
        key: _Key,
        stream: memory_forecasts.StreamMemory,
        now: float,
    ) -> None:
        self._record.streams[key] = stream
        self._record.forecast.add(
            key, stream, now * 1000 + _REFRESH_INTERVAL_MS
        )

    def _remove(self, key: _Key) -> None:
        self._record.streams.pop(key, None)
        self._record.forecast.remove(key)


def _name_lease(request_id: str) -> _Key:
    return ("lease", request_id)


def _count_not_begun(status: ports.EngineStatus) -> int:
    """Return the requests that wait or are in prefill at an engine."""
    return status.waiting + max(0, status.running - status.generating)


def _find_memory_horizon(
    levels: abc.Sequence[float], limit: float
) -> typing.Optional[int]:
    """Return after how many tokens a forecast stays within a limit."""
    if limit < 0:
        return None
    place = len(levels)
    while place and levels[place - 1] <= limit:
        place -= 1
    if place == len(memory_forecasts.HORIZONS):
        return None
    return memory_forecasts.HORIZONS[place]


class _Survivor:
    """A stream whose probability to be still running is asked repeatedly."""

    def __init__(self, stream: memory_forecasts.StreamMemory) -> None:
        self._tokens: typing.Final = stream.tokens
        self._limit: typing.Final = stream.max_tokens or math.inf
        self._survival: typing.Final = stream.distribution.get_survival()
        self._reached: typing.Final = self._interpolate(stream.tokens)

    def _interpolate(self, tokens: int) -> float:
        return length_distributions.interpolate_survival(
            self._survival, length_distributions.find_position(tokens)
        )

    def find_survival(self, horizon: int) -> float:
        """Return the probability to still run after a number of tokens."""
        length = self._tokens + horizon
        if length > self._limit or not self._reached:
            return 0.0
        return self._interpolate(length) / self._reached
