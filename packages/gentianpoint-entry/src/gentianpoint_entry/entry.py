"""Runs the entry process: its tasks, from start to graceful shutdown."""

import resource
import secrets
import signal
import typing

import httpx
import hypercorn.trio
import quart
import quart_trio
import trio
from werkzeug import exceptions

from gentianpoint_core import allocator
from gentianpoint_core import caller_resources
from gentianpoint_core import errors
from gentianpoint_core import http_clients
from gentianpoint_core import http_host_list
from gentianpoint_core import http_log
from gentianpoint_core import limit_reports
from gentianpoint_core import logs
from gentianpoint_core import loop_load
from gentianpoint_core import telemetry
from gentianpoint_core.generated import events
from gentianpoint_entry import administration_routes
from gentianpoint_entry import administration_state
from gentianpoint_entry import body_memory
from gentianpoint_entry import caller_servers
from gentianpoint_entry import caller_sockets
from gentianpoint_entry import claim_rates
from gentianpoint_entry import claim_streams
from gentianpoint_entry import configuration_sender
from gentianpoint_entry import configuration_tail
from gentianpoint_entry import crash_suspects
from gentianpoint_entry import dispatch
from gentianpoint_entry import entry_state
from gentianpoint_entry import error_answers
from gentianpoint_entry import evacuation_routes
from gentianpoint_entry import evacuation_stream
from gentianpoint_entry import generation_routes
from gentianpoint_entry import host_watch
from gentianpoint_entry import key_claims
from gentianpoint_entry import link_pool
from gentianpoint_entry import link_settings
from gentianpoint_entry import live_hosts
from gentianpoint_entry import open_calls
from gentianpoint_entry import peer_routes
from gentianpoint_entry import peer_state
from gentianpoint_entry import pending_changes
from gentianpoint_entry import placement
from gentianpoint_entry import plain_routes
from gentianpoint_entry import request_options
from gentianpoint_entry import snapshot_writer
from gentianpoint_entry import status_tracker
from gentianpoint_entry import status_writer
from gentianpoint_entry import suspect_stream
from gentianpoint_entry.generated import settings as entry_settings

__all__ = ("run_entry",)

_INCARNATION_BYTES: typing.Final = 6
_MAX_AGENT_MESSAGE_BYTES: typing.Final = 16 * 1024 * 1024
_DRAIN_POLL_S: typing.Final = 0.05
_LINGER_S: typing.Final = 0.3
"""Time between the end of the last call and the stop of the server, seconds.
A request that arrives on a kept connection in this time gets an answer with
"Connection: close"; after it, the server answers no request."""
_CLOSE_TIMEOUT_S: typing.Final = 2.0
"""Time for open connections to close once the server stops, seconds."""
_HEAD_TIMEOUT_S: typing.Final = 5.0
"""Timeout for the whole head of a request, seconds. It starts with the
connection, or with the last answer on it."""
_BODY_TIMEOUT_S: typing.Final = 30.0
"""Timeout for the body of a request, seconds."""
_CLIENT_LIMITS: typing.Final = httpx.Limits(
    max_connections=100, max_keepalive_connections=20
)
_HEALTH_PATH: typing.Final = "/health"
_EVACUATIONS_UNREAD: typing.Final = "the evacuations are being read"
_UNREADY_RETRY_MS: typing.Final = 1000
"""Retry-After of calls that are refused before the entry is ready,
milliseconds."""


