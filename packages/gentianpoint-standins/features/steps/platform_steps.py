"""Steps for the platform's stand-ins and the plain service."""

import json

import behave
import standin_builders
import trio
from trio import testing

from gentianpoint_core import http_host_list
from gentianpoint_core import http_log
from gentianpoint_core import http_plain_service
from gentianpoint_core import http_weight_store
from gentianpoint_core import ports
from gentianpoint_standins import weights

_STREAM = "s"
_WAIT_MS = 600_000
_FAIL_AFTER_S = 60


def _run_with_log(context, work):
    async def run(client):
        return await work(http_log.HttpLog(context.log_service.url, client))

    return standin_builders.run_with_client(run)


@behave.given("a log with {options}")
def start_log(context, options):
    deployment = standin_builders.use_deployment(context)
    context.log_service = deployment.start_log(
        **standin_builders.parse_options(options)
    )


@behave.given("the log's faults are {faults}")
@behave.when("the log's faults become {faults}")
def set_log_faults(context, faults):
    context.deployment.set_faults(context.log_service, **json.loads(faults))


@behave.when("records {texts} are appended")
def append_records(context, texts):
    async def append(log):
        try:
            for text in texts.split():
                await log.append_record(_STREAM, text.encode())
        except ports.PortError as error:
            return error
        return None

    context.append_error = _run_with_log(context, append)


@behave.then(
    "reading from {start:d} gives {texts}, "
    "first {first:d} and next {following:d}"
)
def check_records(context, start, texts, first, following):
    async def read(log):
        return await log.read_records(_STREAM, start, 100, 0)

    found = _run_with_log(context, read)
    seen = " ".join(record.data.decode() for record in found.records)
    assert (seen or "nothing") == texts, found
    assert (found.first, found.next) == (first, following), found


@behave.then("reading from {start:d} fails")
def check_read_fails(context, start):
    async def read(log):
        try:
            await log.read_records(_STREAM, start, 100, 0)
        except ports.PortError:
            return True
        return False

    assert _run_with_log(context, read)


@behave.then("the last append failed and may have taken effect")
def check_append_unknown(context):
    assert context.append_error.took_effect, context.append_error


@behave.then("the last append failed and took no effect")
def check_append_refused(context):
    assert context.append_error.took_effect is False, context.append_error


def _wait_for_reader(context):
    witness = context.deployment.read_witness(context.log_service, waits=1)
    assert witness["waits"] == 1, witness


@behave.when("a reader waits at {start:d} and record {text} is appended")
def wait_for_record(context, start, text):
    async def wait(log):
        found = []

        async def read():
            found.append(await log.read_records(_STREAM, start, 100, _WAIT_MS))

        with trio.fail_after(_FAIL_AFTER_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                await trio.to_thread.run_sync(_wait_for_reader, context)
                await log.append_record(_STREAM, text.encode())
        return found[0]

    context.found = _run_with_log(context, wait)


@behave.then("the waiting reader got {text}")
def check_waited(context, text):
    assert [row.data for row in context.found.records] == [text.encode()]


@behave.given("a host list with host {host}")
def start_hosts(context, host):
    deployment = standin_builders.use_deployment(context)
    context.host_list = deployment.start_hosts()
    entry = context.host_list._replace(name=host, kind="entry")
    deployment.register_host(entry, "zona-norte")


@behave.when("the list's faults become {faults}")
def set_list_faults(context, faults):
    context.deployment.set_faults(context.host_list, **json.loads(faults))


def _read_hosts(context):
    async def read(client):
        hosts = http_host_list.HttpHostList(context.host_list.url, client)
        return [row.host for row in await hosts.read_hosts()]

    return standin_builders.run_with_client(read)


@behave.then("the list shows no hosts")
def check_no_hosts(context):
    assert _read_hosts(context) == []


@behave.then("the list shows host {host}")
def check_host(context, host):
    assert _read_hosts(context) == [host]


@behave.then("the store tells {size:d} bytes and sends as many")
def check_size(context, size):
    async def read(client):
        url = context.weights.url
        store = http_weight_store.HttpWeightStore(url, client)
        answer = await client.get(f"{url}/weights/m/1")
        return await store.read_size("m", "1"), len(answer.content)

    assert standin_builders.run_with_client(read) == (size, size)


@behave.given("a weight store that lets {readers:d} reader in at a time")
def limit_readers(context, readers):
    context.readers = readers


async def ask_weights(service, app):
    async with app.test_request_context("/weights/m/1", method="GET"):
        return await service.read("m", "1")


@behave.when("{count:d} readings are let in or refused before a byte is sent")
def ask_together(context, count):
    async def ask():
        service = weights.WeightService(100, 1e9, context.readers)
        app = service.make_app()
        answers = [await ask_weights(service, app) for _ in range(count)]
        context.statuses = [answer.status_code for answer in answers]
        await answers[0].get_data()
        context.after_whole = (await ask_weights(service, app)).status_code
        await trio.sleep(weights.LET_IN_MS / 1000)
        context.after_lost = (await ask_weights(service, app)).status_code

    trio.run(ask, clock=testing.MockClock(autojump_threshold=0))


@behave.then("{let_in:d} is let in and {refused:d} is refused")
def check_let_in(context, let_in, refused):
    assert context.statuses.count(200) == let_in, context.statuses
    assert context.statuses.count(429) == refused, context.statuses


@behave.then("1 more is let in when the first was sent whole")
def check_after_whole(context):
    assert context.after_whole == 200


@behave.then("1 more is let in when one that was let in never begins")
def check_after_lost(context):
    assert context.after_lost == 200


@behave.given("a plain service")
def start_plain(context):
    deployment = standin_builders.use_deployment(context)
    context.plain = deployment.start_plain("plain")


@behave.given("the plain service loses {count:d} reply")
def lose_plain_replies(context, count):
    context.deployment.set_faults(context.plain, lose_replies=count)


@behave.when("a call tagged {tag} is sent {count:d} times")
def send_calls(context, tag, count):
    async def send(client):
        service = http_plain_service.HttpPlainService(
            context.plain.url,
            client,
            standin_builders.SILENCE_MS,
            standin_builders.say_listening,
        )
        call = service.send_call(
            "PATCH", "/echo/x?y=1", [("X-Request-Tag", tag)], b"body"
        )
        async with call as answer:
            body = [chunk async for chunk in answer.chunks]
        return json.loads(b"".join(body))

    context.call_error = None
    for _ in range(count):
        try:
            context.answer = standin_builders.run_with_client(send)
        except ports.PortError as error:
            context.call_error = error


def _check_tag(context, tag, count):
    witness = context.deployment.read_witness(context.plain)
    assert witness["tags"] == {tag: count}, witness


@behave.then("its answer is the call, and the tag {tag} ran {count:d} times")
def check_answer(context, tag, count):
    answer = context.answer
    assert answer["method"] == "PATCH", answer
    assert (answer["path"], answer["query"]) == ("/echo/x", "y=1"), answer
    assert answer["body"] == "body", answer
    _check_tag(context, tag, count)


@behave.then("the call failed, and the tag {tag} ran {count:d} times")
def check_call_failed(context, tag, count):
    assert context.call_error.took_effect, context.call_error
    _check_tag(context, tag, count)
