"""Steps for the formats of streamed answers."""

import json

import behave

from gentianpoint_entry import answer_formats
from gentianpoint_entry import call_requests

FORMS = {
    "completion": answer_formats.CompletionFormat,
    "chat": answer_formats.ChatFormat,
}
GENERATION = "taller-1~cb2bdcbeae4e~1~77767767af0e9142"
ESCAPES = {"\\0": "\0", "line\\nbreak": "line\nbreak"}


@behave.given("an answer in the {form} format")
def make_format(context, form):
    context.format = FORMS[form](GENERATION, "modelo-taller")


@behave.when("the events of these texts are encoded from item {first:d} on")
def encode(context, first):
    context.first = first
    context.texts = [
        ESCAPES.get(row["text"], row["text"]) for row in context.table
    ]
    part = call_requests.CallPart(first, context.texts, (), "", 0, 0)
    context.data = context.format.encode_events(part)


def read_text(choice):
    return choice["text"] if "text" in choice else choice["delta"]["content"]


@behave.then("each event has its number, its text and the answer's identifier")
def check_events(context):
    events = context.data.decode().split("\n\n")
    assert events.pop() == "", events
    assert len(events) == len(context.texts), events
    for place, (event, text) in enumerate(
        zip(events, context.texts, strict=True)
    ):
        number, _, data = event.partition("\n")
        assert number == f"id: {context.first + place}", event
        frame = json.loads(data.removeprefix("data: "))
        assert read_text(frame["choices"][0]) == text, (event, text)
        assert frame["id"] == GENERATION, event
