"""Steps for ends of targets, by the requests that they ran."""

import behave
import hypothesis
from hypothesis import strategies

from gentianpoint_entry import crash_suspects

CONTENT = "request"
START = 100_000.0
MINUTE_S = 60.0
TARGETS = ("a", "b", "c")
SECONDS = {
    "after the third end": 4.0,
    "half a minute before the first end": -30.0,
    "two minutes before the first end": -120.0,
    "between the second and the third end": 2.5,
}


@behave.given("{count:d} targets ended while they ran a request")
def end_targets(context, count):
    context.suspects = crash_suspects.CrashSuspects()
    for number in range(count):
        context.suspects.note_ends(f"target-{number}", [CONTENT], START)


@behave.then("it is refused for {minutes:d} minutes after the last end")
def check_refused_for(context, minutes):
    until = context.suspects.find_refused_until(CONTENT, START)
    assert (until or START) == START + minutes * MINUTE_S, until
    ended_at = START + minutes * MINUTE_S
    assert context.suspects.find_refused_until(CONTENT, ended_at) is None


@behave.given("a request that is answered {when}")
def answer(context, when):
    context.suspects = crash_suspects.CrashSuspects()
    place, _, time = when.rpartition(", ")
    answering = context.suspects
    if place:
        answering = crash_suspects.CrashSuspects()
    times = [(START + second, target) for second, target in enumerate(TARGETS)]
    times.append((START + SECONDS[time], ""))
    for now, target in sorted(times):
        if target:
            context.suspects.note_ends(target, [CONTENT], now)
        else:
            answering.note_answered(CONTENT, now)
        exchange(context.suspects, answering, now)


def exchange(one, other, now):
    """Let two entries tell each other all that they know."""
    for sender, receiver in ((one, other), (other, one)):
        for news in sender.list_since(0):
            receiver.merge(news, now)


@behave.then("it is not refused")
def check_not_refused(context):
    assert context.suspects.find_refused_until(CONTENT, START + 5) is None


@behave.then("it is refused")
def check_refused(context):
    assert context.suspects.find_refused_until(CONTENT, START + 5) is not None


@behave.then(
    "in whichever order news arrive, and however often, the same requests are"
    " refused"
)
def check_any_order(context):
    news = strategies.builds(
        crash_suspects.SuspectNews,
        strategies.sampled_from(("x", "y")),
        strategies.sampled_from(("a", "b", "c", "d")),
        strategies.just(START),
        strategies.booleans(),
    )

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        strategies.lists(news, max_size=12).flatmap(
            lambda items: strategies.tuples(
                strategies.just(items), strategies.permutations(items)
            )
        )
    )
    def check(orders):
        refused = []
        for order in (orders[0], [*orders[1], *orders[0]]):
            suspects = crash_suspects.CrashSuspects()
            for item in order:
                suspects.merge(item, START)
            refused.append(
                [suspects.find_refused_until(name, START) for name in "xy"]
            )
        assert refused[0] == refused[1], orders

    check()


@behave.when("{count:d} others have each run at one target that ended")
def end_others(context, count):
    for number in range(count):
        context.suspects.note_ends(
            f"other-{number % 50}", [f"content-{number}"], START + 1
        )


@behave.then("at most {most:d} ends are remembered")
def check_count(context, most):
    assert len(context.suspects.list_since(0)) <= most


@behave.then("the request is still refused")
def check_still_refused(context):
    assert context.suspects.find_refused_until(CONTENT, START + 1) is not None


@behave.when("another entry tells of {what}")
def tell(context, what):
    context.suspects = crash_suspects.CrashSuspects()
    news = crash_suspects.SuspectNews(CONTENT, "a", START, False)
    changes = {
        "a content of 1000 characters": {"content": "x" * 1000},
        "a target of 1000 characters": {"target": "x" * 1000},
        "an end two days ago": {"ended_at": START - 2 * 86_400},
    }
    context.suspects.merge(news._replace(**changes[what]), START)


@behave.then("no end is remembered")
def check_none(context):
    assert not context.suspects.list_since(0)
