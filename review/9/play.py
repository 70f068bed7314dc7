"""Kills all entries while two software versions serve.

Clients whose streams broke off take them up again once the entries have been
back for longer than ``contact_ms``.
"""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet_standins as standins  # noqa: E402

SERVICE = "huvo11a"
EVENT_S = 0.1
TOKENS = (300, 800)
ENTRIES = 3
VERSIONS = ("v1", "v1", "v2", "v2")
STREAMS = 24
LEAST_TAKEN_UP = 12
DOWN_S = 0.5
CONTACT_S = 3.0
OVER_S = 2.0
"""Time over which clients come back, from ``contact_ms`` on."""


class Client:
    """A client with one stream, which it takes up if it breaks off."""

    def __init__(self, fleet, number):
        self.name = f"draft{number:08x}"
        self.first = standins.Answer()
        self.second = standins.Answer()
        self._fleet = fleet
        self._number = number
        self.task = None

    def begin(self):
        self.task = asyncio.create_task(self._ask(self.name, self.first, 0))

    def _ask(self, name, answer, turn, headers=()):
        number = 1 + (self._number + turn) % ENTRIES
        return standins.ask(
            self._fleet.find_front(number), "/draft/a", name, TOKENS, answer,
            more_headers=headers,
        )  # fmt: skip

    async def take_up(self):
        headers = [
            f"Last-Event-Id: {self.first.events[-1][0]}",
            f"Resumes: {self.name}",
        ]
        await self._ask(f"again{self._number:08x}", self.second, 1, headers)

    def goes_on(self):
        """Tell whether the stream goes on where it broke off."""
        events = self.second.events
        return bool(events) and events[0][0] == self.first.events[-1][0] + 1


async def play(record, has_trouble):
    fleet = standins.Deployment(record)
    try:
        await fleet.start_store()
        configuration = standins.make_configuration(
            SERVICE, ["/draft/"], backups=False
        )
        configuration["routes"][0].update(resumable=True, max_attempts=2)
        fleet.store.put("keyed.op", "config", configuration)
        for number, version in enumerate(VERSIONS):
            engine = standins.add_engine(
                fleet, 20 + number, SERVICE, record, EVENT_S
            )
            engine.version = version
            await engine.start()
            fleet.make_agent(engine.ip, SERVICE, ENTRIES).start()
        entries = [
            fleet.make_entry(number, ENTRIES)
            for number in range(1, ENTRIES + 1)
        ]
        for entry in entries:
            entry.start()
        for number in range(1, ENTRIES + 1):
            if not await fleet.wait_until_ready(number):
                return None
        await asyncio.sleep(5.0)
        clients = [Client(fleet, number) for number in range(STREAMS)]
        for client in clients:
            client.begin()
        await asyncio.sleep(4.0)
        if has_trouble:
            for entry in entries:
                entry.send(signal.SIGKILL)
                entry.process.wait()
            await asyncio.sleep(DOWN_S)
            for entry in entries:
                entry.start()
            for number in range(1, ENTRIES + 1):
                if not await fleet.wait_until_ready(number):
                    return None
        else:
            for client in clients:
                client.task.cancel()
        await asyncio.gather(
            *[client.task for client in clients], return_exceptions=True
        )
        await asyncio.sleep(CONTACT_S + 0.5)
        broken = [item for item in clients if item.first.events]
        new = [Client(fleet, STREAMS + number) for number in range(STREAMS)]
        tasks = []
        for client, other in zip(broken, new, strict=False):
            tasks.append(asyncio.create_task(client.take_up()))
            other.begin()
            tasks.append(other.task)
            await asyncio.sleep(OVER_S / STREAMS)
        await asyncio.gather(*tasks, return_exceptions=True)
        for client in broken:
            record.note(
                "client", client.name, "took its stream up after event",
                client.first.events[-1][0], "status", client.second.status,
                "goes on:", client.goes_on(), client.second.error,
            )  # fmt: skip
        taken_up = sum(client.goes_on() for client in broken) / len(broken)
        begun = sum(bool(item.first.events) for item in new) / len(new)
        record.note(
            "streams taken up", len(broken), "of which go on", taken_up
        )
        record.note("new streams", len(new), "of which begin", begun)
        if len(broken) < LEAST_TAKEN_UP or not begun:
            return None
        return taken_up >= begun / 2
    finally:
        fleet.end()


standins.run_case(
    play, FOLDER, has_trouble=os.environ.get("TROUBLE", "1") != "0"
)
