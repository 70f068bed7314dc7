"""Steps for engines that are asked for their present state."""

import behave
import forwarding_builders
import probe_builders
import topic_builders
import trio

from gentianpoint_entry.forwarding import engine_probes
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import targets


def make_report(running, unread, number):
    return targets.EngineReport(
        sampled_at=0.0,
        running=running,
        waiting=0,
        used_tokens=running * 400,
        total_tokens=10000,
        is_leaving=False,
        leaves_at=None,
        is_silent=False,
        pending_prefill_tokens=unread,
        sequence_number=number,
    )


class PresentStates(engine_probes.EngineProbes):
    """Engines whose present states differ from their reports."""

    def __init__(self, unread, lost):
        self.unread = unread
        self.lost = lost

    async def refresh(self, chosen):
        """Apply the present states."""
        chosen = [
            target for target in chosen if target.target_id not in self.lost
        ]
        for target in chosen:
            name = target.target_id
            target.take_report(
                target.report._replace(
                    pending_prefill_tokens=self.unread.get(name, 0)
                )
            )
        return chosen


@behave.given("engines a, b and c, of which a looks idle by its report")
def make_engines(context):
    context.running = {"a": 0, "b": 4, "c": 4}


@behave.given("a has {tokens:d} prompt tokens to process by now")
def set_present(context, tokens):
    context.unread = {"a": tokens}


@behave.given("the agent of {name} does not answer")
def lose_agent(context, name):
    context.lost = (name,)


@behave.when("a target is chosen for {count:d} generations")
def choose(context, count):
    async def run():
        shared = forwarding_builders.make_forwarder(
            sorted(context.running),
            forwarding_builders.ScriptedCalls(),
            probes=PresentStates(
                getattr(context, "unread", {}), getattr(context, "lost", ())
            ),
        )
        request = forwarding_builders.make_request(
            forwarding_builders.make_route(routes.RouteKind.STREAM),
            forwarding_builders.ENGINE,
        )
        for target in shared.registry.list_all():
            target.open_requests = 0
        chosen = []
        for _ in range(count):
            for target in shared.registry.list_all():
                running = context.running[target.target_id]
                target.take_report(make_report(running, 0, 1))
            chosen.append(await shared.find_target(request))
        return [target.target_id for target in chosen]

    context.chosen = topic_builders.run_on_mock_clock(run)


@behave.then("none of them goes to {name}")
def check_chosen(context, name):
    assert context.chosen
    assert name not in context.chosen, context.chosen


@behave.given("{count:d} agents, of which {silent:d} are silent")
@behave.given("{count:d} agents, of which {silent:d} is silent")
def make_agents(context, count, silent):
    context.stage = probe_builders.Stage(count, silent)
    context.actions = []


@behave.given("another start of the engine has the address of the first")
def replace_engine(context):
    context.stage.agents[0].identity = "another"


@behave.then("the first is not chosen any more")
def check_replaced(context):
    play(context)
    first = context.stage.agents[0].target
    assert not first.accepts_work()
    assert first.target_id not in context.stage.taken


@behave.when("their states are asked for")
def ask_once(context):
    ask(context, 1)


@behave.when("their states are asked for {count:d} times")
@behave.when("their states are asked for {count:d} times more")
def ask(context, count):
    async def act(stage):
        for _ in range(count):
            context.took_s.append(await stage.ask())

    context.actions.append(act)


@behave.when("the silent agents answer again, {seconds:d} seconds later")
def answer_again(context, seconds):
    async def act(stage):
        for agent in stage.agents:
            agent.is_silent = False
        await trio.sleep(seconds)

    context.actions.append(act)


@behave.when("{count:d} random datagrams arrive as their states are asked for")
def send_noise(context, count):
    async def act(stage):
        await stage.send_noise(count)
        context.took_s.append(await stage.ask())

    context.actions.append(act)


def play(context):
    context.took_s = []

    async def act(stage):
        for action in context.actions:
            await action(stage)

    trio.run(context.stage.run, act)


@behave.then("the answers are given up within {within_ms:d} ms")
def check_time(context, within_ms):
    play(context)
    assert max(context.took_s) <= within_ms / 1000, context.took_s


@behave.then("nothing was waited for the last time")
def check_skipped(context):
    context.stage = probe_builders.Stage(len(context.stage.agents), 3)
    play(context)
    assert context.took_s[-1] < 0.02, context.took_s
    assert context.took_s[0] > context.took_s[-1], context.took_s


@behave.then("the states of {count:d} engines are up to date")
def check_taken(context, count):
    play(context)
    assert len(set(context.stage.taken)) == count, context.stage.taken
