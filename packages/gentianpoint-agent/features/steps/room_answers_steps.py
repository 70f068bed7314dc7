"""Steps for agents that grant and refuse claims of room."""

import math

import behave
from structlog import testing
import trio
import trio.testing

from gentianpoint_agent import engine_feed
from gentianpoint_agent import room_claims
from gentianpoint_agent import state_answers
from gentianpoint_core import codec
from gentianpoint_core import ports
from gentianpoint_core.generated import events

_REPLY_S = 0.3
_PROMPT_TOKENS = 3000


def make_status(run_count, events_made=1):
    runs = tuple(
        ports.EngineRun(f"run-{index}", 3000 + 4 * events_made, events_made, 5)
        for index in range(run_count)
    )
    tokens = sum(run.tokens for run in runs)
    return ports.EngineStatus(
        running=run_count,
        waiting=0,
        used_tokens=tokens,
        total_tokens=27_000,
        copy_tokens=0,
        next_prompt_tokens=0,
        generating=run_count,
        generating_tokens=tokens,
        born_ms=1,
        is_leaving=False,
        leaves_in_ms=None,
        runs=runs,
    )


class FixedEngine(ports.EngineStatusSource):
    """An engine whose report changes only when a step changes it."""

    def __init__(self, status):
        self.status = status
        self.takes_s = 0.0

    async def read_status(self):
        """Return the status; fail if there is none."""
        await trio.sleep(self.takes_s)
        if self.status is None:
            raise ports.PortError("poll", "engine", "out", took_effect=False)
        return self.status

    async def read_identity(self):
        """Return the name of the engine's start."""
        return "engine-1"


def make_message(request_id, claim=1, **more):
    message = {
        "type": "room_wanted",
        "claim": claim,
        "request": request_id,
        "prompt_tokens": _PROMPT_TOKENS,
        "most_tokens": 0,
        "event_tokens": 4,
        "slots": 24,
        "urgency": 5,
    }
    return {**message, **more}


def make_claim(request_id):
    return room_claims.make_claim(make_message(request_id))


@behave.given("an agent whose engine has room for 1 generation")
def make_agent_with_room(context):
    context.engine = FixedEngine(make_status(7))
    context.rounds = []


@behave.given("an agent whose engine reports no memory")
def make_agent_without_memory(context):
    context.engine = FixedEngine(make_status(7)._replace(total_tokens=0))
    context.rounds = []


@behave.given("an agent whose engine is silent")
def make_agent_without_engine(context):
    context.engine = FixedEngine(None)
    context.rounds = []


@behave.when("an entry claims room for {name}")
def claim_room(context, name):
    context.rounds.append([make_message(name)])


@behave.when("two entries claim room for a and for b at the same moment")
def claim_together(context):
    context.rounds.append([make_message("a", 1), make_message("b", 2)])


@behave.when("the room of {name} is given back")
def give_room_back(context, name):
    context.rounds.append([{"type": "room_returned", "request": name}])


@behave.when("claims with numbers of {bits:d} bits arrive")
def claim_huge(context, bits):
    huge = 1 << bits
    context.rounds.append(
        [
            make_message("huge", claim=3, **{field: huge})
            for field in (
                "prompt_tokens",
                "most_tokens",
                "event_tokens",
                "slots",
            )
        ]
    )


async def receive_replies(socket, count, replies):
    """Receive replies until ``count`` have come, or for a while."""
    with trio.move_on_after(_REPLY_S):
        for _ in range(count):
            data, _ = await socket.recvfrom(4096)
            replies.append(codec.decode_message(data, "agent").ok)


def exchange(context):
    """Send each round of datagrams after the replies to the last one."""
    context.replies = []

    async def run():
        feed = engine_feed.EngineFeed(context.engine, lambda born_ms: None)
        answers = state_answers.StateAnswers(
            "127.0.0.1:0",
            feed.read_present_state,
            lambda: feed.identity,
            feed,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed.watch)
            nursery.start_soon(answers.run)
            await trio.sleep(0.05)
            feed.note_identity("engine-1")
            with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as socket:
                await socket.bind(("127.0.0.1", 0))
                for messages in context.rounds:
                    for message in messages:
                        data = codec.encode_message(message)
                        await socket.sendto(data, answers.address)
                    await receive_replies(
                        socket, len(messages), context.replies
                    )
            nursery.cancel_scope.cancel()

    with testing.capture_logs():
        trio.run(run)
    return [
        "granted" if reply["granted"] else "refused"
        for reply in context.replies
    ]


@behave.then("the replies are granted and refused in any order")
def check_both(context):
    found = sorted(exchange(context))
    assert found == ["granted", "refused"], found


@behave.then("the replies are {expected}")
def check_replies(context, expected):
    found = exchange(context)
    assert found == expected.split(", "), found


