"""Lets the store execute a replica's heartbeat seconds after it was sent.

The replica has reported since that it is draining. From two seconds after
that report on, no request may reach it.
"""

import asyncio
import itertools
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet_standins as standins  # noqa: E402

SERVICE = "wuno96b"
WORK_S = 0.09
ENTRIES = 2
CLIENTS = 16
PAUSE_S = 0.2
NOTICE_AFTER_S = 3.1
"""Time from the lost answer to the report; ``contact_ms`` is 3 s."""
LATE_S = 4 * standins.BEAT_S + 0.05
"""Time from the lost answer until the store executes the write: 1 to 6 s."""
STAYS_ON_S = 0.7
"""Time for which the replica serves on after ``drain_ms``; then it exits."""


async def send_requests(fleet, number, until, record, counts):
    """Send one request after the other until a time."""
    address = fleet.find_front(1 + number % ENTRIES)
    for place in itertools.count():
        if time.monotonic() >= until:
            return
        name = f"look{number:02x}{place:06x}"
        answer = standins.Answer()
        await standins.ask(
            address, "/lookup/a", name, (0, 0), answer, wait_s=1.5
        )
        counts[answer.status] = counts.get(answer.status, 0) + 1
        if answer.status != 200:
            record.note("client", name, answer.status, answer.error)
        await asyncio.sleep(PAUSE_S)


async def lose_answer(fleet, replica, record):
    """Execute one heartbeat late, which its replica gets no answer to."""
    beats = replica.beats
    while replica.beats == beats:
        await asyncio.sleep(0.005)
    late = replica.make_entry()
    record.note("the store loses the answer to heartbeat", late["seq_no"])
    await asyncio.sleep(LATE_S)
    fleet.store.put("keyed.servers", replica.name, late)
    record.note("the store executes heartbeat", late["seq_no"], late["state"])


async def play(record, has_trouble):
    fleet = standins.Deployment(record)
    try:
        await fleet.start_store()
        fleet.store.put(
            "keyed.op", "config", standins.make_plain_configuration(SERVICE)
        )
        replicas = [
            standins.PlainReplica(fleet, 20 + number, SERVICE, record, WORK_S)
            for number in range(3)
        ]
        for replica in replicas:
            await replica.start()
        for number in range(1, ENTRIES + 1):
            fleet.make_entry(number, ENTRIES).start()
        for number in range(1, ENTRIES + 1):
            if not await fleet.wait_until_ready(number):
                return None
        await asyncio.sleep(3.0)
        counts = {}
        until = time.monotonic() + 11.0
        tasks = [
            asyncio.create_task(
                send_requests(fleet, number, until, record, counts)
            )
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(1.0)
        leaving = replicas[0]
        beats = leaving.beats
        while leaving.beats == beats:
            await asyncio.sleep(0.005)
        if has_trouble:
            tasks.append(
                asyncio.create_task(lose_answer(fleet, leaving, record))
            )
            await asyncio.sleep(standins.BEAT_S)
        await asyncio.sleep(NOTICE_AFTER_S)
        accepted_at = leaving.give_notice()
        await asyncio.sleep(standins.DRAIN_S + STAYS_ON_S)
        await leaving.end()
        await asyncio.gather(*tasks)
        late = [
            (name, round(at - accepted_at, 3))
            for at, name in leaving.arrivals
            if at > accepted_at + standins.DRAIN_S
        ]
        record.note("statuses", counts)
        record.note("requests that were cut at its exit:", leaving.cut)
        record.note("requests after drain_ms:", len(late), late[:5])
        if not counts.get(200) or not leaving.arrivals:
            return None
        return not late
    finally:
        fleet.end()


standins.run_case(
    play, FOLDER, has_trouble=os.environ.get("TROUBLE", "1") != "0"
)
