"""Steps for waiting for an agent's turn to move a generation."""

import types

import behave
import topic_builders
import trio

from gentianpoint_entry.forwarding import agent_turns

LONGEST_S = 10.0


@behave.given("an agent that keeps reporting and grants no turn")
def make_slow_agent(context):
    context.reports_until_s = LONGEST_S * 2
    context.turn_s = LONGEST_S * 2


@behave.given(
    "an agent that grants no turn and stops reporting after a second"
)
def make_stopped_agent(context):
    context.reports_until_s = 1.0
    context.turn_s = LONGEST_S * 2


@behave.given("an agent that grants the turn after {wait_ms:d} ms")
def make_granting_agent(context, wait_ms):
    context.reports_until_s = LONGEST_S * 2
    context.turn_s = wait_ms / 1000


@behave.when("a generation waits for its turn")
def wait_for_turn(context):
    async def run():
        began = trio.current_time()
        turns = agent_turns.AgentTurns(types.SimpleNamespace())

        def is_agent_reporting():
            return trio.current_time() - began < context.reports_until_s

        async def grant_turn():
            await trio.sleep(context.turn_s)
            turns.mark_granted("request")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(grant_turn)
            with trio.move_on_after(LONGEST_S) as scope:
                await turns.wait_for_turn("request", 100, is_agent_reporting)
            nursery.cancel_scope.cancel()
        context.has_timed_out = scope.cancelled_caught
        context.took_ms = (trio.current_time() - began) * 1000

    topic_builders.run_on_mock_clock(run)


@behave.then("it still waits after ten seconds")
def check_waiting(context):
    assert context.has_timed_out


@behave.then("it goes on within {most_ms:d} ms")
def check_going_on(context, most_ms):
    assert not context.has_timed_out
    assert context.took_ms <= most_ms, context.took_ms
