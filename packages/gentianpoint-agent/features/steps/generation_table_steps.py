"""Steps for the generation table."""

import functools

import agent_builders
import behave
import trio_stage

from gentianpoint_core import errors

OWNER = "rebobinados"


def use_table(context, retain_bytes=1 << 20):
    if "stage" not in context:
        context.stage = trio_stage.TrioStage()
    context.generation_table = context.stage.call(
        agent_builders.make_table, retain_bytes
    )


@behave.given("an empty table")
def make_empty(context):
    use_table(context)


@behave.given("a table that keeps {count:d} bytes")
def make_bounded(context, count):
    use_table(context, count)


@behave.given("a table with a prepared identifier of rebobinados")
def make_prepared(context):
    use_table(context)
    prepared = context.stage.call(context.generation_table.prepare, OWNER)
    context.identifier = prepared.identifier


def start_once(context, customer):
    return context.stage.call(
        context.generation_table.start_prepared,
        context.identifier,
        customer,
        False,
        False,
    )


@behave.when("{customer} starts it {times:d} times")
def start(context, customer, times):
    context.starts = []
    context.codes = set()
    for _ in range(times):
        try:
            context.starts.append(start_once(context, customer))
        except errors.CallError as error:
            context.codes.add(error.code)


@behave.then("1 start was new and all got the same generation")
def check_one_new(context):
    assert sum(is_new for _, is_new in context.starts) == 1
    assert len({id(started) for started, _ in context.starts}) == 1


@behave.when("nothing happens")
def do_nothing(context):
    pass


@behave.when("the clock advances by {seconds:d} seconds")
def advance_clock(context, seconds):
    context.stage.clock.jump(seconds)


@behave.when("the agent restarts")
def restart(context):
    use_table(context)


def end_first(context, reason):
    generation, _ = start_once(context, OWNER)
    generation.finish(agent_builders.make_end(reason))
    context.stage.call(context.generation_table.retire, generation)


@behave.when("it was started and did not run")
def refuse_first(context):
    end_first(context, "not_run")


@behave.when("it was cancelled before any start")
def cancel_prepared(context):
    table = context.generation_table
    assert not table.cancel(context.identifier, "another")
    assert table.cancel(context.identifier, OWNER)


@behave.when("it was started, ended and was dropped")
def drop_first(context):
    end_first(context, "stop")
    context.stage.clock.jump(3600)
    context.stage.call(context.generation_table.drop_expired)


@behave.then("the start is refused with {code}")
def check_code(context, code):
    assert context.codes == {code}, (context.codes, context.starts)


@behave.then("nothing runs")
def check_nothing_runs(context):
    assert not context.generation_table.list_running()


@behave.when("the attempt {attempt} of {customer} is created")
def create_attempt(context, attempt, customer):
    context.stage.call(
        context.generation_table.create, attempt, customer, False, True
    )


@behave.then("the attempt {attempt} of {customer} is known")
def check_known(context, attempt, customer):
    assert context.generation_table.find_attempt(attempt, customer) is not None


@behave.then("the attempt {attempt} of {customer} is not known")
def check_not_known(context, attempt, customer):
    assert context.generation_table.find_attempt(attempt, customer) is None


@behave.when("{count:d} identifiers are prepared")
def prepare_many(context, count):
    def prepare():
        for _ in range(count):
            context.generation_table.prepare(OWNER)

    context.stage.call(prepare)


@behave.then("one more is refused with not_run and a retry delay")
def check_full(context):
    try:
        context.stage.call(context.generation_table.prepare, OWNER)
    except errors.CallError as error:
        assert error.code == errors.NOT_RUN
        assert error.retry_after_ms > 0
    else:
        raise AssertionError("the table issued one more identifier")


@behave.then("after {seconds:d} seconds one more can be prepared")
def check_room(context, seconds):
    context.stage.clock.jump(seconds)
    context.stage.call(context.generation_table.drop_expired)
    assert context.stage.call(
        context.generation_table.prepare, OWNER
    ).identifier


@behave.when("{count:d} generations of {size:d} bytes end")
def end_many(context, count, size):
    def run_one(number):
        generation = context.generation_table.create(
            f"a-{number}", OWNER, False, True
        )
        generation.add_text("x" * size)
        generation.finish(agent_builders.make_end("stop"))
        context.generation_table.retire(generation)
        context.generation_table.drop_expired()
        return generation.identifier

    context.ended = [
        context.stage.call(run_one, number) for number in range(count)
    ]


@behave.then("at most {count:d} can still be read")
def check_kept(context, count):
    kept = [
        row
        for row in context.ended
        if context.generation_table.find(row, OWNER)
    ]
    assert 0 < len(kept) <= count, len(kept)


@behave.then("the newest can be read")
def check_newest(context):
    assert context.generation_table.find(context.ended[-1], OWNER) is not None


@behave.when("the identifier is unchanged")
def keep_identifier(context):
    pass


@behave.when("the identifier has another number")
def change_number(context):
    context.identifier = context.identifier.replace("~1~", "~2~")


@behave.when("the identifier has another target")
def change_target(context):
    context.identifier = context.identifier.replace("target-1", "target-2")


@behave.when("the identifier is malformed")
def break_identifier(context):
    context.identifier = "target-1"


def adopt(context, **more):
    return context.stage.call(
        functools.partial(
            context.generation_table.adopt,
            context.identifier,
            is_plain=False,
            **more,
        )
    )


@behave.then("the table adopts it for {customer}")
def check_adopted(context, customer):
    generation = adopt(context, customer=customer)
    assert generation is not None
    assert generation.started and not generation.repeatable
    assert adopt(context, customer=customer) is None


@behave.then("the table doesn't adopt it for {customer}")
def check_not_adopted(context, customer):
    assert adopt(context, customer=customer) is None


@behave.when("the target lists the identifier")
def adopt_listed(context):
    context.adopted = adopt(context)


@behave.when("rebobinados requests it")
def adopt_requested(context):
    context.adopted = adopt(context, customer=OWNER)


@behave.when("the target has shown that it holds it")
def show_held(context):
    context.adopted.confirmed = True


@behave.when("the target does not know it")
def end_unknown(context):
    context.adopted.finish(agent_builders.make_end("outcome_unknown"))
    context.stage.call(context.generation_table.retire, context.adopted)


@behave.then("{customer} can find it")
def check_found(context, customer):
    table = context.generation_table
    assert table.find(context.identifier, customer) is context.adopted


@behave.then("{customer} can't find it")
def check_not_found(context, customer):
    table = context.generation_table
    assert table.find(context.identifier, customer) is None


@behave.then("a cancel by rebobinados is not confirmed")
def check_cancel_not_confirmed(context):
    assert not context.generation_table.cancel(context.identifier, OWNER)


@behave.then("a cancel by rebobinados is confirmed")
def check_cancelled(context):
    assert context.generation_table.cancel(context.identifier, OWNER)
    assert context.adopted.is_cancelled()
