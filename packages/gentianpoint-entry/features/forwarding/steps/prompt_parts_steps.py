"""Steps for parts of prompts that end targets."""

import behave
import crash_builders
import forwarding_builders
import part_builders
import target_ends_steps
import topic_builders
import trio

from gentianpoint_entry import crash_suspects
from gentianpoint_entry.forwarding import request_handling
from gentianpoint_entry.forwarding import stream_runs


@behave.when(
    "streams with {parts:d} part that ends targets come for {seconds:d}"
    " seconds beside harmless ones"
)
def send_parts(context, parts, seconds):
    async def act(fleet):
        context.load = part_builders.PartLoad(fleet, parts)
        await context.load.run(seconds)

    target_ends_steps.run_fleet(context, act)


def has_fatal(context, item):
    return not context.fleet.park.fatal_parts.isdisjoint(item.parts)


def find_nth_end(context, count):
    ends = sorted(item.at for item in context.fleet.park.ends)
    return ends[min(count, len(ends)) - 1]


@behave.then(
    "from {seconds:d} seconds after the fifth end on, at most {most:d} more"
    " with it reach a target"
)
def check_late(context, seconds, most):
    fifth_at = find_nth_end(context, 5)
    late = [
        item
        for item in context.fleet.park.sends
        if has_fatal(context, item) and item.at > fifth_at + seconds
    ]
    ends = len(context.fleet.park.ends)
    assert len(late) <= most, f"{len(late)} sent, {ends} ended in all"


def measure_begun(items):
    return sum(item.status == 200 for item in items) / len(items)


@behave.then(
    "harmless ones begin {share:g} times as often as in calm times from"
    " {seconds:d} seconds after it on"
)
def check_begun(context, share, seconds):
    harmless = [
        item for item in context.fleet.served if not has_fatal(context, item)
    ]
    calm_until = context.load.calm_until
    calm = [item for item in harmless if item.at < calm_until - 2]
    from_s = find_nth_end(context, 5) + seconds
    later = [item for item in harmless if item.at >= from_s]
    assert len(calm) >= 20 and len(later) >= 20, (len(calm), len(later))
    ratio = measure_begun(later) / measure_begun(calm)
    assert ratio >= share, ratio


@behave.when(
    "streams with {parts:d} parts that end targets, {way}, come for"
    " {seconds:d} seconds beside harmless ones"
)
def send_several(context, parts, way, seconds):
    async def act(fleet):
        context.load = part_builders.PartLoad(
            fleet,
            parts,
            are_together=way == "all in each prompt",
            is_first=way == "before all other parts",
        )
        await context.load.run(seconds)
        context.ended_at = trio.current_time()

    target_ends_steps.run_fleet(context, act)


@behave.when(
    "streams with {parts:d} part that ends targets come for {seconds:d}"
    " seconds, and a target is killed every second"
)
def send_beside_kills(context, parts, seconds):
    async def act(fleet):
        context.load = part_builders.PartLoad(fleet, parts)
        await context.load.run(seconds, kills_every_s=1.0)

    target_ends_steps.run_fleet(context, act)


@behave.when(
    "streams without such parts come for {seconds:d} seconds, and a target is"
    " killed every second"
)
def send_harmless(context, seconds):
    send_beside_kills(context, 0, seconds)


@behave.then("no request is refused for what ended under it")
def check_none_refused(context):
    assert len(context.fleet.served) > 200
    refused = [
        item
        for item in context.fleet.served
        if item.refusal and "ended" in item.refusal.reason
    ]
    assert not refused, refused


@behave.then(
    "from {seconds:d} seconds after the fifth end of each part on, at most"
    " {most:d} more with it reach a target"
)
def check_late_of_each(context, seconds, most):
    park = context.fleet.park
    assert park.ends
    for part in park.fatal_parts:
        sends = [item for item in park.sends if part in item.parts]
        contents = {item.content for item in sends}
        ends = sorted(e.at for e in park.ends if e.content in contents)
        from_s = (ends[4] if len(ends) >= 5 else ends[-1]) + seconds
        late = sum(item.at > from_s for item in sends)
        assert late <= most, f"{late} sent, {len(ends)} ended"


@behave.then(
    "harmless ones begin {share:g} times as often as in calm times in the"
    " last {seconds:d} seconds"
)
def check_begun_at_last(context, share, seconds):
    harmless = [
        item for item in context.fleet.served if not has_fatal(context, item)
    ]
    calm = [i for i in harmless if i.at < context.load.calm_until - 2]
    last = [i for i in harmless if i.at >= context.ended_at - seconds]
    assert len(calm) >= 20 and len(last) >= 20, (len(calm), len(last))
    ratio = measure_begun(last) / measure_begun(calm)
    assert ratio >= share, ratio


