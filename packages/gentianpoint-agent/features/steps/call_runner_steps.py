"""Steps for the checks right before a call starts."""

import behave
import runner_builders
import trio_stage


@behave.given("a call that must start within {within:d} ms")
def make_call(context, within):
    context.stage = trio_stage.TrioStage()
    context.call = context.stage.call(runner_builders.ControlledCall, within)
    context.stage.start_task(context.call.run)


@behave.when("it is admitted after {delay:d} ms")
def admit(context, delay):
    context.stage.clock.jump(delay / 1000)
    context.call.let_target_answer()
    context.stage.call(context.call.admit)


@behave.when("it is admitted after {delay:d} ms and the target takes long")
def admit_without_answer(context, delay):
    context.stage.clock.jump(delay / 1000)
    context.stage.call(context.call.admit)


@behave.when("it is admitted and withdrawn at the same moment")
def withdraw_on_admission(context):
    def do_both():
        context.call.admit()
        context.call.generation.retract()

    context.call.let_target_answer()
    context.stage.call(do_both)


@behave.when("it is withdrawn while it waits")
@behave.when("it is withdrawn while it runs")
def withdraw(context):
    context.stage.call(context.call.generation.retract)


@behave.when("the target answers")
def answer(context):
    context.stage.call(context.call.let_target_answer)


@behave.then("the target was called {times:d} times")
def check_calls(context, times):
    assert context.call.runner.calls == times, context.call.runner.calls


@behave.then("the call ended with {reason}")
def check_end(context, reason):
    end = context.call.generation.end
    assert end is not None and end.reason == reason, end
