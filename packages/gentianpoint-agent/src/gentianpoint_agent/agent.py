"""The agent's process: its tasks, from start to graceful shutdown."""

import functools
import hmac
import http
import signal
import typing

import httpx
import trio
import websockets.http11
import websockets.trio.server

from gentianpoint_agent import admission
from gentianpoint_agent import admission_policies
from gentianpoint_agent import agent_state
from gentianpoint_agent import applied_service
from gentianpoint_agent import cached_prefixes
from gentianpoint_agent import call_runner
from gentianpoint_agent import engine_orders
from gentianpoint_agent import engine_runner
from gentianpoint_agent import entry_connections
from gentianpoint_agent import order_leases
from gentianpoint_agent import order_records
from gentianpoint_agent import order_stream
from gentianpoint_agent import order_turns
from gentianpoint_agent import plain_runner
from gentianpoint_agent import target_watch
from gentianpoint_agent import weight_reads
from gentianpoint_agent.generated import settings as agent_settings
from gentianpoint_core import deadlines
from gentianpoint_core import http_clients
from gentianpoint_core import http_engine
from gentianpoint_core import http_log
from gentianpoint_core import http_plain_service
from gentianpoint_core import http_weight_store
from gentianpoint_core import logs
from gentianpoint_core import option_types
from gentianpoint_core import peer_connections
from gentianpoint_core import ports
from gentianpoint_core import telemetry
from gentianpoint_core.generated import events

__all__ = ("run_agent",)

_HOUSEKEEPING_S: typing.Final = 0.2
"""Interval at which generations are expired and abandoned, in seconds."""
_LOAD_POLL_S: typing.Final = 0.2
"""Interval at which the engine's load report is read, in seconds."""
_ADOPT_RETRY_S: typing.Final = 0.5
"""Delay before the engine's streams are listed again, in seconds."""
_DRAIN_POLL_S: typing.Final = 0.05
"""Interval at which draining is checked during shutdown, in seconds."""
_PLAIN_SILENCE_MS: typing.Final = 60_000
"""Time that a plain service may stay silent in a call, in milliseconds."""
_CLOSE_TIMEOUT_S: typing.Final = 1
"""Time for the closing handshake of a websocket, in seconds."""


def _check_peer_key(
    key: str,
    connection: websockets.trio.server.ServerConnection,
    request: websockets.http11.Request,
) -> typing.Optional[websockets.http11.Response]:
    received = request.headers.get(peer_connections.PEER_KEY_HEADER, "")
    if hmac.compare_digest(received.encode(), key.encode()):
        return None
    logs.log_event(
        events.CONNECTION_REFUSED,
        step="check peer key",
        peer=str(connection.remote_address),
        reason="the peer key is wrong",
    )
    return connection.respond(http.HTTPStatus.UNAUTHORIZED, "wrong peer key\n")


async def _serve_connection(
    state: agent_state.AgentState,
    websocket: websockets.trio.server.ServerConnection,
) -> None:
    settings = state.settings
    connection = peer_connections.PeerConnection(
        websocket,
        str(websocket.remote_address),
        settings.heartbeat_ms,
        settings.silence_ms,
    )
    try:
        await entry_connections.EntryConnection(connection, state).serve()
    except* peer_connections.PeerConnectionError as group:
        peer_connections.log_connection_error(group.exceptions[0])


