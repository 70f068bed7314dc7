"""Steps for turns to move generations."""

import math

import behave
import trio
import trio.testing

from gentianpoint_agent import move_turns


def call_at_now(context, function):
    """Call a function in a trio run whose clock shows ``context.now``."""
    clock = trio.testing.MockClock()
    clock.jump(context.now)

    async def call():
        return function()

    return trio.run(call, clock=clock)


@behave.given(
    "waiting generations a of {a:d}, b of {b:d} and c of {c:d} tokens"
)
def request_turns(context, a, b, c):
    context.now = 100.0
    context.turns = move_turns.MoveTurns()
    context.channels = {}
    for name, tokens in (("a", a), ("b", b), ("c", c)):
        send, receive = trio.open_memory_channel(math.inf)
        context.channels[name] = (send, receive)
        move = move_turns.MoveRequest(name, tokens, send)
        call_at_now(
            context, lambda move=move: context.turns.request_turn(move)
        )


def list_granted(context):
    """Return the generations granted a turn since the last call."""
    granted = []
    for _, receive in context.channels.values():
        try:
            granted.append(receive.receive_nowait())
        except (trio.WouldBlock, trio.EndOfChannel):
            continue
    return granted


def release_turn(context, name):
    call_at_now(context, lambda: context.turns.release_turn(name))


@behave.then("turns are granted to {names} as each is released")
def check_order(context, names):
    order = []
    while granted := list_granted(context):
        assert len(granted) == 1, granted
        order += granted
        release_turn(context, granted[0])
    assert order == names.split(", "), order


@behave.when("the connection of a's entry is lost")
def lose_entry(context):
    assert list_granted(context) == ["a"]
    channel = context.channels["a"][0]
    call_at_now(context, lambda: context.turns.drop_entry(channel))


@behave.when("two seconds pass and no turn is released")
def pass_time(context):
    assert list_granted(context) == ["a"]
    context.now += 2.0
    call_at_now(context, context.turns.grant_next)


@behave.then("b has the turn")
def check_second(context):
    assert list_granted(context) == ["b"]


@behave.when("b ends by itself")
def end_waiting(context):
    release_turn(context, "b")
