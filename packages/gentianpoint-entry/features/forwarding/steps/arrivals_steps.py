"""Steps for the rate of arrivals."""

import behave

from gentianpoint_entry.forwarding import arrivals


@behave.when(
    "{per_s:d} requests a second arrive for {seconds:d} seconds, counted over"
    " {window_s:d} second"
)
def arrive(context, per_s, seconds, window_s):
    context.rate = arrivals.ArrivalRate(window_s)
    for number in range(per_s * seconds):
        context.now = number / per_s
        context.rate.note(context.now)


@behave.then("at most {most:d} arrivals are remembered")
def check_kept(context, most):
    assert len(context.rate) <= most, len(context.rate)


@behave.then("the rate is {per_s:d} a second")
def check_rate(context, per_s):
    found = context.rate.measure_per_s(context.now)
    assert abs(found - per_s) <= 1, found
