"""Steps for requests to cold targets."""

import behave
import cold_builders
import topic_builders
import trio

from gentianpoint_entry.forwarding import requests


def get_stage(context):
    if "stage" not in context:
        context.stage = cold_builders.ColdStage()
    return context.stage


@behave.given(
    "{count:d} targets that are cold for {cold_ms:d} ms and bear 5 requests a"
    " second"
)
def make_cold(context, count, cold_ms):
    get_stage(context).add_targets("cold", count, cold_ms)


@behave.given("{count:d} warm targets")
def make_warm(context, count):
    get_stage(context).add_targets("warm", count, 0)


@behave.given("an entry that knows no other entry")
def know_nobody(context):
    get_stage(context).members = frozenset()


@behave.when("its entry in the list says that it is cold for {cold_ms:d} ms")
def become_cold(context, cold_ms):
    get_stage(context).cool(cold_ms)


@behave.when("its data centre is taken back after an evacuation")
def take_back(context):
    get_stage(context).take_back()


@behave.when("{count:d} requests come within {within_ms:d} ms")
def send_burst(context, count, within_ms):
    async def run():
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(context.stage.serve)
                await trio.sleep(within_ms / 1000 / count)

    context.count = count
    topic_builders.run_on_mock_clock(context.stage.run, run)


@behave.when(
    "{count:d} generations continue there from copies at the same time"
)
def continue_there(context, count):
    copy = requests.MemoryCopy("10.0.0.9:1", "handle")

    async def run():
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(
                    context.stage.send, requests.SendOptions(copy=copy)
                )

    topic_builders.run_on_mock_clock(context.stage.run, run)


@behave.then("no cold target gets more than {most:d} requests in any second")
def check_cold(context, most):
    found = context.stage.count_most(only_cold=True)
    assert max(found.values(), default=0) <= most, found


@behave.then("no target gets more than {most:d} requests in any second")
def check_all(context, most):
    found = context.stage.count_most(only_cold=False)
    assert 0 < max(found.values()) <= most, found


@behave.then("no request is sent to a cold target")
def check_none(context):
    assert not context.stage.count_most(only_cold=True)


@behave.then("between {least:d} and {most:d} requests are served")
def check_served(context, least, most):
    served = context.stage.count_served()
    assert least <= served <= most, served


@behave.then(
    "each other one is told another time at which a target can take it"
)
def check_refusals(context):
    refused = context.stage.list_refused()
    assert len(refused) == context.count - context.stage.count_served()
    told = []
    for refusal in refused:
        assert refusal.status == 503
        at = refusal.at + refusal.retry_after_ms / 1000
        warm_at = refusal.warm_at - 0.001
        assert at >= warm_at or refusal.retry_after_ms > 0, refusal
        # Those that return before a target is warm each have a turn there.
        told += [at] if at < warm_at else []
    # What is told is later than the turn by half as much at the most.
    assert len(set(told)) == len(told), told


@behave.then("all {count:d} of them run there in the end")
def check_sends(context, count):
    assert len(context.stage.calls.sent_at) == count
