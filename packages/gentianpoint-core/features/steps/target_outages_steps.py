"""Steps for targets whose connections break off."""

import random

import behave
import outage_builders

from gentianpoint_core.decisions import target_outages

_KEY = outage_builders.KEY


@behave.given(
    "{count:d} entries that hear of each other after {delay_ms:d} ms"
)
def make_entries(context, count, delay_ms):
    context.entries = outage_builders.Entries(count, delay_ms / 1000)


@behave.when(
    "a target is out for {out_s:g} s and {per_s:d} requests a second would go"
    " there"
)
def play_outage(context, out_s, per_s):
    entries, source = context.entries, random.Random(1)
    context.lost, context.served_by = 0, set()
    while entries.now < out_s + 1.0:
        entries.step()
        if source.random() >= per_s * outage_builders.STEP_S:
            continue
        # The request goes elsewhere if its entry may not send it there.
        sender = source.choice(entries.all)
        if not sender.may_send(_KEY, entries.now):
            continue
        sender.note_sent(_KEY, entries.now)
        if entries.now < out_s:
            context.lost += 1
            sender.note_failure(_KEY, entries.now)
        else:
            sender.note_success(_KEY, entries.now)


@behave.then("at most {most:d} requests are lost")
def check_lost(context, most):
    assert 0 < context.lost <= most, context.lost


@behave.then("within 1 s after the outage all entries send there again")
def check_recovered(context):
    assert context.entries.count_senders() == len(context.entries.all)


@behave.when("connections of one entry to {count:d} targets break off at once")
def break_all(context, count):
    context.keys = [f"target-{number}/1" for number in range(count)]
    for key in context.keys:
        context.entries.all[0].note_failure(key, context.entries.now)
    context.entries.wait(0.2)


@behave.then("at most {most:d} targets are left out by the others")
def check_left_out(context, most):
    left_out = [
        key for key in context.keys if not context.entries.count_senders(key)
    ]
    assert len(left_out) <= most, left_out


@behave.when("a connection to a target breaks off once")
def break_once(context):
    context.entries.all[0].note_failure(_KEY, context.entries.now)


@behave.then("it gets nothing for {seconds:g} s")
def check_hold_off(context, seconds):
    context.entries.wait(seconds - 0.05)
    assert context.entries.count_senders() == 0


@behave.then("after {seconds:g} s all entries send there again")
def check_forgotten(context, seconds):
    context.entries.wait(seconds)
    assert context.entries.count_senders() == len(context.entries.all)


@behave.when("a target fails and answers again")
def fail_and_answer(context):
    first = context.entries.all[0]
    first.note_failure(_KEY, 0.0)
    context.old = first.list_since(0)[0]
    context.entries.wait(0.2)
    first.note_success(_KEY, context.entries.now)
    context.entries.wait(0.2)


@behave.then("news of the failure that comes once more changes nothing")
def check_old_news(context):
    for entry in context.entries.all:
        assert not entry.merge(context.old, context.entries.now)
        assert entry.may_send(_KEY, context.entries.now)


@behave.given("an entry that knows no members")
def make_lone_entry(context):
    context.entries = outage_builders.Entries(1, 0.0)
    context.entries.all[0] = target_outages.TargetOutages(
        "10.0.0.9:80", lambda: frozenset()
    )


@behave.then("it is tried once a turn after the hold-off")
def check_tries(context):
    entries = context.entries
    tries = 0
    entry = entries.all[0]
    while entries.now < 2.49:
        entries.step()
        if entry.may_send(_KEY, entries.now):
            tries += 1
            entry.note_sent(_KEY, entries.now)
    assert tries == 8, tries
