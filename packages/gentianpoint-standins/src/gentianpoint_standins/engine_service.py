"""The calls of the stand-in engine, and its steps."""

import itertools
import os
import typing
import uuid

import msgspec
import quart
import quart_trio
import trio

from gentianpoint_standins import arrivals
from gentianpoint_standins import engine_faults
from gentianpoint_standins import engine_lengths
from gentianpoint_standins import engine_orders
from gentianpoint_standins import engine_reports
from gentianpoint_standins import engine_scheduler
from gentianpoint_standins import engine_streams
from gentianpoint_standins import engine_witness
from gentianpoint_standins import serving

__all__ = ("EngineService",)

_STREAM_TYPE: typing.Final = "application/x-ndjson"
_SOFTWARE: typing.Final = "Software-Version"
"""Header of answers that begin or resume a stream."""


class EngineService:
    """One engine."""

    def __init__(
        self,
        limits: engine_scheduler.SchedulerLimits,
        reports: engine_reports.LoadHistory,
        cache_log: engine_reports.CacheEventLog,
        lengths: engine_lengths.LengthTable,
        kept: int,
    ) -> None:
        """Serve with these parts, and keep ``kept`` streams that ended."""
        self._boot: typing.Final = uuid.uuid4().hex[:12]
        self._limits: typing.Final = limits
        self._scheduler: typing.Final = engine_scheduler.Scheduler(limits)
        self._reports: typing.Final = reports
        self._cache_log: typing.Final = cache_log
        self._lengths: typing.Final = lengths
        self._kept: typing.Final = kept
        self._witness: typing.Final = engine_witness.EngineWitness()
        self._streams: typing.Final[
            dict[str, engine_streams.EngineStream]
        ] = {}
        self._ended: typing.Final[list[str]] = []
        self._arrival_numbers: typing.Final = itertools.count(1)
        self._arrivals: typing.Final = arrivals.Arrivals()
        self.faults: typing.Final = engine_faults.FaultBoard()
        self._work_came = trio.Event()
        self.orders: engine_orders.OrderBook
        self._note_load()

    def make_app(self) -> quart_trio.QuartTrio:
        """Make the application."""
        app = serving.make_app("engine")
        one = "/streams/<identifier>"
        for path, method, view in (
            ("/streams", "POST", self.start),
            ("/streams", "GET", self.list_streams),
            (one, "GET", self.resume),
            (one, "DELETE", self.cancel),
            ("/load", "GET", self.show_load),
            ("/cache-events", "GET", self.show_cache_events),
            ("/orders", "POST", self.take_order),
            ("/witness", "GET", self.show_witness),
            ("/distributions", "POST", self.set_distributions),
            ("/distributions", "GET", self.show_distributions),
            ("/faults", "POST", self.change_faults),
        ):
            app.add_url_rule(
                path,
                endpoint=f"{method} {path}",
                view_func=view,
                methods=[method],
            )
        return app

    def _note_load(self) -> None:
        self._reports.add(self._scheduler.figures())
        if change := self._scheduler.memory.take_change():
            self._cache_log.add(change)

    # Steps.

    async def run_steps(self) -> None:
        """Make steps for ever, as long as there is work."""
        next_at = trio.current_time()
        while True:
            await self._wait_for_work()
            step_ms = self._scheduler.begin_step()
            step_ms *= self.faults.current.slow_factor
            self._note_load()
            next_at = max(next_at, trio.current_time()) + step_ms / 1000
            await trio.sleep_until(next_at)
            await self._wait_while_frozen()
            self._finish_step()

    async def _wait_for_work(self) -> None:
        await self._wait_while_frozen()
        while not self._scheduler.has_work():
            self._work_came = trio.Event()
            await self._work_came.wait()
            await self._wait_while_frozen()

    async def _wait_while_frozen(self) -> None:
        while self.faults.current.freeze:
            await self.faults.wait_changed()

    def _finish_step(self) -> None:
        before = self._scheduler.tokens
        for stream in self._scheduler.finish_step():
            self._bury(stream, stream.end)
        self._note_load()
        self._witness.counts.add("tokens", self._scheduler.tokens - before)
        limit = self.faults.current.die_after_tokens
        if limit and self._scheduler.tokens >= limit:
            os._exit(1)

    def _bury(self, stream: engine_streams.EngineStream, why: str) -> None:
        self._witness.count_end(why)
        self._ended.append(stream.identifier)
        while len(self._ended) > self._kept:
            self._streams.pop(self._ended.pop(0), None)

    # Streams.

    async def _read_body(self) -> bytes:
        body = await serving.read_body()
        await self.faults.delay_call()
        return body

    async def start(self) -> quart.Response:
        """Start a stream and send its lines."""
        self._arrivals.note()
        answer = await self._start()
        arrivals.name_limit(answer, self.faults.current.limit_per_s)
        return answer

    async def _start(self) -> quart.Response:
        start = msgspec.json.decode(
            await self._read_body(), type=engine_streams.StreamStart
        )
        # An identifier stays taken when its stream is long forgotten, so that
        # a late repetition of a start can't run it once more.
        if self._witness.knows(start["id"]):
            return serving.answer_refusal(409, "exists")
        if not self._serves(start):
            return serving.answer_refusal(409, "not_loaded")
        if self._refuses_starts():
            return serving.answer_refusal(429, "full")
        stream = self._make_stream(start)
        if not self._scheduler.fits(stream):
            return serving.answer_refusal(409, "too_large")
        self._streams[start["id"]] = stream
        self._scheduler.add(stream)
        self._witness.count_start(start)
        self._note_load()
        self._work_came.set()
        self.faults.crash_if_asked(start["prompt"])
        if self.faults.take_lost_reply():
            return self._lose_reply()
        return self._answer_lines(stream, 0)

    def _refuses_starts(self) -> bool:
        refuses = self.faults.current.refuse_starts
        return refuses or self._scheduler.is_full()

    def _serves(self, start: engine_streams.StreamStart) -> bool:
        loaded = self.orders.loaded
        return bool(
            loaded.model
            and start["model"] in ("", loaded.model)
            and start["adapter"] in ("", loaded.adapter)
            and start["version"] in ("", loaded.version)
        )

    def _make_stream(
        self, start: engine_streams.StreamStart
    ) -> engine_streams.EngineStream:
        length = self._lengths.draw(start["prompt"], trio.current_time())
        stream = engine_streams.EngineStream(
            start, next(self._arrival_numbers), length, self._boot
        )
        stream.software = self.faults.current.software
        return stream

    def _lose_reply(self) -> quart.Response:
        if self.faults.current.lose_by == "drop":
            return serving.drop_reply()
        return serving.answer_refusal(503, "out")

    def _answer_lines(
        self, stream: engine_streams.EngineStream, after: int
    ) -> quart.Response:
        answer = quart.Response(
            self.faults.iterate_lines(stream, after),
            content_type=_STREAM_TYPE,
        )
        if self.faults.current.software:
            answer.headers[_SOFTWARE] = self.faults.current.software
        return answer

    async def resume(self, identifier: str) -> quart.Response:
        """Send the lines of a stream after a token."""
        await self.faults.delay_call()
        stream = self._streams.get(identifier)
        if stream is None:
            return serving.answer_refusal(404, "unknown")
        self._witness.counts.add("resumes")
        after = int(quart.request.args.get("after", "0"))
        return self._answer_lines(stream, after)

    async def cancel(self, identifier: str) -> quart.Response:
        """End a stream, if it is known."""
        await self.faults.delay_call()
        stream = self._streams.get(identifier)
        if stream is None:
            return serving.answer_json({"known": False})
        self._witness.counts.add("cancels")
        if not stream.is_over():
            self._scheduler.remove(stream)
            stream.add_end("cancelled")
            self._bury(stream, "cancelled")
            self._note_load()
        return serving.answer_json({"known": True})

    async def list_streams(self) -> quart.Response:
        """List the streams that run or wait."""
        await self.faults.delay_call()
        rows = [
            {"id": stream.identifier, "n": stream.generated}
            for stream in self._scheduler.streams()
        ]
        return serving.answer_json({"streams": rows})

    def swap_model(self) -> None:
        """Let what belongs to the old model go."""
        for stream in self._scheduler.streams():
            self._scheduler.remove(stream)
            stream.die()
            self._bury(stream, "died")
        self._scheduler.memory.forget_idle()
        self._note_load()

    # Reports and orders.

    async def show_load(self) -> quart.Response:
        """Show the load as it was a while ago."""
        await self.faults.delay_call()
        seen = self._reports.read()
        if self.orders.is_loading():
            self._witness.counts.add("loading_reports")
        return serving.answer_json(
            {
                "boot": self._boot,
                "age_ms": self._reports.measure_age_ms(),
                "blocks": self._limits.blocks,
                "block_tokens": self._limits.block_tokens,
                **seen.figures._asdict(),
                **self.orders.loaded._asdict(),
                "loading": self.orders.is_loading(),
                "reclaim_in_ms": self.faults.measure_reclaim_ms(),
                "software": self.faults.current.software,
            }
        )

    async def show_cache_events(self) -> quart.Response:
        """Show published events, and wait for one when there are none."""
        after = int(quart.request.args.get("after", "0"))
        wait_ms = int(quart.request.args.get("wait_ms", "0"))
        await self.faults.delay_call()
        with trio.move_on_after(wait_ms / 1000):
            await self._cache_log.wait_past(after)
        events, last = self._cache_log.read(after)
        rows = [
            {"sequence": event.sequence, **event.change._asdict()}
            for event in events
        ]
        return serving.answer_json({"events": rows, "last": last})

    async def take_order(self) -> quart.Response:
        """Take an order, which is carried out later."""
        order = msgspec.json.decode(
            await self._read_body(), type=engine_orders.Order
        )
        taken = self.orders.take(order)
        if taken and self.faults.take_lost_order_reply():
            return self._lose_reply()
        if taken:
            return serving.answer_json({}, 202)
        return serving.answer_json(
            {"error": "old_fence", "highest": self.orders.highest}, 409
        )

    # For tests and load tools.

    async def show_witness(self) -> quart.Response:
        """Show what was done, once the counts are as asked for."""
        if refusal := await self._witness.counts.wait_as_asked():
            return refusal
        orders = [
            {**taken.order, "refused": taken.refused}
            for taken in self.orders.history
        ]
        return serving.answer_json(
            {
                **self._witness.read(),
                **self._witness.counts.read(),
                "arrival_ages_ms": self._arrivals.list_ages_ms(),
                "boot": self._boot,
                "now": self._scheduler.figures()._asdict(),
                "orders": orders,
            }
        )

    async def set_distributions(self) -> quart.Response:
        """Set classes of output lengths."""
        rows = msgspec.json.decode(
            await serving.read_body(),
            type=dict[str, dict[str, float]],
        )
        classes = {
            name: msgspec.convert(
                [row["mean"], row["spread"], row["cap"], row.get("drift", 0)],
                engine_lengths.LengthClass,
                strict=False,
            )
            for name, row in rows.items()
        }
        self._lengths.set_classes(classes, trio.current_time())
        return await self.show_distributions()

    async def show_distributions(self) -> quart.Response:
        """Show the classes of output lengths."""
        return serving.answer_json(
            {
                name: row._asdict()
                for name, row in self._lengths.classes().items()
            }
        )

    async def change_faults(self) -> quart.Response:
        """Change the faults."""
        self.faults.change(await serving.read_body())
        for stream in self._streams.values():
            stream.software = self.faults.current.software
            stream.wake_readers()
        return serving.answer_json(self.faults.current._asdict())
