"""Steps for which entries are connected to an agent."""

import re

import behave
import fleet_builders
import forwarding_builders

from gentianpoint_core.decisions import ranking
from gentianpoint_entry.forwarding import agent_watch
from gentianpoint_entry.forwarding import members
from gentianpoint_entry.forwarding import targets

AGENT = "10.9.0.1:7000"
_NOW = 5000.0
_REPORT_AGE_S = {
    "that reports": 0.2,
    "whose last report is 4 seconds old": 4.0,
    "whose last report is an hour old": 3600.0,
}


def make_watch(address, addresses):
    table = members.MemberTable(address, "north")
    for other in addresses:
        if other != address:
            table.merge(members.Member(other, "north", 1), _NOW)
    return agent_watch.AgentWatch(table)


@behave.given("{count:d} entries and an agent {state}")
def make_entries(context, count, state):
    addresses = [
        f"10.0.{item // 200}.{item % 200}:80" for item in range(count)
    ]
    context.watches = {
        address: make_watch(address, addresses) for address in addresses
    }
    context.target = targets.Target(forwarding_builders.make_entry("a"), 0.0)
    context.target.take_report(
        fleet_builders.make_report(
            number=1, made_at=_NOW - _REPORT_AGE_S[state]
        )
    )


@behave.then("{count:d} of them are connected to it")
def check_watchers(context, count):
    found = [
        address
        for address, watch in context.watches.items()
        if watch.should_connect(AGENT, context.target, _NOW)
    ]
    assert len(found) == count, found


@behave.when("the entry ranked last {state}")
def use_engine(context, state):
    context.last = ranking.rank_members(AGENT, context.watches)[-1]
    busy = re.search(r"for ([0-9.]+) s", state)
    if busy is not None:
        context.target.open_request(_NOW - float(busy[1]), 100)
    if "as it gets notice" in state:
        context.target.take_report(
            fleet_builders.make_report(number=2, made_at=_NOW, is_leaving=True)
        )


@behave.then("it {outcome} connected to the agent")
def check_connected(context, outcome):
    watch = context.watches[context.last]
    is_connected = watch.should_connect(AGENT, context.target, _NOW)
    assert is_connected == (outcome == "is"), outcome
