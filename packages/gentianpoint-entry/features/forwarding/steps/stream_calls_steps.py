"""Steps for streams that continue at other targets."""

import types

import behave
import forwarding_builders
from structlog import testing
import topic_builders
import trio

from gentianpoint_core import deadlines
from gentianpoint_entry.forwarding import request_handling
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import stream_calls


def start_stream(context, *, may_resume=False, copies=False):
    context.route = forwarding_builders.make_route(
        routes.RouteKind.STREAM,
        may_resume=may_resume,
        max_attempts=2 if may_resume else 1,
    )
    context.engine = forwarding_builders.ENGINE._replace(can_back_up=copies)
    context.calls = forwarding_builders.ScriptedCalls()


@behave.given("a generation that may run once, with a copy at a second target")
def make_backed_up(context):
    start_stream(context, copies=True)


@behave.given("a generation that may run once, without copies")
def make_single(context):
    start_stream(context)


@behave.given("a generation that may be resumed")
def make_resumable(context):
    start_stream(context, may_resume=True)


@behave.given("target {name} answers: {words}")
def set_script(context, name, words):
    context.calls.scripts[name] = [words]


@behave.given("target {name} has the software {software}")
def set_software(context, name, software):
    known = "" if software == "that is not known" else software
    context.softwares = {**getattr(context, "softwares", {}), name: known}


@behave.given("target {name} answers then: {words}")
def extend_script(context, name, words):
    context.calls.scripts[name].append(words)


@behave.given("copies of its memory: {words}")
def set_copy_results(context, words):
    context.calls.copy_results = [word.strip() for word in words.split(",")]


@behave.given("a copy of its memory takes about {copy_ms:d} ms")
def set_copy_time(context, copy_ms):
    # A prompt of 100 tokens over a link of 1 Mbit/s.
    context.engine = context.engine._replace(
        token_bytes=copy_ms * 1000 / 8 / 100, link_mbps=1.0
    )


async def give_notice(context, shared, number, left_ms=2000):
    """Give target a notice once the caller has an event."""
    await forwarding_builders.give_notice(
        context.answer, shared, number, left_ms
    )


async def drop_target(context, shared, number):
    """Take target a off the list once the caller has an event."""
    wanted = forwarding_builders.make_event(number)
    while wanted not in context.answer.data:
        await trio.sleep(0.01)
    shared.registry.drop("a")


async def measure_overlap(context):
    """Measure for how long a's stream stays open once b is asked."""
    calls = context.calls
    while not any(name == "b" for name, _ in calls.sends):
        await trio.sleep(0.01)
    asked_at = trio.current_time()
    while "a" in calls.open:
        await trio.sleep(0.01)
    context.overlap_s = trio.current_time() - asked_at


def serve(
    context,
    change=give_notice,
    number=None,
    find_shutdown_time=lambda: None,
    timeout_s=99,
):
    context.answer = forwarding_builders.RecordedAnswer()

    async def run():
        shared = forwarding_builders.make_forwarder(
            sorted(context.calls.scripts),
            context.calls,
            retry_slack=getattr(context, "retry_slack", 20.0),
        )
        for name, software in getattr(context, "softwares", {}).items():
            target = shared.registry.find(name)
            target.entry = target.entry._replace(software=software)
        request = forwarding_builders.make_request(
            context.route, context.engine
        )
        if "wait_ms" in context:
            deadline = deadlines.make_deadline(context.wait_ms)
            request = request._replace(
                caller_deadline=deadline, deadline=deadline
            )
        handler = request_handling.RequestHandler(
            shared, forwarding_builders.send_refusal, find_shutdown_time
        )
        if "before" in context:
            await context.before(context, shared, number)
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(shared.release_unused_copies)
            nursery.start_soon(measure_overlap, context)
            if number is not None:
                nursery.start_soon(change, context, shared, number)
            with trio.move_on_after(timeout_s) as scope:
                if "leaves_after" in context:
                    context.answer.leave = scope.cancel
                await handler.serve(request, context.answer)
            context.took_s = trio.current_time() - began
            nursery.cancel_scope.cancel()

    with testing.capture_logs() as lines:
        topic_builders.run_on_mock_clock(run)
    context.lines = lines
    context.freed = context.calls.freed_copies


@behave.when("the request is served")
def serve_request(context):
    serve(context)


@behave.when("the request is served, and the answer is sent whole")
def serve_whole(context):
    context.answer = forwarding_builders.RecordedAnswer()

    def make_answer(words, target):
        answer = forwarding_builders.ScriptedAnswer(words, target)
        answer.headers = ((b"x-sent-by", target.target_id.encode()),)
        return answer

    context.calls.make_answer = make_answer

    async def run():
        shared = forwarding_builders.make_forwarder(
            sorted(context.calls.scripts), context.calls
        )
        request = forwarding_builders.make_request(
            context.route, context.engine
        )
        call = stream_calls.StreamCall(
            shared, request, context.answer, must_be_whole=True
        )
        assert await call.serve() is None

    with testing.capture_logs():
        topic_builders.run_on_mock_clock(run)


@behave.then("the answer has the headers of {name}")
def check_headers(context, name):
    assert context.answer.headers == ((b"x-sent-by", name.encode()),)


