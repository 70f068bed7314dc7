"""Steps for turns to move generations."""

import math

import behave
import trio
import trio.testing

from gentianpoint_agent import move_turns


def on_clock(context, function):
    clock = trio.testing.MockClock()
    clock.jump(context.now)

    async def call():
        return function()

    return trio.run(call, clock=clock)


@behave.given(
    "generations a of {a:d}, b of {b:d} and c of {c:d} tokens that want to"
    " move"
)
def make_turns(context, a, b, c):
    context.now = 100.0
    context.turns = move_turns.MoveTurns()
    context.channels = {}
    for name, tokens in (("a", a), ("b", b), ("c", c)):
        send, receive = trio.open_memory_channel(math.inf)
        context.channels[name] = (send, receive)
        turn = move_turns.MoveRequest(name, tokens, send)
        on_clock(context, lambda turn=turn: context.turns.request_turn(turn))


def list_given(context):
    """Return the generations that were given a turn since the last look."""
    given = []
    for _, receive in context.channels.values():
        try:
            given.append(receive.receive_nowait())
        except (trio.WouldBlock, trio.EndOfChannel):
            continue
    return given


def release_turn(context, name):
    on_clock(context, lambda: context.turns.release_turn(name))


@behave.then("the turns go to {names} as each is given back")
def check_order(context, names):
    order = []
    while given := list_given(context):
        assert len(given) == 1, given
        order += given
        release_turn(context, given[0])
    assert order == names.split(", "), order


@behave.when("the connection of a's entry is lost")
def lose_entry(context):
    assert list_given(context) == ["a"]
    channel = context.channels["a"][0]
    on_clock(context, lambda: context.turns.drop_entry(channel))


@behave.when("two seconds pass and nobody gives a turn back")
def pass_time(context):
    assert list_given(context) == ["a"]
    context.now += 2.0
    on_clock(context, context.turns.grant_next)


@behave.then("b has the turn")
def check_second(context):
    assert list_given(context) == ["b"]


@behave.when("b ends by itself")
def end_waiting(context):
    release_turn(context, "b")
