"""Readers of streamed answers, beside which a scenario goes on."""

from collections import abc
import json
import threading
import typing

import httpx

from features import builders
from gentianpoint_standins import processes

__all__ = ("StreamReader",)

_WITHIN_S: typing.Final = 60.0


class StreamReader:
    """Reads one streamed answer in a thread of its own."""

    def __init__(
        self,
        entry: processes.ProcessHandle,
        prompt: str,
        headers: typing.Optional[abc.Mapping[str, str]] = None,
        resume: str = "",
        after: int = 0,
    ) -> None:
        """Ask for a generation of ``prompt``, or ``resume`` one."""
        self.numbers: typing.Final[list[int]] = []
        self.texts: typing.Final[list[str]] = []
        self.generation = ""
        self.status = 0
        self.done = False
        self.error: dict[str, typing.Any] = {}
        self.broken = ""
        self._has_left = False
        self._changed: typing.Final = threading.Condition()
        self._method = "GET" if resume else "POST"
        self._url = f"{entry.url}/v1/completions"
        if resume:
            self._url = f"{entry.url}/v1/generations/{resume}?after={after}"
        self._body = None
        if not resume:
            self._body = {
                "model": builders.MODEL,
                "prompt": prompt,
                "stream": True,
            }
        self._headers = {
            **(headers or builders.make_headers()),
            "Accept": "text/event-stream",
        }
        self._thread: typing.Final = threading.Thread(
            target=self._read, daemon=True
        )
        self._thread.start()

    def _read(self) -> None:
        try:
            with httpx.stream(
                self._method,
                self._url,
                json=self._body,
                headers=self._headers,
                timeout=_WITHIN_S,
            ) as answer:
                self.status = answer.status_code
                self.generation = answer.headers.get(
                    "Gentianpoint-Generation", ""
                )
                if self.status != 200:
                    answer.read()
                    self.error = answer.json()["error"]
                    return
                for line in answer.iter_lines():
                    self._take_line(line)
        except httpx.HTTPError as error:
            self.broken = repr(error)
        finally:
            with self._changed:
                self._changed.notify_all()

    def _take_line(self, line: str) -> None:
        with self._changed:
            if self._has_left:
                return
            if line.startswith("id: "):
                self.numbers.append(int(line[4:]))
            elif line == "data: [DONE]":
                self.done = True
            elif line.startswith("data: "):
                self._take_data(json.loads(line[6:]))
            self._changed.notify_all()

    def _take_data(self, data: dict[str, typing.Any]) -> None:
        if "error" in data:
            self.error = data["error"]
        elif data["choices"] and len(self.texts) < len(self.numbers):
            self.texts.append(data["choices"][0]["text"])

    def wait_for_tokens(self, count: int) -> None:
        """Wait until ``count`` tokens have come."""
        with self._changed:
            reached = self._changed.wait_for(
                lambda: (
                    len(self.texts) >= count or not self._thread.is_alive()
                ),
                _WITHIN_S,
            )
        assert reached and len(self.texts) >= count, self.describe()

    def leave(self) -> int:
        """Take no more tokens, as a caller that goes elsewhere.

        Returns how many have come; those on the way are lost to the caller.
        """
        with self._changed:
            self._has_left = True
            return len(self.texts)

    def wait_for_end(self) -> None:
        """Wait until the answer is at its end, whatever it is."""
        self._thread.join(_WITHIN_S)
        assert not self._thread.is_alive(), self.describe()

    def describe(self) -> str:
        """Return what has come, for a failed assertion."""
        return (
            f"status {self.status}, numbers {self.numbers}, done {self.done},"
            f" error {self.error}, broken {self.broken!r}"
        )
