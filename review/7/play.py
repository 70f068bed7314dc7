"""Takes a replica away that works on after its connections have closed.

Its generations go on at their backups. A generation may not be worked on at
both replicas for longer than 400 ms.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet_standins as standins  # noqa: E402

SERVICE = "huvo11a"
EVENT_S = 0.05
TOKENS = (800, 700)
STREAMS = 20
REPLICAS = 6
STAYS_ON_S = 1.5
"""Time for which the replica serves on after ``drain_ms``."""
MOST_BOTH_S = 0.4


def choose_runner(engines):
    """Return the replica with most generations that have a backup."""

    def count(engine):
        return sum(bool(run.backup) for run in engine.runs.values())

    return max(engines, key=count)


async def play(record, has_trouble):
    fleet = standins.Deployment(record)
    try:
        await fleet.start_store()
        configuration = standins.make_configuration(
            SERVICE, ["/draft/"], backups=True
        )
        fleet.store.put("keyed.op", "config", configuration)
        engines = [
            standins.add_engine(fleet, 20 + number, SERVICE, record, EVENT_S)
            for number in range(REPLICAS)
        ]
        for engine in engines:
            await engine.start()
            fleet.make_agent(engine.ip, SERVICE).start()
        fleet.make_entry(1).start()
        if not await fleet.wait_until_ready(1):
            return None
        await asyncio.sleep(3.0)
        answers = {f"draft{n:08x}": standins.Answer() for n in range(STREAMS)}
        tasks = [
            asyncio.create_task(
                standins.ask(
                    fleet.find_front(1), "/draft/a", name, TOKENS, answer
                )
            )
            for name, answer in answers.items()
        ]
        await asyncio.sleep(2.5)
        runner = choose_runner(engines)
        runner.drops_closed = not has_trouble
        record.note(
            "replica", runner.name,
            "works on without a connection:", not runner.drops_closed,
        )  # fmt: skip
        runner.give_notice(standins.DRAIN_S + STAYS_ON_S)
        await asyncio.sleep(standins.DRAIN_S + STAYS_ON_S)
        await runner.end()
        await asyncio.gather(*tasks)
        continued = 0
        twice = []
        for engine in engines:
            for name, began_at in engine.continued_at.items():
                both_s = runner.worked_at.get(name, 0.0) - began_at
                continued += 1
                record.note(
                    "request", name, "went on at", engine.name,
                    "and was worked on at both for s", round(both_s, 3),
                )  # fmt: skip
                if both_s > MOST_BOTH_S:
                    twice.append((name, round(both_s, 3)))
        for name, answer in answers.items():
            record.note(
                "client", name, "status", answer.status,
                "whole" if answer.is_whole else "broken off", answer.error,
            )  # fmt: skip
        record.note("requests that were worked on at both:", twice)
        return not twice if continued else None
    finally:
        fleet.end()


standins.run_case(
    play, FOLDER, has_trouble=os.environ.get("TROUBLE", "1") != "0"
)
