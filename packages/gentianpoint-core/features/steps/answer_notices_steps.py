"""Steps for what targets ask for in their answers."""

import behave

from gentianpoint_core import answer_notices


def read_values(text):
    if text == "nothing":
        return []
    values = text.split(" and ")
    return [b"" if item == "empty" else item.encode() for item in values]


@behave.then("{values} says that the target leaves: {leaves}")
def check_leaving(context, values, leaves):
    found = answer_notices.read_leaving(read_values(values))
    assert found == (leaves == "yes"), found


@behave.then("{values} asks for {rest_ms:d} ms of rest")
def check_rest(context, values, rest_ms):
    found = answer_notices.read_rest_ms(read_values(values))
    assert found == rest_ms, found