def _make_app(
    state: entry_state.EntryState,
    tracker: status_tracker.StatusTracker,
    evacuated: evacuation_stream.EvacuationStream,
    resources: caller_resources.CallerResources,
) -> quart_trio.QuartTrio:
    list_links = state.dispatcher.pool.list_all_links

    def explain_unready() -> str:
        if not state.tail.is_ready():
            return state.tail.explain_unready()
        return "" if evacuated.is_ready() else _EVACUATIONS_UNREAD

    app = quart_trio.QuartTrio(__name__)
    app.asgi_app = body_memory.BodyMiddleware(  # type: ignore[method-assign]
        open_calls.ClosingMiddleware(app.asgi_app),
        resources,
        state.settings.max_body_bytes,
    )
    app.config["MAX_CONTENT_LENGTH"] = state.settings.max_body_bytes
    app.config["BODY_TIMEOUT"] = _BODY_TIMEOUT_S
    app.register_blueprint(generation_routes.make_generation_routes(state))
    app.register_blueprint(plain_routes.make_plain_routes(state))
    app.register_blueprint(
        administration_routes.make_administration_routes(
            administration_state.AdministrationState(
                state.settings.operator_key_hash,
                state.tail,
                state.log,
                tracker,
                pending_changes.PendingChanges(),
            )
        )
    )
    app.register_blueprint(
        evacuation_routes.make_evacuation_routes(
            evacuated, list_links, state.settings.operator_key_hash
        )
    )
    app.register_blueprint(
        peer_routes.make_peer_routes(state.tail, state.settings.peer_key)
    )

    @app.before_request
    async def refuse_until_ready() -> None:
        # Without a configuration every customer key is unknown. Callers
        # would get "unauthorized", which they don't retry.
        reason = explain_unready()
        if not reason or quart.request.path == _HEALTH_PATH:
            return
        code = errors.NOT_RUN
        if request_options.may_have_run(quart.request.headers):
            code = errors.OUTCOME_UNKNOWN
        raise errors.CallError(
            code,
            reason,
            step="take request",
            peer=state.settings.name,
            retry_after_ms=_UNREADY_RETRY_MS,
        )

    # After the check above, so that a request that is refused in any case is
    # not read.
    app.before_request(body_memory.take_body_memory)

    @app.after_request
    async def close_when_leaving(answer: quart.Response) -> quart.Response:
        if state.leaving:
            answer.headers["Connection"] = "close"
        return answer

    @app.errorhandler(errors.CallError)
    async def answer_error(error: errors.CallError) -> quart.Response:
        return error_answers.make_error_response(error)

    @app.errorhandler(exceptions.HTTPException)
    async def answer_http_error(
        error: exceptions.HTTPException,
    ) -> quart.Response:
        return error_answers.make_http_error_response(error)

    @app.get(_HEALTH_PATH)
    async def get_health() -> quart.Response:
        if state.leaving:
            return quart.Response("leaving\n", status=503)
        reason = explain_unready()
        if reason:
            return quart.Response(f"not ready: {reason}\n", status=503)
        return quart.Response("ready\n")

    return app


async def _serve_http(
    state: entry_state.EntryState, app: quart_trio.QuartTrio, stop: trio.Event
) -> None:
    config = caller_sockets.CallerConfig()
    config.silence_ms = state.settings.caller_silence_ms
    config.bind = [state.settings.listen]
    config.graceful_timeout = _CLOSE_TIMEOUT_S
    config.errorlog = None
    config.accesslog = None
    # Closes the connection of a caller that stops within a request's head,
    # which would otherwise stay open for ever.
    config.keep_alive_timeout = _HEAD_TIMEOUT_S
    # What the application has not read yet is held for each connection.
    config.max_app_queue_size = 1
    config.h11_max_incomplete_size = 64 * 1024
    await hypercorn.trio.serve(
        app,  # type: ignore[arg-type]
        config,
        shutdown_trigger=stop.wait,
    )


async def _watch_signals(stop_requested: trio.Event) -> None:
    """Set ``stop_requested`` at the first SIGTERM or SIGINT.

    Later signals, and SIGHUP, are handled too and ignored: an unhandled one
    would end the process with its open calls. No settings are reloaded.
    """
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for number in signals:
            if number != signal.SIGHUP:
                stop_requested.set()


async def _shut_down_when_requested(
    state: entry_state.EntryState, stop_requested: trio.Event, stop: trio.Event
) -> None:
    """Wait for open calls after a stop signal, then stop the server.

    Meanwhile new calls are refused with a Retry-After, and the health check
    fails so that the load balancer sends callers to other entries. When the
    shutdown time is over, calls without an answer get an error.
    """
    await stop_requested.wait()
    state.leaving = True
    logs.log_event(events.LEAVING_STARTED, reason="told to stop")
    timeout_s = state.settings.shutdown_within_ms / 1000
    with trio.move_on_after(timeout_s) as scope:
        while state.dispatcher.count_calls():
            await trio.sleep(_DRAIN_POLL_S)
    if scope.cancelled_caught:
        logs.log_event(
            events.SHUTDOWN_OVERDUE, running=state.dispatcher.count_calls()
        )
    state.dispatcher.end_calls()
    await trio.sleep(_LINGER_S)
    stop.set()


