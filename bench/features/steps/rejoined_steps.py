"""Steps for streams that are taken up after all entries were killed."""

import pathlib
import tempfile

import behave
import trio

from bench.features import rejoin_builders

LEAST_TAKEN_UP = 15


@behave.given("{entries:d} entries before {engines:d} engines")
def make_fleet(context, entries, engines):
    context.sizes = (entries, engines)


def play(context, kills, is_replaced):
    plan = rejoin_builders.RejoinPlan(*context.sizes, kills, is_replaced)
    with tempfile.TemporaryDirectory() as folder:
        context.streams = trio.run(
            rejoin_builders.play, plan, pathlib.Path(folder)
        )


@behave.when(
    "all entries are killed {kills:d} times, and all engines are replaced by"
    " another version before the first is back"
)
def kill_and_replace(context, kills):
    play(context, kills, is_replaced=True)


@behave.when("all entries are killed {kills:d} times")
def kill(context, kills):
    play(context, kills, is_replaced=False)


@behave.then("no stream has events of two versions")
def check_versions(context):
    joined = [
        stream for stream in context.streams if len(set(stream.softwares)) > 1
    ]
    assert not joined, (len(joined), len(context.streams), joined[:2])


@behave.then(
    "those that are refused may be begun anew, and are told within"
    " {seconds:g} s"
)
def check_refused(context, seconds):
    refused = [stream for stream in context.streams if stream.refused_with]
    assert refused
    for stream in refused:
        assert stream.refused_with == 503, stream
        assert stream.wait_s <= seconds, stream


@behave.then("at least {share:g} of the streams that are taken up go on")
def check_going_on(context, share):
    taken_up = sum(stream.taken_up for stream in context.streams)
    went_on = sum(stream.went_on for stream in context.streams)
    assert went_on >= share * taken_up, (went_on, taken_up)


@behave.then("streams have been taken up")
def check_tested(context):
    taken_up = sum(stream.taken_up for stream in context.streams)
    assert taken_up >= LEAST_TAKEN_UP, (taken_up, len(context.streams))
