"""HTTP responses of generations, complete or streamed."""

from collections import abc
import typing

import quart

from gentianpoint_core import errors
from gentianpoint_entry import answer_formats
from gentianpoint_entry import call_requests
from gentianpoint_entry import calls
from gentianpoint_entry import error_answers

__all__ = ("GENERATION_HEADER", "GenerationResponder")

GENERATION_HEADER: typing.Final = "Gentianpoint-Generation"
"""Response header with the identifier of the generation."""
_EVENT_STREAM: typing.Final = "text/event-stream"
_JSON: typing.Final = "application/json"


class GenerationResponder:
    """Makes the HTTP response of one call."""

    def __init__(
        self, call: calls.Call, format_type: type[answer_formats.AnswerFormat]
    ) -> None:
        """Respond with the answer of ``call`` in ``format_type``."""
        self._call: typing.Final = call
        self._format_type: typing.Final = format_type

    def _make_format(self) -> answer_formats.AnswerFormat:
        return self._format_type(
            self._call.generation, self._call.request.service
        )

    async def make_complete_response(self) -> quart.Response:
        """Return a response with the complete answer or the error."""
        texts: list[str] = []
        try:
            while True:
                part = await self._call.receive()
                if part.finish_reason:
                    break
                # Numbers that start again at 1 belong to a second generation,
                # which replaces one that broke off.
                texts[part.first - 1 :] = part.texts
        except errors.CallError as error:
            return error_answers.make_error_response(
                error, self._call.generation
            )
        finally:
            await self._call.close()
        body = self._make_format().encode_complete("".join(texts), part)
        return self._make_response(body, _JSON)

    async def make_streamed_response(
        self, include_usage: bool
    ) -> quart.Response:
        """Return a streamed response once the first item has arrived.

        An error before that is reported with its own HTTP status.
        """
        try:
            first = await self._call.receive()
        except errors.CallError as error:
            await self._call.close()
            return error_answers.make_error_response(
                error, self._call.generation
            )
        except BaseException:
            await self._call.close()
            raise
        events = self._write_events(first, include_usage)
        return self._make_response(events, _EVENT_STREAM)

    async def _write_events(
        self, part: call_requests.CallPart, include_usage: bool
    ) -> abc.AsyncGenerator[bytes, None]:
        answer_format = self._make_format()
        try:
            while not part.finish_reason:
                yield answer_format.encode_events(part)
                part = await self._call.receive()
            yield answer_format.encode_end(part, include_usage)
        except errors.CallError as error:
            # The status has already been sent, so an error event without a
            # following [DONE] shows that the answer is incomplete.
            body = error_answers.encode_error(error, self._call.generation)
            yield b"data: " + body + b"\n\n"
        finally:
            await self._call.close()

    def _make_response(
        self,
        body: typing.Union[bytes, abc.AsyncGenerator[bytes, None]],
        content_type: str,
    ) -> quart.Response:
        response = quart.Response(body, content_type=content_type)
        response.headers[GENERATION_HEADER] = self._call.generation
        response.timeout = None
        return response
