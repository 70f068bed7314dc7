"""Steps for the encoding of streamed answers."""

import json

import behave

from gentianpoint_entry import answer_formats
from gentianpoint_entry import call_requests

FORMATS = {
    "completion": answer_formats.CompletionFormat,
    "chat": answer_formats.ChatFormat,
}
GENERATION = "taller-1~cb2bdcbeae4e~1~77767767af0e9142"
ESCAPES = {"\\0": "\0", "line\\nbreak": "line\nbreak"}


@behave.given("an answer in the {form} format")
def make_format(context, form):
    context.format = FORMATS[form](GENERATION, "modelo-taller")


@behave.when("events with these texts are encoded, numbered from {first:d}")
def encode(context, first):
    context.first = first
    context.texts = [
        ESCAPES.get(row["text"], row["text"]) for row in context.table
    ]
    part = call_requests.CallPart(first, context.texts, (), "", 0, 0)
    context.data = context.format.encode_events(part)


def read_text(choice):
    return choice["text"] if "text" in choice else choice["delta"]["content"]


@behave.then(
    "each event has its number, its text and the generation's identifier"
)
def check_events(context):
    events = context.data.decode().split("\n\n")
    assert events.pop() == "", events
    assert len(events) == len(context.texts), events
    for index, (event, text) in enumerate(
        zip(events, context.texts, strict=True)
    ):
        number, _, data = event.partition("\n")
        assert number == f"id: {context.first + index}", event
        envelope = json.loads(data.removeprefix("data: "))
        assert read_text(envelope["choices"][0]) == text, (event, text)
        assert envelope["id"] == GENERATION, event
