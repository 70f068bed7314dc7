"""Sends a second answer late, while generations move from a replica.

The replica's agent is stopped and started, and the replica gives notice. Each
generation has to go on from its own memory, and each client gets its own
events.
"""

import asyncio
import itertools
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet_standins as standins  # noqa: E402

SERVICE = "huvo11a"
EVENT_S = 0.15
"""Pause between events; pauses up to 180 ms are on time."""
LONG = (800, 180)
SHORT = (200, 8)
ANSWERS_EACH = 34
"""One in so many answers of the replica is followed by a second one, which is
less than 3 in 100."""
STREAMS = 66
TAGS = 36
"""Short requests that are sent together."""
TAGS_PAUSE_S = 0.1
REPLICAS = 6
ROUNDS = 8
ROLLS_AGENT = os.environ.get("ROLLS_AGENT", "1") != "0"
RESTART_S = 0.5
"""Time from the end of a process to its next start."""


async def roll_agent(agent):
    """Stop and start an agent, as in a roll of its machine."""
    if not ROLLS_AGENT:
        return
    agent.send(signal.SIGTERM)
    while agent.process.poll() is None:
        await asyncio.sleep(0.02)
    await asyncio.sleep(RESTART_S)
    agent.start()


class Round:
    """One replica leaves while it works."""

    def __init__(self, number, entry, has_trouble):
        self.answers = {}
        self._number = number
        self._entry = entry
        self._has_trouble = has_trouble
        self._names = itertools.count()

    def _ask(self, kind, tokens):
        name = f"{kind}{self._number:02x}{next(self._names):06x}"
        answer = self.answers[name] = standins.Answer()
        return asyncio.create_task(
            standins.ask(self._entry, f"/{kind}/a", name, tokens, answer)
        )

    async def play(self, source, agent, record):
        long_tasks = [self._ask("draft", LONG) for _ in range(STREAMS)]
        await asyncio.sleep(1.0)
        # The time of wrong bytes; it lasts for less than 5 s.
        first = source.answers
        late = []

        def adds_late_answer(count):
            if late or not self._has_trouble or count < first + ANSWERS_EACH:
                return False
            late.append(count)
            return True

        source.adds_late_answer = adds_late_answer
        while source.answers < first + ANSWERS_EACH:
            tasks = [self._ask("tag", SHORT) for _ in range(TAGS)]
            await asyncio.gather(*tasks)
            await asyncio.sleep(TAGS_PAUSE_S)
        record.note("the replica gave", ANSWERS_EACH, "answers or a few more")
        roll = asyncio.create_task(roll_agent(agent))
        source.give_notice(standins.DRAIN_S)
        await asyncio.sleep(standins.DRAIN_S + 0.5)
        await source.end()
        await roll
        await asyncio.gather(*long_tasks)


def list_foreign(answers, record):
    """Note what clients got; return those that got events of others."""
    foreign = []
    for name, answer in answers.items():
        record.note(
            "client", name, "status", answer.status,
            "whole" if answer.is_whole else "broken off",
            len(answer.events), "events", answer.error,
        )  # fmt: skip
        others = answer.list_foreign(name)
        if others:
            foreign.append(name)
            record.note("client", name, "got events of", others[0][1])
    return foreign


async def play(record, has_trouble):
    fleet = standins.Deployment(record)
    try:
        await fleet.start_store()
        configuration = standins.make_configuration(
            SERVICE, ["/draft/", "/tag/"], backups=False
        )
        fleet.store.put("keyed.op", "config", configuration)
        replicas = []
        numbers = itertools.count(20)

        async def add_replica():
            engine = standins.add_engine(
                fleet, next(numbers), SERVICE, record, EVENT_S
            )
            await engine.start()
            agent = fleet.make_agent(engine.ip, SERVICE)
            agent.start()
            replicas.append((engine, agent))

        for _ in range(REPLICAS):
            await add_replica()
        fleet.make_entry(1).start()
        if not await fleet.wait_until_ready(1):
            return None
        await asyncio.sleep(2.0)
        whole = 0
        for number in range(ROUNDS):
            played = Round(number, fleet.find_front(1), has_trouble)
            source, agent = replicas.pop(0)
            await played.play(source, agent, record)
            foreign = list_foreign(played.answers, record)
            whole += sum(item.is_whole for item in played.answers.values())
            if foreign:
                record.note("foreign events went to", foreign)
                return False
            agent.end()
            await add_replica()
            await asyncio.sleep(2.0)
        record.note("no client got events of others; whole answers:", whole)
        return True if whole else None
    finally:
        fleet.end()


standins.run_case(
    play, FOLDER, has_trouble=os.environ.get("TROUBLE", "1") != "0"
)
