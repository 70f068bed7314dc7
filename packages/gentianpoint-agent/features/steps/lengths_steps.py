"""Steps for lengths of answers and forecasts of memory."""

import agent_builders
import behave

from gentianpoint_agent import call_estimates
from gentianpoint_agent import length_estimators
from gentianpoint_agent import memory_forecasts

_DEVIATIONS = 2.3


def run_stream(learner, tokens, *, whole, customer="c", prompt="p"):
    stream = learner.make_stream(customer, prompt, 0)
    for _ in range(tokens - 1 if whole else tokens):
        stream.add_token()
    if whole:
        stream.end()


def get_learner(context):
    if "learner" not in context:
        context.learner = length_estimators.LengthEstimator()
    return context.learner


@behave.when(
    "{ended:d} answers of {length:d} tokens end and {cut:d} are cut"
    " after {after:d}"
)
def run_answers(context, ended, length, cut, after):
    learner = get_learner(context)
    for number in range(max(ended, cut)):
        if number < cut:
            run_stream(learner, after, whole=False)
        if number < ended:
            run_stream(learner, length, whole=True)


@behave.when(
    "{many:d} answers of {short:d} tokens and 1 of {long:d} end,"
    " {times:d} times in turn"
)
def run_mix(context, many, short, long, times):
    for _ in range(times):
        for _ in range(many):
            run_stream(get_learner(context), short, whole=True)
        run_stream(context.learner, long, whole=True)


@behave.then(
    "half of the answers are at most between {low:d} and {high:d} tokens"
)
def check_median(context, low, high):
    half = get_learner(context).service.find_quantile(0, 0.5)
    assert low <= half <= high, half


@behave.then(
    "of answers at {tokens:d} tokens half end between {low:d} and {high:d}"
)
def check_conditional(context, tokens, low, high):
    half = context.learner.service.find_quantile(tokens, 0.5)
    assert low <= half <= high, half


@behave.when(
    'customer {name} gets {count:d} answers of {length:d} tokens to "{prompt}"'
)
def run_customer(context, name, count, length, prompt):
    for number in range(count):
        run_stream(
            get_learner(context),
            length,
            whole=True,
            customer=name,
            prompt=f"{prompt:30} {number}",
        )


@behave.then('an answer for {name} to "{prompt}" is at most {most:d} tokens')
def check_customer(context, name, prompt, most):
    stream = context.learner.make_stream(name, f"{prompt:30} 0", 0)
    half = stream.distribution.find_quantile(0, 0.8)
    assert half <= most, half


@behave.when(
    "{count:d} customers ask once each beside one that asks {times:d} times"
)
def run_crowd(context, count, times):
    learner = get_learner(context)
    for number in range(count):
        prompt = f"prompt of customer {number}"
        run_stream(learner, 3, whole=True, customer=str(number), prompt=prompt)
        if number % (count // times) == 0:
            run_stream(learner, 300, whole=True, customer="large")


@behave.then("fewer than {most:d} kinds are kept")
def check_kinds(context, most):
    assert context.learner.count_groups() < most


@behave.then("the large customer's lengths are still known")
def check_large(context):
    stream = context.learner.make_stream("large", "p", 0)
    half = stream.distribution.find_quantile(0, 0.5)
    assert 250 <= half <= 360, half


@behave.given("answers that all have {length:d} tokens")
def learn_length(context, length):
    for _ in range(400):
        run_stream(get_learner(context), length, whole=True)


def make_forecast(row, streams):
    forecast = memory_forecasts.MemoryForecast(16)
    for number in range(streams):
        forecast.add(number, row, 0.0)
    return forecast


@behave.when(
    "{streams:d} streams with prompts of {prompt:d} tokens have {tokens:d} out"
)
def forecast_streams(context, streams, prompt, tokens):
    row = memory_forecasts.StreamMemory(
        context.learner.service, prompt, tokens, 0
    )
    context.forecast = make_forecast(row, streams)


@behave.when("{streams:d} streams limited to {limit:d} tokens are forecast")
def forecast_limited(context, streams, limit):
    row = memory_forecasts.StreamMemory(context.learner.service, 0, 0, limit)
    context.forecast = make_forecast(row, streams)


@behave.then("the peak in blocks of 16 is between {low:d} and {high:d}")
def check_peak(context, low, high):
    peak = context.forecast.find_peak(_DEVIATIONS)
    assert low <= peak <= high, peak


@behave.when("other lengths are learned and half of the streams end")
def end_half(context):
    for _ in range(400):
        run_stream(context.learner, 2000, whole=True)
    for number in range(5):
        context.forecast.remove(number)


@behave.when("all streams end")
def end_all(context):
    for number in range(100):
        context.forecast.remove(number)


@behave.then("each of {streams:d} streams is read anew in its turn")
def check_turns(context, streams):
    seen = set()
    row = memory_forecasts.StreamMemory(context.learner.service, 0, 5, 0)
    for _ in range(streams):
        for key in context.forecast.list_due(1.0):
            context.forecast.remove(key)
            context.forecast.add(key, row, 2.0)
            seen.add(key)
    assert len(seen) == streams, seen
    assert not context.forecast.list_due(1.0)


@behave.when(
    "{customers:d} customers get {count:d} answers of {length:d} tokens"
    ' to "{prompt}" each'
)
def run_customers(context, customers, count, length, prompt):
    for number in range(customers * count):
        run_stream(
            get_learner(context),
            length,
            whole=True,
            customer=f"customer-{number // count}",
            prompt=f"{prompt:30} {number}",
        )


@behave.given("a service whose answers have at most {most:d} tokens")
def make_estimator(context, most):
    context.service_limit = most
    context.call_estimates = call_estimates.CallEstimator()


def estimate_call(context, customer, limit):
    profile = agent_builders.make_profile(
        customer, prompt=f"{customer} asks", max_tokens=limit
    )
    return context.call_estimates.estimate_call(profile, context.service_limit)


def end_answers(context, count, length, limit):
    for number in range(count):
        estimate = estimate_call(context, f"c-{number}", limit)
        for _ in range(length - 1):
            estimate.length.add_token()
        estimate.length.end()


@behave.when(
    "{count:d} answers of {length:d} tokens end whose callers set no limit"
)
def end_unlimited(context, count, length):
    end_answers(context, count, length, 0)


@behave.when(
    "{count:d} answers of {length:d} tokens end whose callers set {limit:d}"
)
def end_limited(context, count, length, limit):
    end_answers(context, count, length, limit)


@behave.then("an answer whose caller sets no limit is taken to be short")
def check_short(context):
    assert estimate_call(context, "newcomer", 0).is_short


@behave.then("an answer whose caller sets {limit:d} is taken to be long")
def check_long(context, limit):
    estimate = estimate_call(context, "newcomer", limit)
    assert not estimate.is_short
    assert estimate.expected_tokens > 500, estimate.expected_tokens
