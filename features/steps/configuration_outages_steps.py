"""Steps for outages of the log."""

import behave
import httpx

from features import administration
from features import builders
from features import fake_peers


def set_out(context, out):
    context.deployment.set_faults(context.fixture.log, out=out)


def wait_for_outage(context):
    for entry in context.entries:
        entry.log.wait_for_event("log_unavailable")


@behave.given(
    "{entries:d} entries and 1 target that serve while the log {what}"
)
def start_serving(context, entries, what):
    context.fixture = builders.start_fixture(
        context.deployment, entries=entries, targets=1
    )
    context.entries = list(context.fixture.entries)
    context.offset = administration.read_offset(
        context.deployment, context.entries[0]
    )
    if what == "goes out":
        set_out(context, True)
        wait_for_outage(context)


@behave.given("a log that is out before the first entry starts")
def start_platform_only(context):
    log = context.deployment.start_log()
    hosts = context.deployment.start_hosts()
    context.fixture = builders.Fixture(context.deployment, log, hosts, (), ())
    context.entries = []
    set_out(context, True)


@behave.given(
    "{entries:d} entries of which the last reaches the log by a relay"
)
def start_behind_relay(context, entries):
    context.fixture = builders.start_fixture(
        context.deployment, entries=entries - 1, targets=0
    )
    log = context.fixture.log
    context.relay = context.deployment.start_relay(log.address)
    last = builders.start_another_entry(
        context.deployment, log_url=f"http://{context.relay.address}"
    )
    context.entries = [*context.fixture.entries, last]


@behave.given("a peer that gives {trouble}")
def start_bad_peer(context, trouble):
    peer = fake_peers.start_fake_peer(trouble)
    context.add_cleanup(peer.stop)
    row = {
        "role": "entry",
        "service": "",
        "target": "",
        "address": peer.address,
        "data_centre": "zona-sur",
        "state": "live",
    }
    url = f"{context.deployment.hosts_url}/hosts/peer"
    context.deployment.call("PUT", url, row)


@behave.when("the log goes out")
def go_out(context):
    set_out(context, True)
    wait_for_outage(context)


@behave.when("the log comes back")
def come_back(context):
    set_out(context, False)


@behave.when("the log's process is killed")
def kill_log(context):
    context.deployment.kill(context.fixture.log)


@behave.when("an empty log starts in its place")
def start_empty_log(context):
    address = context.fixture.log.address
    context.deployment.start_log("log-2", listen=address)


@behave.then("the first entry says that the log is behind")
def check_behind(context):
    event = context.entries[0].log.wait_for_event("log_behind")
    assert event["next"] <= event["offset"], event


@behave.when("the log goes out and the first entry is killed")
def lose_all(context):
    set_out(context, True)
    context.deployment.kill(context.entries[0])


@behave.when("the relay lets nothing through")
def silence_relay(context):
    context.deployment.set_faults(context.relay, silence="all")


@behave.when(
    "an operator revokes the key of a customer through the first entry"
)
def revoke_key(context):
    answer = administration.put_customer(
        context.deployment,
        context.entries[0],
        "rebobinados",
        spec={"key_hashes": []},
    )
    assert answer.status_code == 200, answer.text


@behave.when("the agent has given the frozen entry up")
def wait_given_up(context):
    agent = context.fixture.targets[0].agent
    agent.log.wait_for_event("connection_lost")


@behave.when("an operator changes the service and the agent has it")
def change_service(context):
    # The answer to the frozen entry's last read already waits in its socket
    # and may bring one record more: that one must not be the service.
    administration.put_customer(context.deployment, context.entries[0], "ana")
    answer = administration.call(
        context.deployment,
        context.entries[0],
        "PUT",
        f"services/{builders.MODEL}",
        {"spec": builders.make_service(max_tokens=7)},
    )
    context.offset = answer.json()["revision"]
    agent = context.fixture.targets[0].agent
    agent.log.wait_for_event(
        "configuration_applied",
        matches=lambda event: event["revision"] == context.offset,
    )
    context.opened = len(
        context.entries[-1].log.find_events("connection_opened")
    )


@behave.then("the agent answers the paused entry with the newer offset")
def check_agent_offset(context):
    # The entry that woke greets the agent again, tells it what it knows,
    # and a call that follows on the same connection is read after that.
    entry = context.entries[-1]
    administration.wait_until(
        lambda: (
            len(entry.log.find_events("connection_opened")) > context.opened
        ),
        "a new connection to the agent",
    )
    context.answer = builders.complete(entry, "tokens:20")
    assert context.answer.status_code == 200, context.answer.text


@behave.then("the agent never had an older service again")
def check_never_back(context):
    usage = context.answer.json()["usage"]
    assert usage["completion_tokens"] == 7, usage
    agent = context.fixture.targets[0].agent
    rows = agent.log.find_events("configuration_applied")
    offsets = [row["offset"] for row in rows]
    assert offsets == sorted(offsets), rows
    assert rows[-1]["revision"] == context.offset, rows


@behave.then("the key is refused everywhere")
def check_key_refused(context):
    def is_refused(entry):
        answer = httpx.get(
            f"{entry.url}/v1/models", headers=builders.make_headers()
        )
        return answer.status_code == 401

    for entry in context.entries:
        administration.wait_until(
            lambda entry=entry: is_refused(entry), "the key to be refused"
        )


@behave.then(
    "the change {change} is answered pending with a time to come back"
)
def check_pending(context, change):
    assert context.answer.status_code == 202, context.answer.text
    assert context.answer.json()["state"] == "pending"
    assert context.answer.json()["change"] == change
    assert int(context.answer.headers["Retry-After"]) >= 1


@behave.then("the change {change} is pending when asked for")
def check_pending_asked(context, change):
    row = administration.call(
        context.deployment, context.entries[0], "GET", f"changes/{change}"
    ).json()
    assert row["state"] == "pending", row


@behave.then("the operator is told not_run with a time to come back")
def check_operator_not_run(context):
    assert context.answer.status_code == 503, context.answer.text
    assert context.answer.json()["error"]["code"] == "not_run"
    assert int(context.answer.headers["Retry-After"]) >= 1


@behave.then("a caller is served through the last entry")
def check_served(context):
    builders.wait_for_link(context.entries[-1], context.fixture.targets[0])
    answer = builders.complete(context.entries[-1], "tokens:3")
    assert answer.status_code == 200, answer.text


@behave.then("the last entry gets ready")
def check_ready(context):
    context.deployment.wait_for_entry(context.entries[-1])


@behave.then("the state is refused since {reason}")
def check_state_refused(context, reason):
    context.entries[-1].log.wait_for_event(
        "state_refused",
        matches=lambda event: (
            reason in f"{event['step']} {event['reason']}"
            and event["peer"] == "peer"
        ),
    )


@behave.then("all customers are still known")
def check_known(context):
    rows = administration.list_all(context.deployment, context.entries[0])
    assert len(rows["customers"]) == 2, rows
