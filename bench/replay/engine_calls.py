"""Calls to simulated engines, in the terms of the entry's port."""

from collections import abc
import contextlib
import typing

import trio

from bench.replay import engine
from bench.replay import links
from bench.replay import shapes
from gentianpoint_core import deadlines
from gentianpoint_core import ports
from gentianpoint_core.decisions import engine_urgency
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import targets

__all__ = ("EngineCalls",)

_HOP_S: typing.Final = 0.0015
"""Way to an engine and back, within a data centre or between two."""
_BACKUP_S: typing.Final = 0.3
"""Time between two copies to a backup."""


class _Answer(target_calls.TargetAnswer):
    """The answer of an engine that took a generation, or refused it."""

    def __init__(self, work: typing.Optional[engine.Work]) -> None:
        self.status = 200 if work else 503
        self.headers = ()
        self.has_not_run = work is None
        self.is_wrong_target = False
        self.has_target_seal = True
        self.retry_after_ms = 0.0
        self._work: typing.Final = work

    async def receive_body(self) -> abc.AsyncIterator[bytes]:
        """Yield events as they are made."""
        work = self._work
        assert work is not None
        last = 0
        async for last in work.received:
            yield f"id: {last}\ndata: x\n\n".encode()
        if last < work.generation.answer_events:
            raise ports.PortError(
                "receive body",
                "engine",
                "broke off",
                took_effect=True,
                disconnected=True,
            )


def _find_urgency(request: requests.CallerRequest) -> int:
    if request.urgency is None:
        return engine_urgency.DEFAULT_URGENCY
    return request.urgency


class EngineCalls(target_calls.TargetCalls):
    """Reaches the engines of one replay by their addresses."""

    def __init__(
        self,
        engines: abc.Mapping[str, engine.Engine],
        generations: abc.Mapping[str, shapes.Generation],
        nursery: trio.Nursery,
    ) -> None:
        """Reach ``engines``, by address."""
        self._engines: typing.Final = engines
        self._generations: typing.Final = generations
        self._nursery: typing.Final = nursery
        self._stopped_at: typing.Final[dict[str, engine.Engine]] = {}
        self.moved_tokens = 0

    @contextlib.asynccontextmanager
    async def send_request(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        options: requests.SendOptions,
    ) -> abc.AsyncIterator[target_calls.TargetAnswer]:
        """Have an engine work on a generation; see the base class."""
        await trio.sleep(_HOP_S)
        there = self._find(target, "connect")
        work = self._start(there, request, options)
        if work is None:
            yield _Answer(None)
            return
        if options.backup_address:
            backup = self._engines.get(options.backup_address)
            if backup is not None:
                self._nursery.start_soon(self._back_up, there, backup, work)
        try:
            await trio.sleep(_HOP_S)
            yield _Answer(work)
        finally:
            there.remove(work)

    def _find(self, target: targets.Target, step: str) -> engine.Engine:
        there = self._engines.get(target.entry.address)
        if there is None or there.is_gone:
            raise ports.PortError(
                step, target.target_id, "gone", took_effect=False
            )
        return there

    def _start(
        self,
        there: engine.Engine,
        request: requests.CallerRequest,
        options: requests.SendOptions,
    ) -> typing.Optional[engine.Work]:
        generation = self._generations[request.request_id]
        last = int(options.last_event_id or 0)
        if options.copy is not None:
            return self._go_on(there, request, options.copy.name, last)
        if len(there.waiting) >= there.costs.queue:
            return None
        made = last * there.costs.event_tokens
        work = engine.Work(generation, made, 0, _find_urgency(request))
        there.add(work, is_first=False)
        return work

    def _go_on(
        self,
        there: engine.Engine,
        request: requests.CallerRequest,
        name: str,
        last: int,
    ) -> typing.Optional[engine.Work]:
        generation = self._generations[request.request_id]
        made = last * there.costs.event_tokens
        copy = there.copies.pop(name, None)
        if copy is not None and copy.tokens:
            has_read = min(copy.tokens, generation.prompt_tokens + made)
        elif self._stopped_at.get(name) is there:
            has_read = generation.prompt_tokens + made
        else:
            return None
        self._stopped_at.pop(name, None)
        work = engine.Work(generation, made, has_read, _find_urgency(request))
        there.add(work, is_first=True)
        return work

    async def copy_memory(
        self,
        source: targets.Target,
        destination: targets.Target,
        request_id: str,
        *,
        stops_first: bool,
        deadline: deadlines.Deadline,
    ) -> target_calls.CopyResult:
        """Copy a generation's memory; see the base class."""
        error = ports.PortError(
            "move memory", source.target_id, "no answer", took_effect=True
        )
        with trio.CancelScope(deadline=deadline.at):
            await trio.sleep(_HOP_S)
            here = self._find(source, "move memory")
            there = self._engines.get(destination.entry.address)
            work = self._find_work(here, request_id)
            if work is None:
                raise error
            if stops_first:
                work.is_stopped = True
                work.events.close()
                here.batch.remove(work)
                self._stopped_at["move/" + request_id] = here
            is_whole = await self._copy(here, there, work, "move/")
            if here.is_gone:
                raise error
            return target_calls.CopyResult("move/" + request_id, is_whole)
        raise error

    @staticmethod
    def _find_work(
        here: engine.Engine, request_id: str
    ) -> typing.Optional[engine.Work]:
        for work in here.batch:
            if work.generation.request_id == request_id:
                return work
        return None

    async def _copy(
        self,
        here: engine.Engine,
        there: typing.Optional[engine.Engine],
        work: engine.Work,
        prefix: str,
    ) -> bool:
        """Copy what a destination has not yet; False if it has no room."""
        name = prefix + work.generation.request_id
        tokens = work.tokens
        if there is None or there.is_gone:
            return False
        copy = there.copies.get(name)
        held = 0 if copy is None else copy.tokens
        if not there.has_room(tokens - held):
            return False
        if copy is None:
            copy = there.copies[name] = engine.Copy()
        copy.tokens = tokens
        self.moved_tokens += tokens - held
        await links.copy_over(
            here.link,
            there.link,
            tokens - held,
            here.costs,
            is_far=here.data_centre != there.data_centre,
        )
        return not there.is_gone

    async def _back_up(
        self, here: engine.Engine, there: engine.Engine, work: engine.Work
    ) -> None:
        """Copy a generation to its backup as it grows, until it ends."""
        name = work.generation.request_id
        while not work.is_stopped and not here.is_gone:
            if work.is_running:
                await self._copy(here, there, work, "")
            await trio.sleep(_BACKUP_S)
        if not here.is_gone:
            # It ended well, or went on elsewhere.
            there.copies.pop(name, None)

    async def free_copy(self, target: targets.Target, name: str) -> None:
        """Free a copy; see the base class."""
        await trio.sleep(_HOP_S)
        for item in self._engines.values():
            item.copies.pop(name, None)

    async def check_listening(
        self, target: targets.Target
    ) -> typing.Optional[bool]:
        """Tell whether an engine is there; see the base class."""
        there = self._engines.get(target.entry.address)
        return there is not None and not there.is_gone

    def close_unlisted(self, listed: abc.Collection[targets.Target]) -> None:
        """Keep nothing anyway."""
