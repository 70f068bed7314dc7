"""Routes for generations: completions, chat, models, resume and cancel."""

import typing

import msgspec
import quart

from gentianpoint_core import configuration
from gentianpoint_core import deadlines
from gentianpoint_core import errors
from gentianpoint_core import generation_ids
from gentianpoint_core import specifications
from gentianpoint_core.generated import messages
from gentianpoint_entry import answer_formats
from gentianpoint_entry import authentication
from gentianpoint_entry import call_requests
from gentianpoint_entry import caller_bodies
from gentianpoint_entry import calls
from gentianpoint_entry import entry_state
from gentianpoint_entry import generation_answers
from gentianpoint_entry import open_calls
from gentianpoint_entry import prepared_generations
from gentianpoint_entry import request_options

__all__ = ("make_generation_routes",)

_JSON: typing.Final = "application/json"
_EMPTY_REQUEST: typing.Final[messages.Request] = {
    "kind": "generation",
    "prompt": "",
    "max_tokens": 0,
    "method": "",
    "path": "",
    "headers": [],
    "body": b"",
}


def make_generation_routes(state: entry_state.EntryState) -> quart.Blueprint:
    """Return the routes under ``/v1``."""
    routes = quart.Blueprint("generations", __name__, url_prefix="/v1")

    def authenticate() -> str:
        header = quart.request.headers.get("Authorization", "")
        return authentication.authenticate_customer(header, state.tail.state)

    async def serve(
        body: typing.Union[
            caller_bodies.CompletionBody, caller_bodies.ChatBody
        ],
        customer: str,
        format_type: type[answer_formats.AnswerFormat],
    ) -> quart.Response:
        options = request_options.read_options(quart.request.headers)
        request = state.make_call_request(
            body.model,
            customer,
            caller_bodies.make_generation_request(body),
            options,
        )
        if request_options.wants_prepare(quart.request.headers):
            return await prepare(request)
        if options.key:
            request = await state.keys.bind(request, options.key)
        call = open_calls.close_after_request(
            calls.Call(state.dispatcher, request, is_buffered=not body.stream)
        )
        responder = generation_answers.GenerationResponder(call, format_type)
        if body.stream:
            stream_options = body.stream_options
            return await responder.make_streamed_response(
                stream_options is not None and stream_options.include_usage
            )
        return await responder.make_complete_response()

    async def prepare(request: call_requests.CallRequest) -> quart.Response:
        prepared = await prepared_generations.prepare_generation(
            state.dispatcher, request
        )
        response = quart.Response(
            msgspec.json.encode(
                {"id": prepared, "object": "generation.prepared"}
            ),
            content_type=_JSON,
        )
        response.headers[generation_answers.GENERATION_HEADER] = prepared
        return response

    @routes.post("/completions")
    async def complete() -> quart.Response:
        customer = authenticate()
        body = caller_bodies.decode_completion(
            await request_options.read_body()
        )
        return await serve(body, customer, answer_formats.CompletionFormat)

    @routes.post("/chat/completions")
    async def complete_chat() -> quart.Response:
        customer = authenticate()
        body = caller_bodies.decode_chat(await request_options.read_body())
        return await serve(body, customer, answer_formats.ChatFormat)

    @routes.get("/models")
    async def list_models() -> quart.Response:
        customer = authenticate()
        models = []
        for item in state.tail.state.list_resources(configuration.SERVICE):
            spec = specifications.decode_service(item.spec)
            if spec["kind"] == "model" and entry_state.serves_customer(
                spec, customer
            ):
                models.append(
                    {
                        "id": item.name,
                        "object": "model",
                        "created": 0,
                        "owned_by": "gentianpoint",
                    }
                )
        body = msgspec.json.encode({"object": "list", "data": models})
        return quart.Response(body, content_type=_JSON)

    def make_resume_request(
        identifier: str, customer: str
    ) -> call_requests.CallRequest:
        parsed = generation_ids.parse_generation_id(identifier)
        if parsed.is_error():
            raise errors.CallError(
                errors.UNKNOWN_GENERATION,
                "this is no identifier of a generation",
                step="find generation",
            )
        link = state.dispatcher.pool.find_target_link(parsed.ok.target)
        service = link.host.service if link is not None else ""
        return call_requests.CallRequest(
            state.make_request_identifier(),
            service,
            customer,
            1.0,
            0,
            0,
            False,
            _EMPTY_REQUEST,
            deadlines.NO_DEADLINE,
            deadlines.NO_DEADLINE,
            identifier,
            0.0,
        )

    @routes.get("/generations/<identifier>")
    async def resume(identifier: str) -> quart.Response:
        customer = authenticate()
        request = make_resume_request(identifier, customer)
        after = request_options.read_after(quart.request.args)
        call = open_calls.close_after_request(
            calls.Call(state.dispatcher, request, after)
        )
        responder = generation_answers.GenerationResponder(
            call, answer_formats.CompletionFormat
        )
        if request_options.wants_stream(
            quart.request.headers, quart.request.args
        ):
            return await responder.make_streamed_response(True)
        return await responder.make_complete_response()

    @routes.delete("/generations/<identifier>")
    async def cancel(identifier: str) -> quart.Response:
        customer = authenticate()
        request = make_resume_request(identifier, customer)
        known = await prepared_generations.cancel_generation(
            state.dispatcher, request
        )
        if not known:
            raise errors.CallError(
                errors.UNKNOWN_GENERATION,
                "no such generation is held",
                step="cancel generation",
            )
        body = msgspec.json.encode({"id": identifier, "cancelled": True})
        return quart.Response(body, content_type=_JSON)

    return routes
