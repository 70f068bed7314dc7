"""Steps for soaks and their checks."""

import pathlib
import tempfile

import behave
import trio

from bench.features import soak_builders
from bench.soak import callers
from bench.soak import checks
from bench.soak import failures
from bench.soak import fleet
from bench.soak import playing
from bench.soak import verdicts
from tools import run_tests


@behave.given("what a soak without a fault has seen")
def make_facts(context):
    context.facts = soak_builders.make_facts()
    context.bounds = verdicts.Bounds()


@behave.when("{plant} is seen besides")
def plant(context, plant):
    soak_builders.PLANTS[plant](context.facts)


def find_broken(context):
    return failures.list_broken(
        checks.check_all(context.facts, context.bounds)
    )


@behave.then('the only promise that is broken is "{promise}"')
def check_broken(context, promise):
    broken = find_broken(context)
    assert [item.promise for item in broken] == [promise], broken


@behave.then("no promise is broken")
def check_kept(context):
    broken = find_broken(context)
    if broken and hasattr(context, "soak_output"):
        kept = failures.keep("ci", context.soak_output, context.facts, broken)
        print(f"facts and output of the programs: {kept}")
    lines = [
        f"{run_tests.BROKEN_PROMISE}{item.promise}: {'; '.join(item.failures)}"
        for item in broken
    ]
    assert not broken, "\n" + "\n".join(lines)


@behave.when("a soak of {length_s:d} seconds with seed {seed:d} is played")
def play(context, length_s, seed):
    play_soak(context, length_s, seed, "platform")


@behave.when(
    "a soak of {length_s:d} seconds with seed {seed:d} is played on"
    " the users' platform"
)
def play_on_platform(context, length_s, seed):
    play_soak(context, length_s, seed, "platform")


@behave.when(
    "a soak of {length_s:d} seconds with seed {seed:d} is played on"
    " the own interface"
)
def play_on_own_interface(context, length_s, seed):
    play_soak(context, length_s, seed, "own")


def play_soak(context, length_s, seed, interface):
    options = playing.SoakOptions(seed, length_s, fleet.FleetSize(), interface)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.soak_output = pathlib.Path(folder.name)
    context.facts = trio.run(playing.play, options, context.soak_output)
    context.bounds = verdicts.Bounds(
        are_timed=False, do_agents_carry=interface == "own"
    )


@behave.then("callers were served")
def check_served(context):
    assert any(
        answer.status == 200 and answer.is_whole
        for answer in context.facts.answers
    )


@behave.when("{count:d} entries are probed")
def probe(context, count):
    context.rate = count / callers.find_probe_pause(count)


@behave.then("there are at most {most:d} probes in a second")
def check_rate(context, most):
    assert context.rate <= most, context.rate


@behave.then("a request has ended {count:d} targets")
def check_ended(context, count):
    assert len(context.facts.fatal_runs) >= count, context.facts.fatal_runs


@behave.then("targets' limits were put to the test")
def check_limits_tested(context):
    found = checks.check_all(context.facts, context.bounds)
    tested = {item.promise: item.tested for item in found}
    assert tested["a target's limit on requests is kept"], tested


@behave.then("several software versions have served")
def check_versions_tested(context):
    found = checks.check_all(context.facts, context.bounds)
    tested = {item.promise: item.tested for item in found}
    assert tested["a stream has events of one software version"], tested
