"""Steps for limits that targets name."""

import behave

from gentianpoint_core import named_limits


@behave.when("an answer has the values {values}")
def read(context, values):
    found = [] if values == "none" else values.encode().split(b" and ")
    context.found = named_limits.read_named_limit(found)


@behave.then("it names no limit")
def check_none(context):
    assert context.found == named_limits.UNNAMED


@behave.then("it names {per_s:g} a second")
def check_limit(context, per_s):
    assert context.found == (True, per_s), context.found


@behave.then("it names nothing readable")
def check_unreadable(context):
    assert context.found == named_limits.UNREADABLE, context.found
