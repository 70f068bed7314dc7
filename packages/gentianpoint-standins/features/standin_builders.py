"""Builders of test data for the stand-ins."""

from collections import abc
import typing

import httpx
import trio

from gentianpoint_core import http_engine
from gentianpoint_core import ports
from gentianpoint_standins import engine_scheduler
from gentianpoint_standins import engine_streams
from gentianpoint_standins import processes

SILENCE_MS: typing.Final = 60_000
CHUNK_CHARACTERS: typing.Final = 256


def use_deployment(context: typing.Any) -> processes.LocalDeployment:
    """Return the scenario's deployment, which ends with the scenario."""
    if "deployment" not in context:
        context.deployment = processes.LocalDeployment()
    return typing.cast(processes.LocalDeployment, context.deployment)


async def say_listening() -> typing.Optional[bool]:
    """Tell that a target listens."""
    return True


def parse_options(text: str) -> dict[str, typing.Any]:
    """Return options from ``blocks=4 fencing=False``."""
    values = {"True": True, "False": False}
    rows = [pair.split("=") for pair in text.split()]
    return {
        name: int(value) if value.isdigit() else values.get(value, value)
        for name, value in rows
    }


def make_scheduler(blocks: int) -> engine_scheduler.Scheduler:
    """Return a scheduler of a small engine."""
    limits = engine_scheduler.SchedulerLimits(blocks=blocks, block_tokens=4)
    return engine_scheduler.Scheduler(limits)


def make_stream(
    name: str, arrival: int, prompt: str, priority: int, length: int
) -> engine_streams.EngineStream:
    """Return a stream as the engine makes it."""
    start = engine_streams.StreamStart(
        id=name,
        prompt=prompt,
        max_tokens=1000,
        priority=priority,
        model="",
        adapter="",
        version="",
    )
    return engine_streams.EngineStream(start, arrival, length, "boot")


def make_request(name: str, prompt: str) -> ports.StreamRequest:
    """Return a request as an agent makes it."""
    return ports.StreamRequest(name, prompt, 1000, 1, "", "", "")


def run_with_client(
    work: abc.Callable[..., abc.Awaitable[typing.Any]],
    *arguments: typing.Any,
) -> typing.Any:
    """Run ``work`` with an HTTP client."""

    async def run() -> typing.Any:
        async with httpx.AsyncClient() as client:
            return await work(client, *arguments)

    return trio.run(run)


def run_with_engine(
    url: str,
    work: abc.Callable[..., abc.Awaitable[typing.Any]],
    *arguments: typing.Any,
) -> typing.Any:
    """Run ``work`` with the product's adapter to the engine at ``url``."""

    async def run(client: httpx.AsyncClient) -> typing.Any:
        engine = http_engine.HttpEngine(url, client, SILENCE_MS)
        return await work(engine, *arguments)

    return run_with_client(run)


class CollectedStream(typing.NamedTuple):
    """What a reader got of a stream."""

    events: list[ports.StreamEvent]
    """Events in order."""
    error: typing.Optional[ports.PortError]
    """Error that ended it, if any."""

    def numbers(self) -> list[int]:
        """Return the numbers of the tokens."""
        return [event.number for event in self.events if event.number]

    def end(self) -> str:
        """Return why the stream ended; empty when nothing told."""
        return self.events[-1].end if self.events else ""


async def collect_stream(
    stream: typing.AsyncContextManager[abc.AsyncIterator[ports.StreamEvent]],
) -> CollectedStream:
    """Read a stream to its end."""
    events = []
    try:
        async with stream as iterator:
            async for event in iterator:
                events.append(event)
    except ports.PortError as error:
        return CollectedStream(events, error)
    return CollectedStream(events, None)


async def start_stream(
    engine: ports.Engine, request: ports.StreamRequest
) -> CollectedStream:
    """Start a stream and read it to its end."""
    return await collect_stream(engine.start_stream(request))


async def resume_stream(
    engine: ports.Engine, name: str, after: int
) -> CollectedStream:
    """Resume a stream and read it to its end."""
    return await collect_stream(engine.resume_stream(name, after))
