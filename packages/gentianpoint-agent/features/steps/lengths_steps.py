"""Steps for estimates of answer lengths and forecasts of memory."""

import agent_builders
import behave

from gentianpoint_agent import call_estimates
from gentianpoint_agent import length_estimators
from gentianpoint_core.decisions import memory_forecasts

_DEVIATIONS = 2.3


def run_stream(estimator, tokens, *, whole, customer="c", prompt="p"):
    stream = estimator.make_stream(customer, prompt, 0)
    for _ in range(tokens - 1 if whole else tokens):
        stream.add_token()
    if whole:
        stream.end()


def get_lengths(context):
    if "lengths" not in context:
        context.lengths = length_estimators.LengthEstimator()
    return context.lengths


@behave.when(
    "{ended:d} answers of {length:d} tokens end and {cut:d} are cut off"
    " after {after:d}"
)
def run_answers(context, ended, length, cut, after):
    estimator = get_lengths(context)
    for number in range(max(ended, cut)):
        if number < cut:
            run_stream(estimator, after, whole=False)
        if number < ended:
            run_stream(estimator, length, whole=True)


@behave.when(
    "{many:d} answers of {short:d} tokens and 1 of {long:d} end,"
    " {times:d} times in turn"
)
def run_mix(context, many, short, long, times):
    for _ in range(times):
        for _ in range(many):
            run_stream(get_lengths(context), short, whole=True)
        run_stream(context.lengths, long, whole=True)


@behave.then("the median answer has between {low:d} and {high:d} tokens")
def check_median(context, low, high):
    median = get_lengths(context).service.find_quantile(0, 0.5)
    assert low <= median <= high, median


@behave.then(
    "the median answer that has reached {tokens:d} tokens has between {low:d}"
    " and {high:d}"
)
def check_conditional_median(context, tokens, low, high):
    median = context.lengths.service.find_quantile(tokens, 0.5)
    assert low <= median <= high, median


@behave.when(
    'customer {name} gets {count:d} answers of {length:d} tokens to "{prompt}"'
)
def run_customer(context, name, count, length, prompt):
    for number in range(count):
        run_stream(
            get_lengths(context),
            length,
            whole=True,
            customer=name,
            prompt=f"{prompt:30} {number}",
        )


@behave.then('an answer for {name} to "{prompt}" is at most {limit:d} tokens')
def check_customer(context, name, prompt, limit):
    stream = context.lengths.make_stream(name, f"{prompt:30} 0", 0)
    quantile = stream.distribution.find_quantile(0, 0.8)
    assert quantile <= limit, quantile


@behave.when(
    "{count:d} customers send one call each and one customer sends {times:d}"
)
def run_many_customers(context, count, times):
    estimator = get_lengths(context)
    for number in range(count):
        prompt = f"prompt of customer {number}"
        run_stream(
            estimator, 3, whole=True, customer=str(number), prompt=prompt
        )
        if number % (count // times) == 0:
            run_stream(estimator, 300, whole=True, customer="large")


@behave.then("fewer than {limit:d} groups are kept")
def check_groups(context, limit):
    assert context.lengths.count_groups() < limit


@behave.then("the large customer's lengths are still known")
def check_large(context):
    stream = context.lengths.make_stream("large", "p", 0)
    median = stream.distribution.find_quantile(0, 0.5)
    assert 250 <= median <= 360, median


@behave.given("answers that all have {length:d} tokens")
def learn_length(context, length):
    for _ in range(400):
        run_stream(get_lengths(context), length, whole=True)


def make_forecast(stream, count):
    forecast = memory_forecasts.MemoryForecast(16)
    for number in range(count):
        forecast.add(number, stream, 0.0)
    return forecast


@behave.when(
    "{streams:d} streams with prompts of {prompt:d} tokens have generated"
    " {tokens:d}"
)
def forecast_streams(context, streams, prompt, tokens):
    stream = memory_forecasts.StreamMemory(
        context.lengths.service, prompt, tokens, 0
    )
    context.forecast = make_forecast(stream, streams)


@behave.when("{streams:d} streams limited to {limit:d} tokens are forecast")
def forecast_limited(context, streams, limit):
    stream = memory_forecasts.StreamMemory(
        context.lengths.service, 0, 0, limit
    )
    context.forecast = make_forecast(stream, streams)


@behave.then("the peak in blocks of 16 is between {low:d} and {high:d}")
def check_peak(context, low, high):
    peak = context.forecast.find_peak(_DEVIATIONS)
    assert low <= peak <= high, peak


@behave.when("longer answers are learned and half of the streams end")
def end_half(context):
    for _ in range(400):
        run_stream(context.lengths, 2000, whole=True)
    for number in range(5):
        context.forecast.remove(number)


@behave.when("all streams end")
def end_all(context):
    for number in range(100):
        context.forecast.remove(number)


@behave.then("each of {streams:d} streams is recomputed in turn")
def check_recomputed(context, streams):
    recomputed = set()
    stream = memory_forecasts.StreamMemory(context.lengths.service, 0, 5, 0)
    for _ in range(streams):
        for key in context.forecast.list_due(1.0):
            context.forecast.remove(key)
            context.forecast.add(key, stream, 2.0)
            recomputed.add(key)
    assert len(recomputed) == streams, recomputed
    assert not context.forecast.list_due(1.0)


@behave.when(
    "{customers:d} customers get {count:d} answers of {length:d} tokens"
    ' to "{prompt}" each'
)
def run_customers(context, customers, count, length, prompt):
    for number in range(customers * count):
        run_stream(
            get_lengths(context),
            length,
            whole=True,
            customer=f"customer-{number // count}",
            prompt=f"{prompt:30} {number}",
        )


@behave.given("a service whose answers have at most {limit:d} tokens")
def make_estimator(context, limit):
    context.service_limit = limit
    context.estimator = call_estimates.CallEstimator()


def estimate_call(context, customer, limit):
    profile = agent_builders.make_profile(
        customer, prompt=f"{customer} asks", max_tokens=limit
    )
    return context.estimator.estimate_call(profile, context.service_limit)


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


@behave.then("an answer whose caller sets no limit is estimated to be short")
def check_short(context):
    assert estimate_call(context, "newcomer", 0).is_short


@behave.then("an answer whose caller sets {limit:d} is estimated to be long")
def check_long(context, limit):
    estimate = estimate_call(context, "newcomer", limit)
    assert not estimate.is_short
    assert estimate.expected_tokens > 500, estimate.expected_tokens
