"""Steps for targets that send broken answers."""

import pathlib
import tempfile

import behave
import trio

from bench.broken_answers import playing


async def play(interface, names, times, is_long):
    if interface == "the own interface":
        return await playing.play_own(names, times, is_long=is_long)
    with tempfile.TemporaryDirectory() as folder:
        return await playing.play_platform(
            names, times, pathlib.Path(folder), is_long=is_long
        )


def play_table(context, interface, times, is_long):
    context.names = [row["answer"] for row in context.table]
    context.times = times
    context.results = trio.run(play, interface, context.names, times, is_long)


@behave.when(
    "targets on {interface} answer long requests, {times:d} times each, by"
)
def answer_long(context, interface, times):
    play_table(context, interface, times, is_long=True)


@behave.when("targets on {interface} answer requests by")
def answer_short(context, interface):
    play_table(context, interface, 1, is_long=False)


@behave.then("each of these answers was sent")
def check_sent(context):
    sent = context.results.sent
    for name in context.names:
        assert sent[name] >= context.times, (name, sent)


@behave.then("no caller gets an answer that looks complete and is not")
def check_complete(context):
    mixed = context.results.list_mixed()
    assert not mixed, mixed


@behave.then("every caller gets the whole answer")
def check_whole(context):
    for (name, kind), outcomes in context.results.called.items():
        count = context.results.count_whole(name, kind)
        assert count == context.times, (name, kind, outcomes)


@behave.then("every caller is told of a failure instead")
def check_refused(context):
    others = context.results.list_unrefused()
    assert not others, others
