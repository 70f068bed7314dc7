"""Steps for the limit on requests to cold targets."""

import behave

from gentianpoint_core.decisions import cold_limits

_TARGET = "target"
_TICK_S = 0.013


class _Entry:
    """An entry that sends whenever it may, from its start on."""

    def __init__(self, name, starts_at=0.0):
        self.name = name
        self.starts_at = starts_at
        self.members = frozenset()
        self.limits = cold_limits.ColdLimits(name, lambda: self.members)


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
    "a target that bears {limit:g} requests a second while it is cold"
)
def set_limit(context, limit):
    context.limit = limit


@behave.when(
    "all of them have as much to send as they may for {seconds:d} seconds"
)
def send_all(context, seconds):
    context.sent = []
    now = 0.0
    while now < seconds:
        context.learn(now)
        for entry in context.entries:
            if now < entry.starts_at:
                continue
            while (
                entry.limits.find_permitted_at(_TARGET, context.limit, now)
                <= now
            ):
                entry.limits.note_sent(_TARGET, now)
                context.sent.append(now)
        now += _TICK_S
    context.seconds = seconds


def count_most(times):
    """Return the most of the sorted times that lie within any second."""
    most = 0
    first = 0
    for last, at in enumerate(times):
        while times[first] <= at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


@behave.then("it gets at most {most:g} requests in any second")
def check_most(context, most):
    assert 0 < count_most(context.sent) <= max(1, most), count_most(
        context.sent
    )


@behave.then("it gets at least {least:d} requests in each second")
def check_least(context, least):
    # A request is sent up to one tick after it may be.
    for second in range(context.seconds - 1):
        end = second + 1 + _TICK_S
        found = [at for at in context.sent if second <= at < end]
        assert len(found) >= least, (second, len(found))


@behave.given(
    "{count:d} targets that bear {limit:g} requests a second while they are"
    " cold"
)
def make_targets(context, count, limit):
    context.limit = limit
    context.targets = [f"target-{number}" for number in range(count)]


def compute_shares(context, target):
    return [
        cold_limits.compute_share(
            target, entry.name, entry.members, context.limit
        )
        for entry in context.entries
    ]


@behave.then("each entry may send to at least {least:d} of them")
def check_spread(context, least):
    shares = [compute_shares(context, target) for target in context.targets]
    for per_entry in zip(*shares, strict=True):
        usable = sum(share > 0 for share in per_entry)
        assert usable >= least, usable


@behave.then(
    "over all entries, each of them bears {limit:d} requests a second"
)
def check_sum(context, limit):
    for target in context.targets:
        assert sum(compute_shares(context, target)) == limit
