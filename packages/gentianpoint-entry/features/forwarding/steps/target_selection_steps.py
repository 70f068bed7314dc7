"""Steps for the selection of targets."""

import random

import behave
import forwarding_builders
import topic_builders
import trio

from gentianpoint_core import deadlines
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import target_selection
from gentianpoint_entry.forwarding import targets

_NOW = 50.0
_IDLE_REPORT = targets.EngineReport(
    sampled_at=_NOW,
    running=0,
    waiting=0,
    used_tokens=0,
    total_tokens=forwarding_builders.ENGINE.memory_tokens,
    is_leaving=False,
    leaves_at=None,
    is_silent=False,
    pending_prefill_tokens=0,
)


@behave.given("an engine {name} with {words}")
def make_engine(context, name, words):
    if "engines" not in context:
        context.engines = {}
    target = targets.Target(forwarding_builders.make_entry(name), 0.0)
    report = _IDLE_REPORT
    word, _, value = words.partition(" ")
    match word:
        case "memory":
            used = int(float(value) * report.total_tokens)
            report = report._replace(used_tokens=used)
        case "running":
            report = report._replace(running=int(value))
        case "waiting":
            report = report._replace(waiting=int(value))
        case "silence":
            report = report._replace(is_silent=True)
        case "notice":
            report = report._replace(is_leaving=True)
        case "unread":
            target.own_pending_prefill_tokens = int(value)
        case "reported":
            report = report._replace(pending_prefill_tokens=int(value))
        case _:
            change_target(target, words)
    target.take_report(report)
    context.engines[name] = target


def change_target(target, words):
    match words:
        case "a failure":
            target.failures = 1
            target.failed_at = _NOW - 1
        case "another data centre":
            target.entry = target.entry._replace(data_centre="south")
        case "a leaving entry":
            target.entry = target.entry._replace(is_leaving=True)
        case "a replacement":
            target.is_replaced = True


def make_request(context):
    async def make():
        route = forwarding_builders.make_route(routes.RouteKind.STREAM)
        return forwarding_builders.make_request(
            route, forwarding_builders.ENGINE
        )

    return topic_builders.run_on_mock_clock(make)


@behave.when("{tokens:d} prompt tokens were sent to {name} since its report")
def send_prompts(context, tokens, name):
    context.engines[name].prompt_tokens_since_report = tokens


@behave.when("{count:d} generations are placed without sending them")
def place_alone(context, count):
    place(context, count, 1)


@behave.when("{count:d} generations are placed by one of {entries:d} entries")
def place(context, count, entries):
    place_generations(context, count, entries, _NOW, 0.0)


@behave.when(
    "{count:d} generations are placed by reports {age_ms:d} ms old while other"
    " entries place {rate:d} a second"
)
def place_among_others(context, count, age_ms, rate):
    place_generations(context, count, 1, _NOW + age_ms / 1000, rate)


def place_generations(context, count, entries, now, other_arrivals_per_s):
    request = make_request(context)
    rng = random.Random(3)
    context.placed = [
        target_selection.choose_target(
            context.engines.values(),
            request,
            forwarding_builders.DATA_CENTRE,
            entries,
            now,
            rng,
            other_arrivals_per_s=other_arrivals_per_s,
        ).target_id
        for _ in range(count)
    ]


@behave.then("between {least:d} and {most:d} of them go to {name}")
def check_part(context, least, most, name):
    assert least <= context.placed.count(name) <= most, context.placed


@behave.then("all of them go to {name}")
def check_all(context, name):
    assert set(context.placed) == {name}, context.placed


@behave.then("each engine gets some of them")
def check_shared(context):
    assert set(context.placed) == {"a", "b"}


@behave.when("a backup is chosen for a generation at a")
def choose_backup(context):
    runner = context.engines["a"]
    chosen = target_selection.choose_copy_destination(
        context.engines.values(),
        runner,
        make_request(context),
        1,
        _NOW,
        random.Random(3),
        target_selection.MAX_USED_SHARE_FOR_BACKUPS,
    )
    context.backup = "none" if chosen is None else chosen.target_id


@behave.then("it is {name}")
def check_backup(context, name):
    assert context.backup == name, context.backup


@behave.when("an engine was given notice {ago_s:d} seconds ago")
def give_notice(context, ago_s):
    context.notice_ago_s = ago_s


@behave.when("the entry chooses a backup for a generation at a")
def choose_by_entry(context):
    choose_at_entry(
        context,
        lambda shared, request: shared.choose_backup(
            request, shared.registry.find("a")
        ),
    )


@behave.when("the entry chooses a destination for a generation at {runner}")
def choose_destination_by_entry(context, runner):
    choose_at_entry(
        context,
        lambda shared, request: shared.choose_destination(
            request, shared.registry.find(runner)
        ),
    )


def choose_at_entry(context, choose):
    async def run():
        await trio.sleep(_NOW)
        calls = forwarding_builders.ScriptedCalls()
        shared = forwarding_builders.make_forwarder([], calls)
        for name in context.engines:
            target = shared.registry.put_entry(
                forwarding_builders.make_entry(name), 0.0
            )
            target.take_report(context.engines[name].report)
        if "notice_ago_s" in context:
            noticed_at = trio.current_time() - context.notice_ago_s
            shared.registry.note_leaving_notice(noticed_at)
        request = forwarding_builders.make_request(
            forwarding_builders.make_route(routes.RouteKind.STREAM),
            forwarding_builders.ENGINE,
        )
        return choose(shared, request)

    chosen = topic_builders.run_on_mock_clock(run)
    context.backup = "none" if chosen is None else chosen.target_id


@behave.given(
    "a copy of a generation takes {copy_ms:d} ms within a data centre"
)
def set_copy_time(context, copy_ms):
    # 200 tokens over a link of 1 Mbit/s.
    context.engine_spec = forwarding_builders.ENGINE._replace(
        token_bytes=copy_ms * 1000 / 8 / 200, link_mbps=1.0
    )


@behave.when("a leaves in {left_ms:d} ms and a destination is chosen")
def choose_destination(context, left_ms):
    runner = context.engines["a"]
    runner.leaves_at = deadlines.Deadline(_NOW + left_ms / 1000)
    request = make_request(context)
    service = request.service._replace(engine=context.engine_spec)
    chosen = target_selection.choose_copy_destination(
        context.engines.values(),
        runner,
        request._replace(service=service),
        1,
        _NOW,
        random.Random(3),
        target_selection.MAX_USED_SHARE_FOR_MOVES,
    )
    context.backup = chosen.target_id
