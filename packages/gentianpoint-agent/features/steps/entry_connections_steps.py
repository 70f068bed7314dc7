"""Steps for connections from entries."""

import functools

import behave
import entry_stage
import hypothesis
from hypothesis import strategies
import trio
import trio.testing
import trio_stage

from gentianpoint_core import codec
from gentianpoint_core.generated import messages

EXAMPLES = 150
INVALID_MESSAGE_STEPS = ("decode message", "read message")
MESSAGE_TYPES = (
    messages.Offer,
    messages.Prepare,
    messages.Resume,
    messages.Retract,
    messages.Cancel,
    messages.Release,
    messages.Acknowledge,
    messages.Configure,
)


@behave.given("an agent with a connection from entry run {run}")
def make_agent(context, run):
    context.stage = trio_stage.TrioStage()
    context.agent = context.stage.call(
        entry_stage.EntryStage, context.stage.nursery
    )
    context.stage.call(context.agent.connect, run)


@behave.when('the connection breaks at its next "{kind}"')
def break_at(context, kind):
    context.agent.websockets[0].breaks_at = kind


@behave.when("another connection from entry run {run} is opened")
def connect_again(context, run):
    context.stage.call(context.agent.connect, run)
    sent = context.agent.websockets[-1].sent
    assert sent[0]["type"] == "welcome", sent


@behave.when(
    "an entry that supports versions {oldest:d} to {newest:d} connects"
)
def connect_versions(context, oldest, newest):
    versions = {"oldest_version": oldest, "version": newest}
    context.stage.call(context.agent.connect, "r2", versions)


@behave.when("an entry that supports only version {version:d} connects")
def connect_version(context, version):
    context.stage.call(context.agent.connect, "r2", {"version": version})


@behave.then("the agent answers {kind}")
def check_answer(context, kind):
    first = context.agent.websockets[-1].sent[0]
    assert first["type"] == kind, first
    if kind == "welcome":
        assert first["version"] == codec.PROTOCOL_VERSION, first


@behave.when("an offer of attempt {attempt} arrives on connection {number:d}")
def deliver_offer(context, attempt, number):
    websocket = context.agent.websockets[number - 1]
    context.stage.call(websocket.deliver, entry_stage.make_offer(attempt))


@behave.when("connection {number:d} receives {description}")
def deliver_invalid(context, number, description):
    websocket = context.agent.websockets[number - 1]
    message = entry_stage.make_invalid_messages()[description]
    context.stage.call(websocket.deliver, message)


def tell_evacuation(context, number, is_evacuated, offset):
    message = {
        "type": "configure",
        "offset": 0,
        "revision": 0,
        "service": b"",
        "replicas": 1,
        "evacuated": is_evacuated,
        "evacuations_offset": offset,
    }
    websocket = context.agent.websockets[number - 1]
    context.stage.call(websocket.deliver, message)


@behave.when(
    "connection {number:d} tells of an evacuation as of offset {offset:d}"
)
def begin_evacuation(context, number, offset):
    tell_evacuation(context, number, True, offset)


@behave.when(
    "connection {number:d} tells of no evacuation as of offset {offset:d}"
)
def end_evacuation(context, number, offset):
    tell_evacuation(context, number, False, offset)


@behave.then("its reports say that it is evacuated")
def check_report(context):
    assert context.stage.call(context.agent.state.make_report)["evacuated"]


@behave.given("its target runs one call at a time, which does not end")
def block_target(context):
    context.stage.call(context.agent.block_target)


@behave.then("the offer on connection {number:d} is refused with {code}")
def check_refused_on(context, number, code):
    context.stage.pass_time(0.1)
    sent = context.agent.websockets[number - 1].sent
    refusals = [row for row in sent if row["type"] == "refused"]
    assert [row["code"] for row in refusals] == [code], sent


@behave.when(
    "a resume with the call number of that offer arrives on connection 1"
)
def deliver_resume(context):
    websocket = context.agent.websockets[0]
    admitted = [row for row in websocket.sent if row["type"] == "admitted"]
    message = entry_stage.make_resume(0)
    message["generation"] = admitted[0]["generation"]
    message["call"] = admitted[0]["call"]
    context.stage.call(websocket.deliver, message)


