"""Steps for processes of two versions that work together."""

import hashlib
import json
from unittest import mock

import behave
import configuration_builders
import msgspec

from gentianpoint_core import codec
from gentianpoint_core import configuration
from gentianpoint_core import resource_rules
from gentianpoint_core import specifications
from gentianpoint_core.generated import fold_schema
from gentianpoint_core.generated import resource_schema

KINDS = {"ServiceSpec": "service", "CustomerSpec": "customer"}
OFFSET = 7


@behave.then("the digest of the rules of the fold is {beginning}")
def check_digest(context, beginning):
    rules = json.dumps(fold_schema.FOLD_SCHEMA, sort_keys=True)
    digest = hashlib.sha256(rules.encode()).hexdigest()
    assert digest.startswith(beginning), digest


def _remove_description(rule):
    return {key: rule[key] for key in rule if key != "description"}


@behave.then("writers check every field that the fold checks in the same way")
def check_rules(context):
    for definition in KINDS:
        fold = fold_schema.FOLD_SCHEMA["$defs"][definition]
        writer = resource_schema.RESOURCE_SCHEMA["$defs"][definition]
        assert fold["required"] == writer["required"], definition
        for name, rule in fold["properties"].items():
            writer_rule = _remove_description(writer["properties"][name])
            if "items" in writer_rule:
                writer_rule["items"] = _remove_description(
                    writer_rule["items"]
                )
            assert writer_rule == rule, (name, writer_rule, rule)


@behave.when("a {kind} with {field} is folded")
def fold_resource(context, kind, field):
    spec = configuration_builders.make_specification(kind)
    context.spec = {**spec, **json.loads(field)}
    record = configuration_builders.make_record(
        "later", kind=kind, name="one", spec=context.spec
    )
    state = configuration.Configuration()
    outcome = state.apply_record(OFFSET, record)
    assert outcome.accepted, outcome
    context.kind = kind
    context.resource = state.find_resource(kind, "one")


@behave.then("the resource is in force with this field")
def check_kept(context):
    assert context.resource.revision == OFFSET
    assert msgspec.json.decode(context.resource.spec) == context.spec


@behave.then("this version reads it without {ignored}")
def check_read(context, ignored):
    _check_read(context.kind, context.resource.spec, ignored)


def _check_read(kind, spec, ignored):
    decode = {
        "service": specifications.decode_service,
        "customer": specifications.decode_customer,
    }[kind]
    expected = msgspec.json.decode(spec)
    del expected[ignored]
    assert decode(spec) == expected
    assert specifications.list_ignored_fields(kind, spec) == [ignored]


@behave.when("this version reads a service with {field}")
def make_service(context, field):
    spec = configuration_builders.make_specification("service")
    context.bytes = json.dumps({**spec, **json.loads(field)}).encode()


@behave.then("it reads it without {ignored}")
def check_read_bytes(context, ignored):
    _check_read("service", context.bytes, ignored)


@behave.then("a writer refuses a service with {field}")
def check_writer(context, field):
    spec = configuration_builders.make_specification("service")
    checked = resource_rules.validate_specification(
        "service", {**spec, **json.loads(field)}
    )
    assert checked.is_error()
    assert next(iter(json.loads(field))) in checked.error.reason, checked


@behave.given("this code supports versions {oldest:d} to {newest:d}")
def set_versions(context, oldest, newest):
    for name, value in (
        ("OLDEST_VERSION", oldest),
        ("PROTOCOL_VERSION", newest),
    ):
        patch = mock.patch.object(codec, name, value)
        patch.start()
        context.add_cleanup(patch.stop)


@behave.when("a peer supports versions {oldest:d} to {newest:d}")
def choose_version(context, oldest, newest):
    context.chosen = codec.choose_version(newest, oldest)


@behave.then("they use version {chosen}")
def check_chosen(context, chosen):
    assert str(context.chosen).lower() == chosen, context.chosen
