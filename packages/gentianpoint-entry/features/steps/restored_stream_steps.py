"""Steps for a configuration whose log has lost its last changes."""

import json

import behave
import restored_stream_builders as builders
from structlog import testing
import trio

from gentianpoint_core import configuration

_SERVICES = 3
_SETTLED_S = 6.0
_AWAY_S = 1.2


class Story:
    """What happens to some entries."""

    def __init__(self, count):
        self.count = count
        self.acts = []
        self.number = 0
        self.last = {}
        self.written = {}
        self.followers = None

    async def change(self, followers):
        """Write the next change."""
        self.number += 1
        name = f"service-{self.number % _SERVICES}"
        text = f"text-{self.number}"
        await followers.write(
            builders.make_change(f"change-{self.number}", name, text)
        )
        self.last[name] = text
        self.written.setdefault(name, []).append(text)

    def play(self):
        """Let it happen, once."""
        if self.followers is not None:
            return

        async def act(followers):
            for item in self.acts:
                await item(followers)
            await trio.sleep(_SETTLED_S)

        with testing.capture_logs():
            self.followers = builders.play(self.count, act)


@behave.given("{count:d} entries and {changes:d} changes of 3 services")
def make_entries(context, count, changes):
    context.story = Story(count)

    async def act(followers):
        await trio.sleep(1)
        for _ in range(changes):
            await context.story.change(followers)
        await trio.sleep(3)

    context.story.acts.append(act)


@behave.given("a service is deleted")
def delete_service(context):
    async def act(followers):
        await followers.write(builders.make_change("gone", "service-1"))
        await trio.sleep(2)

    context.story.acts.append(act)


@behave.given("a snapshot is written")
def write_snapshot(context):
    async def act(followers):
        await followers.write_snapshot()

    context.story.acts.append(act)


@behave.when("the log loses the last {count:d} changes")
def lose_changes(context, count):
    async def act(followers):
        followers.log.is_away = True
        await trio.sleep(_AWAY_S)
        followers.log.lose_last(count)
        followers.log.is_away = False

    context.story.acts.append(act)


@behave.when("{count:d} further changes come")
def write_further(context, count):
    async def act(followers):
        for _ in range(count):
            await trio.sleep(0.7)
            await context.story.change(followers)

    context.story.acts.append(act)


@behave.when(
    "an operator writes the service of the last one before all entries"
)
def write_first(context):
    async def act(followers):
        name = f"service-{context.story.number % _SERVICES}"
        await followers.write(builders.make_change("first", name, "first"))
        context.story.last[name] = "first"

    context.story.acts.append(act)


@behave.when("an entry starts")
def start_entry(context):
    async def act(followers):
        followers.add()
        await trio.sleep(0.2)

    context.story.acts.append(act)


@behave.then("all entries have the same state")
def check_same(context):
    context.story.play()
    tails = context.story.followers.tails
    assert len({tail.position for tail in tails}) == 1, [
        tail.position for tail in tails
    ]
    assert len({tail.state.encode_state() for tail in tails}) == 1


def list_texts(tail):
    return {
        item.name: json.loads(item.spec)["customers"][0]
        for item in tail.state.list_resources(configuration.SERVICE)
    }


@behave.then("each service is as its last change says")
def check_last(context):
    context.story.play()
    for tail in context.story.followers.tails:
        assert list_texts(tail) == context.story.last, list_texts(tail)


@behave.then("the service is not there")
def check_deleted(context):
    context.story.play()
    for tail in context.story.followers.tails:
        assert "service-1" not in list_texts(tail)


@behave.then("no service was ever as an earlier change says")
def check_never_back(context):
    context.story.play()
    for seen in context.story.followers.seen:
        for name, texts in context.story.written.items():
            order = [
                texts.index(json.loads(row[name])["customers"][0])
                for row in seen
                if name in row
            ]
            assert order == sorted(order), (name, order)
