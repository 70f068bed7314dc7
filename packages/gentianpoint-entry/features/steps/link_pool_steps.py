"""Steps for the selection and maintenance of connections."""

import collections

import behave
import trio

from gentianpoint_core import peer_connections
from gentianpoint_core import ports
from gentianpoint_entry import agent_links
from gentianpoint_entry import host_watch
from gentianpoint_entry import link_pool
from gentianpoint_entry import link_settings

DATA_CENTRE = "zona-norte"
WITHIN_S = 20


def make_host(role, number):
    service = "modelo-taller" if role == "agent" else ""
    target = f"target-{number}" if role == "agent" else ""
    name = f"{role}-{number}"
    return ports.Host(
        name, role, service, target, f"a:{number}", DATA_CENTRE, "live"
    )


@behave.given("{entries:d} entries and {agents:d} agents of a service")
def make_hosts(context, entries, agents):
    context.entries = [make_host("entry", number) for number in range(entries)]
    context.agents = [make_host("agent", number) for number in range(agents)]


@behave.when("each entry chooses its agents with at least {fewest:d}")
def choose_agents(context, fewest):
    context.chosen = [
        link_pool.choose_hosts(
            context.entries + context.agents, entry.host, DATA_CENTRE, fewest
        )
        for entry in context.entries
    ]


@behave.then("each entry has {count:d} connections")
def check_links(context, count):
    assert {len(row) for row in context.chosen} == {count}


@behave.then("every agent has at least {least:d} connections")
def check_agents(context, least):
    found = collections.Counter(
        host.host for row in context.chosen for host in row
    )
    assert min(found[host.host] for host in context.agents) >= least, found


@behave.when(
    "an entry with {links:d} connections sends its greeting to agents"
)
def greet(context, links):
    context.period_ms = link_settings.compute_report_ms(links)


@behave.then("it asks for reports at least {period:d} ms apart")
def check_period(context, period):
    assert context.period_ms == period


@behave.when(
    "one of {processes:d} entries of a host reads {size:d} bytes of host list"
)
def read_list(context, processes, size):
    context.pause_ms = host_watch.compute_poll_interval_ms(
        1000, size, processes
    )


class FakeConnection:
    """Connection to an agent that rejects the greeting."""

    def __init__(self):
        self.sent = []

    async def send(self, message):
        """Record the message."""
        self.sent.append(message)

    async def receive(self):
        """Return a rejection."""
        return {"type": "reject", "reason": "only the greeting is wanted"}


@behave.when(
    "one of {processes:d} entries of a host with {links:d} connections sends "
    "its greeting"
)
def greet_one(context, processes, links):
    settings = link_settings.LinkSettings(
        "entry-1", "run", DATA_CENTRE, "", 1000, 3000, 256, 1024, processes
    )
    link = agent_links.AgentLink(
        make_host("agent", 1), settings, lambda: None, links
    )
    connection = FakeConnection()
    try:
        trio.run(link._greet, connection)
    except peer_connections.PeerConnectionError:
        context.period_ms = connection.sent[0]["report_ms"]


@behave.then("the next reading comes after {pause:d} ms")
def check_pause(context, pause):
    assert context.pause_ms == pause


@behave.given(
    "a host with {processes:d} entry processes among {entries:d} entries"
)
def make_processes(context, processes, entries):
    context.processes = processes
    context.entries = [make_host("entry", number) for number in range(entries)]


@behave.when("each entry chooses among {agents:d} agents of a service")
def share_agents(context, agents):
    context.agents = [make_host("agent", number) for number in range(agents)]
    choose_agents(context, link_pool.compute_min_links(4, context.processes))


@behave.then("the host has {count:d} connections")
def check_host_links(context, count):
    links = {len(row) * context.processes for row in context.chosen}
    assert links == {count}, links


@behave.given(
    "an entry with {links:d} connections to a service of {agents:d} agents"
)
def make_unreachable(context, links, agents):
    context.links = links
    others = [make_host("entry", number) for number in range(60)]
    context.hosts = others + [
        make_host("agent", number)._replace(address="127.0.0.1:1")
        for number in range(agents)
    ]


async def sleep_forever(link):
    await trio.sleep_forever()


def list_hosts(pool):
    return [link.host.host for link in pool.list_links("modelo-taller")]