@behave.when("its caller leaves as soon as it has the whole answer")
def serve_leaving(context):
    context.leaves_after = True
    serve(context)


@behave.when(
    "the request is served, and an event that is held comes as another target"
    " is chosen"
)
def serve_held(context):
    async def release(context, shared, number):
        context.calls.released = trio.Event()
        choose = shared.choose_target

        def choose_and_release(request, excluded=()):
            if excluded:
                context.calls.released.set()
            return choose(request, excluded)

        shared.choose_target = choose_and_release

    context.before = release
    serve(context)


@behave.when("the request is served and a gets notice after event {number:d}")
def serve_with_notice(context, number):
    serve(context, give_notice, number)


@behave.when(
    "the request is served and a leaves {left_ms:d} ms after event {number:d}"
)
def serve_with_short_notice(context, left_ms, number):
    async def give_short_notice(context, shared, number):
        await give_notice(context, shared, number, left_ms)

    serve(context, give_short_notice, number)


@behave.when(
    "the request is served and a leaves the list after event {number:d}"
)
def serve_until_unlisted(context, number):
    serve(context, drop_target, number)


def join_events(last):
    numbers = range(1, last + 1)
    return b"".join(forwarding_builders.make_event(item) for item in numbers)


@behave.then(
    "the caller has events 1 to {last:d}, each once, as a complete answer"
)
def check_whole(context, last):
    assert context.answer.data == join_events(last), context.answer.data
    assert context.answer.is_finished
    assert context.answer.status == 200


@behave.then(
    "the caller has events 1 to {last:d}, and the answer is broken off"
)
def check_broken(context, last):
    assert context.answer.data == join_events(last), context.answer.data
    assert not context.answer.is_finished


@behave.then("the caller is refused with status {status:d}")
def check_refused(context, status):
    assert context.answer.status == status, context.answer.status
    assert context.answer.is_finished


def find_send(context, name):
    sends = [options for sent, options in context.calls.sends if sent == name]
    return sends[0] if sends else types.SimpleNamespace(copy=None)


@behave.then(
    "target {name} was asked to continue after event {last:d} from the copy"
    " that it keeps"
)
def check_backup(context, name, last):
    options = find_send(context, name)
    assert options.last_event_id == str(last), options
    assert options.copy.name == "request-1", options


@behave.then(
    "target {name} was asked to continue after event {last:d} without a copy"
)
def check_resume(context, name, last):
    options = find_send(context, name)
    assert options.last_event_id == str(last), options
    assert options.copy is None


@behave.then("target {name} was asked to continue from the handle of the move")
def check_move(context, name):
    assert find_send(context, name).copy.name == "handle-1"


@behave.then("target {name} received no request")
def check_no_request(context, name):
    assert name not in [sent for sent, _ in context.calls.sends]


@behave.then("no target but {name} was asked to start the generation")
def check_starts(context, name):
    starts = [
        sent for sent, options in context.calls.sends if options.copy is None
    ]
    assert starts == [name], starts


@behave.then("it took as long as the caller waits")
def check_time(context):
    assert context.took_s >= 29.9, context.took_s


@behave.then("the stream of a was closed within {limit_ms:d} ms of b's answer")
def check_overlap(context, limit_ms):
    # The answer comes 10 ms after b was asked.
    assert context.overlap_s <= (10 + limit_ms) / 1000, context.overlap_s


@behave.then(
    "the log line that ends the request tells of a pause of {pause_ms:d} ms"
    " before event {number:d}"
)
def check_pause_line(context, pause_ms, number):
    ends = [line for line in context.lines if line["event"] == "request_ended"]
    assert len(ends) == 1, ends
    assert ends[0]["longest_pause_ms"] == pause_ms, ends
    assert ends[0]["pause_before_event"] == number, ends


@behave.then(
    "the log line that sends the request tells of {prompt:d} prompt and"
    " {output:d} output tokens"
)
def check_size_line(context, prompt, output):
    sent = [line for line in context.lines if line["event"] == "request_sent"]
    assert len(sent) == 1, sent
    assert sent[0]["prompt_tokens"] == prompt, sent
    assert sent[0]["likely_output_tokens"] == output, sent


@behave.then("its memory was copied {way}")
def check_copies(context, way):
    expected_flags = {
        "ahead and once more at the end": [False, True],
        "after the stop only": [True],
        "not at all": [],
    }
    assert context.calls.stop_flags == expected_flags[way], (
        context.calls.stop_flags
    )


@behave.when("the request is served until {who} after {wait_ms:d} ms")
def serve_until(context, who, wait_ms):
    began = []

    def find_shutdown_time():
        # The entry is told to stop half a second after the request came.
        now = trio.current_time()
        began.append(now)
        if "entry" not in who or now < began[0] + 0.5:
            return None
        return began[0] + wait_ms / 1000

    serve(
        context,
        find_shutdown_time=find_shutdown_time,
        timeout_s=wait_ms / 1000,
    )


@behave.then("the log line that ends the request has the outcome {outcome}")
def check_outcome(context, outcome):
    ends = [line for line in context.lines if line["event"] == "request_ended"]
    assert [line["outcome"] for line in ends] == [outcome], ends
