"""Steps for what customers use in the whole fleet."""

import behave

from gentianpoint_core import option_types
from gentianpoint_core.decisions import customer_usage

OWN = "10.0.0.1:80"
OTHER = "10.0.0.2:80"
_LARGE = "customer-0"
_SMALL = tuple(f"customer-{number}" for number in range(1, 5))
_FACTOR = 10
_TOLD_AT = 100.0
_TOKEN_SECONDS = 7.213
"""What each token counts that is held for a long time: 5 / ln 2."""


def make_row(number=1, customers=None, member=OTHER):
    return customer_usage.MemberRow(member, number, customers or {"a": 100})


@behave.when("a generation of {tokens:d} tokens runs for {runs:g} s")
def run_generation(context, tokens, runs):
    context.usage = customer_usage.CustomerUsage(OWN)
    context.usage.begin("a", tokens, 10.0)
    context.usage.end("a", tokens, 10.0 + runs)
    context.now = 10.0 + runs


@behave.then(
    "{later:g} s after its end its customer has used {usage:d} token-seconds"
)
def check_forgotten(context, later, usage):
    found = context.usage.find_usage("a", context.now + later)
    assert round(found) == usage, found


@behave.given("customer a has the weight {weight:g}")
def set_weight(context, weight):
    context.usage = customer_usage.CustomerUsage(OWN, {"a": weight})


@behave.when("a and b have used {usage:d} token-seconds each")
def use_both(context, usage):
    row = make_row(customers={"a": usage, "b": usage})
    assert context.usage.merge(row, 1.0, 1.0)


@behave.then("a counts {first:d} and b counts {second:d} token-seconds")
def check_weighted(context, first, second):
    found = [round(context.usage.find_usage(name, 1.0)) for name in "ab"]
    assert found == [first, second], found


@behave.given(
    "{count:d} entries with 5 customers of equal share, one of which sends"
    " ten times as much"
)
def make_entries(context, count):
    context.entries = []
    for number in range(count):
        usage = customer_usage.CustomerUsage(f"10.0.0.{number}:80")
        usage.is_wanted = lambda: True
        usage.begin(_LARGE, 1000 * _FACTOR, 0.0)
        for name in _SMALL:
            usage.begin(name, 1000, 0.0)
        context.entries.append(usage)


@behave.when("each tells all others what its customers use")
def tell_all(context):
    rows = []
    for usage in context.entries:
        assert usage.tell(_TOLD_AT)
        rows += usage.list_since(0, _TOLD_AT)
    for usage in context.entries:
        adopted = [usage.merge(row, _TOLD_AT, _TOLD_AT) for row in rows]
        assert sum(adopted) == len(context.entries) - 1


@behave.then("1 s later each entry knows all customers' usage within 20%")
def check_known(context):
    now = _TOLD_AT + 1
    for customer in (_LARGE, *_SMALL):
        tokens = 1000 * (_FACTOR if customer == _LARGE else 1)
        true_usage = len(context.entries) * tokens * _TOKEN_SECONDS
        for usage in context.entries:
            found = usage.find_usage(customer, now)
            assert abs(found / true_usage - 1) <= 0.2, (found, true_usage)


@behave.then("the large customer has used ten times as much as any other")
def check_large(context):
    now = _TOLD_AT + 1
    for usage in context.entries:
        large = usage.find_usage(_LARGE, now)
        for name in _SMALL:
            ratio = large / usage.find_usage(name, now)
            assert abs(ratio - _FACTOR) < 0.1, ratio


@behave.when(
    "rows with the numbers {numbers} of {usage:d} times as much arrive"
)
def merge_rows(context, numbers, usage):
    context.usage = customer_usage.CustomerUsage(OWN)
    context.now = 1.0
    context.adopted = [
        context.usage.merge(make_row(number, {"a": number * usage}), 1.0, 1.0)
        for number in map(int, numbers.split())
    ]


@behave.then("{count:d} of them are adopted")
def check_adopted(context, count):
    assert sum(context.adopted) == count, context.adopted


@behave.then("the customer has used {usage:d} token-seconds")
def check_usage(context, usage):
    found = context.usage.find_usage("a", context.now)
    assert round(found) == usage, found


@behave.when("a member tells a row and then nothing")
def tell_once(context):
    context.usage = customer_usage.CustomerUsage(OWN)
    assert context.usage.merge(make_row(), 1.0, 1.0)


@behave.then("it counts until 4 s after")
def check_dropped(context):
    assert round(context.usage.find_usage("a", 4.9)) == 58
    assert context.usage.count_others() == 1
    assert context.usage.find_usage("a", 5.0) == 0
    assert context.usage.count_others() == 0


