"""HTTP answers of generations, whole or streamed."""

from collections import abc
import typing

import quart

from gentianpoint_core import errors
from gentianpoint_entry import answer_formats
from gentianpoint_entry import call_requests
from gentianpoint_entry import calls
from gentianpoint_entry import error_answers

__all__ = ("GENERATION_HEADER", "GenerationAnswerer")

GENERATION_HEADER: typing.Final = "Gentianpoint-Generation"
"""Header with the identifier of an answer's generation."""
_EVENT_STREAM: typing.Final = "text/event-stream"
_JSON: typing.Final = "application/json"


class GenerationAnswerer:
    """Writes the answer of one call."""

    def __init__(
        self, call: calls.Call, form: type[answer_formats.AnswerFormat]
    ) -> None:
        """Write what ``call`` brings in the format ``form``."""
        self._call: typing.Final = call
        self._form: typing.Final = form

    def _make_format(self) -> answer_formats.AnswerFormat:
        return self._form(self._call.generation, self._call.request.service)

    async def answer_whole(self) -> quart.Response:
        """Return the whole answer, or the error."""
        texts: list[str] = []
        try:
            while True:
                part = await self._call.receive()
                if part.end:
                    break
                # A part that begins again at number 1 is of another
                # generation, which takes the place of one that broke off.
                texts[part.first - 1 :] = part.texts
        except errors.CallError as error:
            return error_answers.make_error_response(
                error, self._call.generation
            )
        finally:
            await self._call.close()
        body = self._make_format().encode_whole("".join(texts), part)
        return self._make_answer(body, _JSON)

    async def answer_streamed(self, include_usage: bool) -> quart.Response:
        """Return a stream that starts when the first item is there.

        Until then an error still has its own HTTP status.
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
        return self._make_answer(events, _EVENT_STREAM)

    async def _write_events(
        self, part: call_requests.CallPart, include_usage: bool
    ) -> abc.AsyncGenerator[bytes, None]:
        form = self._make_format()
        try:
            while not part.end:
                yield form.encode_events(part)
                part = await self._call.receive()
            yield form.encode_end(part, include_usage)
        except errors.CallError as error:
            # The status is sent already: an explicit error event tells the
            # caller that the answer is not whole, and no [DONE] follows.
            body = error_answers.describe_error(error, self._call.generation)
            yield b"data: " + body + b"\n\n"
        finally:
            await self._call.close()

    def _make_answer(
        self,
        body: typing.Union[bytes, abc.AsyncGenerator[bytes, None]],
        content_type: str,
    ) -> quart.Response:
        answer = quart.Response(body, content_type=content_type)
        answer.headers[GENERATION_HEADER] = self._call.generation
        answer.timeout = None
        return answer