async def run_entry(settings: entry_settings.EntrySettings) -> None:
    """Run the entry until a stop signal, and until its calls have ended."""
    allocator.return_long_blocks()
    logs.configure_logs(settings.name, settings.log_level)
    telemetry.configure_telemetry(
        settings.name,
        "gentianpoint-entry",
        settings.otlp_url,
        settings.trace_log,
    )
    async with (
        http_clients.make_client(
            (settings.log_url, settings.hosts_url), _CLIENT_LIMITS
        ) as client,
        trio.open_nursery() as nursery,
    ):
        incarnation = secrets.token_hex(_INCARNATION_BYTES)
        log = http_log.HttpLog(settings.log_url, client)
        hosts = live_hosts.LiveHosts(settings.name)
        peers = peer_state.PeerStateClient(hosts, client, settings.peer_key)
        tail = configuration_tail.ConfigurationTail(log, peers)
        writer = snapshot_writer.SnapshotWriter(log, tail, hosts, settings)
        evacuated = evacuation_stream.EvacuationStream(
            log, settings.snapshot_interval_ms
        )
        sender = configuration_sender.ConfigurationSender(
            tail, hosts, evacuated
        )
        pool = link_pool.LinkPool(
            nursery,
            _make_link_settings(settings, incarnation),
            link_pool.compute_min_links(
                settings.links_per_service, settings.processes_on_host
            ),
            sender.send_updates,
        )
        evacuated.add_watcher(pool.set_evacuated)
        suspects = suspect_stream.SuspectStream(
            log, crash_suspects.CrashSuspects(), incarnation
        )
        dispatcher = dispatch.Dispatcher(
            pool,
            placement.make_placement_policy(
                settings.placement, settings.data_centre, incarnation
            ),
            settings.window_items,
            suspects,
        )
        keys = key_claims.KeyClaims(
            claim_streams.ClaimStreams(
                log, claim_rates.ClaimRateLimiter(hosts)
            ),
            dispatcher,
            tail,
        )
        state = entry_state.EntryState(
            settings, tail, log, dispatcher, keys, incarnation
        )
        host_list = http_host_list.HttpHostList(settings.hosts_url, client)
        nursery.start_soon(tail.run)
        nursery.start_soon(
            host_watch.watch_hosts,
            host_list,
            pool,
            hosts,
            settings.hosts_poll_ms,
            settings.processes_on_host,
        )
        tracker = status_tracker.StatusTracker(
            log, tail, hosts, pool.list_all_links
        )
        nursery.start_soon(suspects.run)
        nursery.start_soon(evacuated.run)
        nursery.start_soon(writer.run)
        nursery.start_soon(tracker.run)
        nursery.start_soon(
            status_writer.StatusWriter(
                log, tail, hosts, pool.list_all_links
            ).run
        )
        stop_requested = trio.Event()
        stop = trio.Event()
        nursery.start_soon(_watch_signals, stop_requested)
        nursery.start_soon(
            _shut_down_when_requested, state, stop_requested, stop
        )
        logs.log_event(
            events.ENTRY_STARTED,
            listen=settings.listen,
            incarnation=incarnation,
        )
        load = loop_load.LoopLoad()
        load.watch()
        reports = limit_reports.LimitReports(
            telemetry.CallerInstruments().record_limit
        )
        resources = caller_resources.make_resources(
            _make_process_limits(settings),
            settings.max_body_bytes * body_memory.COPIES,
            lambda: load.busy_share,
            reports.note,
        )
        caller_servers.guard_connections(resources, reports)
        app = _make_app(state, tracker, evacuated, resources)
        await _serve_http(state, app, stop)
        nursery.cancel_scope.cancel()
    logs.log_event(events.PROCESS_STOPPED)


def _make_process_limits(
    settings: entry_settings.EntrySettings,
) -> caller_resources.ProcessLimits:
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return caller_resources.ProcessLimits(
        settings.memory_mb << 20, descriptors, cores=1.0
    )


def _make_link_settings(
    settings: entry_settings.EntrySettings, incarnation: str
) -> link_settings.LinkSettings:
    return link_settings.LinkSettings(
        settings.name,
        incarnation,
        settings.data_centre,
        settings.peer_key,
        settings.heartbeat_ms,
        settings.silence_ms,
        settings.window_items,
        _MAX_AGENT_MESSAGE_BYTES,
        settings.processes_on_host,
    )
