"""Steps for what the engine's cache is believed to hold."""

import re

import behave
import report_reader
import xxhash

from features import builders
from gentianpoint_agent import cached_prefixes
from gentianpoint_core import ports


def read_event(word):
    number, sign, digest = re.fullmatch(r"(\d+)([+-])(\d+)", word).groups()
    row = (int(digest),)
    added, removed = (row, ()) if sign == "+" else ((), row)
    return ports.CacheEvent(int(number), added, removed)


@behave.when("the cache events {words} are read")
def read_events(context, words):
    context.belief = cached_prefixes.CachedPrefixes()
    for word in words.split():
        if word == "restart":
            read = ports.CacheEvents((), 0)
        elif word.startswith("until"):
            read = ports.CacheEvents((), int(word[5:]))
        else:
            event = read_event(word)
            last = max(event.sequence, context.belief.get_last_sequence())
            read = ports.CacheEvents((event,), last)
        context.belief.apply(read)


@behave.then("the belief is {wanted}")
def check_belief(context, wanted):
    held = " ".join(str(row) for row in context.belief.list_recent(10))
    assert (held or "none") == wanted, held


@behave.when("{count:d} prefixes are added one event each")
def add_many(context, count):
    context.belief = cached_prefixes.CachedPrefixes()
    context.count = count
    for number in range(1, count + 1):
        event = ports.CacheEvent(number, (number,), ())
        context.belief.apply(ports.CacheEvents((event,), number))


@behave.then("at most {most:d} are believed, with the last one first")
def check_bounded_belief(context, most):
    held = context.belief.list_recent(context.count)
    assert len(held) <= most, len(held)
    assert held[0] == context.count


@behave.given("an agent beside an engine")
def start_agent(context):
    context.fixture = builders.start_fixture(context.deployment)


@behave.when("a prompt of {count:d} characters has been answered")
def answer_prompt(context, count):
    context.sent = ("word " * count)[:count]
    answer = builders.complete(context.fixture.entries[0], context.sent)
    assert answer.status_code == 200, answer.text


@behave.then("a report names its two prefixes")
def check_report(context):
    wanted = {
        xxhash.xxh64_intdigest(context.sent[:length].encode())
        for length in (256, 512)
    }
    report_reader.read_report(
        context.deployment,
        context.fixture.targets[0].agent,
        builders.MODEL,
        lambda report: wanted <= set(report["prefixes"]),
    )
