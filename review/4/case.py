"""A stream that its leaving entry closes before a backup has refused it."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

EVENTS = 150
STREAMS = 6
REFUSES_AFTER_S = 0.4
GRACE_S = 8
COUNTED_S = GRACE_S * 5 / 6
"""Time after SIGTERM in which an end counts, see the rule."""


async def play(fleet):
    fleet.put_configuration()
    fleet.plan_entries(2)
    for _ in range(3):
        replica = await fleet.add_replica(standins.MODEL, with_agent=True)
        # Their memory is needed for their own runs.
        replica.has_copy_room = False
        replica.refuses_after_s = REFUSES_AFTER_S
    for entry in fleet.entries:
        entry.start()
    await fleet.wait_until_ready()
    await asyncio.sleep(2)
    leaving = fleet.entries[0]
    ends = {}

    async def ask(number):
        reply = await fleet.ask(
            leaving, "POST", f"/stream-report/{number}?events={EVENTS}", 39000
        )
        ends[reply.request_id] = (time.monotonic(), reply)

    streams = [asyncio.ensure_future(ask(number)) for number in range(STREAMS)]
    await asyncio.sleep(3)
    leaving.signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    await asyncio.sleep(0.5)
    if standins.TROUBLE:
        # It goes on serving for many seconds.
        fleet.replicas[0].drain()
    await asyncio.gather(*streams)
    cut = []
    for request_id, (at, reply) in ends.items():
        after_s = at - stopped_at
        fleet.record.note(
            f"{request_id}: {reply.body.count(b'id:')} of {EVENTS} events,"
            f" {reply.end}, {after_s:.2f} s after SIGTERM"
        )
        if not reply.is_whole and after_s < COUNTED_S:
            cut.append(request_id)
    if cut:
        return f"{len(cut)} streams were cut though their replica was at work"
    return ""


if __name__ == "__main__":
    standins.run_case(__file__, play)
