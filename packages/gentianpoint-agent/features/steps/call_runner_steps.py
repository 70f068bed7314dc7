"""Steps for the last check before a start."""

import behave
import runner_builders
import trio_stage


@behave.given("a call that must start within {within:d} ms")
def make_call(context, within):
    context.stage = trio_stage.TrioStage()
    context.run = context.stage.call(runner_builders.HeldRun, within)
    context.stage.start_task(context.run.run)


@behave.when("its turn comes after {wait:d} ms")
def take_turn(context, wait):
    context.stage.clock.jump(wait / 1000)
    context.run.answer_at_once()
    context.stage.call(context.run.give_turn)


@behave.when("its turn comes after {wait:d} ms and the target takes long")
def take_long_turn(context, wait):
    context.stage.clock.jump(wait / 1000)
    context.stage.call(context.run.give_turn)


@behave.when("its turn comes and it is withdrawn in the same moment")
def withdraw_at_turn(context):
    def do_both():
        context.run.give_turn()
        context.run.generation.retract()

    context.run.answer_at_once()
    context.stage.call(do_both)


@behave.when("it is withdrawn while it waits")
@behave.when("it is withdrawn while it runs")
def withdraw(context):
    context.stage.call(context.run.generation.retract)


@behave.when("the target answers")
def answer(context):
    context.stage.call(context.run.answer_at_once)


@behave.then("the target was called {times:d} times")
def check_calls(context, times):
    assert context.run.runner.calls == times, context.run.runner.calls


@behave.then("the call ended with {reason}")
def check_end(context, reason):
    end = context.run.generation.end
    assert end is not None and end.reason == reason, end
