"""Steps for calls that wait when the shutdown time is over."""

import types

import behave
import shutdown_builders
import trio
import trio.testing

from gentianpoint_core import errors
from gentianpoint_entry import calls
from gentianpoint_entry import key_claims
from gentianpoint_entry import prepared_generations


class UnclaimedKeys:
    """A key store in which no idempotency key has been claimed."""

    async def find_claim(self, stream):
        """Return None, as no key is claimed."""
        return


async def receive(dispatcher, request, after=None):
    call = calls.Call(dispatcher, request, after)
    try:
        await call.receive()
    finally:
        await call.close()


async def bind_key(dispatcher, request):
    tail = types.SimpleNamespace(is_log_available=lambda: True)
    keys = key_claims.KeyClaims(UnclaimedKeys(), dispatcher, tail)
    await keys.bind(request, "key")


async def make_call(dispatcher, what):
    single_run = shutdown_builders.make_request(False)
    identified = shutdown_builders.make_request(
        False, shutdown_builders.IDENTIFIER
    )
    match what:
        case "an answer":
            repeatable = shutdown_builders.make_request(True)
            await receive(dispatcher, repeatable)
        case "an answer that may run once":
            await receive(dispatcher, single_run)
        case "the start of an identifier":
            await receive(dispatcher, identified)
        case "the rest of a generation":
            await receive(dispatcher, identified, 3)
        case "an identifier":
            await prepared_generations.prepare_generation(
                dispatcher, single_run
            )
        case "the claim of its key":
            await bind_key(dispatcher, single_run)
        case "the cancel of a generation":
            await prepared_generations.cancel_generation(
                dispatcher, identified
            )
        case _:
            raise AssertionError(what)


async def collect_error(dispatcher, what, received_errors):
    try:
        await make_call(dispatcher, what)
    except errors.CallError as error:
        received_errors.append(error)


@behave.given("an entry whose agent never answers")
def make_unanswered_entry(context):
    context.dispatcher = shutdown_builders.make_dispatcher()


@behave.when("a caller waits for {what}")
def wait_until_shutdown_ends(context, what):
    context.first, context.later = [], []
    context.counts = []

    async def main():
        dispatcher = context.dispatcher
        async with trio.open_nursery() as nursery:
            nursery.start_soon(collect_error, dispatcher, what, context.first)
            await trio.testing.wait_all_tasks_blocked()
            assert not context.first, context.first
            context.counts.append(dispatcher.count_calls())
            dispatcher.end_calls()
            await trio.testing.wait_all_tasks_blocked()
            context.counts.append(dispatcher.count_calls())
            nursery.start_soon(collect_error, dispatcher, what, context.later)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()

    trio.run(main)


@behave.then("the entry counts the call as open")
def check_open(context):
    assert context.counts[0] > 0, context.counts


@behave.then("the entry counts no call as open")
def check_none_open(context):
    assert context.counts[1] == 0, context.counts


@behave.then("the caller gets {code} when the shutdown time is over")
def check_first(context, code):
    assert [row.code for row in context.first] == [code], context.first


@behave.then("a later call gets {code} at once")
def check_later(context, code):
    assert [row.code for row in context.later] == [code], context.later
