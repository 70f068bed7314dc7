"""Steps for turns that entries lend to each other."""

import collections
import random

import behave

from gentianpoint_core.decisions import turn_lending

_TARGET = "target"
_TICK_S = 0.02
_LATE_TICKS = 4


@behave.when(
    "they ask each other for turns for {seconds:d} seconds, and {lost:d} in"
    " 100 messages are lost"
)
def exchange(context, seconds, lost):
    """Let one entry send all it can, and the others a little."""
    rng = random.Random(1)
    clock = context.clock
    by_name = {entry.name: entry for entry in context.entries}
    busy = context.entries[0]
    mail = collections.defaultdict(list)
    context.used = []
    context.sent = []
    for tick in range(round(seconds / _TICK_S)):
        now = tick * _TICK_S
        for turn in mail.pop(tick, ()):
            busy.turns.borrow(_TARGET, turn)
        others = busy.turns.list_others(_TARGET, clock, now, now + 0.3)
        for turn, owner in rng.sample(others, min(3, len(others))):
            if rng.randrange(100) < lost:
                continue
            lender = by_name[owner].turns
            if not lender.lend(_TARGET, clock, turn, now):
                continue
            for _ in range(rng.choice((1, 1, 2))):
                if rng.randrange(100) >= lost:
                    late = rng.randrange(1, _LATE_TICKS)
                    mail[tick + late].append(turn)
        sending = [busy] + rng.sample(context.entries, 1)
        for entry in sending:
            turn = entry.turns.take(_TARGET, clock, now)
            while turn is not None:
                context.used.append(turn)
                context.sent.append(now)
                turn = entry.turns.take(_TARGET, clock, now)


@behave.then("no turn is used twice")
def check_once(context):
    counts = collections.Counter(context.used)
    twice = [turn for turn, count in counts.items() if count > 1]
    assert counts and not twice, twice


@behave.then("it gets {least:d} requests or more")
def check_all(context, least):
    assert len(context.sent) >= least, len(context.sent)


@behave.when(
    "an owner of {own:d} turns a second gets {wanted:d} requests a second, and"
    " {who} for all"
)
def ask(context, own, wanted, who):
    lending = turn_lending.TurnLending()
    kept_share = turn_lending.find_kept_share(wanted, own)
    askers = ["a"] if who.startswith("one") else ["a", "b"]
    for name in askers:
        lending.note_asked("service", name, 20.0, 0.0)
    context.lent = [
        sum(
            lending.may_lend("service", _TARGET, turn, name, kept_share)
            for turn in range(1000)
        )
        / 10
        for name in askers
    ]


@behave.then("it lends between {low:d} and {high:d} in 100")
@behave.then("each of them gets between {low:d} and {high:d} in 100")
def check_lent(context, low, high):
    assert all(low <= item <= high for item in context.lent), context.lent
