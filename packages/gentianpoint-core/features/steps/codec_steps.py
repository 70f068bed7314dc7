"""Steps for encoding and decoding messages."""

import behave
import hypothesis
from hypothesis import strategies

from gentianpoint_core import codec


@behave.when("the bytes {text} are decoded as a message")
def decode_bytes(context, text):
    context.result = codec.decode_message(bytes.fromhex(text), "peer-1")


@behave.then("the failure contains {reason}")
def check_reason(context, reason):
    assert context.result.is_error()
    assert reason in str(context.result.error), context.result.error
    assert "peer-1" in str(context.result.error)


@behave.when("arbitrary bytes are decoded as messages")
def decode_arbitrary(context):
    context.results = []

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(strategies.binary(max_size=200))
    def decode(data):
        context.results.append(codec.decode_message(data, "peer-1"))

    decode()


@behave.then("each result is a message or a failure")
def check_results(context):
    assert context.results
    for result in context.results:
        assert result.is_ok() or result.is_error()


@behave.when("a heartbeat is encoded and decoded")
def round_trip(context):
    context.message = {"type": "heartbeat", "number": 3, "echo": 2}
    data = codec.encode_message(context.message)
    context.result = codec.decode_message(data, "peer-1")


@behave.then("the decoded message equals the original")
def check_same(context):
    assert context.result.ok == context.message
