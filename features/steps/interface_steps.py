"""Steps for the tools that callers use."""

import base64
import http.client
import json
import types

import behave
import httpx
import openai

from features import builders

BINARY = bytes(range(256))
PASSED = [("X-Note", "first"), ("X-Note", "second"), ("X-Odd", "\xe9t\xe9")]
NOT_PASSED = {
    "Connection": "keep-alive, X-Hop",
    "X-Hop": "one hop only",
    "Keep-Alive": "timeout=5",
    "Proxy-Authorization": "Basic none",
    "TE": "trailers",
    "Gentianpoint-Deadline-Ms": "30000",
}


def make_client(context, key=builders.CUSTOMER_KEY):
    return openai.OpenAI(
        api_key=key,
        base_url=f"{context.fixture.entries[0].url}/v1",
        max_retries=0,
        timeout=builders.CALL_TIMEOUT_S,
        http_client=httpx.Client(trust_env=False),
    )


def ask_chat(client, text="tokens:3", model=builders.MODEL, **more):
    return client.chat.completions.create(
        model=model, messages=[{"role": "user", "content": text}], **more
    )


def ask_completion(client, text, **more):
    return client.completions.create(model=builders.MODEL, prompt=text, **more)


def read_text(choice):
    part = getattr(choice, "delta", None) or getattr(choice, "message", None)
    return part.content if part is not None else getattr(choice, "text", "")


@behave.when("the client library asks for a {form} of {count:d} tokens, {way}")
def ask(context, form, count, way):
    client = make_client(context)
    function = {"chat": ask_chat, "completion": ask_completion}[form]
    if way == "whole":
        answer = function(client, f"tokens:{count}")
        context.usage = answer.usage
        context.finish = answer.choices[0].finish_reason
        context.texts = read_text(answer.choices[0]).split()
        return
    chunks = list(
        function(
            client,
            f"tokens:{count}",
            stream=True,
            stream_options={"include_usage": True},
        )
    )
    context.usage = chunks[-1].usage
    rows = [chunk.choices[0] for chunk in chunks if chunk.choices]
    context.finish = rows[-1].finish_reason
    context.texts = [text for row in rows if (text := read_text(row))]


@behave.then("it has read {count:d} tokens and their usage")
def check_read(context, count):
    assert len(context.texts) == count, context.texts
    assert context.finish in ("stop", "length"), context.finish
    assert context.usage.completion_tokens == count, context.usage
    prompt = context.usage.prompt_tokens
    assert prompt > 0
    assert context.usage.total_tokens == prompt + count


@behave.when("the client library lists the models")
def list_models(context):
    context.models = [row.id for row in make_client(context).models.list()]


@behave.then("it reads the names of the models that the customer may use")
def check_models(context):
    assert context.models == [builders.MODEL], context.models


@behave.when("the client library calls {what}")
def ask_wrongly(context, what):
    key = builders.CUSTOMER_KEY
    more = {
        "with a wrong key": {},
        "for an unknown model": {"model": "no-such-model"},
        "for two answers": {"n": 2},
        "with an unknown field": {"extra_body": {"no_such_field": 1}},
        "for a chat": {},
    }[what]
    if what == "with a wrong key":
        key = "no-such-key"
    context.raised = None
    try:
        ask_chat(make_client(context, key), **more)
    except openai.APIStatusError as error:
        context.raised = error


@behave.then("it raises {name} with status {status:d} and code {code}")
def check_raised(context, name, status, code):
    raised = context.raised
    assert type(raised).__name__ == name, repr(raised)
    assert (raised.status_code, raised.code) == (status, code), raised


@behave.given("the agent's target has gone")
def remove_target(context):
    context.deployment.kill(context.fixture.targets[0].target)


@behave.then("the error says after how many seconds to come back")
def check_retry_after(context):
    assert int(context.raised.response.headers["Retry-After"]) >= 1


@behave.given("a plain service")
def start_plain(context):
    context.fixture = builders.start_fixture(
        context.deployment, service=builders.PLAIN
    )


def send_plain(context, method, path, headers=(), body=b""):
    entry = context.fixture.entries[0]
    context.answer = httpx.request(
        method,
        f"{entry.url}/services/{builders.PLAIN}{path}",
        headers=[*builders.make_headers().items(), *headers],
        content=body,
        timeout=builders.CALL_TIMEOUT_S,
    )
    return context.answer