@behave.then("all five get replies and the last is granted")
def check_last(context):
    found = exchange(context)
    assert len(found) == 5, found
    assert found[-1] == "granted", found


@behave.then("there are no replies")
def check_none(context):
    assert not exchange(context)


@behave.then("they name {name} and a state with {tokens:d} tokens in all")
def check_state(context, name, tokens):
    for reply in context.replies:
        assert reply["type"] == "room_found"
        assert (reply["claim"], reply["target"]) == (1, name), reply
        assert reply["state"]["total_tokens"] == tokens, reply


@behave.given("a feed whose engine takes {takes_ms:d} ms to report")
def make_slow_feed(context, takes_ms):
    context.takes_s = takes_ms / 1000
    context.engine = FixedEngine(make_status(0))


@behave.when("a claim comes {later_ms:d} ms after the last report")
def claim_from_slow(context, later_ms):
    async def run():
        feed = engine_feed.EngineFeed(context.engine, lambda born_ms: None)
        # At the clock's zero a status that was never read counts as new.
        await trio.sleep(1.0)
        await feed.read_present_state()
        context.engine.takes_s = context.takes_s
        await trio.sleep(later_ms / 1000)
        began = trio.current_time()
        context.reply = await feed.claim_room(make_claim("a"))
        context.took_s = trio.current_time() - began

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.then("it is granted after {took_ms:d} ms")
def check_slow(context, took_ms):
    assert context.reply.is_granted
    assert math.isclose(context.took_s, took_ms / 1000), context.took_s


@behave.given("a feed whose engine has no room")
def make_full_feed(context):
    context.engine = FixedEngine(make_status(8, 400))
    context.claims = (0, 0)
    context.later_s = 0


@behave.given("a feed whose engine runs nothing")
def make_idle_feed(context):
    context.engine = FixedEngine(make_status(0))
    context.claims = (0, 0)
    context.later_s = 0


@behave.when("{count:d} claims come in {seconds:d} s")
def plan_claims(context, count, seconds):
    context.claims = (count, seconds)


@behave.when("the feed runs on for {seconds:d} s")
def plan_pause(context, seconds):
    context.later_s = seconds


def collect_lines(context, event):
    """Play the claims; return the log lines of an event."""

    async def run():
        feed = engine_feed.EngineFeed(context.engine, lambda born_ms: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed.watch)
            count, seconds = context.claims
            for index in range(count):
                await trio.sleep(seconds / count)
                await feed.claim_room(make_claim(f"claim-{index}"))
            # The last claims are logged with the next due line.
            await trio.sleep(1.2 + context.later_s)
            nursery.cancel_scope.cancel()

    with testing.capture_logs() as lines:
        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return [line for line in lines if line["event"] == event.name]


@behave.then(
    "{least:d} to {most:d} lines room_refused count {count:d} claims for"
    " memory"
)
def check_refused_lines(context, least, most, count):
    lines = collect_lines(context, events.ROOM_REFUSED)
    assert least <= len(lines) <= most, lines
    assert sum(line["refused"]["memory"] for line in lines) == count, lines


@behave.then("a line room_leases_expired counts {count:d}")
def check_expired_line(context, count):
    lines = collect_lines(context, events.ROOM_LEASES_EXPIRED)
    assert [line["count"] for line in lines] == [count], lines


@behave.given("a feed whose engine runs a generation after {count:d} events")
def make_running_feed(context, count):
    context.engine = FixedEngine(make_status(1, count))


class EntryConnection:
    """A connection of an entry that sends one message."""

    peer = "entry"

    def __init__(self, message):
        self._messages = [message]

    async def keep_alive(self, _is_needed):
        """Do nothing until cancelled."""
        await trio.sleep_forever()

    async def send(self, _message):
        """Drop a message."""
        await trio.lowlevel.checkpoint()

    async def receive(self):
        """Return the message, once."""
        if self._messages:
            return self._messages.pop()
        return await trio.sleep_forever()


@behave.when(
    "its entry asks for a turn to move it, and it is no longer listed"
)
def move_away(context):
    message = {"type": "move_wanted", "request": "run-0", "tokens": 3200}

    async def run():
        feed = engine_feed.EngineFeed(context.engine, lambda born_ms: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed.watch)
            await trio.sleep(0.2)
            nursery.start_soon(feed.serve_entry, EntryConnection(message))
            await trio.sleep(0.2)
            context.engine.status = make_status(0)
            await trio.sleep(0.3)
            context.lengths = feed.room_book.find_distribution(5)
            nursery.cancel_scope.cancel()

    with testing.capture_logs():
        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.then("no end of a generation was counted")
def check_ends(context):
    assert context.lengths.count_ended() == 0
