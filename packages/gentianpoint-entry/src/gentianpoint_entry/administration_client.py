"""A client of the administration API that knows several entries.

An entry that can't be reached is passed over and the next one asked. A write
keeps its change identifier at every entry, so that one whose answer was lost
is applied once, however many entries got it.
"""

from collections import abc
import typing
import urllib.parse
import uuid

import httpx
import msgspec

from gentianpoint_core import errors
from gentianpoint_entry import manifests

__all__ = (
    "AdministrationClient",
    "AdministrationError",
    "WriteAnswer",
    "make_change_identifier",
)

_ANSWER_TIMEOUT_S: typing.Final = 20.0
_SILENCE_S: typing.Final = 15.0
_PLURALS: typing.Final = {"service": "services", "customer": "customers"}


class AdministrationError(Exception):
    """No entry gave an answer, or an entry refused the call."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        """Make the error for a step with an entry."""
        self.step: typing.Final = step
        self.peer: typing.Final = peer
        self.reason: typing.Final = reason
        super().__init__(str(errors.Failure(step, peer, reason)))


class WriteAnswer(typing.NamedTuple):
    """What became of a write."""

    change: str
    """Identifier of the change."""
    state: str
    """``accepted``, ``refused`` or ``pending``."""
    revision: int
    """Offset of the record; 0 while pending."""
    reason: str
    """Why it was refused."""


def _describe_refusal(answer: httpx.Response) -> str:
    try:
        body = msgspec.json.decode(answer.content, type=dict)
        return str(body["error"]["message"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return f"status {answer.status_code}"


class AdministrationClient:
    """Calls the first of some entries that answers."""

    def __init__(
        self, entries: abc.Sequence[str], key: str, client: httpx.Client
    ) -> None:
        """Call the entries at the base URLs ``entries`` with ``key``."""
        self._entries = list(entries)
        self._headers: typing.Final = {"Authorization": f"Bearer {key}"}
        self._client: typing.Final = client

    def _pass_over_first(self) -> None:
        self._entries = [*self._entries[1:], self._entries[0]]

    def call(
        self,
        method: str,
        path: str,
        body: typing.Optional[abc.Mapping[str, typing.Any]] = None,
    ) -> httpx.Response:
        """Return the answer of the first entry that gives one.

        An answer 503 of an entry that isn't ready, or is leaving, counts as
        none. Raises :class:`AdministrationError` when no entry is left.
        """
        reason = "no entry is given"
        for _ in tuple(self._entries):
            entry = self._entries[0]
            try:
                answer = self._client.request(
                    method,
                    f"{entry}/admin/v1/{path}",
                    json=body,
                    headers=self._headers,
                    timeout=_ANSWER_TIMEOUT_S,
                )
            except httpx.TransportError as error:
                reason = f"{entry}: {error!r}"
            else:
                if answer.status_code != 503:
                    return answer
                reason = f"{entry}: {_describe_refusal(answer)}"
            self._pass_over_first()
        raise AdministrationError(f"{method} {path}", "every entry", reason)

    def read(self, path: str) -> typing.Any:
        """Return the JSON at ``path``."""
        answer = self.call("GET", path)
        if answer.is_error:
            raise AdministrationError(
                f"GET {path}", self._entries[0], _describe_refusal(answer)
            )
        return msgspec.json.decode(answer.content)

    def list_resources(self, plural: str) -> dict[str, typing.Any]:
        """Return all resources of a kind, read page by page.

        The revision is that of the first page, so that a watch from there
        tells whatever changed while the pages were read.
        """
        first = self.read(plural)
        following = first.pop("next")
        while following:
            query = urllib.parse.urlencode({"after_name": following})
            page = self.read(f"{plural}?{query}")
            first["items"] += page["items"]
            following = page["next"]
        return typing.cast(dict[str, typing.Any], first)

    def put(self, manifest: manifests.Manifest, change: str) -> WriteAnswer:
        """Declare a resource under the identifier ``change``."""
        plural = _PLURALS[manifest.kind]
        return self._write(
            "PUT",
            f"{plural}/{manifest.name}",
            {"spec": manifest.spec, "base": manifest.base, "change": change},
        )

    def delete(
        self, plural: str, name: str, base: int, change: str
    ) -> WriteAnswer:
        """Delete a resource under the identifier ``change``."""
        return self._write(
            "DELETE", f"{plural}/{name}", {"base": base, "change": change}
        )

    def _write(
        self, method: str, path: str, body: abc.Mapping[str, typing.Any]
    ) -> WriteAnswer:
        answer = self.call(method, path, body)
        if answer.status_code in (200, 202, 409):
            row = msgspec.json.decode(answer.content)
            return WriteAnswer(
                row["change"], row["state"], row["revision"], row["reason"]
            )
        if answer.status_code in (400, 404):
            reason = _describe_refusal(answer)
            return WriteAnswer(str(body["change"]), "refused", 0, reason)
        raise AdministrationError(
            f"{method} {path}", self._entries[0], _describe_refusal(answer)
        )

    def watch(
        self, plural: str, after: typing.Optional[int]
    ) -> abc.Iterator[abc.Mapping[str, typing.Any]]:
        """Yield the lines of one watch until its connection ends.

        Heartbeats come too, and tell from where to resume. A connection
        that is silent is given up. Raises :class:`AdministrationError`
        when the entry refuses; the next call asks the next entry.
        """
        entry = self._entries[0]
        params: dict[str, typing.Union[str, int]] = {"kind": plural}
        if after is not None:
            params["after"] = after
        try:
            with self._client.stream(
                "GET",
                f"{entry}/admin/v1/watch",
                params=params,
                headers=self._headers,
                timeout=_SILENCE_S,
            ) as answer:
                if answer.is_error:
                    answer.read()
                    reason = _describe_refusal(answer)
                    raise AdministrationError("watch", entry, reason)
                for line in answer.iter_lines():
                    yield msgspec.json.decode(line, type=dict)
        except httpx.TransportError:
            self._pass_over_first()


def make_change_identifier() -> str:
    """Return a new identifier for a change."""
    return uuid.uuid4().hex
