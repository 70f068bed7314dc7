"""Interfaces (ports) to the platform's services and to targets.

Each abstract base class stands for one external service and is implemented
by an adapter in a module of its own; docs/design/platform-interfaces.md
describes the HTTP adapters. Every method may raise :class:`PortError` if the
service can't be reached or refuses. Its docstring says what is then unknown.
"""

import abc
from collections import abc as collections_abc
import typing

__all__ = (
    "CacheEvent",
    "CacheEvents",
    "Engine",
    "EngineLoad",
    "EngineOrder",
    "EngineRun",
    "EngineStatus",
    "EngineStatusSource",
    "Host",
    "HostList",
    "KeyedRecord",
    "KeyedSlice",
    "KeyedTopic",
    "Log",
    "LogPosition",
    "LogRecord",
    "LogSlice",
    "PlainAnswer",
    "PlainService",
    "PortError",
    "RecordsExpiredError",
    "StreamEvent",
    "StreamRequest",
    "WeightStore",
    "WritableTopic",
)


_OFFSET_BITS: typing.Final = 40
"""Bits that the offset takes in the number of a position."""


class PortError(Exception):
    """An external service failed or refused a request."""

    def __init__(
        self,
        step: str,
        peer: str,
        reason: str,
        *,
        took_effect: bool,
        retry_after_ms: int = 0,
        disconnected: bool = False,
    ) -> None:
        """Create the error.

        ``took_effect`` is False only if it is certain that the request had no
        effect; True means that it may have had one. ``retry_after_ms`` is the
        delay that the service asked for, in milliseconds, or 0.
        ``disconnected`` is True if the other end closed or reset the
        connection after the request had been sent and before its answer was
        complete.
        """
        self.step: typing.Final = step
        self.peer: typing.Final = peer
        self.reason: typing.Final = reason
        self.took_effect: typing.Final = took_effect
        self.retry_after_ms: typing.Final = retry_after_ms
        self.disconnected: typing.Final = disconnected
        super().__init__(f"{step} with {peer}: {reason}")


class LogRecord(typing.NamedTuple):
    """One record of a stream."""

    offset: int
    """Position in the stream, from 1, without gaps."""
    data: bytes
    """The appended bytes."""


class LogSlice(typing.NamedTuple):
    """Consecutive records of a stream."""

    first: int
    """Oldest offset that the log still retains."""
    next: int
    """Offset that the next appended record gets."""
    records: collections_abc.Sequence[LogRecord]
    """The records in offset order."""
    era: int = 0
    """Number of times that the log came back from an older copy; 0 if it
    tells none. Offsets are given out again after that."""


