"""Formats of generated answers, streamed and whole.

A streamed answer is server-sent events, one a token; each event's ``id`` is
the number of its token, which ``after=`` takes when the caller resumes.
"""

import abc
import time
import typing

import msgspec

from gentianpoint_entry import call_requests

__all__ = (
    "AnswerFormat",
    "ChatFormat",
    "CompletionFormat",
    "STREAM_DONE",
)

STREAM_DONE: typing.Final = b"data: [DONE]\n\n"
"""Last event of a regular stream."""
_PLACE_OF_TEXT: typing.Final = "\0"
"""Stands for a token's text; neither an identifier nor a name has it."""


class AnswerFormat(abc.ABC):
    """How one answer is written."""

    object_name: str
    """Value of ``object`` in a whole answer."""
    chunk_name: str
    """Value of ``object`` in an event of a stream."""

    def __init__(self, generation: str, model: str) -> None:
        """Write the answer of ``generation`` by the service ``model``."""
        self._generation: typing.Final = generation
        self._model: typing.Final = model
        self._created: typing.Final = int(time.time())
        self._event_parts: typing.Optional[tuple[bytes, bytes]] = None

    @abc.abstractmethod
    def make_choice(self, text: str, finish: typing.Optional[str]) -> object:
        """Return the choice of a whole answer."""

    @abc.abstractmethod
    def make_delta(
        self, text: typing.Optional[str], finish: typing.Optional[str]
    ) -> object:
        """Return the choice of one event; no text at the end."""

    def _make_frame(self, name: str, choices: object) -> dict[str, object]:
        return {
            "id": self._generation,
            "object": name,
            "created": self._created,
            "model": self._model,
            "choices": choices,
        }

    def encode_whole(self, text: str, end: call_requests.CallPart) -> bytes:
        """Return a whole answer."""
        frame = self._make_frame(
            self.object_name, [self.make_choice(text, end.end)]
        )
        frame["usage"] = _make_usage(end)
        return msgspec.json.encode(frame)

    def encode_events(self, part: call_requests.CallPart) -> bytes:
        """Return the events of a part's tokens, to be written at once.

        All events of an answer differ in number and text only, so the rest
        is encoded once: this runs for each token of each caller.
        """
        before, after = self._event_parts or self._encode_event_parts()
        pieces = []
        for number, text in enumerate(part.texts, part.first):
            pieces.append(b"id: %d\ndata: " % number)
            pieces.append(before)
            pieces.append(msgspec.json.encode(text))
            pieces.append(after)
        return b"".join(pieces)

    def _encode_event_parts(self) -> tuple[bytes, bytes]:
        """Return what stands before and after an event's text."""
        frame = self._make_frame(
            self.chunk_name, [self.make_delta(_PLACE_OF_TEXT, None)]
        )
        before, after = msgspec.json.encode(frame).split(
            msgspec.json.encode(_PLACE_OF_TEXT)
        )
        self._event_parts = before, after + b"\n\n"
        return self._event_parts

    def encode_end(
        self, end: call_requests.CallPart, include_usage: bool
    ) -> bytes:
        """Return the closing events of a regular stream."""
        frame = self._make_frame(
            self.chunk_name, [self.make_delta(None, end.end)]
        )
        events = b"data: " + msgspec.json.encode(frame) + b"\n\n"
        if include_usage:
            usage = self._make_frame(self.chunk_name, [])
            usage["usage"] = _make_usage(end)
            events += b"data: " + msgspec.json.encode(usage) + b"\n\n"
        return events + STREAM_DONE


def _make_usage(end: call_requests.CallPart) -> dict[str, int]:
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.completion_tokens,
        "total_tokens": end.prompt_tokens + end.completion_tokens,
    }


class CompletionFormat(AnswerFormat):
    """The format of ``/v1/completions``."""

    object_name = "text_completion"
    chunk_name = "text_completion"

    def make_choice(self, text: str, finish: typing.Optional[str]) -> object:
        """Return the text with its end."""
        return {
            "index": 0,
            "text": text,
            "finish_reason": finish,
            "logprobs": None,
        }

    def make_delta(
        self, text: typing.Optional[str], finish: typing.Optional[str]
    ) -> object:
        """Return one token's text, or the end."""
        return self.make_choice(text or "", finish)


class ChatFormat(AnswerFormat):
    """The format of ``/v1/chat/completions``."""

    object_name = "chat.completion"
    chunk_name = "chat.completion.chunk"

    def make_choice(self, text: str, finish: typing.Optional[str]) -> object:
        """Return the assistant's message with its end."""
        return {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish,
            "logprobs": None,
        }

    def make_delta(
        self, text: typing.Optional[str], finish: typing.Optional[str]
    ) -> object:
        """Return one token's text, or the end."""
        delta: dict[str, str] = {}
        if text is not None:
            delta = {"role": "assistant", "content": text}
        return {
            "index": 0,
            "delta": delta,
            "finish_reason": finish,
            "logprobs": None,
        }