@behave.when("the agent is leaving")
def start_leaving(context):
    lifecycle = context.agent.state.lifecycle
    context.stage.call(lifecycle.start_leaving, "told to stop")


@behave.when("the agent has suspended admission")
def suspend_directly(context):
    context.agent.state.suspend_admission("the engine is loading")


@behave.when("an offer of an identifier that {origin} arrives on connection 1")
def deliver_identifier(context, origin):
    table = context.agent.state.table
    prepared = context.stage.call(table.prepare, "one").identifier
    identifier = {
        "an earlier run issued": "target-1~earlier~1~0123456789abcdef",
        "this run held and dropped": prepared.replace("~1~", "~2~"),
        "is prepared here": prepared,
    }[origin]
    context.offer = entry_stage.make_offer("a1", generation=identifier)
    context.stage.call(context.agent.websockets[0].deliver, context.offer)


@behave.when("the agent has resumed admission")
def resume_directly(context):
    context.agent.state.resume_admission()


@behave.when("the same offer arrives on connection 2")
def deliver_same_offer(context):
    context.stage.call(context.agent.websockets[1].deliver, context.offer)


@behave.then("both offers are refused with {code}")
def check_both_refused(context, code):
    for websocket in context.agent.websockets:
        check_refusal(websocket, code)


@behave.then("the offer is refused with {code}")
def check_offer_refused(context, code):
    check_refusal(context.agent.websockets[0], code)


def check_refusal(websocket, code):
    sent = websocket.sent
    codes = [row["code"] for row in sent if row["type"] == "refused"]
    assert codes == [code], sent


@behave.then("the target ran {count:d} call")
def check_ran(context, count):
    assert len(context.agent.target.calls) == count


@behave.then("connection {number:d} was closed for an invalid message")
def check_refused(context, number):
    assert context.agent.ends.get(number) in INVALID_MESSAGE_STEPS, (
        context.agent.ends
    )


async def deliver_all(rows):
    async with trio.open_nursery() as nursery:
        agent = entry_stage.EntryStage(nursery)
        agent.connect("r1")
        for row in rows:
            agent.websockets[0].deliver(row)
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    # The connection is still open or was closed for an invalid message.
    end = agent.ends.get(1, "read message")
    assert end in INVALID_MESSAGE_STEPS, end


def make_rows():
    kinds = [strategies.from_type(kind) for kind in MESSAGE_TYPES]
    return strategies.lists(strategies.one_of(kinds), max_size=6)


@behave.then("random messages raise nothing but a connection's error")
def check_all(context):
    @hypothesis.settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize=True,
        database=None,
    )
    @hypothesis.given(make_rows())
    def check(rows):
        trio.run(functools.partial(deliver_all, rows))

    check()


@behave.when("an identifier is prepared on connection 1")
def deliver_prepare(context):
    websocket = context.agent.websockets[0]
    message = {"type": "prepare", "call": 1, "customer": "one"}
    context.stage.call(websocket.deliver, message)
    rows = [row for row in websocket.sent if row["type"] == "prepared"]
    context.identifier = rows[0]["generation"]


@behave.when("admission is suspended")
def suspend_admission(context):
    context.stage.call(context.agent.suspend_admission)


@behave.when("admission is resumed")
def resume_admission(context):
    context.stage.call(context.agent.resume_admission)


@behave.when(
    "the prepared identifier is offered on connection 1 as call {number:d}"
)
def offer_prepared(context, number):
    offer_identifier(context, context.identifier, number)


@behave.when(
    "the identifier {identifier} is offered on connection 1 as call {number:d}"
)
def offer_identifier(context, identifier, number):
    offer = entry_stage.make_offer("a", call=number, generation=identifier)
    context.stage.call(context.agent.websockets[0].deliver, offer)


@behave.then("the offers were refused with {codes}")
def check_offers_refused(context, codes):
    sent = context.agent.websockets[0].sent
    rows = [row["code"] for row in sent if row["type"] == "refused"]
    assert rows == codes.split(", "), sent