def make_body(name):
    return {"no body": b"", "binary bytes": BINARY}[name]


@behave.when("a caller makes the plain call {method} {path} with {body}")
def send_call(context, method, path, body):
    send_plain(context, method, path, body=make_body(body))


@behave.then("the service got {method} {target} with {body}")
def check_got(context, method, target, body):
    assert context.answer.status_code == 200, context.answer.text
    got = context.answer.json()
    path = f"{got['path']} ?{got['query']}"
    assert (got["method"], path) == (method, target), got
    assert base64.b64decode(got["body_base64"]) == make_body(body)


@behave.when("a caller sends headers of all kinds")
def send_headers(context):
    rows = [*PASSED, *NOT_PASSED.items()]
    send_plain(
        context,
        "GET",
        "/echo",
        [(name.encode(), value.encode("latin-1")) for name, value in rows],
    )
    assert context.answer.status_code == 200, context.answer.text


@behave.then(
    "the service got the caller's own headers, repeated ones as often"
)
def check_passed(context):
    got = [
        (name.title(), value)
        for name, value in context.answer.json()["headers"]
        if name.title() in dict(PASSED)
    ]
    assert got == PASSED, got


@behave.then(
    "it got neither the customer's key nor headers of one hop or ours"
)
def check_not_passed(context):
    got = context.answer.json()["headers"]
    names = {name.title() for name, _ in got} - {"Connection"}
    assert not names & {name.title() for name in NOT_PASSED}, names
    assert "Authorization" not in names
    assert builders.CUSTOMER_KEY not in json.dumps(got)
    assert "X-Hop" not in dict(got).get("Connection", ""), got


@behave.then("the caller got the service's repeated headers")
def check_answer_headers(context):
    cookies = context.answer.headers.get_list("Set-Cookie")
    assert cookies == ["first=1", "second=2"], cookies


@behave.then("the caller got status {status:d}")
def check_plain_status(context, status):
    assert context.answer.status_code == status, context.answer.text


@behave.when("a caller reads a plain answer of {count:d} chunks")
def read_chunks(context, count):
    send_plain(context, "GET", f"/stream?chunks={count}")


@behave.given("a plain service that {does}")
def start_faulty_plain(context, does):
    start_plain(context)
    if does != "answers":
        after = int(does.split()[-2])
        context.deployment.set_faults(
            context.fixture.targets[0].target, break_stream_after=after
        )


def ask_as_old_caller(context, method, path):
    """Return the connection of a caller of HTTP/1.0 that asks for a path."""
    entry = context.fixture.entries[0]
    host, port = entry.url.removeprefix("http://").split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    connection._http_vsn, connection._http_vsn_str = 10, "HTTP/1.0"
    connection.request(
        method,
        f"/services/{builders.PLAIN}{path}",
        headers=builders.make_headers(),
    )
    return connection


@behave.when("callers of HTTP/1.0 and HTTP/1.1 ask for the head of {path}")
def ask_for_head(context, path):
    connection = ask_as_old_caller(context, "HEAD", path)
    old = connection.getresponse().getheader("Content-Length")
    connection.close()
    new = send_plain(context, "HEAD", path).headers.get("Content-Length")
    context.lengths = (old, new)


@behave.then("both are told the same length, which is not 0")
def check_lengths(context):
    old, new = context.lengths
    assert old == new and int(new) > 0, context.lengths


@behave.when("a caller of HTTP/1.0 reads a plain answer of {count:d} chunks")
def read_as_old_caller(context, count):
    connection = ask_as_old_caller(context, "GET", f"/stream?chunks={count}")
    answer = connection.getresponse()
    context.body = answer.read()
    context.answer = types.SimpleNamespace(
        status_code=answer.status, text=context.body
    )
    context.length = answer.getheader("Content-Length")
    connection.close()


@behave.then("the caller got the {count:d} chunks and a length")
def check_length(context, count):
    text = "".join(f"chunk {number}\n" for number in range(1, count + 1))
    assert context.body.decode() == text, context.body
    assert context.length == str(len(text)), context.length


@behave.then("the caller got the {count:d} chunks and a regular end")
def check_chunks(context, count):
    text = "".join(f"chunk {number}\n" for number in range(1, count + 1))
    assert context.answer.text == text, context.answer.text
    assert context.answer.headers["Transfer-Encoding"] == "chunked"
