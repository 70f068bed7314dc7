"""Steps for answers that end with their connection."""

import behave
import end_builders
import forwarding_builders
import topic_builders
import trio

from gentianpoint_entry.forwarding import request_handling

WHOLE = b"".join(end_builders.EVENTS)


def serve_cut(context, cut, status=200):
    """Return what a caller gets whose first target answers as cut."""
    answer = forwarding_builders.RecordedAnswer()
    context.calls = end_builders.CutCalls(cut, status)

    async def run():
        shared = forwarding_builders.make_forwarder(("a", "b"), context.calls)
        request = forwarding_builders.make_request(
            context.route, context.engine
        )
        handler = request_handling.RequestHandler(
            shared, forwarding_builders.send_refusal
        )
        began = trio.current_time()
        await handler.serve(request, answer)
        context.took_s = trio.current_time() - began

    topic_builders.run_on_mock_clock(run)
    return answer


@behave.when(
    "a stream without length and chunks is cut at each byte of its events"
)
def cut_everywhere(context):
    context.cuts = [
        (cut, serve_cut(context, cut))
        for cut in end_builders.list_cuts()
        if cut.is_inside_event()
    ]


@behave.then("no caller gets a cut stream as complete, nor a part of an event")
def check_cuts(context):
    assert len(context.cuts) > 80
    events = end_builders.EVENTS
    whole = [b"".join(events[:count]) for count in range(4)]
    wrong = [
        cut
        for cut, answer in context.cuts
        if (answer.is_finished and answer.status == 200)
        or (answer.status == 200 and answer.data not in whole)
    ]
    assert not wrong, f"{len(wrong)} of {len(context.cuts)}: {wrong[:3]}"
