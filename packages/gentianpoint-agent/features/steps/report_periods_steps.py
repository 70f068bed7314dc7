"""Steps for how often entries get reports."""

import behave

from gentianpoint_agent import report_periods


@behave.given("an agent that reports each {own:d} ms")
def set_own_period(context, own):
    context.own_ms = own


@behave.when("an entry asks for reports {asked:d} ms apart")
def ask_for_reports(context, asked):
    context.periods = report_periods.choose_periods(context.own_ms, asked)


@behave.then(
    "it gets them each {load:d} ms, with prefixes each {prefixes:d} ms"
)
def check_periods(context, load, prefixes):
    assert context.periods == (load, prefixes), context.periods
