"""Steps for agents that answer what their engine's state is."""

import random

import behave
import trio

from gentianpoint_agent import engine_feed
from gentianpoint_agent import state_answers
from gentianpoint_core import codec
from gentianpoint_core import ports

ANSWERED_S = 0.3


class CountingEngine(ports.EngineStatusSource):
    """An engine that counts how often it is polled."""

    def __init__(self, running):
        self.running = running
        self.born_ms = 1
        self.polls = 0
        # Set once all questions have been sent. A busy machine takes longer
        # for them than a poll lasts.
        self.are_all_asked = trio.Event()
        self.are_all_asked.set()

    async def read_status(self):
        """Return the status; fail if there is no engine."""
        self.polls += 1
        await self.are_all_asked.wait()
        await trio.sleep(0.001)
        if self.running is None:
            raise ports.PortError("poll", "engine", "out", took_effect=False)
        return ports.EngineStatus(
            running=self.running,
            waiting=0,
            used_tokens=0,
            total_tokens=1000,
            copy_tokens=0,
            next_prompt_tokens=0,
            generating=self.running,
            generating_tokens=0,
            born_ms=self.born_ms,
            is_leaving=False,
            leaves_in_ms=None,
        )

    async def read_identity(self):
        """Return the name of the engine's start."""
        return "engine-1"


@behave.given("an agent whose engine runs {count:d} requests")
def make_agent(context, count):
    context.engine = CountingEngine(count)
    context.actions = []
    context.is_restarted = False


@behave.given("an agent whose engine does not answer")
def make_agent_alone(context):
    context.engine = CountingEngine(None)
    context.actions = []
    context.is_restarted = False


@behave.when("another start of the engine has its address")
def restart_engine(context):
    context.is_restarted = True


async def ask(context, address, count):
    """Ask ``count`` times, and collect the answers."""
    context.engine.are_all_asked = trio.Event()
    with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as socket:
        await socket.bind(("127.0.0.1", 0))
        for number in range(count):
            message = {"type": "state_wanted", "probe": number}
            await socket.sendto(codec.encode_message(message), address)
        context.engine.are_all_asked.set()
        with trio.move_on_after(ANSWERED_S):
            while len(context.answers) < count:
                data, _ = await socket.recvfrom(4096)
                context.answers.append(codec.decode_message(data, "a").ok)


@behave.when("{count:d} entries ask it at the same moment")
def ask_together(context, count):
    async def act(address):
        context.polls_before = context.engine.polls
        await ask(context, address, count)
        context.polls = context.engine.polls - context.polls_before

    context.actions.append(act)


@behave.when(
    "the engine runs {count:d} requests, and an entry asks {later_ms:d} ms"
    " later"
)
def change_and_ask(context, count, later_ms):
    async def act(address):
        context.engine.running = count
        await trio.sleep(later_ms / 1000)
        await ask(context, address, 1)

    context.actions.append(act)


@behave.when("{count:d} random datagrams arrive")
def send_noise(context, count):
    async def act(address):
        rng = random.Random(5)
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as socket:
            for _ in range(count):
                data = rng.randbytes(rng.randrange(60))
                await socket.sendto(data, address)

    context.actions.append(act)


@behave.when("an entry tells it that stream {key} began at version {software}")
def tell_origin(context, key, software):
    async def act(address):
        row = {
            "key": key,
            "service": "s",
            "start": software,
            "software": software,
            "left_ms": 10_000,
        }
        message = {"type": "origins_told", "rows": [row]}
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as socket:
            await socket.sendto(codec.encode_message(message), address)

    context.actions.append(act)


@behave.when("an entry asks it for the streams {first} and {second}")
def ask_origins(context, first, second):
    async def act(address):
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as socket:
            await socket.bind(("127.0.0.1", 0))
            for number, key in enumerate((first, second)):
                message = {
                    "type": "origin_wanted",
                    "question": number,
                    "member": "entry-1",
                    "key": key,
                    "service": "s",
                    "window_ms": 1000,
                }
                await socket.sendto(codec.encode_message(message), address)
                with trio.move_on_after(ANSWERED_S):
                    data, _ = await socket.recvfrom(4096)
                    context.answers.append(codec.decode_message(data, "a").ok)

    context.actions.append(act)


@behave.then("it knows that {key} began at {software}, and nothing of {other}")
def check_origins(context, key, software, other):
    run_agent(context)
    known, unknown = context.answers
    assert known["origin"]["software"] == software, known
    assert "origin" not in unknown, unknown
    assert not known["sole_software"]
    assert not unknown["sole_software"]


@behave.then("it knows no version of {key}")
def check_no_version(context, key):
    run_agent(context)
    origin = context.answers[0]["origin"]
    assert not origin["software"], origin
    assert not origin["start"], origin


def run_agent(context):
    """Run an agent, and let entries do what they do."""
    context.answers = []

    async def run():
        feed = engine_feed.EngineFeed(context.engine, lambda born_ms: None)
        answers = state_answers.StateAnswers(
            "127.0.0.1:0",
            feed.read_present_state,
            lambda: feed.identity,
            feed,
        )
        feed.note_identity("engine-1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed.watch)
            nursery.start_soon(answers.run)
            await trio.sleep(0.05)
            if context.is_restarted:
                context.engine.born_ms = 2
                await trio.sleep(0.3)
            for action in context.actions:
                await action(answers.address)
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.then("{count:d} answers say that {running:d} requests run")
def check_answers(context, count, running):
    run_agent(context)
    found = [answer["state"]["running"] for answer in context.answers]
    assert found == [running] * count, found


@behave.then("the answers name {name}")
def check_names(context, name):
    found = {answer.get("target", "nothing") for answer in context.answers}
    assert found == {name}, found


@behave.then("the engine was polled at most {most:d} times for them")
def check_polls(context, most):
    assert context.polls <= most, context.polls
