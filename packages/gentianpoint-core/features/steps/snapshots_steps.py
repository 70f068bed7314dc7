"""Steps for snapshots of the configuration."""

import behave
import cbor2
import configuration_builders
import hypothesis
from hypothesis import strategies

from gentianpoint_core import snapshots


def make_parts(customers):
    encoded = snapshots.encode_state(
        configuration_builders.make_configuration(customers).copy_state()
    )
    return encoded, snapshots.split_state(encoded, f"snapshot-{customers}")


def change_first_part(parts, **changes):
    first = cbor2.loads(parts[0])
    return [cbor2.dumps({**first, **changes}), *parts[1:]]


@behave.given("a configuration of {count:d} customers")
def set_customers(context, count):
    context.customers = count


@behave.when("it is split into parts")
def split_configuration(context):
    context.encoded, context.parts = make_parts(context.customers)
    context.entry = snapshots.IndexEntry(
        f"snapshot-{context.customers}",
        context.encoded.offset,
        context.encoded.digest,
        1,
        len(context.parts),
    )


@behave.then("there are at least {count:d} parts and each fits into a record")
def check_parts(context, count):
    assert len(context.parts) >= count
    longest = max(len(part) for part in context.parts)
    assert longest <= snapshots.MAX_PART_BYTES, longest


@behave.when("the parts are {trouble}")
def change_parts(context, trouble):
    parts = context.parts
    _, other = make_parts(10)
    first = cbor2.loads(parts[0])["data"]
    match trouble:
        case "doubled":
            context.parts = [*parts, *parts]
        case "in another order":
            context.parts = parts[::-1]
        case "mixed with another writer's":
            context.parts = [*other, parts[0], *other, b"\xff", *parts[1:]]
        case "without the last":
            context.parts = parts[:-1]
        case "damaged in the data":
            context.parts = change_first_part(parts, data=b"\0" + first[1:])
        case "of a wrong digest":
            context.entry = context.entry._replace(digest="0" * 64)
        case "cut off in the data":
            last = cbor2.loads(parts[-1])
            cut = cbor2.dumps({**last, "data": last["data"][:-9]})
            context.parts = [*parts[:-1], cut]


@behave.then("joining them gives the same configuration")
def check_same_state(context):
    result = snapshots.join_parts(context.entry, context.parts)
    assert result.is_ok(), result
    assert snapshots.encode_state(result.ok.copy_state()) == context.encoded


@behave.then("joining them fails with {reason}")
def check_join_failure(context, reason):
    result = snapshots.join_parts(context.entry, context.parts)
    assert result.is_error()
    assert reason in str(result.error), result.error


@behave.when("arbitrary bytes are decoded as parts, index entries and states")
def decode_arbitrary_parts(context):
    context.decoded = []

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(strategies.binary(max_size=200))
    def decode(data):
        context.decoded.append(snapshots.decode_part(data))
        context.decoded.append(snapshots.decode_index_entry(data))
        context.decoded.append(snapshots.expand_state(data, "", "peer"))

    decode()


@behave.then("no decoding raises")
def check_decoded(context):
    assert context.decoded
