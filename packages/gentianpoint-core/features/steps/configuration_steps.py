"""Steps for the fold of the configuration."""

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
    more = json.loads(fields)
    keys = more.pop("keys", None)
    if keys is not None:
        hashes = [configuration_builders.make_key_hash(key) for key in keys]
        more["spec"] = {"key_hashes": hashes}
    change = more.pop("change", "second")
    record = configuration_builders.make_record(change, **more)
    context.before = context.state.list_resources(configuration.CUSTOMER)
    context.outcome = context.state.apply_record(offset, record)


@behave.then("it is {verdict}")
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
        now = context.state.list_resources(configuration.CUSTOMER)
        assert now == context.before


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


@behave.then("the offset moves on and there is no resource")
def check_no_resource(context):
    assert context.state.offset > 0
    assert not context.state.list_resources(configuration.CUSTOMER)


@behave.when("arbitrary writes are folded record by record")
def keep_writes(context):
    context.pairs = []


@behave.when("folded again with repeats and through a snapshot at each offset")
def fold_both(context):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(WRITES)
    def fold(writes):
        plain = configuration.Configuration()
        other = configuration.Configuration()
        for offset, fields in enumerate(writes, start=1):
            record = configuration_builders.make_record(**fields)
            plain.apply_record(offset, record)
            other.apply_record(offset, record)
            other.apply_record(max(1, offset - 1), record)
            other = configuration.Configuration.decode_state(
                other.encode_state()
            ).ok
        context.pairs.append((plain.encode_state(), other.encode_state()))

    fold()


@behave.then("both have the same state")
def check_same(context):
    assert len(context.pairs) > 50
    for plain, other in context.pairs:
        assert plain == other


@behave.then("the customer ana is gone and the offset is {offset:d}")
def check_gone(context, offset):
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