async def _listen(
    state: agent_state.AgentState,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    settings = state.settings
    address, port = option_types.split_address(settings.listen)
    async with trio.open_nursery() as nursery:
        await nursery.start(
            functools.partial(
                websockets.trio.server.serve,
                functools.partial(_serve_connection, state),
                port,
                host=address,
                compression=None,
                ping_interval=None,
                close_timeout=_CLOSE_TIMEOUT_S,
                max_size=settings.max_body_bytes * 2,
                process_request=functools.partial(
                    _check_peer_key, settings.peer_key
                ),
            )
        )
        logs.log_event(
            events.AGENT_STARTED,
            listen=settings.listen,
            service=settings.service,
            target=settings.target,
            incarnation=state.table.incarnation,
        )
        task_status.started()


async def _poll_engine_load(
    state: agent_state.AgentState, engine: ports.Engine
) -> None:
    available = True
    while True:
        try:
            load = await engine.read_load()
        except ports.PortError as error:
            if available:
                logs.log_event(
                    events.ENGINE_UNAVAILABLE,
                    step=error.step,
                    peer=error.peer,
                    reason=error.reason,
                )
            available = False
        else:
            available = True
            last = state.control.load
            if last is not None and last.boot != load.boot:
                state.prefixes.clear()
            state.record_report(load)
            if load.reclaim_in_ms is not None:
                state.lifecycle.start_leaving("the engine is reclaimed")
        await trio.sleep(_LOAD_POLL_S)


async def _run_housekeeping(state: agent_state.AgentState) -> None:
    while True:
        overdue_by = deadlines.make_deadline(
            _HOUSEKEEPING_S * 1000 + state.settings.silence_ms
        )
        await trio.sleep(_HOUSEKEEPING_S)
        if overdue_by.is_past():
            state.mark_running_shared()
        state.table.drop_expired()
        state.abandon_orphans()


async def _adopt_streams(
    state: agent_state.AgentState, engine: ports.Engine
) -> None:
    """Adopt the streams that an earlier run of the agent started.

    Retries until the engine lists them, or answers other requests although
    it refuses this one because it offers no list.
    """
    while True:
        try:
            identifiers = await engine.list_streams()
        except ports.PortError as error:
            if not error.took_effect and await _is_answering(engine):
                return
            await trio.sleep(_ADOPT_RETRY_S)
            continue
        for identifier in identifiers:
            state.adopt_call(identifier)
        return


async def _is_answering(engine: ports.Engine) -> bool:
    try:
        await engine.read_load()
    except ports.PortError:
        return False
    return True


async def _control_engine(
    state: agent_state.AgentState,
    engine: ports.Engine,
    client: httpx.AsyncClient,
) -> None:
    """Adopt running streams, then reconcile the engine with its service.

    An order to load waits for the running calls. An order sent before the
    streams of an earlier run are known would cut them off.
    """
    await _adopt_streams(state, engine)
    await _make_reconciler(state, engine, client).run()


async def _watch_signals(state: agent_state.AgentState) -> None:
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        # SIGHUP is handled and ignored: no settings are reloaded, and
        # unhandled it would end the process with its calls.
        stops = (number async for number in signals if number != signal.SIGHUP)
        await state.lifecycle.watch_signals(stops, "told to stop")


async def _wait_drained(state: agent_state.AgentState) -> None:
    """Wait until all calls are delivered and all entries are notified."""
    while not state.is_drained():
        await trio.sleep(_DRAIN_POLL_S)


def _make_reconciler(
    state: agent_state.AgentState,
    engine: ports.Engine,
    client: httpx.AsyncClient,
) -> engine_orders.EngineReconciler:
    settings = state.settings
    stream = order_stream.OrderStream(
        http_log.HttpLog(settings.log_url, client),
        settings.target,
        state.table.incarnation,
    )
    store: typing.Optional[ports.WeightStore] = None
    if settings.weights_url:
        store = http_weight_store.HttpWeightStore(settings.weights_url, client)
    reads = weight_reads.WeightReads(
        store,
        settings.weights_rate,
        order_turns.TurnClient(
            stream, order_records.WEIGHTS, settings.turn_ms
        ),
    )
    return engine_orders.EngineReconciler(
        state,
        engine,
        stream,
        order_leases.OrderLease(stream, settings.lease_ms),
        order_turns.TurnClient(
            stream,
            order_records.name_service_turns(settings.service),
            settings.turn_ms,
        ),
        reads,
    )


async def run_agent(settings: agent_settings.AgentSettings) -> None:
    """Run the agent until it is told to stop and its calls have ended."""
    logs.configure_logs(settings.name, settings.log_level)
    telemetry.configure_telemetry(
        settings.name,
        "gentianpoint-agent",
        settings.otlp_url,
        settings.trace_log,
    )
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=64)
    async with (
        http_clients.make_client(
            (settings.log_url, settings.target_url), limits
        ) as client,
        trio.open_nursery() as calls,
        trio.open_nursery() as nursery,
    ):
        service = applied_service.AppliedService(
            settings.service,
            deadlines.make_deadline(settings.unload_undeclared_ms),
        )
        control = admission.AdmissionControl(
            admission_policies.make_admission_policy(settings, service),
            service,
        )
        engine = http_engine.HttpEngine(
            settings.target_url,
            client,
            settings.silence_ms,
            control.note_limit,
        )
        watch = target_watch.TcpTargetWatch(
            settings.target, settings.target_url
        )
        runner: call_runner.CallRunner
        if settings.target_kind == "plain":
            runner = plain_runner.PlainRunner(
                control,
                http_plain_service.HttpPlainService(
                    settings.target_url,
                    client,
                    _PLAIN_SILENCE_MS,
                    watch.check_listening,
                    control.note_limit,
                ),
                watch,
            )
        else:
            runner = engine_runner.EngineRunner(
                control,
                engine,
                service,
                telemetry.GenerationInstruments(),
                watch,
            )
        state = agent_state.AgentState(
            settings, calls, control, runner, service
        )
        await nursery.start(_listen, state)
        nursery.start_soon(_watch_signals, state)
        nursery.start_soon(_run_housekeeping, state)
        if settings.target_kind == "engine":
            nursery.start_soon(_poll_engine_load, state, engine)
            nursery.start_soon(_control_engine, state, engine, client)
            nursery.start_soon(
                cached_prefixes.watch_cache_events, engine, state.prefixes
            )
        await state.lifecycle.wait_stopping()
        with trio.move_on_after(settings.shutdown_within_ms / 1000) as scope:
            await _wait_drained(state)
        if scope.cancelled_caught:
            logs.log_event(
                events.SHUTDOWN_OVERDUE,
                running=len(state.table.list_running()),
            )
        nursery.cancel_scope.cancel()
        calls.cancel_scope.cancel()
    logs.log_event(events.PROCESS_STOPPED)
