"""A client of the administration API that fails over between entries.

When an entry can't be reached, the call is sent to the next one. A change
keeps its identifier at every entry, so that a change whose answer was lost is
applied once, however many entries received it.
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
"""Timeout of a call to one entry, seconds."""
_WATCH_TIMEOUT_S: typing.Final = 15.0
"""Time without a line after which a watch is ended, seconds."""
_PLURALS: typing.Final = {"service": "services", "customer": "customers"}


class AdministrationError(Exception):
    """No entry answered, or an entry refused the call."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        """Create the error of a step that ``peer`` failed."""
        self.step: typing.Final = step
        self.peer: typing.Final = peer
        self.reason: typing.Final = reason
        super().__init__(str(errors.Failure(step, peer, reason)))


class WriteAnswer(typing.NamedTuple):
    """The outcome of a change, or that it is pending."""

    change: str
    """Identifier of the change."""
    state: str
    """``accepted``, ``refused`` or ``pending``."""
    revision: int
    """Offset of the record; 0 while pending."""
    reason: str
    """Why it was refused; empty otherwise."""


def _describe_refusal(answer: httpx.Response) -> str:
    try:
        body = msgspec.json.decode(answer.content, type=dict)
        return str(body["error"]["message"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return f"status {answer.status_code}"


class AdministrationClient:
    """Sends calls to the first entry that answers."""

    def __init__(
        self, entries: abc.Sequence[str], key: str, client: httpx.Client
    ) -> None:
        """Call entries by their base URLs, authenticated by ``key``."""
        self._entries = list(entries)
        self._headers: typing.Final = {"Authorization": f"Bearer {key}"}
        self._client: typing.Final = client

    def _move_first_to_end(self) -> None:
        self._entries = [*self._entries[1:], self._entries[0]]

    def call(
        self,
        method: str,
        path: str,
        body: typing.Optional[abc.Mapping[str, typing.Any]] = None,
    ) -> httpx.Response:
        """Return the response of the first entry that answers.

        A 503 comes from an entry that isn't ready or is leaving, and counts
        as no answer. Raises :class:`AdministrationError` when no entry
        answers.
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
            self._move_first_to_end()
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

        The revision is that of the first page, so that a watch from it
        reports the changes that were made while the pages were read.
        """
        first = self.read(plural)
        next_name = first.pop("next")
        while next_name:
            query = urllib.parse.urlencode({"after_name": next_name})
            page = self.read(f"{plural}?{query}")
            first["items"] += page["items"]
            next_name = page["next"]
        return typing.cast(dict[str, typing.Any], first)

    def put(self, manifest: manifests.Manifest, change: str) -> WriteAnswer:
        """Write a resource, as the change with identifier ``change``."""
        plural = _PLURALS[manifest.kind]
        return self._write(
            "PUT",
            f"{plural}/{manifest.name}",
            {"spec": manifest.spec, "base": manifest.base, "change": change},
        )

    def delete(
        self, plural: str, name: str, base: int, change: str
    ) -> WriteAnswer:
        """Delete a resource, as the change with identifier ``change``."""
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

    def set_evacuation(self, data_centre: str, *, is_evacuated: bool) -> int:
        """Begin or end an evacuation; return the offset of its record."""
        method = "PUT" if is_evacuated else "DELETE"
        name = urllib.parse.quote(data_centre, safe="")
        answer = self.call(method, f"evacuations/{name}")
        if answer.is_error:
            raise AdministrationError(
                f"{method} evacuations/{name}",
                self._entries[0],
                _describe_refusal(answer),
            )
        return int(msgspec.json.decode(answer.content)["revision"])

    def watch(
        self, plural: str, after: typing.Optional[int]
    ) -> abc.Iterator[abc.Mapping[str, typing.Any]]:
        """Yield the lines of one watch until its connection ends.

        The lines include heartbeats, which carry the revision to resume
        from. A connection without data for some time is closed. After a
        connection error the next call goes to the next entry. Raises
        :class:`AdministrationError` when the entry refuses the watch.
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
                timeout=_WATCH_TIMEOUT_S,
            ) as answer:
                if answer.is_error:
                    answer.read()
                    reason = _describe_refusal(answer)
                    raise AdministrationError("watch", entry, reason)
                for line in answer.iter_lines():
                    yield msgspec.json.decode(line, type=dict)
        except httpx.TransportError:
            self._move_first_to_end()


def make_change_identifier() -> str:
    """Return a new identifier for a change."""
    return uuid.uuid4().hex
