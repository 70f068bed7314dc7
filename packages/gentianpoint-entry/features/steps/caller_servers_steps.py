"""Steps for the connections of the own interface's HTTP server."""

import behave
import hypercorn.trio
import hypercorn.trio.run
import hypercorn.trio.tcp_server
import structlog
import trio

from gentianpoint_core import caller_resources
from gentianpoint_core import limit_reports
from gentianpoint_entry import caller_servers
from gentianpoint_entry import caller_sockets


@behave.given(
    "an HTTP server whose connections meet an error that it does not expect"
)
def make_server(context):
    context.reasons = []
    original = hypercorn.trio.run.TCPServer

    def restore():
        hypercorn.trio.run.TCPServer = original

    context.add_cleanup(restore)
    caller_servers.guard_connections(
        caller_resources.make_unlimited(),
        limit_reports.LimitReports(context.reasons.append),
    )

    async def fail(self):
        raise trio.BusyResourceError("another task sends")

    server = hypercorn.trio.tcp_server.TCPServer
    read_data = server._read_data
    server._read_data = fail
    context.add_cleanup(setattr, server, "_read_data", read_data)


@behave.when("two callers connect, one after the other")
def connect(context):
    async def serve_nothing(scope, receive, send):
        if scope["type"] == "lifespan":
            raise NotImplementedError
        await trio.sleep_forever()

    async def run():
        config = caller_sockets.CallerConfig()
        config.bind = ["127.0.0.1:0"]
        config.errorlog = None
        async with trio.open_nursery() as nursery:
            stop = trio.Event()
            serve = hypercorn.trio.serve
            binds = await nursery.start(
                lambda task_status: serve(
                    serve_nothing,
                    config,
                    shutdown_trigger=stop.wait,
                    task_status=task_status,
                )
            )
            port = int(binds[0].rpartition(":")[2])
            context.ends = []
            for number in range(2):
                stream = await trio.open_tcp_stream("127.0.0.1", port)
                with trio.fail_after(5):
                    context.ends.append(await stream.receive_some(1))
                    # It is counted after the connection has been closed.
                    while len(context.reasons) <= number:
                        await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    with structlog.testing.capture_logs() as lines:
        trio.run(run)
    context.lines = lines


@behave.then("both connections are closed and the server goes on")
def check_ends(context):
    assert context.ends == [b"", b""], context.ends


@behave.then("both errors are counted, and one line tells of them")
def check_reasons(context):
    assert context.reasons == ["failed_connection"] * 2, context.reasons
    events = [line["event"] for line in context.lines]
    assert events == ["callers_limited"], context.lines
