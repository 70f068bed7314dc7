"""Steps for the engine over HTTP."""

import contextlib
import json

import behave
import httpx
import standin_builders
import trio

from gentianpoint_core import ports
from gentianpoint_standins import engine_streams
from gentianpoint_standins import processes

_VERSION = "2"
_POLL_S = 0.01


def _run(context, work, *arguments):
    return standin_builders.run_with_engine(
        context.engine.url, work, *arguments
    )


@behave.given("an engine with {options}")
def start_engine(context, options):
    deployment = standin_builders.use_deployment(context)
    context.engine = deployment.start_engine(
        "engine", **standin_builders.parse_options(options)
    )


@behave.given("a weight store with {options}")
def start_weights(context, options):
    deployment = standin_builders.use_deployment(context)
    context.weights = deployment.start_weights(
        **standin_builders.parse_options(options)
    )


@behave.given("its faults are {faults}")
def set_faults(context, faults):
    context.deployment.set_faults(context.engine, **json.loads(faults))


@behave.when("its faults become {faults}")
def set_last_faults(context, faults):
    # The engine may be gone before it can answer.
    with contextlib.suppress(httpx.HTTPError):
        set_faults(context, faults)


@behave.when(
    "stream {name} starts with prompt tokens:{count:d} and its connection "
    "is dropped"
)
def start_and_drop(context, name, count):
    async def drop(engine):
        request = standin_builders.make_request(name, f"tokens:{count}")
        events = []
        try:
            async with engine.start_stream(request) as stream:
                context.deployment.set_faults(context.engine, drop=["*"])
                async for event in stream:
                    events.append(event)
        except ports.PortError as error:
            return standin_builders.CollectedStream(events, error)
        return standin_builders.CollectedStream(events, None)

    context.got = _run(context, drop)


@behave.when("stream {name} starts with prompt {prompt:S}")
def start_stream(context, name, prompt):
    request = standin_builders.make_request(name, prompt)
    context.got = _run(context, standin_builders.start_stream, request)


@behave.when(
    "a reader leaves after starting stream {name} with prompt {prompt}"
)
def start_and_leave(context, name, prompt):
    async def leave(engine):
        request = standin_builders.make_request(name, prompt)
        async with engine.start_stream(request):
            pass

    _run(context, leave)


@behave.when("stream {name} is resumed after the last token")
def resume_stream(context, name):
    last = len(context.got.numbers())
    more = _run(context, standin_builders.resume_stream, name, last)
    context.got = standin_builders.CollectedStream(
        [*context.got.events, *more.events], more.error
    )


@behave.when("stream {name} is read from the start")
def read_stream(context, name):
    context.got = _run(context, standin_builders.resume_stream, name, 0)


@behave.when("stream {name} is cancelled")
def cancel_stream(context, name):
    async def cancel(engine):
        return await engine.cancel_stream(name)

    context.known = _run(context, cancel)


@behave.then("the cancelled stream was known")
def check_known(context):
    assert context.known


@behave.then("the reader has tokens 1 to {last:d} and the end {end}")
def check_tokens(context, last, end):
    assert context.got.numbers() == list(range(1, last + 1)), context.got
    assert context.got.end() == end, context.got


@behave.then("the start failed and may have taken effect")
def check_unknown(context):
    assert context.got.error.took_effect, context.got


@behave.then("the start failed and took no effect")
def check_refused(context):
    assert context.got.error.took_effect is False, context.got


@behave.then("the witness counts {count:d} starts")
def check_starts(context, count):
    witness = context.deployment.read_witness(context.engine)
    assert sum(witness["starts"].values()) == count, witness


@behave.then("the witness counts the prompt {prompt} {count:d} times")
def check_prompt(context, prompt, count):
    witness = context.deployment.read_witness(context.engine)
    digest = engine_streams.digest_prompt(prompt)
    assert witness["prompts"][digest] == count, witness


@behave.then("the witness counts {count:d} tokens")
def check_token_count(context, count):
    witness = context.deployment.read_witness(context.engine)
    assert witness["tokens"] == count, witness


@behave.then("the witness counts {count:d} tokens in the end")
def check_final_tokens(context, count):
    witness = context.deployment.read_witness(context.engine, ended=1)
    assert witness["tokens"] == count, witness


@behave.when(
    "an order to load model {model} comes with fencing number {fence:d}"
)
def send_order(context, model, fence):
    async def send(engine):
        order = ports.EngineOrder(fence, "load", model, "", _VERSION, "")
        try:
            await engine.send_order(order)
        except ports.PortError as error:
            return error
        return None

    context.refusal = _run(context, send)


@behave.then("the last order was {outcome}")
def check_order(context, outcome):
    refused = context.refusal is not None
    assert refused == (outcome == "refused"), context.refusal
    if refused:
        assert context.refusal.took_effect is False


@behave.then("the engine holds model {model} in the end")
def check_model(context, model):
    async def wait(engine):
        with trio.fail_after(20):
            while True:
                load = await engine.read_load()
                if load.model == model and not load.loading:
                    return
                await trio.sleep(_POLL_S)

    _run(context, wait)


@behave.then("the weight store sent {count:d} bytes of {name}")
def check_weights(context, count, name):
    witness = context.deployment.read_witness(context.weights)
    assert witness["sent"] == {name: count}, witness


@behave.then("the load report shows {count:d} streams")
def check_load(context, count):
    async def read(engine):
        return await engine.read_load()

    load = _run(context, read)
    assert load.running + load.waiting == count, load
    figures = context.deployment.read_witness(context.engine)["now"]
    assert figures["running"] + figures["waiting"] == 1, figures


@behave.when("{count:d} long prompts run")
def run_prompts(context, count):
    for number in range(count):
        prompt = f"{number} tokens:1 ".ljust(standin_builders.CHUNK_CHARACTERS)
        start_stream(context, str(number), prompt)


@behave.then("{count:d} cache events are published up to number {last:d}")
def check_cache_events(context, count, last):
    async def read(engine):
        return await engine.read_cache_events(last - 1, 20_000), (
            await engine.read_cache_events(0, 0)
        )

    newest, events = _run(context, read)
    assert newest.last == events.last == last, events
    assert len(events.events) == count, events


@behave.then("the engine ends")
def check_ended(context):
    context.deployment.wait_for_exit(context.engine)


@behave.then("the fault {fault} is refused")
def check_fault(context, fault):
    try:
        context.deployment.set_faults(context.engine, **json.loads(fault))
    except processes.DeploymentError as error:
        assert "400" in str(error)
    else:
        raise AssertionError("the fault was taken")
