"""Steps for the connections of entries."""

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
REFUSED = ("decode message", "read message")
CLASSES = (
    messages.Offer,
    messages.Prepare,
    messages.Resume,
    messages.Retract,
    messages.Cancel,
    messages.Release,
    messages.Acknowledge,
    messages.Configure,
)


@behave.given("an agent with a connection of the run {run}")
def make_stage(context, run):
    context.stage = trio_stage.TrioStage()
    context.agent = context.stage.call(
        entry_stage.EntryStage, context.stage.nursery
    )
    context.stage.call(context.agent.connect, run)


@behave.when('the connection breaks at its next "{kind}"')
def break_at(context, kind):
    context.agent.websockets[0].breaks_at = kind


@behave.when("another connection of the run {run} is greeted")
def connect_again(context, run):
    context.stage.call(context.agent.connect, run)
    sent = context.agent.websockets[-1].sent
    assert sent[0]["type"] == "welcome", sent


@behave.when("an entry that speaks versions {oldest:d} to {newest:d} connects")
def connect_versions(context, oldest, newest):
    versions = {"oldest_version": oldest, "version": newest}
    context.stage.call(context.agent.connect, "r2", versions)


@behave.when("an entry that speaks only version {version:d} connects")
def connect_version(context, version):
    context.stage.call(context.agent.connect, "r2", {"version": version})


@behave.then("the agent answers {kind}")
def check_answer(context, kind):
    first = context.agent.websockets[-1].sent[0]
    assert first["type"] == kind, first
    if kind == "welcome":
        assert first["version"] == codec.PROTOCOL_VERSION, first


@behave.when(
    "an offer of the attempt {attempt} comes on connection {number:d}"
)
def bring_offer(context, attempt, number):
    websocket = context.agent.websockets[number - 1]
    context.stage.call(websocket.bring, entry_stage.make_offer(attempt))


@behave.when("connection {number:d} brings {words}")
def bring_broken(context, number, words):
    websocket = context.agent.websockets[number - 1]
    message = entry_stage.make_broken_messages()[words]
    context.stage.call(websocket.bring, message)


@behave.when("connection 1 is given a resume under the number of that offer")
def bring_resume(context):
    websocket = context.agent.websockets[0]
    admitted = [row for row in websocket.sent if row["type"] == "admitted"]
    message = entry_stage.make_resume(0)
    message["generation"] = admitted[0]["generation"]
    message["call"] = admitted[0]["call"]
    context.stage.call(websocket.bring, message)


@behave.when("the agent is leaving")
def start_leaving(context):
    lifecycle = context.agent.state.lifecycle
    context.stage.call(lifecycle.start_leaving, "told to stop")


@behave.when("the agent is on hold")
def suspend_admission(context):
    context.agent.state.suspend_admission("the engine loads")


@behave.when("an offer of an identifier that {origin} comes on connection 1")
def bring_identifier(context, origin):
    table = context.agent.state.table
    prepared = context.stage.call(table.prepare, "one").identifier
    identifier = {
        "an earlier run gave out": "target-1~earlier~1~0123456789abcdef",
        "this run held and forgot": prepared.replace("~1~", "~2~"),
        "waits here to be started": prepared,
    }[origin]
    context.offer = entry_stage.make_offer("a1", generation=identifier)
    context.stage.call(context.agent.websockets[0].bring, context.offer)


@behave.when("the agent is on hold no more")
def resume_admission(context):
    context.agent.state.resume_admission()


@behave.when("the same offer comes on connection 2")
def bring_same(context):
    context.stage.call(context.agent.websockets[1].bring, context.offer)


@behave.then("both offers are refused with {code}")
def check_both_refused(context, code):
    for websocket in context.agent.websockets:
        check_refusal(websocket, code)


@behave.then("the offer is refused with {code}")
def check_offer_refused(context, code):
    check_refusal(context.agent.websockets[0], code)


def check_refusal(websocket, code):
    sent = websocket.sent
    told = [row["code"] for row in sent if row["type"] == "refused"]
    assert told == [code], sent


@behave.then("the target ran {count:d} call")
def check_ran(context, count):
    assert len(context.agent.target.calls) == count


@behave.then("connection {number:d} has ended as refused")
def check_refused(context, number):
    assert context.agent.ends.get(number) in REFUSED, context.agent.ends


async def bring_all(rows):
    async with trio.open_nursery() as nursery:
        agent = entry_stage.EntryStage(nursery)
        agent.connect("r1")
        for row in rows:
            agent.websockets[0].bring(row)
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    # Whatever came, the connection lives or was ended as refused.
    end = agent.ends.get(1, "read message")
    assert end in REFUSED, end


def make_rows():
    kinds = [strategies.from_type(kind) for kind in CLASSES]
    return strategies.lists(strategies.one_of(kinds), max_size=6)


@behave.then("whatever messages come, only a connection's error leaves it")
def check_all(context):
    @hypothesis.settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize=True,
        database=None,
    )
    @hypothesis.given(make_rows())
    def check(rows):
        trio.run(functools.partial(bring_all, rows))

    check()


@behave.when("an identifier is prepared on connection 1")
def bring_prepare(context):
    websocket = context.agent.websockets[0]
    message = {"type": "prepare", "call": 1, "customer": "one"}
    context.stage.call(websocket.bring, message)
    rows = [row for row in websocket.sent if row["type"] == "prepared"]
    context.identifier = rows[0]["generation"]


@behave.when("the agent takes no work")
def hold_agent(context):
    context.stage.call(context.agent.suspend_admission)


@behave.when("the agent takes work again")
def release_agent(context):
    context.stage.call(context.agent.resume_admission)


@behave.when(
    "the prepared identifier is offered on connection 1 under the number"
    " {number:d}"
)
def bring_prepared_offer(context, number):
    offer_identifier(context, context.identifier, number)


@behave.when(
    "the identifier {identifier} is offered on connection 1 under the number"
    " {number:d}"
)
def offer_identifier(context, identifier, number):
    offer = entry_stage.make_offer("a", call=number, generation=identifier)
    context.stage.call(context.agent.websockets[0].bring, offer)


@behave.then("the offers were refused with {codes}")
def check_offers_refused(context, codes):
    sent = context.agent.websockets[0].sent
    rows = [row["code"] for row in sent if row["type"] == "refused"]
    assert rows == codes.split(", "), sent
