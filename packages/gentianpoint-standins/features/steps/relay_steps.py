"""Steps for the relay.

A connection is a plain socket that sends calls by hand, so that no client
library opens a new one in its place. A silent connection is told from a slow
one by the relay's own count of what it did not pass on.
"""

import json
import socket

import behave
import standin_builders

_CALL = b"GET /status/204 HTTP/1.1\r\nHost: x\r\n\r\n"
_END_OF_HEAD = b"\r\n\r\n"
_ANSWER_S = 20.0


def _connect(context):
    host, _, port = context.relay.address.rpartition(":")
    connection = socket.create_connection((host, int(port)), _ANSWER_S)
    context.add_cleanup(connection.close)
    return connection


def _receive(connection):
    try:
        data = b""
        while _END_OF_HEAD not in data:
            more = connection.recv(4096)
            if not more:
                return "breaks"
            data += more
    except OSError:
        return "breaks"
    return "is answered"


def _call(context, connection, outcome):
    withheld = context.deployment.read_witness(context.relay)["withheld"]
    try:
        connection.sendall(_CALL)
    except OSError:
        return "breaks"
    if outcome != "stays silent":
        return _receive(connection)
    context.deployment.read_witness(context.relay, withheld=withheld + 1)
    return _check_nothing(connection)


def _check_nothing(connection):
    connection.setblocking(False)
    try:
        return f"has {connection.recv(4096)}"
    except BlockingIOError:
        return "stays silent"
    finally:
        connection.settimeout(_ANSWER_S)


@behave.given("a plain service behind a relay")
def start_relay(context):
    deployment = standin_builders.use_deployment(context)
    context.plain = deployment.start_plain("plain")
    context.relay = deployment.start_relay(context.plain.address)


@behave.given("a connection that has served a call")
def connect(context):
    context.connection = _connect(context)
    assert _call(context, context.connection, "is answered") == "is answered"


@behave.when("the relay's faults become {faults}")
def set_relay_faults(context, faults):
    context.deployment.set_faults(context.relay, **json.loads(faults))


@behave.then("the next call on the connection {outcome}")
def check_call(context, outcome):
    seen = _call(context, context.connection, outcome)
    assert seen == outcome, seen


@behave.then("a call on a new connection {outcome}")
def check_new_call(context, outcome):
    try:
        seen = _call(context, _connect(context), outcome)
    except OSError:
        seen = "breaks"
    assert seen == outcome, seen


@behave.then("the plain service has run {count:d} calls")
def check_runs(context, count):
    witness = context.deployment.read_witness(context.plain, runs=count)
    assert witness["runs"] == count, witness


@behave.then("a call sent now is answered once the stall is over")
def check_stall(context):
    seen = _call(context, context.connection, "stays silent")
    assert seen == "stays silent", seen
    context.deployment.set_faults(context.relay, stall=False)
    assert _receive(context.connection) == "is answered"
