"""Steps for changes that are written during or after a log outage."""

import collections
import itertools

import behave
from structlog import testing
import tail_builders

_SEEDS = 12
"""Number of random seeds tried; three peers have six possible orders."""
_OUTAGE_STARTS_S = (5.0, 5.7, 6.4)


@behave.given(
    "log outages of up to {longest_s:d} seconds that begin at different times"
)
def make_outages(context, longest_s):
    lengths = [tenth / 10 for tenth in range(0, longest_s * 10, 2)]
    context.outages = [
        (start_at, start_at + length)
        for start_at, length in itertools.product(_OUTAGE_STARTS_S, lengths)
    ]


@behave.when("an entry follows the configuration")
def follow(context):
    with testing.capture_logs():
        context.delays = [
            (tail_builders.measure_outage_delay_ms(*outage), outage)
            for outage in context.outages
        ]


@behave.then(
    "a change written as the outage ends is in force within {within_ms:d} ms"
)
def check_delay(context, within_ms):
    worst = max(context.delays)
    assert worst[0] <= within_ms, worst


@behave.given("an entry that alone can't reach the log service")
def lose_log(context):
    context.delays = []


@behave.given(
    "{silent:d} other entries that don't answer and {up_to_date:d} that has"
    " the change"
)
def set_peers(context, silent, up_to_date):
    context.peers = (silent, up_to_date)


@behave.when(
    "the entry follows the configuration, with each order of its peers"
)
def follow_with_peers(context):
    with testing.capture_logs() as context.events:
        context.delays = [
            (tail_builders.measure_peer_delay_ms(*context.peers, seed), seed)
            for seed in range(_SEEDS)
        ]


@behave.then("a change written meanwhile is in force within {within_ms:d} ms")
def check_peer_delay(context, within_ms):
    check_delay(context, within_ms)


@behave.then("one event is logged for each unanswering entry that was asked")
def check_logged_events(context):
    silent, _ = context.peers
    counted = collections.Counter(
        line["peer"]
        for line in context.events
        if line["event"] == "peer_records_unavailable"
    )
    expected = {f"silent-{number}": _SEEDS for number in range(silent)}
    assert counted == expected, counted
