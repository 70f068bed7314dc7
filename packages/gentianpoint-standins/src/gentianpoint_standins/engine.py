"""Stand-in for a model engine.

Run as ``python -m gentianpoint_standins.engine --listen 127.0.0.1:0 --model
modelo-taller``. It serves what docs/design/platform-interfaces.md says, and
for tests ``GET /witness``, ``POST /distributions`` and ``POST /faults`` with
the fields of :class:`gentianpoint_standins.engine_faults.EngineFaults`.

Markers in a prompt: ``kind:report`` draws the length from that class,
``tokens:7`` asks for exactly 7 tokens, ``stamp:yes`` makes each token name
the start that it comes from, ``crash:7`` ends the process with that exit
status soon after the start of the stream.
"""

import typing

import trio
import typer

from gentianpoint_standins import engine_lengths
from gentianpoint_standins import engine_orders
from gentianpoint_standins import engine_reports
from gentianpoint_standins import engine_scheduler
from gentianpoint_standins import engine_service
from gentianpoint_standins import serving

__all__ = ("main",)

_LIMITS: typing.Final = engine_scheduler.SchedulerLimits()


def main(
    listen: serving.Listen = serving.ANY_PORT,
    model: typing.Annotated[
        str, typer.Option(help="Model loaded at first; empty for none.")
    ] = "base",
    adapter: typing.Annotated[
        str, typer.Option(help="Adapter loaded at first.")
    ] = "",
    version: typing.Annotated[
        str, typer.Option(help="Version loaded at first.")
    ] = "1",
    role: typing.Annotated[str, typer.Option(help="Role at first.")] = "serve",
    seed: typing.Annotated[
        int, typer.Option(help="Seed of output lengths and of lost events.")
    ] = 1,
    blocks: typing.Annotated[
        int, typer.Option(help="Blocks of cache memory.")
    ] = _LIMITS.blocks,
    block_tokens: typing.Annotated[
        int, typer.Option(help="Tokens that a block holds.")
    ] = _LIMITS.block_tokens,
    max_running: typing.Annotated[
        int, typer.Option(help="Most streams in the batch.")
    ] = _LIMITS.max_running,
    max_waiting: typing.Annotated[
        int, typer.Option(help="Most streams that wait.")
    ] = _LIMITS.max_waiting,
    step_ms: typing.Annotated[
        float, typer.Option(help="Time of a step without streams.")
    ] = _LIMITS.step_ms,
    stream_ms: typing.Annotated[
        float, typer.Option(help="Time each stream adds to a step.")
    ] = _LIMITS.stream_ms,
    prefill_ms: typing.Annotated[
        float, typer.Option(help="Time each prompt token adds to a step.")
    ] = _LIMITS.prefill_ms,
    prefill_tokens: typing.Annotated[
        int, typer.Option(help="Most prompt tokens computed in a step.")
    ] = _LIMITS.prefill_tokens,
    load_lag_ms: typing.Annotated[
        int, typer.Option(help="Age of the load figures.")
    ] = 200,
    cache_lag_ms: typing.Annotated[
        int, typer.Option(help="Delay of cache events.")
    ] = 300,
    cache_gap_share: typing.Annotated[
        float, typer.Option(help="Share of cache events that are lost.")
    ] = 0.0,
    fencing: typing.Annotated[
        bool,
        typer.Option(help="Refuse orders with an old fencing number."),
    ] = True,
    weights_url: typing.Annotated[
        str, typer.Option(help="Weight store; empty for none.")
    ] = "",
    load_ms: typing.Annotated[
        int, typer.Option(help="Time of a load without a weight store.")
    ] = 50,
    kept: typing.Annotated[
        int, typer.Option(help="Ended streams that can still be read.")
    ] = 256,
) -> None:
    """Serve an engine; all times are milliseconds."""
    limits = engine_scheduler.SchedulerLimits(
        blocks,
        block_tokens,
        max_running,
        max_waiting,
        step_ms,
        stream_ms,
        prefill_ms,
        prefill_tokens,
    )

    async def serve() -> None:
        service = engine_service.EngineService(
            limits,
            engine_reports.LoadHistory(load_lag_ms),
            engine_reports.CacheEventLog(cache_lag_ms, cache_gap_share, seed),
            engine_lengths.LengthTable(
                seed, engine_lengths.DEFAULT_CLASSES, trio.current_time()
            ),
            kept,
        )
        service.orders = engine_orders.OrderBook(
            engine_orders.Loaded(model, adapter, version, role),
            weights_url,
            load_ms,
            service.swap_model,
            fencing=fencing,
        )
        await serving.serve_app(
            service.make_app(),
            "engine",
            listen,
            service.run_steps,
            service.faults.await_reclaim,
            service.faults.await_crash,
            service.orders.fulfil_orders,
        )

    trio.run(serve)


if __name__ == "__main__":
    typer.run(main)
