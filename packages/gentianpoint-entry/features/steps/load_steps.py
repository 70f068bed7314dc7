"""Steps for the load tool."""

import pathlib
import tempfile

import behave
import load_builders

from gentianpoint_entry.load import arrivals
from gentianpoint_entry.load import results
from gentianpoint_entry.load import scenarios


@behave.given(
    "a scenario of {rate:g} requests a second for {seconds:g} seconds"
)
def make_scenario(context, rate, seconds):
    context.built = load_builders.make_scenario(rate, seconds)


@behave.given("a burst of factor {factor:g} from {begin:g} s to {end:g} s")
def add_burst(context, factor, begin, end):
    context.burst = scenarios.Burst(begin, end, factor)
    context.built = load_builders.make_scenario(
        context.built.rate, context.built.seconds, [context.burst]
    )


@behave.when("its arrivals are drawn with the seeds 1, 1 and 2")
def draw(context):
    context.drawn = [
        arrivals.draw_arrivals(context.built, seed) for seed in (1, 1, 2)
    ]


@behave.then("the first two are the same and the third differs")
def check_drawn(context):
    first, second, third = context.drawn
    assert first == second
    assert first != third
    assert all(
        early.at_s <= late.at_s
        for early, late in zip(first, first[1:], strict=False)
    )


@behave.then("most requests come in the burst")
def check_burst(context):
    burst = context.burst
    inside = [
        row
        for row in context.drawn[0]
        if burst.from_s <= row.at_s < burst.to_s
    ]
    assert len(inside) > len(context.drawn[0]) / 2


@behave.when("a stream has the gaps {gaps}")
def add_stream(context, gaps):
    context.results = results.LoadResults()
    values = [float(gap) for gap in gaps.split()]
    context.results.add(load_builders.make_outcome(gaps_ms=values))


@behave.then("its stall time is {stall:g} ms")
def check_stall(context, stall):
    assert context.results.stall_ms == stall, context.results.stall_ms


@behave.when("10 requests of large are answered and 10 of small are refused")
def add_shares(context):
    context.results = results.LoadResults()
    for _ in range(10):
        context.results.add(load_builders.make_outcome("large"))
        context.results.add(load_builders.make_outcome("small", "not_run"))


@behave.then("the least customer's share is 0")
def check_share(context):
    summary = context.results.summarize()
    assert summary["least_customer_share"] == 0.0, summary
    assert summary["answered_share"] == 0.5, summary


@behave.when("a scenario file says {text}")
def read_file(context, text):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "scenario.yaml"
        path.write_text(text)
        try:
            scenarios.load_scenario(path)
        except scenarios.ScenarioError as error:
            context.error = str(error)


@behave.then("it is refused with {reason}")
def check_refused(context, reason):
    assert reason in context.error, context.error