@behave.when("no process listens at the addresses of its agents")
def lose_agents(context):
    settings = link_settings.LinkSettings(
        "entry-1", "run", DATA_CENTRE, "", 1000, 3000, 256, 1024
    )

    async def follow():
        async with trio.open_nursery() as nursery:
            pool = link_pool.LinkPool(
                nursery, settings, context.links, sleep_forever
            )
            pool.update_hosts(context.hosts)
            context.first = list_hosts(pool)
            context.tried = [context.first]
            with trio.fail_after(WITHIN_S):
                # The replacement agents fail too, and are replaced in turn as
                # long as the limit on unreachable agents allows it.
                while min(row.failures for row in pool.list_all_links()) < 4:
                    await pool.wait_changed()
                    context.tried.append(list_hosts(pool))
            nursery.cancel_scope.cancel()

    trio.run(follow)


@behave.then("it connects to the {count:d} agents next in its order")
def check_next(context, count):
    agents = [host for host in context.hosts if host.role == "agent"]
    order = link_pool.choose_hosts(agents, "entry-1", DATA_CENTRE, 5)
    names = [host.host for host in order]
    assert context.first == names[: context.links], context.first
    expected = set(names[: context.links + count])
    assert set(context.tried[-1]) == expected, context.tried


@behave.then("it tries no more than {most:d} agents at a time")
def check_most(context, most):
    assert max(map(len, context.tried)) <= most, context.tried


def make_report(**more):
    return {
        "type": "report",
        "running": 1,
        "queued": 0,
        "memory_used": 0.5,
        "memory_predicted": 0.5,
        "pace_ms": 0.0,
        "queue_wait_ms": 0.0,
        "age_ms": 0,
        **more,
    }


def take_report(context, **more):
    async def take():
        context.link.store_report(make_report(**more))

    trio.run(take)


@behave.given("a link whose agent reported {count:d} prefixes")
def report_prefixes(context, count):
    settings = link_settings.LinkSettings(
        "entry-1", "run", DATA_CENTRE, "", 1000, 3000, 256, 1024
    )
    context.link = agent_links.AgentLink(
        make_host("agent", 1), settings, lambda: None
    )
    take_report(context, prefixes=list(range(count)))


@behave.when("a report without prefixes comes")
def report_none(context):
    take_report(context)


@behave.when("a report with {count:d} prefix comes")
def report_again(context, count):
    take_report(context, prefixes=list(range(count)))


@behave.then("the link knows {count:d} prefixes")
def check_prefixes(context, count):
    assert len(context.link.prefixes) == count


@behave.given(
    "an entry with 4 connections to agents here, of 6 here and 6 elsewhere"
)
def make_split_agents(context):
    entries = [make_host("entry", number) for number in range(60)]
    near = [make_host("agent", number) for number in range(6)]
    far = [
        make_host("agent", number)._replace(data_centre="zona-sur")
        for number in range(6, 12)
    ]
    context.hosts = [
        host._replace(address="127.0.0.1:1") for host in entries + near + far
    ]
    context.evacuations = []


@behave.when("its data centre is evacuated")
def evacuate_own(context):
    context.evacuations.append(frozenset((DATA_CENTRE,)))


@behave.when("its data centre is taken back")
def take_own_back(context):
    context.evacuations.append(frozenset())


def open_links(context):
    """Return the links after the evacuations, and their data centres."""
    settings = link_settings.LinkSettings(
        "entry-1", "run", DATA_CENTRE, "", 1000, 3000, 256, 1024
    )

    async def follow():
        async with trio.open_nursery() as nursery:
            pool = link_pool.LinkPool(nursery, settings, 4, sleep_forever)
            pool.update_hosts(context.hosts)
            for evacuated in context.evacuations:
                pool.set_evacuated(evacuated)
            nursery.cancel_scope.cancel()
        return pool.list_links("modelo-taller")

    return trio.run(follow)


@behave.then("it has {count:d} connections for new calls, all {where}")
def check_open_links(context, count, where):
    expected = DATA_CENTRE if where == "here" else "zona-sur"
    found = [
        link.host.data_centre
        for link in open_links(context)
        if not link.is_evacuated
    ]
    assert found == [expected] * count, found


@behave.then("it keeps the connections to the agents here")
def check_kept_links(context):
    found = [
        link.host.data_centre
        for link in open_links(context)
        if link.is_evacuated
    ]
    assert found == [DATA_CENTRE] * 4, found
