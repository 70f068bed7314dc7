"""How callers speak to entries: requests, and what answers mean."""

import abc
from collections import abc as collections_abc
import typing
import zlib

from bench.soak import kinds
from gentianpoint_core import connection_pools

__all__ = (
    "MAIN_KEY",
    "BrokenStream",
    "Dialect",
    "Outcome",
    "PlatformDialect",
    "ask",
)

MAIN_KEY: typing.Final = "key-of-all-versions"
_PROMPT: typing.Final = b"prompt"
_NOT_RUN: typing.Final = 503
_NOT_FOUND: typing.Final = 404
_NO_KEY: typing.Final = 401
_PROMPT_CALLERS: typing.Final = 5
"""Callers whose prompts have a part of their own."""
_PROBE_MS: typing.Final = 1000


class Outcome(typing.NamedTuple):
    """What came of a request; the status is 0 if nothing did."""

    status: int
    """HTTP status; those of a promise that it did not run only for that."""
    body: bytes
    """Events as ``id: N``, ``data: REQUEST/N/MOST``, or the identifier."""
    end: typing.Literal["answered", "cut", "given_up", "not_sent"]
    """How it ended: by a final answer, by the entry before that, or by the
    caller."""
    is_whole: bool = False
    """True when the answer ended as a complete one does."""


class BrokenStream(typing.NamedTuple):
    """A stream that broke off, and that its caller takes up."""

    stream_id: str
    """Identifier of the attempt that brought its first event."""
    last_event: int
    """Last event that the caller has."""


class Dialect(abc.ABC):
    """One interface of entries."""

    ready_path: str
    """Path under which a balancer asks."""
    takes_streams_up = False
    """True where callers take up streams that broke off."""
    names_parts = False
    """True where callers name the parts of prompts."""

    @abc.abstractmethod
    def make_call(
        self,
        kind: kinds.RequestKind,
        request_id: str,
        estimate: int,
        broken: typing.Optional[BrokenStream] = None,
    ) -> connection_pools.ExchangeRequest:
        """Return a request; ``estimate`` is its caller's, in events.

        It takes the stream ``broken`` up, if one is given.
        """

    @abc.abstractmethod
    def read_outcome(self, request_id: str, outcome: Outcome) -> Outcome:
        """Return what an answer means."""

    @abc.abstractmethod
    def make_probes(
        self, version: int, request_id: str
    ) -> collections_abc.Sequence[connection_pools.ExchangeRequest]:
        """Return requests that show whether a version is in force."""

    @abc.abstractmethod
    def judge_probe(self, number: int, status: int) -> typing.Optional[bool]:
        """Tell what the probe of this number shows; None for nothing."""


def ask(
    method: bytes,
    path: str,
    headers: collections_abc.Mapping[str, str],
    body: bytes = b"",
) -> connection_pools.ExchangeRequest:
    """Return a request of a caller."""
    fields = {"Host": kinds.HOST, **headers}
    return connection_pools.ExchangeRequest(
        method,
        path.encode(),
        [(name.encode(), value.encode()) for name, value in fields.items()],
        body,
    )


class PlatformDialect(Dialect):
    """The interface on the users' platform."""

    ready_path = "/api/readiness"
    takes_streams_up = True
    names_parts = True

    def make_call(
        self,
        kind: kinds.RequestKind,
        request_id: str,
        estimate: int,
        broken: typing.Optional[BrokenStream] = None,
    ) -> connection_pools.ExchangeRequest:
        """Return a request; see the base class."""
        most = kinds.find_most_events(request_id)
        headers = {
            **_make_headers(request_id, kind.deadline_ms, MAIN_KEY),
            "X-Gentianpoint-Token-Count": f"100,{most}",
            "X-Gentianpoint-Length-Hint": str(estimate),
        }
        if broken is not None:
            headers["Resumes"] = broken.stream_id
            headers["Last-Event-Id"] = str(broken.last_event)
        content = kinds.find_fatal_content(request_id)
        body = content.encode() or _PROMPT
        if kinds.is_part_content(content):
            body = request_id.encode()
        if kind.is_stream:
            headers["X-Gentianpoint-Prompt-Prefix"] = _list_parts(
                kind, request_id, content
            )
        return ask(b"POST", f"/{kind.name}/x", headers, body)

    def read_outcome(self, request_id: str, outcome: Outcome) -> Outcome:
        """Return what an answer means."""
        return outcome

    def make_probes(
        self, version: int, request_id: str
    ) -> collections_abc.Sequence[connection_pools.ExchangeRequest]:
        """Ask for the route of a version, and by the key before it."""
        old = _make_headers(request_id, _PROBE_MS, f"key-{version - 1}")
        new = _make_headers(request_id, _PROBE_MS, MAIN_KEY)
        return (
            ask(b"POST", f"/version-{version}/x", new),
            ask(b"POST", "/status/x", old),
        )

    def judge_probe(self, number: int, status: int) -> typing.Optional[bool]:
        """Tell what the probe of this number shows; None for nothing.

        An entry that is two versions behind refuses the old key as well; its
        route tells.
        """
        if status == _NOT_RUN:
            return None
        if number == 0:
            return status != _NOT_FOUND
        return None if status == _NO_KEY else False


def _list_parts(kind: kinds.RequestKind, request_id: str, content: str) -> str:
    """Return the parts of a prompt: its route's, its caller's, its own."""
    number = zlib.crc32(request_id.encode())
    names = [kind.name, f"caller {number % _PROMPT_CALLERS}", request_id]
    if kinds.is_part_content(content):
        names.insert(2, content)
    return ",".join(f"{zlib.crc32(name.encode()):x}:25" for name in names)


def _make_headers(
    request_id: str, deadline_ms: int, key: str
) -> dict[str, str]:
    return {
        "X-Gentianpoint-Request-Id": request_id,
        "X-Gentianpoint-Request-Deadline": str(deadline_ms),
        "X-Gentianpoint-Model": "m",
        "Authorization": f"Bearer {key}",
    }
