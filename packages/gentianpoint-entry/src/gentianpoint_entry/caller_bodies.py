"""Request bodies of the completion and chat APIs."""

import typing

import msgspec

from gentianpoint_core import errors
from gentianpoint_core.generated import messages

__all__ = (
    "ChatBody",
    "CompletionBody",
    "decode_chat",
    "decode_completion",
    "make_generation_request",
)


class _StreamOptions(msgspec.Struct, forbid_unknown_fields=True):
    """Options of a streamed answer."""

    include_usage: bool = False


class _CommonBody(msgspec.Struct, forbid_unknown_fields=True):
    """Fields of both bodies, including some that engines ignore."""

    model: str
    max_tokens: typing.Optional[int] = None
    max_completion_tokens: typing.Optional[int] = None
    stream: bool = False
    stream_options: typing.Optional[_StreamOptions] = None
    n: typing.Optional[int] = None
    temperature: typing.Optional[float] = None
    top_p: typing.Optional[float] = None
    seed: typing.Optional[int] = None
    stop: typing.Union[None, str, list[str]] = None
    user: typing.Optional[str] = None
    presence_penalty: typing.Optional[float] = None
    frequency_penalty: typing.Optional[float] = None


class CompletionBody(_CommonBody, kw_only=True):
    """Body of ``POST /v1/completions``."""

    prompt: str
    """Text of the prompt."""


class _TextPart(msgspec.Struct):
    """Text part of a message's content."""

    type: str
    text: str = ""


class _ChatMessage(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: typing.Union[str, list[_TextPart]]


class ChatBody(_CommonBody, kw_only=True):
    """Body of ``POST /v1/chat/completions``."""

    messages: list[_ChatMessage]
    """All messages of the conversation so far."""


def _check(body: _CommonBody) -> None:
    limit = body.max_completion_tokens or body.max_tokens
    reason = ""
    if body.n not in (None, 1):
        reason = "n: only one answer a request is given"
    elif limit is not None and limit < 1:
        reason = "max_tokens: less than 1"
    if reason:
        raise errors.CallError(
            errors.INVALID_REQUEST, reason, step="read body"
        )


_Body = typing.TypeVar("_Body", bound=_CommonBody)


def _decode(data: bytes, kind: type[_Body]) -> _Body:
    try:
        body = msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise errors.CallError(
            errors.INVALID_REQUEST, str(error), step="read body"
        ) from error
    _check(body)
    return body


def decode_completion(data: bytes) -> CompletionBody:
    """Decode a body, or raise ``invalid_request`` naming the field."""
    return _decode(data, CompletionBody)


def decode_chat(data: bytes) -> ChatBody:
    """Decode a body, or raise ``invalid_request`` naming the field."""
    return _decode(data, ChatBody)


def _join_content(message: _ChatMessage) -> str:
    if isinstance(message.content, str):
        return message.content
    return "".join(part.text for part in message.content)


def make_generation_request(
    body: typing.Union[CompletionBody, ChatBody],
) -> messages.Request:
    """Return the request in the form that is sent to agents.

    A conversation is joined into one prompt of lines ``role: content``.
    """
    if isinstance(body, CompletionBody):
        prompt = body.prompt
    else:
        lines = [f"{m.role}: {_join_content(m)}" for m in body.messages]
        prompt = "\n".join([*lines, "assistant:"])
    return {
        "kind": "generation",
        "prompt": prompt,
        "max_tokens": body.max_completion_tokens or body.max_tokens or 0,
        "method": "",
        "path": "",
        "headers": [],
        "body": b"",
    }