@behave.then("no rounding error is left of it")
def check_exact(context):
    usage = customer_usage.CustomerUsage(OWN)
    for number in range(200):
        for member in ("10.0.0.2:80", "10.0.0.3:80"):
            at = 1.0 + number / 7
            row = make_row(number, {"a": 12345 + number}, member)
            assert usage.merge(row, at, at)
    assert usage.find_usage("a", 100.0) == 0
    assert usage.list_largest(100.0) == []


@behave.when(
    "{count:d} members tell the same usage each second for {hours:d} hours"
)
def tell_for_hours(context, count, hours):
    context.usage = customer_usage.CustomerUsage(OWN)
    for now in range(1, hours * 3600):
        for member in range(count):
            row = make_row(now, {"a": 5000}, f"10.0.1.{member}:80")
            assert context.usage.merge(row, now, now)
    context.now = now
    context.told = 5000


@behave.then("their sum is three times as much")
def check_sum(context):
    found = context.usage.find_usage("a", context.now)
    assert abs(found / context.told - 3) < 1e-9, found


@behave.when("row {number:d} of an earlier run of this entry arrives")
def merge_own(context, number):
    context.usage = customer_usage.CustomerUsage(OWN)
    context.usage.begin("a", 1000, 0.0)
    context.usage.is_wanted = lambda: True
    assert not context.usage.merge(make_row(number, member=OWN), 1.0, 1.0)


@behave.then("its next row has the number {number:d}")
def check_number(context, number):
    assert context.usage.tell(1.0)
    (row,) = context.usage.list_since(0, 1.0)
    assert row.number == number, row


@behave.then("it is passed on for 1 s")
def check_passed_on(context):
    assert context.usage.list_since(0, 1.9)
    assert not context.usage.list_since(0, 2.1)


@behave.then("a row that is 4 s late is not adopted")
def check_late(context):
    assert not context.usage.merge(make_row(7), 1.0, 5.0)


@behave.given("an entry with running generations, where nobody waits")
def make_running(context):
    context.usage = customer_usage.CustomerUsage(OWN)
    for number in range(1, 21):
        context.usage.begin(f"customer-{number}", number * 100, 0.0)


def tell_for_10_s(context):
    return [
        context.usage.list_since(context.usage.changes - 1, tick / 4)[0]
        for tick in range(8, 48)
        if context.usage.tell(tick / 4)
    ]


@behave.then("it tells nothing")
def check_silent(context):
    assert not tell_for_10_s(context)
    assert not context.usage.changes


@behave.when("requests wait there for 10 s")
def wait(context):
    context.usage.is_wanted = lambda: True
    context.rows = tell_for_10_s(context)


@behave.then("it tells {count:d} rows")
def check_rows(context, count):
    assert len(context.rows) == count, len(context.rows)


@behave.then("no row has more than 8 customers, those that use most")
def check_most(context):
    largest = {f"customer-{number}" for number in range(13, 21)}
    for row in context.rows:
        assert set(row.customers) == largest, row


@behave.when("a row with {what} arrives")
def merge_unsound(context, what):
    row = {
        "a member of 300 characters": make_row(member="m" * 300),
        "a customer of 300 characters": make_row(customers={"c" * 300: 1}),
        "65 customers": make_row(customers={f"c{n}": 1 for n in range(65)}),
        "a usage of 2 to the power of 60": make_row(customers={"a": 2**60}),
        "a number of 2 to the power of 60": make_row(number=2**60),
    }[what]
    usage = customer_usage.CustomerUsage(OWN)
    context.is_adopted = usage.merge(row, 1.0, 1.0)


@behave.then("it is not adopted")
def check_not_adopted(context):
    assert not context.is_adopted


@behave.when('the weights are "{text}"')
def set_text(context, text):
    context.weights = text


@behave.when('the weights are ""')
def set_no_text(context):
    context.weights = ""


@behave.then('they are refused, and the error quotes "{part}"')
def check_refused(context, part):
    try:
        found = option_types.parse_weights(context.weights)
    except ValueError as error:
        assert str(error).startswith(repr(part)), error
        return
    raise AssertionError(found)


@behave.then('they are refused, and the error quotes ""')
def check_refused_empty(context):
    check_refused(context, "")


@behave.then("a has the weight {weight:g}")
def check_weight(context, weight):
    found = option_types.parse_weights(context.weights)
    assert found.get("a", 1) == weight, found
