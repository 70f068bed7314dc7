"""Steps for placement, on a clock that the scenario advances."""

import behave
import link_builders
import trio
import trio.testing

from gentianpoint_entry import placement
from gentianpoint_entry import prefix_digests

_PROMPT = "".join(f"word {number} " for number in range(200))[:1024]


def run_at_scenario_time(context, function, *args):
    """Call a function in a trio run at the scenario's time."""
    if "now" not in context:
        context.now = 1000.0
    clock = trio.testing.MockClock()
    clock.jump(context.now - clock.current_time())

    async def call():
        return function(*args)

    return trio.run(call, clock=clock)


def get_policy(context, name="two_choices"):
    if "policy" not in context:
        context.policy = placement.make_placement_policy(name, "north", "seed")
    return context.policy


def place(context, count, prompt="", *, send=False):
    def choose_all():
        for _ in range(count):
            links = list(context.links.values())
            link = get_policy(context).choose(links, prompt)
            context.chosen.append(link.host.host)
            link.sent_since_report += 1 if send else 0

    run_at_scenario_time(context, choose_all)


def report(context, name, words):
    word, _, value = words.partition(" ")
    context.words[name] = words
    run_at_scenario_time(
        context,
        link_builders.report_figure,
        context.links[name],
        word,
        float(value or 0),
    )


@behave.given("target {name} in {data_centre} that reports {words}")
def make_target(context, name, data_centre, words):
    if "links" not in context:
        context.links = {}
        context.words = {}
        context.chosen = []
    context.links[name] = link_builders.make_link(name, data_centre)
    report(context, name, words)


@behave.given("{name} caches {held:d} of the 4 chunks of a prompt")
def hold_prefix(context, name, held):
    digests = prefix_digests.digest_prefixes(_PROMPT)
    assert len(digests) == 4
    context.links[name].prefixes = frozenset(digests[:held])


@behave.when("{count:d} calls are placed without sending")
def place_only(context, count):
    place(context, count)


@behave.when("{count:d} calls with that prompt are placed without sending")
def place_prompt(context, count):
    place(context, count, _PROMPT)


@behave.when("{count:d} calls are placed and sent")
def place_and_send(context, count):
    place(context, count, send=True)


@behave.when("{count:d} calls are placed by {policy}")
def place_by(context, count, policy):
    get_policy(context, policy)
    links = list(context.links.values())
    for _ in range(count):
        link = context.policy.choose(links, "")
        context.chosen.append(link.host.host)
        link._calls[len(context.chosen)] = None


@behave.when(
    "{count:d} calls are placed, one every {seconds:g} s, with fresh reports"
)
def place_over_time(context, count, seconds):
    context.chosen.clear()
    for _ in range(count):
        context.now += seconds
        for name, words in tuple(context.words.items()):
            report(context, name, words)
        place(context, 1)


@behave.when("{seconds:d} s pass since {name}'s last report")
def pass_time(context, seconds, name):
    assert name in context.links
    context.now += seconds


@behave.when("{name} reports {words} again")
def report_again(context, name, words):
    report(context, name, words)


@behave.then("{name} gets {share:w} of them")
def check_share(context, name, share):
    got, total = context.chosen.count(name), len(context.chosen)
    allowed = {
        "all": got == total,
        "none": got == 0,
        "some": 0 < got < total,
        "half": got * 2 == total,
    }
    assert allowed[share], context.chosen


@behave.then("{name} has got at least {least:d}")
def check_least(context, name, least):
    assert context.chosen.count(name) >= least, context.chosen


@behave.then("{name} has got at most {most:d}")
def check_most(context, name, most):
    assert context.chosen.count(name) <= most, context.chosen


@behave.then("of the last {count:d} {name} has got {least:d} or more")
def check_last(context, count, name, least):
    assert context.chosen[-count:].count(name) >= least, context.chosen
