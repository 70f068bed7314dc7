"""Steps for the prefixes that the engine's cache holds."""

import re

import behave
import report_reader
import xxhash

from features import builders
from gentianpoint_agent import cached_prefixes
from gentianpoint_core import ports


def read_event(word):
    number, sign, digest = re.fullmatch(r"(\d+)([+-])(\d+)", word).groups()
    digests = (int(digest),)
    added, removed = (digests, ()) if sign == "+" else ((), digests)
    return ports.CacheEvent(int(number), added, removed)


@behave.when("the cache events {words} are read")
def read_events(context, words):
    context.prefixes = cached_prefixes.CachedPrefixes()
    for word in words.split():
        if word == "restart":
            read = ports.CacheEvents((), 0)
        elif word.startswith("until"):
            read = ports.CacheEvents((), int(word[5:]))
        else:
            event = read_event(word)
            last = max(event.sequence, context.prefixes.get_last_sequence())
            read = ports.CacheEvents((event,), last)
        context.prefixes.apply(read)


@behave.then("the prefixes are {expected}")
def check_prefixes(context, expected):
    held = " ".join(str(digest) for digest in context.prefixes.list_recent(10))
    assert (held or "none") == expected, held


@behave.when("{count:d} prefixes are added one event each")
def add_many(context, count):
    context.prefixes = cached_prefixes.CachedPrefixes()
    context.count = count
    for number in range(1, count + 1):
        event = ports.CacheEvent(number, (number,), ())
        context.prefixes.apply(ports.CacheEvents((event,), number))


@behave.then("at most {limit:d} are kept, with the last one first")
def check_bounded_prefixes(context, limit):
    held = context.prefixes.list_recent(context.count)
    assert len(held) <= limit, len(held)
    assert held[0] == context.count


@behave.given("an agent beside an engine")
def start_agent(context):
    context.fixture = builders.start_fixture(context.deployment)


@behave.when("a prompt of {count:d} characters has been answered")
def answer_prompt(context, count):
    context.sent = ("word " * count)[:count]
    answer = builders.complete(context.fixture.entries[0], context.sent)
    assert answer.status_code == 200, answer.text


@behave.then("a report contains its two prefixes")
def check_report(context):
    expected = {
        xxhash.xxh64_intdigest(context.sent[:length].encode())
        for length in (256, 512)
    }
    report_reader.read_report(
        context.deployment,
        context.fixture.targets[0].agent,
        builders.MODEL,
        lambda report: expected <= set(report["prefixes"]),
    )
