"""Steps for turns at targets with limits."""

import behave

from gentianpoint_core.decisions import request_turns
from gentianpoint_standins import windows

_TARGET = "target"
_TICK_S = 0.013


class _Entry:
    """An entry that sends whenever it may, from its start on."""

    def __init__(self, name, starts_at=0.0):
        self.name = name
        self.starts_at = starts_at
        self.early_s = 0.0
        self.members = frozenset()
        self.sent = 0
        # Before this time it may not send, unless clock or members change.
        self.wakes_at = 0.0
        self.known = None
        self.turns = request_turns.RequestTurns(name, lambda: self.members)

    def send_all(self, clock, now):
        """Send as many requests as may be sent now; return how many."""
        own = clock._replace(turn_at=clock.turn_at - self.early_s)
        if now < self.wakes_at and self.known == (own, self.members):
            return 0
        self.known = (own, self.members)
        count = 0
        while self.turns.take(_TARGET, own, now) is not None:
            count += 1
        self.sent += count
        self.wakes_at = self.turns.find_permitted_at(_TARGET, own, now)
        return count


def name_entries(count):
    return [
        f"10.0.{number // 200}.{number % 200}:80" for number in range(count)
    ]


@behave.given("{count:d} entries, of which all know each other")
def make_entries(context, count):
    context.entries = [_Entry(name) for name in name_entries(count)]
    everyone = frozenset(name_entries(count))
    for entry in context.entries:
        entry.members = everyone
    context.learn = lambda now: None


@behave.given(
    "{count:d} entries, of which {late:d} start at 2 s and are known to others"
    " at 3 s"
)
def make_late_entries(context, count, late):
    make_entries(context, count)
    everyone = frozenset(name_entries(count))
    before = frozenset(name_entries(count)[late:])
    for entry in context.entries[:late]:
        entry.starts_at = 2.0

    def learn(now):
        for entry in context.entries[late:]:
            entry.members = everyone if now >= 3.0 else before

    context.learn = learn


@behave.given(
    "{count:d} entries, of which {lost:d} are not known to the others any more"
)
def make_lost_entries(context, count, lost):
    make_entries(context, count)
    for entry in context.entries[lost:]:
        entry.members = frozenset(name_entries(count)[lost:])


@behave.given("{count:d} entries, of which {alone:d} know nobody")
def make_ignorant_entries(context, count, alone):
    make_entries(context, count)
    for entry in context.entries[:alone]:
        entry.members = frozenset()


@behave.given(
    "{count:d} entries, of which {early:d} has turns that begin {early_s:g} s"
    " too early"
)
def make_early_entries(context, count, early, early_s):
    make_entries(context, count)
    for entry in context.entries[:early]:
        entry.early_s = early_s


@behave.given(
    "a target that takes {limit:g} requests a second, counted over"
    " {window_s:g} s"
)
def set_limit(context, limit, window_s):
    context.clock = request_turns.TurnClock(limit, window_s, 0, 0.0)


def play(context, seconds, send):
    """Call ``send(entry, now)`` for each entry at each tick."""
    context.sent = []
    context.seconds = seconds
    now = 0.0
    while now < seconds:
        context.learn(now)
        for entry in context.entries:
            if now >= entry.starts_at:
                context.sent.extend([now] * send(entry, now))
        now += _TICK_S


@behave.when(
    "all of them have as much to send as they may for {seconds:d} seconds"
)
def send_all(context, seconds):
    def send(entry, now):
        return entry.send_all(context.clock, now)

    play(context, seconds, send)


@behave.when(
    "all of them have nothing to send for {calm_s:d} seconds, and then as much"
    " as they may for {seconds:d} seconds"
)
def send_burst(context, calm_s, seconds):
    for entry in context.entries:
        entry.starts_at = float(calm_s)
    send_all(context, calm_s + seconds)


@behave.when(
    "its limit becomes {limit:g} and back again every {every_s:g} s for"
    " {seconds:d} seconds"
)
def change_limit(context, limit, every_s, seconds):
    limits = (context.clock.per_s, limit)
    changes = iter(range(1, 10000))
    context.changed_at = 0.0

    def learn(now):
        if now - context.changed_at >= every_s:
            context.changed_at = now
            per_s = limits[next(changes) % 2]
            context.clock = context.clock.change_rate(per_s, now)

    context.learn = learn
    send_all(context, seconds)


@behave.then("it gets at most {most:d} requests in any window")
def check_most(context, most):
    found = windows.count_most(context.sent, context.clock.window_s)
    assert 0 < found <= most, found


@behave.then("it gets at least {least:d} requests in each window")
def check_least(context, least):
    # A request is sent up to one tick after it may be.
    window_s = context.clock.window_s
    for number in range(int(context.seconds / window_s) - 1):
        begin = number * window_s
        end = begin + window_s + _TICK_S
        found = [at for at in context.sent if begin <= at < end]
        assert len(found) >= least, (begin, len(found))


@behave.then("each of the entries has sent {least:d} requests or more")
def check_each(context, least):
    found = min(entry.sent for entry in context.entries)
    assert found >= least, found


@behave.given(
    "{count:d} targets that take {limit:g} requests a second while they are"
    " cold"
)
def make_targets(context, count, limit):
    context.clock = request_turns.TurnClock(limit, 1.0, 0, 0.0)
    context.targets = [f"target-{number}" for number in range(count)]


@behave.then("each entry may send to all of them within {seconds:g} seconds")
def check_spread(context, seconds):
    for entry in context.entries:
        for target in context.targets:
            permitted_at = entry.turns.find_permitted_at(
                target, context.clock, 0.0
            )
            assert permitted_at <= seconds, (entry.name, target)


@behave.then(
    "after {ahead:d} others a request of the first entry waits {low:g} to"
    " {high:g} s"
)
def check_wait(context, ahead, low, high):
    turns = context.entries[0].turns
    found = turns.find_permitted_at(_TARGET, context.clock, 0.0, ahead)
    assert low <= found <= high + 0.1, found


@behave.when(
    "the first entry takes a turn, and gives it back {soon_s:g} s later or"
    " {late_s:g} s later"
)
def give_back(context, soon_s, late_s):
    turns = context.entries[0].turns
    for began, wait_s in ((0.0, soon_s), (10.0, late_s)):
        turn = turns.take(_TARGET, context.clock, began)
        turns.find_permitted_at(_TARGET, context.clock, began + wait_s)
        turns.give_back(_TARGET, turn)
    context.now = 10.0 + late_s


@behave.then("it may send at once")
def check_at_once(context):
    found = context.entries[0].turns.find_permitted_at(
        _TARGET, context.clock, context.now
    )
    assert found == context.now, found
