"""JSON formats of generated answers, complete and streamed.

A streamed answer is a sequence of server-sent events, one for each token.
The ``id`` of an event is the number of its token; a caller that resumes
passes it as ``after=``.
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
"""Last event of a stream that ended regularly."""
_TEXT_PLACEHOLDER: typing.Final = "\0"
"""Placeholder for a token's text in the event template.

No identifier and no name contains this character.
"""


class AnswerFormat(abc.ABC):
    """Encodes one answer."""

    object_name: str
    """Value of ``object`` in a complete answer."""
    chunk_name: str
    """Value of ``object`` in a streamed event."""

    def __init__(self, generation: str, model: str) -> None:
        """Encode the answer of ``generation`` by the service ``model``."""
        self._generation: typing.Final = generation
        self._model: typing.Final = model
        self._created: typing.Final = int(time.time())
        self._event_template: typing.Optional[tuple[bytes, bytes]] = None

    @abc.abstractmethod
    def make_choice(self, text: str, finish: typing.Optional[str]) -> object:
        """Return the entry of ``choices`` in a complete answer."""

    @abc.abstractmethod
    def make_delta(
        self, text: typing.Optional[str], finish: typing.Optional[str]
    ) -> object:
        """Return the entry of ``choices`` in a streamed event.

        ``text`` is None in the event that ends the answer.
        """

    def _make_envelope(self, name: str, choices: object) -> dict[str, object]:
        return {
            "id": self._generation,
            "object": name,
            "created": self._created,
            "model": self._model,
            "choices": choices,
        }

    def encode_complete(self, text: str, end: call_requests.CallPart) -> bytes:
        """Return the complete answer as JSON."""
        envelope = self._make_envelope(
            self.object_name, [self.make_choice(text, end.finish_reason)]
        )
        envelope["usage"] = _make_usage(end)
        return msgspec.json.encode(envelope)

    def encode_events(self, part: call_requests.CallPart) -> bytes:
        """Return the server-sent events of all tokens of a part.

        This runs for each token of each caller. The events of an answer
        differ only in number and text, so the rest is encoded only once.
        """
        before, after = self._event_template or self._encode_event_template()
        pieces = []
        for number, text in enumerate(part.texts, part.first):
            pieces.append(b"id: %d\ndata: " % number)
            pieces.append(before)
            pieces.append(msgspec.json.encode(text))
            pieces.append(after)
        return b"".join(pieces)

    def _encode_event_template(self) -> tuple[bytes, bytes]:
        """Return the encoded event before and after the token's text."""
        envelope = self._make_envelope(
            self.chunk_name, [self.make_delta(_TEXT_PLACEHOLDER, None)]
        )
        before, after = msgspec.json.encode(envelope).split(
            msgspec.json.encode(_TEXT_PLACEHOLDER)
        )
        self._event_template = before, after + b"\n\n"
        return self._event_template

    def encode_end(
        self, end: call_requests.CallPart, include_usage: bool
    ) -> bytes:
        """Return the last events of a stream that ended regularly."""
        envelope = self._make_envelope(
            self.chunk_name, [self.make_delta(None, end.finish_reason)]
        )
        events = b"data: " + msgspec.json.encode(envelope) + b"\n\n"
        if include_usage:
            usage = self._make_envelope(self.chunk_name, [])
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
        """Return the text with its finish reason."""
        return {
            "index": 0,
            "text": text,
            "finish_reason": finish,
            "logprobs": None,
        }

    def make_delta(
        self, text: typing.Optional[str], finish: typing.Optional[str]
    ) -> object:
        """Return a token's text, or the finish reason."""
        return self.make_choice(text or "", finish)


class ChatFormat(AnswerFormat):
    """The format of ``/v1/chat/completions``."""

    object_name = "chat.completion"
    chunk_name = "chat.completion.chunk"

    def make_choice(self, text: str, finish: typing.Optional[str]) -> object:
        """Return the assistant's message with its finish reason."""
        return {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish,
            "logprobs": None,
        }

    def make_delta(
        self, text: typing.Optional[str], finish: typing.Optional[str]
    ) -> object:
        """Return a token's text, or the finish reason."""
        delta: dict[str, str] = {}
        if text is not None:
            delta = {"role": "assistant", "content": text}
        return {
            "index": 0,
            "delta": delta,
            "finish_reason": finish,
            "logprobs": None,
        }
