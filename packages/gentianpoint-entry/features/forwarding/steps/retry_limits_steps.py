"""Steps for the limit on retries."""

import behave

from gentianpoint_entry.forwarding import retry_limits

_WINDOW_S = 10.0


@behave.given(
    "{entries:d} entries that may make 0.2 retries a request and 50 more"
)
def make_limits(context, entries):
    context.entries = context.known = entries
    context.limits = retry_limits.RetryLimits(0.2, _WINDOW_S, 50.0)
    context.retries = 0


@behave.when("an entry serves {count:d} requests, all of which want a retry")
def serve_requests(context, count):
    for _ in range(count):
        context.limits.note_request("service", 1.0)
    while context.limits.take_retry("service", 1.0, context.known):
        context.retries += 1


@behave.then("all entries together make at most {most:d} retries")
def check_retries(context, most):
    assert context.retries > 0 or most < context.entries
    assert context.retries * context.entries <= most


@behave.when("it starts again and knows {others:d} other entries")
def start_again(context, others):
    context.limits = retry_limits.RetryLimits(0.2, _WINDOW_S, 50.0)
    context.limits.note_start(1.0)
    context.known = others + 1


@behave.when("{seconds:d} seconds pass")
def pass_time(context, seconds):
    context.now = 1.0 + seconds


@behave.then("retries are allowed again")
def check_again(context):
    assert context.limits.take_retry("service", context.now, context.entries)
