"""Steps for claims on idempotency keys."""

import behave
import claim_builders
import trio
import trio.testing

from gentianpoint_core import errors
from gentianpoint_core import ports
from gentianpoint_entry import claim_rates
from gentianpoint_entry import claim_streams
from gentianpoint_entry import key_claims
from gentianpoint_entry import live_hosts
from gentianpoint_entry import request_digests

STREAM = "idempotency-of-a-key"


def make_hosts(entries):
    hosts = live_hosts.LiveHosts("entry-0")
    hosts.update_hosts(
        ports.Host(f"entry-{number}", "entry", "", "", "", "", "live")
        for number in range(entries)
    )
    return hosts


def run(context, call):
    """Run ``call(streams)`` on a mock clock and store its result."""

    async def main():
        rate = claim_rates.ClaimRateLimiter(make_hosts(1))
        return await call(claim_streams.ClaimStreams(context.script, rate))

    context.error = None
    context.found = None
    clock = trio.testing.MockClock(autojump_threshold=0)
    try:
        context.found = trio.run(main, clock=clock)
    except errors.CallError as error:
        context.error = error


@behave.given("a log whose next appends {script}")
def make_log(context, script):
    context.script = claim_builders.ScriptedLog(script.split(", "))


@behave.given("a key's stream with {records}")
def make_stream(context, records):
    context.script = claim_builders.ScriptedLog()
    context.script.put_records(records)


@behave.given("a log that {does}")
def make_broken_log(context, does):
    context.script = claim_builders.ScriptedLog()
    context.script.reading = does


@behave.when("an entry claims a free key")
def claim(context):
    run(
        context,
        lambda streams: streams.make_claim(STREAM, claim_builders.OWN_CLAIM),
    )


@behave.when("an entry looks the key up")
def look_up(context):
    run(context, lambda streams: streams.find_claim(STREAM))


@behave.then("its own claim holds")
def check_own(context):
    assert context.found == claim_builders.OWN_CLAIM, (
        context.found,
        context.error,
    )


@behave.then("the other entry's claim holds")
def check_other(context):
    assert context.found == claim_builders.OTHER_CLAIM, context.error


@behave.then("the key is free")
def check_free(context):
    assert context.found is None and context.error is None, context.error


@behave.then("the entry says {code}")
def check_code(context, code):
    assert context.error is not None, context.found
    assert context.error.code == code, context.error


@behave.then("the caller is told when to retry")
def check_time(context):
    assert context.error.retry_after_ms > 0


@behave.then("the entry appended {count:d} times")
def check_appends(context, count):
    assert context.script.appends == count, context.script.appends


@behave.when("an entry of {entries:d} claims {count:d} free keys at once")
def claim_many(context, entries, count):
    async def main():
        rate = claim_rates.ClaimRateLimiter(make_hosts(entries))
        context.taken = sum(rate.try_acquire() for _ in range(count))
        await trio.sleep(1)
        context.taken_later = sum(rate.try_acquire() for _ in range(count))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.then("{count:d} of the claims were appended and the others refused")
def check_taken(context, count):
    assert context.taken == count, context.taken


@behave.then("after 1 second {count:d} more are appended")
def check_taken_later(context, count):
    assert context.taken_later == count, context.taken_later


@behave.given("the digest of a request")
def make_digest(context):
    context.digest = request_digests.digest_request(
        "one", claim_builders.make_request()
    )


@behave.when("another request differs in {what}")
def make_other_digest(context, what):
    changes = {
        "nothing": {},
        "service": {},
        "max_tokens": {"max_tokens": 2},
        "body": {"body": b"b"},
        "headers": {"headers": [["a", "b"]]},
    }.get(what, {what: "b"})
    context.other_digest = request_digests.digest_request(
        "two" if what == "service" else "one",
        claim_builders.make_request(**changes),
    )


@behave.then("the digests {result}")
def check_digests(context, result):
    agree = context.digest == context.other_digest
    assert agree == (result == "agree")


@behave.then(
    'the streams of the customer "{a}" with the key "{b}" and of "{c}" with'
    ' "{d}" differ'
)
def check_streams(context, a, b, c, d):
    assert key_claims.name_stream(a, b) != key_claims.name_stream(c, d)


@behave.then("the name of a stream contains neither the customer nor the key")
def check_name(context):
    name = key_claims.name_stream("rebobinados", "report-17")
    assert "rebobinados" not in name and "report" not in name
