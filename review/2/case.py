"""A stream without a length, stopped by a move whose answer is late."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

EVENTS = 400
STREAMS = 20
UNFRAMED = 10
"""Which of the streams is the one in twenty without a length."""
LATE_MOVE_S = 1.5


def read_numbers(body):
    return [
        int(line[3:])
        for line in body.decode().splitlines()
        if line.startswith("id:")
    ]


async def play(fleet):
    # Without backups, generations move by copies alone.
    fleet.put_configuration(backups=False)
    fleet.plan_entries(1)
    first = await fleet.add_replica(standins.MODEL, with_agent=True)
    if standins.TROUBLE:
        first.is_unframed = lambda number: number == UNFRAMED
    for entry in fleet.entries:
        entry.start()
    await fleet.wait_until_ready()
    await asyncio.sleep(1)
    streams = []
    for number in range(STREAMS):
        streams.append(
            asyncio.ensure_future(
                fleet.ask(
                    fleet.entries[0],
                    "POST",
                    f"/stream-report/{number}?events={EVENTS}",
                    39000,
                )
            )
        )
        await asyncio.sleep(0.2)
    second = await fleet.add_replica(standins.MODEL, with_agent=True)
    await asyncio.sleep(2)
    # Its last copy waits behind the moves of other machines on the link.
    late = first.arrivals[UNFRAMED - 1][1]
    first.move_s[late] = LATE_MOVE_S
    first.drain()
    broken = []
    for reply in await asyncio.gather(*streams):
        numbers = read_numbers(reply.body)
        fleet.record.note(
            f"{reply.request_id}: {len(numbers)} of {EVENTS} events,"
            f" status {reply.status}, {reply.end}"
        )
        if reply.status == 0:
            raise standins.CouldNotRunError("a stream was not begun")
        if reply.is_whole and numbers != list(range(1, EVENTS + 1)):
            broken.append(f"{reply.request_id} ends at {numbers[-1:]}")
    if not any(replica.copies for replica in fleet.replicas) and not (
        second.arrivals
    ):
        raise standins.CouldNotRunError("nothing moved")
    if broken:
        return f"streams end as complete before their last event: {broken}"
    return ""


if __name__ == "__main__":
    standins.run_case(__file__, play)
