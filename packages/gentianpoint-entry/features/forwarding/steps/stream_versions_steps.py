"""Steps for streams that are taken up where several versions serve."""

import json

import behave
import forwarding_builders
from structlog import testing
import topic_builders
import trio
import version_builders

from gentianpoint_entry.forwarding import version_markers

_SETTLED_S = 4.0
_SHARE_OF_KILLED = 3
_SHARE_OF_AGENTS = 3
WINDOW_S = 60.0


@behave.given("{count:d} entries before {first:d} targets of v1")
def make_one_version(context, count, first):
    context.count = count
    context.softwares = ["v1"] * first
    context.changes = []


@behave.given(
    "{count:d} entries before {first:d} targets of v1 and {second:d} of v2"
)
def make_two_versions(context, count, first, second):
    make_one_version(context, count, first)
    context.softwares += ["v2"] * second


@behave.when("{rate:d} streams a second begin for {seconds:d} seconds")
def set_load(context, rate, seconds):
    context.load = (rate, seconds)


@behave.when("after {after:g} s a third of the entries is killed")
def kill_entries(context, after):
    def kill(fleet, names):
        fleet.kill_entries(len(fleet.entries) // _SHARE_OF_KILLED)

    context.changes.append((after, kill))


@behave.when("after {after:g} s {count:d} targets of v2 start")
def start_targets(context, after, count):
    def start(fleet, names):
        context.later = [fleet.start_target("v2") for _ in range(count)]

    context.changes.append((after, start))


@behave.when("after {after:g} s the list names a target of another service")
def list_foreign(context, after):
    context.changes.append(
        (after, lambda fleet, names: fleet.list_foreign_target("foreign"))
    )


@behave.when("after {after:g} s half of the answers are cut")
def cut_answers(context, after):
    context.changes.append(
        (after, lambda fleet, names: fleet.cut_answers(0.5))
    )


@behave.when("after {after:g} s the targets of {software} end")
def end_targets(context, after, software):
    def end(fleet, names):
        for name in names if software == "v1" else context.later:
            fleet.end_target(name)

    context.changes.append((after, end))


@behave.given("the log has been out for {seconds:g} s")
def set_list_age(context, seconds):
    def outdate(fleet, names):
        for entry in fleet.entries:
            entry.list_age_s = seconds

    context.changes.append((0.0, outdate))


@behave.given("an agent beside each target")
def add_agents(context):
    def add(fleet, names):
        fleet.has_agents = True

    context.changes.append((0.0, add))


@behave.given("an agent of an earlier release beside each target")
def add_older_agents(context):
    def add(fleet, names):
        fleet.has_agents = True
        for entry in fleet.entries:
            for target in entry.registry.list_all():
                fleet.agents[fleet.find_agent(target)].is_older = True

    context.changes.append((0.0, add))


def list_some_agents(fleet):
    """Return a third of the agents, the same ones each time."""
    agents = [fleet.agents[name] for name in sorted(fleet.agents)]
    return agents[: len(agents) // _SHARE_OF_AGENTS]


@behave.when("after {after:g} s a third of the agents starts again")
def restart_agents(context, after):
    def restart(fleet, names):
        for agent in list_some_agents(fleet):
            agent.start_again()

    context.changes.append((after, restart))


@behave.when("after {after:g} s a third of the agents is cut off")
def cut_off_agents(context, after):
    def cut(fleet, names):
        for agent in list_some_agents(fleet):
            agent.is_cut_off = True

    context.changes.append((after, cut))


@behave.when("after {after:g} s {count:d} targets of v1 end")
def end_some_targets(context, after, count):
    def end(fleet, names):
        for name in names[:count]:
            fleet.end_target(name)

    context.changes.append((after, end))


@behave.given("one datagram in ten is lost")
def lose_datagrams(context):
    def lose(fleet, names):
        fleet.lost_share = 0.1

    context.changes.append((0.0, lose))


@behave.when("after {after:g} s one entry is cut off")
def cut_off(context, after):
    context.changes.append((after, lambda fleet, names: fleet.cut_off(0)))


@behave.when(
    "after {after:g} s all entries start again, and the log names one version"
)
def restart_all(context, after):
    context.changes.append(
        (after, lambda fleet, names: fleet.restart_all(("v1",)))
    )


@behave.when(
    "after {after:g} s all entries start again, and the log names two versions"
)
def restart_all_mixed(context, after):
    def restart(fleet, names):
        fleet.restart_all(("v1", "v2"))

    context.changes.append((after, restart))


@behave.given("entries keep in the log which versions serve")
def keep_markers(context):
    context.topic = topic_builders.KeptTopic()


def put_mark(context, software, window_s=WINDOW_S):
    mark = {
        "service": forwarding_builders.SERVICE,
        "software": software,
        "window_s": window_s,
        "era": context.topic.eras.newest,
    }
    key = version_markers.make_key(mark["service"], software)
    return {key: json.dumps(mark).encode()}


@behave.given("the log names {software} for streams that last {seconds:g} s")
def add_long_mark(context, software, seconds):
    context.topic.values.update(put_mark(context, software, seconds))


@behave.given("the log has a mark of an earlier release")
def add_earlier_mark(context):
    context.topic.values[forwarding_builders.SERVICE] = b"1"


@behave.given("the log has marks that can't be read")
def add_unreadable(context):
    values = (
        b"{",
        b"7",
        b"[]",
        b'{"service": 1}',
        b'{"service": "a", "software": "b", "window_s": 1e999, "era": 1}',
        b'{"service": "a", "software": "b", "window_s": 1, "era": 1e999}',
        b"\xff",
        b"[" * 5000,
    )
    for number, value in enumerate(values):
        context.topic.values[f"unreadable-{number}"] = value


@behave.given("callers stay away for {seconds:g} s after a break")
def stay_away(context, seconds):
    def set_time(fleet, names):
        fleet.come_back_s = seconds

    context.changes.append((0.0, set_time))


@behave.given("lists lag by up to {seconds:g} s")
def set_lag(context, seconds):
    def lag(fleet, names):
        fleet.list_lag_s = seconds

    context.changes.append((0.0, lag))


@behave.when("after {after:g} s all entries start again")
def restart_with_log(context, after):
    context.changes.append((after, lambda fleet, names: fleet.restart_all(())))


@behave.when("after {after:g} s all entries are killed")
def kill_all(context, after):
    context.changes.append((after, lambda fleet, names: fleet.kill_all()))


@behave.when("after {after:g} s all entries are back")
def start_all(context, after):
    context.changes.append(
        (after, lambda fleet, names: fleet.start_again(fleet.count))
    )


@behave.when("after {after:g} s {count:d} entries are back")
def start_some(context, after, count):
    context.changes.append(
        (after, lambda fleet, names: fleet.start_again(count))
    )


@behave.when("after {after:g} s the entries that would write are {lost}")
def lose_writers(context, after, lost):
    def lose(fleet, names):
        writers = fleet.list_writers("v2")
        if lost == "killed":
            fleet.kill_some(writers)
        for entry in writers:
            entry.is_log_cut_off = True

    context.changes.append((after, lose))


@behave.when("after {after:g} s the log comes back from a copy {copy}")
def restore_log(context, after, copy):
    def restore(fleet, names):
        assert context.topic.values
        values = {}
        if copy == "with the first one":
            values = put_mark(context, "v1")
        if copy.startswith("with a mark of "):
            values = put_mark(context, copy.split()[-1])
        context.topic.restore(values)

    context.changes.append((after, restore))


@behave.when("after {after:g} s the log is out for {seconds:g} s")
def take_log_out(context, after, seconds):
    def take_out(fleet, names):
        context.topic.out_until = trio.current_time() + seconds

    context.changes.append((after, take_out))


@behave.when("nothing comes for {seconds:g} s more")
def rest(context, seconds):
    context.rest_s = seconds


@behave.then("the log names the versions {names}")
def check_marked(context, names):
    play(context)
    marks = [
        json.loads(value)
        for key, value in context.topic.values.items()
        if len(key) == len(version_markers.make_key("", ""))
    ]
    services = {mark["service"] for mark in marks}
    assert services == {forwarding_builders.SERVICE}, marks
    found = sorted(mark["software"] for mark in marks)
    assert found == names.split(", "), marks


@behave.then("callers that come back wait for at most {seconds:g} s")
def check_waits(context, seconds):
    back = [stream for stream in play(context).streams if stream.taken_up]
    assert len(back) >= 12, len(back)
    longest_s = max(stream.wait_s for stream in back)
    assert longest_s <= seconds, longest_s


@behave.then("streams that begin after {after:g} s are whole")
def check_later(context, after):
    fleet = play(context)
    began = min(stream.at for stream in fleet.streams)
    later = [item for item in fleet.streams if item.at >= began + after]
    assert len(later) >= 5, len(later)
    assert all(stream.is_whole for stream in later), later


@behave.when(
    "after {after:g} s all entries get datagrams with values out of range"
)
def send_bad_datagrams(context, after):
    context.changes.append(
        (after, lambda fleet, names: fleet.send_bad_datagrams())
    )


@behave.then("entries have sent each other no datagrams")
def check_no_datagrams(context):
    assert play(context).count_messages() == (0, 0)
    assert sum(stream.taken_up for stream in context.fleet.streams) >= 12


def play(context):
    """Play what the steps say, once, and return the fleet."""
    if "fleet" in context:
        return context.fleet

    async def run():
        async with trio.open_nursery() as nursery:
            fleet = version_builders.VersionFleet(
                nursery, context.count, getattr(context, "topic", None)
            )
            names = [fleet.start_target(name) for name in context.softwares]
            await trio.sleep(_SETTLED_S)
            nursery.start_soon(change_all, fleet, names, context.changes)
            await fleet.send_load(*context.load)
            await trio.sleep(getattr(context, "rest_s", 0.0))
            nursery.cancel_scope.cancel()
        return fleet

    with testing.capture_logs():
        context.fleet = topic_builders.run_on_mock_clock(run)
    return context.fleet


async def change_all(fleet, names, changes):
    began = trio.current_time()
    for after, change in sorted(changes, key=lambda item: item[0]):
        await trio.sleep_until(began + after)
        change(fleet, names)


@behave.then("no stream has events of two versions")
def check_versions(context):
    mixed = [
        stream
        for stream in play(context).streams
        if len(set(stream.softwares)) > 1
    ]
    assert not mixed, (len(mixed), mixed[:3])


@behave.then(
    "callers that come back are served {share:g} times as often as new ones"
)
def check_share(context, share):
    streams = play(context).streams
    begun = sum(bool(stream.softwares) for stream in streams) / len(streams)
    taken_up = sum(stream.taken_up for stream in streams)
    went_on = sum(stream.went_on for stream in streams)
    assert taken_up >= 12, taken_up
    assert went_on / taken_up >= share * begun, (went_on, taken_up, begun)


@behave.then(
    "callers that come back are refused as not run, with no time to return"
)
def check_refused(context):
    back = [stream for stream in play(context).streams if stream.taken_up]
    assert len(back) >= 12, len(back)
    for stream in back:
        assert not stream.went_on, stream
        assert stream.refusal.status == 503, stream
        assert not stream.refusal.retry_after_ms, stream
