"""The project's own interface, as callers speak it."""

from collections import abc
import json
import typing

from bench.soak import dialects
from bench.soak import kinds
from gentianpoint_core import connection_pools

__all__ = ("OwnDialect", "make_prompt")

_OK: typing.Final = 200
_NO_KEY: typing.Final = 401
_DONE: typing.Final = "[DONE]"
_TAG: typing.Final = "x-request-tag"
_CUT_CODES: typing.Final = frozenset(("incomplete",))
"""Codes of streams that an entry or a target broke off."""


def make_prompt(request_id: str) -> str:
    """Return the prompt of a request.

    It asks for a number of tokens, and that each names its generation, or
    for the end of its engine.
    """
    content = kinds.find_fatal_content(request_id)
    if content:
        return f"{content} crash:{kinds.compute_exit_status(content)}"
    count = kinds.count_events(request_id)
    return f"{request_id} stamp:yes tokens:{count}"


class OwnDialect(dialects.Dialect):
    """The project's own interface."""

    ready_path = "/health"

    def __init__(self) -> None:
        """Start without having seen a generation."""
        self._owners: typing.Final[dict[str, str]] = {}

    def make_call(
        self,
        kind: kinds.RequestKind,
        request_id: str,
        estimate: int,
        broken: typing.Optional[dialects.BrokenStream] = None,
    ) -> connection_pools.ExchangeRequest:
        """Return a request; nobody here asks for estimates."""
        headers = {
            "Authorization": f"Bearer {dialects.MAIN_KEY}",
            "Gentianpoint-Deadline-Ms": str(kind.deadline_ms),
            "Gentianpoint-Repeatable": str(kind.may_run_again).lower(),
        }
        if kind.is_stream:
            fields = {
                "model": kind.service,
                "prompt": make_prompt(request_id),
                "stream": True,
            }
            headers["Content-Type"] = "application/json"
            body = json.dumps(fields).encode()
            return dialects.ask(b"POST", "/v1/completions", headers, body)
        headers[_TAG] = request_id
        method = b"GET" if kind.may_run_again else b"POST"
        path = f"/services/{kind.service}/echo/{kind.name}"
        content = kinds.find_fatal_content(request_id)
        if content:
            status = kinds.compute_exit_status(content)
            path = f"/services/{kind.service}/crash/{status}"
        return dialects.ask(method, path, headers)

    def read_outcome(
        self, request_id: str, outcome: dialects.Outcome
    ) -> dialects.Outcome:
        """Return what an answer means."""
        kind = kinds.find_kind(request_id)
        if kind is None or outcome.status != _OK:
            return outcome
        if kind.is_stream:
            return self._read_stream(request_id, outcome)
        if not outcome.is_whole:
            return outcome
        fields = dict(json.loads(outcome.body)["headers"])
        lower = {name.lower(): value for name, value in fields.items()}
        return outcome._replace(body=lower.get(_TAG, "").encode())

    def _read_stream(
        self, request_id: str, outcome: dialects.Outcome
    ) -> dialects.Outcome:
        """Return the events in the form that is checked."""
        events = []
        is_done = False
        end = outcome.end
        count = kinds.count_events(request_id)
        for block in outcome.body.decode().split("\n\n")[:-1]:
            head, _, data = block.rpartition("data: ")
            if data == _DONE:
                is_done = True
                continue
            fields = json.loads(data)
            if "error" in fields:
                if fields["error"]["code"] in _CUT_CODES:
                    end = "cut"
                continue
            for choice in fields["choices"]:
                if not choice["text"]:
                    continue
                text, _, software = choice["text"].partition("/")
                stamp, _, place = text.rpartition(".")
                owner = self._owners.setdefault(stamp, request_id)
                data = f"{owner}/{place}/{count}/{software}"
                events.append(f"{head}data: {data}\n\n")
        return outcome._replace(
            body="".join(events).encode(), end=end, is_whole=is_done
        )

    def make_probes(
        self, version: int, request_id: str
    ) -> abc.Sequence[connection_pools.ExchangeRequest]:
        """Ask by the key of a version."""
        key = {"Authorization": f"Bearer key-{version}"}
        return (dialects.ask(b"GET", "/v1/models", key),)

    def judge_probe(self, number: int, status: int) -> typing.Optional[bool]:
        """Tell what the probe of this number shows; None for nothing."""
        return {_OK: True, _NO_KEY: False}.get(status)