@behave.then("at most {most:d} targets have ended")
def check_ends(context, most):
    assert 3 <= len(context.fleet.park.ends) <= most, len(
        context.fleet.park.ends
    )


@behave.when(
    "streams with {parts:d} part that ends targets come for {seconds:d}"
    " seconds, and an entry starts"
)
def start_late_entry(context, parts, seconds):
    async def act(fleet):
        await part_builders.PartLoad(fleet, parts).run(seconds)
        number = fleet.add_entry()
        await trio.sleep(3)
        part = part_builders.name_fatal_part(0)
        context.result = await fleet.call(
            part_builders.KIND, "new", number, (part,)
        )

    target_ends_steps.run_fleet(context, act)


@behave.then(
    "it refuses a request with that part, which is told when to come back"
)
def check_refused(context):
    assert context.result.status == 503, context.result
    assert context.result.refusal.retry_after_ms > 0, context.result


PART = "part~1"


def end_under_part(suspects, count, now=0.0):
    for number in range(count):
        suspects.note_ends(f"t-{number}-{now}", (f"c-{number}", PART), now)


@behave.given(
    "a stream that may run once, with a part that has ended {count:d} targets"
)
def make_waiting_stream(context, count):
    context.count = count


@behave.when(
    "the part ends a third target while the stream waits for its turn"
)
def end_third(context):
    context.calls = forwarding_builders.ScriptedCalls()
    context.calls.scripts = {"a": ["events 1-3 then end"]}
    context.answer = forwarding_builders.RecordedAnswer()

    async def run():
        shared = forwarding_builders.make_forwarder(("a",), context.calls)
        suspects = shared._ends.suspects
        end_under_part(suspects, context.count)
        claim = shared.claim_permit

        async def claim_late(target, request):
            permit = await claim(target, request)
            end_under_part(suspects, context.count + 1)
            return permit

        shared.claim_permit = claim_late
        request = crash_builders.make_crash_request(
            part_builders.KIND, "new", 1, (PART,)
        )
        handler = request_handling.RequestHandler(
            shared, forwarding_builders.send_refusal
        )
        await handler.serve(request, context.answer)

    topic_builders.run_on_mock_clock(run)


@behave.then(
    "the stream is refused with status {status:d} and reaches no target"
)
def check_not_sent(context, status):
    assert context.answer.status == status, context.answer.status
    assert not context.calls.sends


@behave.given("a stream with a part that is in no other prompt")
def make_single_part(context):
    context.suspects = crash_suspects.CrashSuspects()


@behave.when(
    "its target is killed {seconds:d} seconds after its first event,"
    " {count:d} times"
)
def kill_late(context, seconds, count):
    request = None

    async def run():
        nonlocal request
        request = crash_builders.make_crash_request(
            part_builders.KIND, "long", 1, (PART,)
        )

    topic_builders.run_on_mock_clock(run)
    assert seconds >= stream_runs.PROVEN_S
    proven = request._replace(are_parts_proven=True)
    for number in range(count):
        context.suspects.note_ends(
            f"t-{number}", proven.list_contents(), float(number)
        )


@behave.then("the part is not blamed")
def check_not_blamed(context):
    assert context.suspects.find_parts_refused_until((PART,), 5.0) is None


@behave.given("a part that has ended {count:d} targets")
def make_ended_part(context, count):
    context.suspects = crash_suspects.CrashSuspects()
    end_under_part(context.suspects, count)


@behave.then(
    "prompts with it are refused for {minutes:d} minutes, and run after them"
)
def check_lapse(context, minutes):
    lapse = 60.0 * minutes
    find = context.suspects.find_parts_refused_until
    assert find((PART,), 1.0) == lapse
    assert find((PART, "part~2"), lapse - 1) == lapse
    assert find(("part~2",), 1.0) is None
    assert find((PART,), lapse + 1) is None


@behave.then("once one is answered, ends that come later count anew")
def check_anew(context):
    context.suspects.note_answered(PART, 700.0)
    end_under_part(context.suspects, 2, now=900.0)
    assert context.suspects.find_parts_refused_until((PART,), 901.0) is None


@behave.when("it is asked for in each second around the end of a day")
def ask_around_a_day(context):
    find = context.suspects.find_parts_refused_until
    context.found = [find((PART,), 86_400.0 + at) for at in range(-70, 70)]


@behave.then("it may run each time")
def check_may_run(context):
    assert set(context.found) == {None}, context.found