class Log(abc.ABC):
    """The platform's append-only log service."""

    @abc.abstractmethod
    async def append_record(self, stream: str, data: bytes) -> int:
        """Append ``data`` to ``stream`` and return its offset.

        After a :class:`PortError` with ``took_effect`` the record may have
        been appended; the caller finds out by reading the stream.
        """

    def find_newest_era(self) -> int:
        """Return the highest era that any answer has shown so far."""
        return 0

    @abc.abstractmethod
    async def read_records(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> LogSlice:
        """Return up to ``limit`` records from offset ``start`` on.

        Waits up to ``wait_ms`` milliseconds if there are none yet. The first
        record's offset is higher than ``start`` if records have expired.
        """


class LogPosition(typing.NamedTuple):
    """Position in a topic of a log that may come back from an older copy.

    Offsets are given out again after that, so that they are only in order
    within an era.

    >>> LogPosition(2, 3) > LogPosition(1, 9)
    True
    """

    era: int
    """Number of times that the log came back from a copy, 0 if not known."""
    offset: int
    """Offset in the topic, from 0."""

    def to_number(self) -> int:
        """Return one number in the same order, the offset itself in era 0.

        It takes the place of an offset wherever processes tell each other
        how far they have read.

        >>> LogPosition(0, 7).to_number()
        7
        """
        return (self.era << _OFFSET_BITS) | self.offset


class KeyedRecord(typing.NamedTuple):
    """One record of a topic that retains the newest record of each key."""

    key: str
    """Key of the record."""
    value: typing.Optional[bytes]
    """Value of the record; None if the key was removed."""
    offset: int
    """Offset in the topic, from 0."""
    era: int = 0
    """Era of the log in which the record was read at this offset."""

    @property
    def position(self) -> LogPosition:
        """Position in the topic."""
        return LogPosition(self.era, self.offset)


class KeyedSlice(typing.NamedTuple):
    """Records of a keyed topic and the offset at which to continue."""

    records: collections_abc.Sequence[KeyedRecord]
    """The records; changes are in the order of the topic."""
    end: int
    """Offset at which the next read starts."""
    era: int = 0
    """Era of the log in which they were read."""

    @property
    def position(self) -> LogPosition:
        """Position at which the next read starts."""
        return LogPosition(self.era, self.end)


class RecordsExpiredError(Exception):
    """The requested records have expired; read the newest ones instead."""


class KeyedTopic(abc.ABC):
    """A compacted topic: the log retains the newest record of each key."""

    @abc.abstractmethod
    async def read_newest(self, within_ms: float) -> KeyedSlice:
        """Return the newest record of every key.

        Keys that are missing have been removed. Raises :class:`PortError`,
        also if a call takes longer than ``within_ms`` milliseconds.
        """

    @abc.abstractmethod
    async def read_changes(
        self, start: LogPosition, wait_ms: int, within_ms: float
    ) -> KeyedSlice:
        """Return the records from the offset of ``start`` on.

        If their era is another one than that of ``start``, they are not what
        follows it. Waits up to ``wait_ms`` milliseconds if there are none.
        Raises
        :class:`RecordsExpiredError`, or :class:`PortError`, also if the call
        takes longer than ``within_ms`` milliseconds including the wait.
        """


class WritableTopic(KeyedTopic):
    """A compacted topic that this system may write to."""

    @abc.abstractmethod
    async def put(
        self, key: str, value: typing.Optional[bytes], within_ms: float
    ) -> None:
        """Append a record; without a value it removes the key.

        Raises :class:`PortError`, also if the call takes longer than
        ``within_ms`` milliseconds. After one with ``took_effect`` the record
        may have been appended.
        """


class Host(typing.NamedTuple):
    """One host of the host list."""

    host: str
    """Name of the host."""
    role: str
    """``entry`` or ``agent``."""
    service: str
    """Service of an agent's target; empty for an entry."""
    target: str
    """Target of an agent; empty for an entry."""
    address: str
    """IP address and port of the entry or agent process on the host."""
    data_centre: str
    """Data centre where the host is located."""
    state: str
    """``live`` or ``leaving``."""


class HostList(abc.ABC):
    """The platform's list of hosts, which may be out of date."""

    @abc.abstractmethod
    async def read_hosts(self) -> collections_abc.Sequence[Host]:
        """Return the hosts that the platform lists."""

    def count_read_bytes(self) -> int:
        """Return the number of bytes received for the last read.

        Callers poll less often when responses are large. Adapters that can't
        measure the size return 0.
        """
        return 0


class WeightStore(abc.ABC):
    """The platform's rate-limited store of weights."""

    @abc.abstractmethod
    async def read_size(self, model: str, version: str) -> int:
        """Return the size of the weights in bytes."""


class StreamRequest(typing.NamedTuple):
    """Request to an engine to generate text."""

    identifier: str
    """Identifier under which the stream can be resumed and cancelled."""
    prompt: str
    """Prompt text."""
    max_tokens: int
    """Maximum number of tokens to generate."""
    priority: int
    """Priority; larger is more urgent."""
    model: str
    """Model; empty for the loaded one."""
    adapter: str
    """Adapter of the model: weights loaded on top of it; empty for none."""
    version: str
    """Version of model and adapter; empty for the loaded one."""


class StreamEvent(typing.NamedTuple):
    """One event of a stream: a token, a preemption or the end."""

    number: int
    """Number of the token, from 1; 0 if the event is not a token."""
    text: str
    """Text of the token."""
    preempted: bool
    """True if the engine preempted the stream."""
    end: str
    """``stop``, ``length`` or ``cancelled`` in the last event, else empty."""
    prompt_tokens: int
    """Number of prompt tokens; set in the last event."""
    completion_tokens: int
    """Number of generated tokens; set in the last event."""
    software: str = ""
    """Version of the engine's software; set in the first event of an answer,
    which has nothing else, if the engine names one."""


class EngineLoad(typing.NamedTuple):
    """An engine's report of its load, which is ``age_ms`` old."""

    boot: str
    """Identifier that changes when the engine restarts."""
    age_ms: int
    """Age of the report in milliseconds."""
    blocks: int
    """Number of cache memory blocks."""
    blocks_used: int
    """Number of blocks in use."""
    block_tokens: int
    """Number of tokens per block."""
    running: int
    """Number of streams in the batch."""
    waiting: int
    """Number of streams queued in the engine."""
    preemptions: int
    """Number of preemptions since the engine started."""
    redone_tokens: int
    """Number of tokens recomputed after preemptions."""
    model: str
    """Loaded model; empty for none."""
    adapter: str
    """Loaded adapter; empty for none."""
    version: str
    """Loaded version."""
    role: str
    """Role of the engine."""
    loading: bool
    """True while the engine carries out an order."""
    reclaim_in_ms: typing.Optional[int]
    """Milliseconds until the platform reclaims the engine; None for never."""
    software: str = ""
    """Version of the engine's software, not of its weights; empty if it names
    none."""


class CacheEvent(typing.NamedTuple):
    """A change to the engine's prefix cache."""

    sequence: int
    """Sequence number; a gap means that events were lost."""
    added: collections_abc.Sequence[int]
    """Digests of prefixes added to the cache."""
    removed: collections_abc.Sequence[int]
    """Digests of prefixes removed from the cache."""


class CacheEvents(typing.NamedTuple):
    """Prefix cache events after a sequence number."""

    events: collections_abc.Sequence[CacheEvent]
    """The events in sequence order."""
    last: int
    """Last sequence number that the engine has published."""


class EngineOrder(typing.NamedTuple):
    """An order to load weights, unload them or change the role."""

    fence: int
    """Fencing number of the agent that gives the order."""
    order: str
    """``load``, ``unload`` or ``role``."""
    model: str
    """Model to load."""
    adapter: str
    """Adapter to load; empty for none."""
    version: str
    """Version to load."""
    role: str
    """Role to take; empty for other orders."""


class Engine(abc.ABC):
    """A model engine."""

    @abc.abstractmethod
    def start_stream(
        self, request: StreamRequest
    ) -> typing.AsyncContextManager[
        collections_abc.AsyncIterator[StreamEvent]
    ]:
        """Start a stream and iterate over its events.

        Raises :class:`PortError`; with ``took_effect`` False nothing was
        started. If the iterator stops without an event that sets ``end``, the
        stream may still be running.
        """

    @abc.abstractmethod
    def resume_stream(
        self, identifier: str, after: int
    ) -> typing.AsyncContextManager[
        collections_abc.AsyncIterator[StreamEvent]
    ]:
        """Iterate over a stream's events after token number ``after``.

        Raises :class:`PortError` with ``took_effect`` False if the engine has
        no such stream.
        """

    @abc.abstractmethod
    async def cancel_stream(self, identifier: str) -> bool:
        """Cancel a stream; returns False if the engine has no such stream."""

    @abc.abstractmethod
    async def list_streams(self) -> collections_abc.Sequence[str]:
        """Return the identifiers of the engine's streams."""

    @abc.abstractmethod
    async def read_load(self) -> EngineLoad:
        """Return the engine's load report."""

    @abc.abstractmethod
    async def read_cache_events(self, after: int, wait_ms: int) -> CacheEvents:
        """Return the prefix cache events after sequence number ``after``.

        Waits up to ``wait_ms`` milliseconds for the first one.
        """

    @abc.abstractmethod
    async def send_order(self, order: EngineOrder) -> None:
        """Send an order; the load report shows when it is carried out."""


class EngineRun(typing.NamedTuple):
    """A generation that an engine runs and that has produced an event."""

    request_id: str
    """Identifier of its request."""
    tokens: int
    """Tokens in the engine's memory."""
    events: int
    """Events that it has produced."""
    urgency: int
    """Urgency that the engine was told; 0 is the most urgent."""


class EngineStatus(typing.NamedTuple):
    """Current status of an engine, which the agent reads on the same host.

    Unlike other interfaces of a platform, reading it costs nothing.
    """

    running: int
    """Number of requests in the batch."""
    waiting: int
    """Number of requests queued in the engine."""
    used_tokens: int
    """Memory that can't be evicted, in tokens, including copies for other
    engines."""
    total_tokens: int
    """Total memory, in tokens."""
    copy_tokens: int
    """Memory used by copies of other engines' generations, in tokens."""
    next_prompt_tokens: int
    """Number of prompt tokens of the first queued request; 0 for none."""
    generating: int
    """Number of requests in the batch that have produced an event; the prompts
    of the others are still being processed."""
    generating_tokens: int
    """Memory of the requests that have produced an event, in tokens."""
    born_ms: int
    """Unix time of the engine's start in milliseconds; 0 if not reported."""
    is_leaving: bool
    """True if the platform has announced that it will stop the engine."""
    leaves_in_ms: typing.Optional[int]
    """Milliseconds until the engine stops; None if not known."""
    runs: tuple[EngineRun, ...] = ()
    """The requests in the batch that have produced an event."""


class EngineStatusSource(abc.ABC):
    """Reads the status of the engine on an agent's host."""

    @abc.abstractmethod
    async def read_status(self) -> EngineStatus:
        """Return the status; raises :class:`PortError`."""

    @abc.abstractmethod
    async def read_identity(self) -> str:
        """Return the identifier of the engine's current run.

        Raises :class:`PortError`, also if the engine is unhealthy. A platform
        may charge for this request, so callers make it once per engine start.
        """


class PlainAnswer(typing.NamedTuple):
    """Head and body of a plain service's response."""

    status: int
    """HTTP status."""
    headers: collections_abc.Sequence[tuple[str, str]]
    """Headers in the order received."""
    chunks: collections_abc.AsyncIterator[bytes]
    """Body in chunks."""


class PlainService(abc.ABC):
    """A plain HTTP service on an agent's host."""

    @abc.abstractmethod
    def send_call(
        self,
        method: str,
        path: str,
        headers: collections_abc.Sequence[tuple[str, str]],
        body: bytes,
    ) -> typing.AsyncContextManager[PlainAnswer]:
        """Send a call exactly once, without retries, and return its response.

        Raises :class:`PortError`; ``took_effect`` is False only if nothing
        can have been sent.
        """
