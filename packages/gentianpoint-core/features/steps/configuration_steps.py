"""Steps for folding records into the configuration."""

import json

import behave
import configuration_builders
import hypothesis
from hypothesis import strategies

from gentianpoint_core import configuration

WRITES = strategies.lists(
    strategies.fixed_dictionaries(
        {
            "change": strategies.sampled_from([f"c{n}" for n in range(12)]),
            "action": strategies.sampled_from(["put", "put", "delete"]),
            "name": strategies.sampled_from(["ana", "eva", "rui"]),
            "base": strategies.integers(-1, 5),
            "spec": strategies.fixed_dictionaries(
                {
                    "key_hashes": strategies.lists(
                        strategies.sampled_from(
                            [
                                configuration_builders.make_key_hash(key)
                                for key in "abc"
                            ]
                        ),
                        max_size=2,
                    )
                }
            ),
        }
    ),
    max_size=12,
)


@behave.given("the customer ana was declared at offset 1 with the key {key}")
def declare_ana(context, key):
    context.state = configuration.Configuration()
    key_hash = configuration_builders.make_key_hash(key)
    record = configuration_builders.make_record(
        "first", spec={"key_hashes": [key_hash]}
    )
    assert context.state.apply_record(1, record).accepted


@behave.when("a record {fields} is folded at offset {offset:d}")
def fold_record(context, fields, offset):
    changes = json.loads(fields)
    keys = changes.pop("keys", None)
    if keys is not None:
        hashes = [configuration_builders.make_key_hash(key) for key in keys]
        changes["spec"] = {"key_hashes": hashes}
    change = changes.pop("change", "second")
    record = configuration_builders.make_record(change, **changes)
    context.before = context.state.list_resources(configuration.CUSTOMER)
    context.outcome = context.state.apply_record(offset, record)


@behave.then("the record is {verdict}")
def check_verdict(context, verdict):
    outcome = context.outcome
    if verdict == "passed over":
        assert outcome is None, outcome
        assert context.state.offset == 2
    elif verdict == "accepted":
        assert outcome.accepted, outcome
    else:
        reason = verdict.removeprefix("refused: ")
        assert not outcome.accepted, outcome
        assert reason in outcome.reason, outcome
    if verdict != "accepted":
        customers = context.state.list_resources(configuration.CUSTOMER)
        assert customers == context.before


@behave.when("arbitrary bytes are folded")
def fold_bytes(context):
    context.state = configuration.Configuration()

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(strategies.binary(max_size=100))
    def fold(data):
        offset = context.state.offset + 1
        assert context.state.apply_record(offset, data) is None
        assert context.state.offset == offset

    fold()


@behave.then("the offset has increased and there are no resources")
def check_no_resource(context):
    assert context.state.offset > 0
    assert not context.state.list_resources(configuration.CUSTOMER)


@behave.when("arbitrary writes are folded record by record")
def prepare_writes(context):
    context.pairs = []


@behave.when(
    "folded again with duplicates and through a snapshot at each offset"
)
def fold_both(context):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(WRITES)
    def fold(writes):
        once = configuration.Configuration()
        repeated = configuration.Configuration()
        for offset, fields in enumerate(writes, start=1):
            record = configuration_builders.make_record(**fields)
            once.apply_record(offset, record)
            repeated.apply_record(offset, record)
            repeated.apply_record(max(1, offset - 1), record)
            repeated = configuration.Configuration.decode_state(
                repeated.encode_state()
            ).ok
        context.pairs.append((once.encode_state(), repeated.encode_state()))

    fold()


@behave.then("both states are equal")
def check_equal(context):
    assert len(context.pairs) > 50
    for once, repeated in context.pairs:
        assert once == repeated


@behave.then("the customer ana is removed and the offset is {offset:d}")
def check_removed(context, offset):
    assert context.outcome is None
    assert context.state.offset == offset
    found = context.state.find_resource(configuration.CUSTOMER, "ana")
    assert found is None, found


@behave.when("its encoded state is {damage}")
def damage_state(context, damage):
    data = context.state.encode_state()
    lines = data.split(b"\n")
    context.data = {
        "without a line": b"\n".join(lines[:-1]),
        "with a line more": data + b"\n" + lines[-1],
        "cut off": data[:-3],
        "empty": b"",
    }[damage]


@behave.then("decoding it fails")
def check_decoding(context):
    result = configuration.Configuration.decode_state(context.data)
    assert result.is_error()
