"""Records of another writer, whose service has a long name."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

RESTART_S = 0.5
PLAYED_S = 40
ENDS = 3
"""Ends of a machine's process that count, see the rule."""
SERVICE = "a-service-of-another-deployment/" + "x" * 300


async def write_foreign(fleet):
    """Write an entry at each heartbeat, as a replica elsewhere would."""
    fleet.record.note("another writer begins to write its entry")
    seq_no = 0
    while True:
        seq_no += 1
        fleet.store.put(
            "keyed.servers",
            "i-0d5c1e77aa",
            {
                "service": os.environ.get("SERVICE", SERVICE),
                "address": "127.0.0.1:9",
                "zone": "zona-norte",
                "slots": 1,
                "state": "in_service",
                "seq_no": seq_no,
            },
        )
        await asyncio.sleep(standins.BEAT_S)


async def play(fleet):
    fleet.put_configuration()
    fleet.plan_entries(3)
    for _ in range(2):
        await fleet.add_replica(standins.APP)
        await fleet.add_replica(standins.MODEL, with_agent=True)
    for entry in fleet.entries:
        entry.start()
    await fleet.wait_until_ready()
    if standins.TROUBLE:
        fleet.start(write_foreign(fleet))
    ends = {entry.name: 0 for entry in fleet.entries}
    asked = served = 0
    until = time.monotonic() + PLAYED_S
    while time.monotonic() < until:
        await asyncio.sleep(0.5)
        for entry in fleet.entries:
            if entry.process.poll() is not None:
                ends[entry.name] += 1
                fleet.record.note(
                    f"{entry.name} has ended by itself with"
                    f" {entry.process.returncode}"
                )
                await asyncio.sleep(RESTART_S)
                entry.start()
            reply = await fleet.ask(
                entry, "GET", "/status/1", 1500, within_s=2
            )
            asked += 1
            served += reply.status == 200
    fleet.record.note(f"{served} of {asked} requests were served")
    often = [name for name, count in ends.items() if count >= ENDS]
    if len(often) >= 2:
        return f"ends of processes by themselves: {ends}"
    if any(ends.values()):
        fleet.record.note(f"ends of processes by themselves: {ends}")
    return ""


if __name__ == "__main__":
    standins.run_case(__file__, play)
