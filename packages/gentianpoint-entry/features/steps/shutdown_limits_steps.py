"""Steps for waits that end with a shutdown."""

import types

import behave
import shutdown_builders
import trio
import trio.testing

from gentianpoint_core import errors
from gentianpoint_entry import calls
from gentianpoint_entry import key_claims
from gentianpoint_entry import prepared_generations


class FreeKeys:
    """Claims of keys that nobody has used."""

    async def find_claim(self, stream):
        """Return that there is none."""
        return


async def receive(dispatcher, request, after=None):
    call = calls.Call(dispatcher, request, after)
    try:
        await call.receive()
    finally:
        await call.close()


async def bind_key(dispatcher, request):
    tail = types.SimpleNamespace(is_log_available=lambda: True)
    keys = key_claims.KeyClaims(FreeKeys(), dispatcher, tail)
    await keys.bind(request, "key")


async def wait_for(dispatcher, what):
    once = shutdown_builders.make_request(False)
    named = shutdown_builders.make_request(False, shutdown_builders.IDENTIFIER)
    match what:
        case "an answer":
            repeatable = shutdown_builders.make_request(True)
            await receive(dispatcher, repeatable)
        case "an answer that may run once":
            await receive(dispatcher, once)
        case "the start of an identifier":
            await receive(dispatcher, named)
        case "the rest of a generation":
            await receive(dispatcher, named, 3)
        case "an identifier":
            await prepared_generations.prepare_generation(dispatcher, once)
        case "the claim of its key":
            await bind_key(dispatcher, once)
        case "the cancel of a generation":
            await prepared_generations.cancel_generation(dispatcher, named)
        case _:
            raise AssertionError(what)


async def read_error(dispatcher, what, told):
    try:
        await wait_for(dispatcher, what)
    except errors.CallError as error:
        told.append(error)


@behave.given("an entry whose agent answers nothing")
def make_entry(context):
    context.dispatcher = shutdown_builders.make_dispatcher()


@behave.when("a caller waits for {what}")
def wait_until_over(context, what):
    context.first, context.later = [], []
    context.counts = []

    async def main():
        dispatcher = context.dispatcher
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_error, dispatcher, what, context.first)
            await trio.testing.wait_all_tasks_blocked()
            assert not context.first, context.first
            context.counts.append(dispatcher.count_calls())
            dispatcher.end_calls()
            await trio.testing.wait_all_tasks_blocked()
            context.counts.append(dispatcher.count_calls())
            nursery.start_soon(read_error, dispatcher, what, context.later)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()

    trio.run(main)


@behave.then("the entry counts it as open")
def check_open(context):
    assert context.counts[0] > 0, context.counts


@behave.then("the entry counts nothing as open")
def check_none_open(context):
    assert context.counts[1] == 0, context.counts


@behave.then("at the end of its time it is told {code}")
def check_told(context, code):
    assert [row.code for row in context.first] == [code], context.first


@behave.then("one that comes later is told {code} at once")
def check_later(context, code):
    assert [row.code for row in context.later] == [code], context.later
