"""Steps for datagrams between processes, over loopback sockets."""

import socket

import behave
import busy_builders
import trio

from gentianpoint_core import codec
from gentianpoint_entry.forwarding import peer_datagrams
from gentianpoint_standins import addresses

_QUESTION = {"type": "state_wanted", "probe": 1}
_ANSWER = {"type": "state_found", "probe": 1, "state": {}}


def run_questions(context, count, prepare=None):
    """Let questions come in one go, and count turns until all answers."""
    context.count = count
    context.answers = 0
    turns = busy_builders.SchedulerTurns()

    async def run():
        datagrams = peer_datagrams.UdpDatagrams("127.0.0.1:0")

        async def answer(message, sender):
            await datagrams.send(sender, _ANSWER)
            context.answers += 1

        datagrams.add_handler("state_wanted", answer)
        asking = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        trio.lowlevel.add_instrument(turns)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(datagrams.run)
            while not datagrams.is_open:
                await trio.sleep(0.001)
            if prepare is not None:
                await prepare(datagrams)
            began = turns.count
            for _ in range(count):
                asking.sendto(
                    codec.encode_message(_QUESTION), datagrams.address
                )
            with trio.fail_after(10):
                while context.answers < count:
                    await trio.lowlevel.checkpoint()
            context.turns = turns.count - began
            nursery.cancel_scope.cancel()
        asking.close()

    trio.run(run)


@behave.when("{count:d} questions come at once")
def ask_at_once(context, count):
    run_questions(context, count)


@behave.when(
    "a message to a process that is gone is sent, and {count:d} questions come"
)
def ask_after_refusal(context, count):
    async def send(datagrams):
        host, _, port = addresses.reserve_address().rpartition(":")
        await datagrams.send((host, int(port)), _QUESTION)
        await trio.sleep(0.05)

    run_questions(context, count, send)


@behave.then("all of them are answered within {most:d} turns of the scheduler")
def check_turns(context, most):
    assert context.turns <= most, context.turns


@behave.then("all of them are answered")
def check_answered(context):
    assert context.answers == context.count
