"""Steps for generations that need room."""

import functools

import behave
import forwarding_builders
import room_builders
import topic_builders
import trio

from gentianpoint_core.decisions import room_queue
from gentianpoint_core.decisions import stream_origins
from gentianpoint_core.decisions import wait_limits
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import room_waits
from gentianpoint_entry.forwarding import targets

_TOKENS = 1000
_PLAY_S = 12.0


class Play:
    """What the steps of a scenario prepare, played on a virtual clock."""

    def __init__(self, entries, names, room_for, *, is_controlled=True):
        self.entry_count = entries
        self.names = names
        self.used = room_builders.MEMORY - room_for * _TOKENS
        self.is_controlled = is_controlled
        self.settings = []
        self.actions = []
        self.entries = []
        self.handler = None

    def play(self):
        """Play all actions once; return the entries."""
        if not self.entries:
            topic_builders.run_on_mock_clock(self._run)
        return self.entries

    async def _run(self):
        self.room = room_builders.FakeRoom()
        self.entries = [
            room_builders.Entry(
                self.room,
                self.names,
                self.used,
                is_controlled=self.is_controlled,
            )
            for _ in range(self.entry_count)
        ]
        for change in self.settings:
            change(self)
        self.began = trio.current_time()
        with trio.move_on_after(_PLAY_S):
            async with trio.open_nursery() as nursery:
                for action in self.actions:
                    nursery.start_soon(action, self)
                await trio.sleep_forever()

    def list_sent(self):
        """Return what was sent, with the seconds until then."""
        return [
            (name, at - self.began)
            for entry in self.play()
            for name, at in entry.sent
        ]


@behave.given(
    "{entries:d} entries that know engine a, with room for {count:d}"
    " generation"
)
def make_entries(context, entries, count):
    context.play = Play(entries, "a", count)


@behave.given(
    "1 entry that knows engine {names}, with room for {count:d} {noun}"
)
def make_entry_with(context, names, count, noun):
    context.play = Play(1, names, count)


@behave.given("1 entry that knows engines {names}, with room for 1 generation")
def make_entry(context, names):
    context.play = Play(1, names, 1)


@behave.given("1 entry without room control that knows engine a")
def make_uncontrolled(context):
    context.play = Play(1, "a", 1, is_controlled=False)


@behave.given("no agent replies")
def silence_agents(context):
    context.play.settings.append(
        lambda play: play.room.silent.update(play.names)
    )


@behave.given("the agents of {names} have none")
def fill(context, names):
    context.play.settings.append(
        lambda play: play.room.free.update(dict.fromkeys(names, 0))
    )


@behave.given("agents expect room in {seconds:g} s")
def set_opening(context, seconds):
    def change(play):
        play.room.opens_in_s = seconds

    context.play.settings.append(change)


@behave.given("only 2 of the engine's slots are taken")
def free_slots(context):
    context.play.settings.append(
        lambda play: play.entries[0].report("a", play.used, running=2)
    )


def request_at_each(context, **options):
    async def act(play, place):
        await play.entries[place].request(
            room_builders.make_generation(str(place + 1), _TOKENS, **options)
        )

    for place in range(context.play.entry_count):
        context.play.actions.append(functools.partial(act, place=place))


@behave.when("each entry gets a generation")
def request(context):
    request_at_each(context)


@behave.when("each entry gets a generation that has {seconds:g} s")
def request_within(context, seconds):
    request_at_each(context, within_s=seconds)


@behave.when("each entry gets a generation whose stream has events")
def request_begun(context):
    origin = stream_origins.StreamOrigin(
        forwarding_builders.SERVICE, "a/1", "v1"
    )
    request_at_each(context, origin=origin)


def request_in_turn(context, sizes, urgencies, origins=(None,) * 9):
    async def act(play, place):
        await trio.sleep(place * 0.05)
        await play.entries[0].request(
            room_builders.make_generation(
                str(place + 1),
                sizes[place],
                urgency=urgencies[place],
                origin=origins[place],
            )
        )

    for place in range(len(sizes)):
        context.play.actions.append(functools.partial(act, place=place))


@behave.when("{count:d} generations come one after the other")
def request_several(context, count):
    request_in_turn(context, [_TOKENS] * count, [None] * count)


@behave.when("2 generations come one after the other, the second one urgent")
def request_urgent(context):
    request_in_turn(context, [_TOKENS, _TOKENS], [None, 1])


@behave.when("2 generations come one after the other, the second one smaller")
def request_smaller(context):
    request_in_turn(context, [_TOKENS, _TOKENS // 2], [None, None])


@behave.when(
    "the caller of the first of 2 generations leaves after {seconds:g} s"
)
def leave(context, seconds):
    async def act(play):
        with trio.move_on_after(seconds):
            await play.entries[0].request(
                room_builders.make_generation("1", _TOKENS)
            )

    context.play.actions.append(act)

    async def act_other(play):
        await trio.sleep(0.05)
        await play.entries[0].request(
            room_builders.make_generation("2", _TOKENS)
        )

    context.play.actions.append(act_other)


@behave.when(
    "2 generations come one after the other, of which the second has events"
)
def request_one_begun(context):
    origin = stream_origins.StreamOrigin(
        forwarding_builders.SERVICE, "a/1", "v1"
    )
    request_in_turn(context, [_TOKENS] * 2, [None] * 2, [None, origin])


@behave.given("agents take {delay_ms:d} ms to reply")
def slow_agents(context, delay_ms):
    def change(play):
        play.room.delay_s = delay_ms / 1000

    context.play.settings.append(change)


@behave.when("a report after {seconds:g} s shows that engine a is full")
def report_full(context, seconds):
    async def act(play):
        await trio.sleep(seconds)
        for entry in play.entries:
            entry.report("a", room_builders.MEMORY)

    context.play.actions.append(act)


@behave.given("a generation that is tried, and a smaller one behind it")
def make_service_room(context):
    context.limits = wait_limits.WaitLimits(9.0, 9.0)
    context.waiting = [
        room_queue.WaitingRequest(5, tokens, context.limits)
        for tokens in (_TOKENS, _TOKENS // 2)
    ]


@behave.when("a report comes during the trial, and the first one fits nowhere")
def try_in_vain(context):
    context.tried = []

    async def run():
        room = room_waits.ServiceRoom(room_queue.RoomQueue())
        for place in context.waiting:
            room.join(place)
        for _ in range(3):
            (place,) = filter(room.has_turn, context.waiting)
            context.tried.append(place)
            target = targets.Target(forwarding_builders.make_entry("b"), 0.0)
            room.note_room(target, _TOKENS)
            room.try_next(place)

    topic_builders.run_on_mock_clock(run)


@behave.then("the smaller one is tried next, and then the first one again")
def check_tried(context):
    first, smaller = context.waiting
    assert context.tried == [first, smaller, first]


@behave.then("{count:d} agents are asked within {within_s:g} s")
def check_asked(context, count, within_s):
    context.play.play()
    asked = [
        name
        for name, at in context.play.room.asked
        if at <= context.play.began + within_s
    ]
    assert len(set(asked)) == len(asked) == count, asked


def open_room(context, tokens, after_s, *, is_reported):
    async def act(play):
        await trio.sleep(after_s)
        play.room.free["a"] += tokens
        if is_reported:
            for entry in play.entries:
                entry.report("a", room_builders.MEMORY - tokens)

    context.play.actions.append(act)


@behave.when(
    "there is room for 1 more after {seconds:g} s, which a report shows"
)
def open_reported(context, seconds):
    open_room(context, _TOKENS, seconds, is_reported=True)


@behave.when(
    "there is room for 1 more after {seconds:g} s, which no report shows"
)
def open_unreported(context, seconds):
    open_room(context, _TOKENS, seconds, is_reported=False)


@behave.when(
    "there is room for half a generation after {seconds:g} s, which a report"
    " shows"
)
def open_half(context, seconds):
    open_room(context, _TOKENS // 2, seconds, is_reported=True)


@behave.when("a generation is served that has {seconds:g} s")
def serve(context, seconds):
    async def act(play):
        play.serving = forwarding_builders.ServingEntry(play.entries[0].shared)
        play.answer = forwarding_builders.RecordedAnswer()
        await play.serving.handler.serve(
            room_builders.make_generation("1", _TOKENS, within_s=seconds),
            play.answer,
        )
        play.took_s = trio.current_time() - play.began

    context.play.actions.append(act)


@behave.when("the entry stops after {seconds:g} s")
def stop(context, seconds):
    async def act(play):
        await trio.sleep(seconds)
        await play.serving.handler.give_up_unanswered()

    context.play.actions.append(act)


@behave.when("a generation is {end}")
def end_unsent(context, end):
    async def act(play):
        entry = play.entries[0]
        generation = room_builders.make_generation("1", _TOKENS)
        target = await entry.shared.find_target(generation)
        assert play.room.free["a"] == 0
        if end == "not sent after all":
            entry.shared.give_back(target, generation)
        elif end == "ended before it was sent":
            entry.shared.give_back_unsent(generation)
        else:
            entry.calls.is_reachable = False
            try:
                async with entry.shared.send(
                    target, generation, requests.SendOptions()
                ):
                    pass
            except room_builders.ports.PortError:
                pass

    context.play.actions.append(act)


@behave.when("a destination is chosen for a generation that moves")
def choose_destination(context):
    async def act(play):
        entry = play.entries[0]
        play.destination = entry.shared.choose_destination(
            room_builders.make_generation("1", 400), entry.find("a")
        )

    context.play.actions.append(act)


@behave.then("there is one, and no agent was asked for room")
def check_destination(context):
    context.play.play()
    assert context.play.destination is not None
    assert not context.play.room.asked


@behave.then(
    "{count:d} of them is sent within {first_s:g} s, and the other within"
    " {second_s:g} s"
)
def check_sent_twice(context, count, first_s, second_s):
    times = sorted(at for _, at in context.play.list_sent())
    assert len(times) == 2, times
    assert times[0] <= first_s < times[1] <= second_s, times


@behave.then("{count:d} of them is sent within {within_s:g} s")
def check_sent(context, count, within_s):
    times = [at for _, at in context.play.list_sent()]
    assert sum(at <= within_s for at in times) == count, times


@behave.then("none is sent within {within_s:g} s")
def check_none_sent(context, within_s):
    check_sent(context, 0, within_s)


@behave.then("1 of them is refused between {first_s:g} and {last_s:g} s")
def check_refused(context, first_s, last_s):
    (entry,) = context.play.play()
    ((at, opening_ms),) = entry.refused
    assert first_s <= at - context.play.began <= last_s, at
    # It is not known when there is room.
    assert opening_ms == 0.0


@behave.then(
    "it is refused within {within_s:g} s as not run, and may return in"
    " {first_s:g} to {last_s:g} s"
)
def check_not_run(context, within_s, first_s, last_s):
    context.play.play()
    (refusal,) = context.play.serving.refusals.values()
    assert refusal.status == 503, refusal
    assert context.play.took_s <= within_s, context.play.took_s
    assert first_s * 1000 <= refusal.retry_after_ms <= last_s * 1000, refusal


@behave.then("nothing was sent")
def check_nothing_sent(context):
    assert not context.play.entries[0].find("a").tokens_since_report


@behave.then("no request waits")
def check_no_wait(context):
    for entry in context.play.play():
        assert entry.rooms.count_waiting() == 0


@behave.then("the generation sent is number {number}")
def check_which(context, number):
    assert [name for name, _ in context.play.list_sent()] == [number]


@behave.then("its room is given back once")
def check_given_back(context):
    context.play.play()
    assert context.play.room.given_back == [("a", "1")]
    assert context.play.room.free["a"] == _TOKENS


@behave.then("no agent was asked for room")
def check_not_asked(context):
    context.play.play()
    assert not context.play.room.asked


@behave.given("an agent that replies {words}")
def make_agent(context, words):
    context.stage = room_builders.ClaimStage()
    context.stage.agent.replies = words.split(", ")


@behave.given("it replies for another start of the engine")
def replace_start(context):
    context.stage.agent.identity = "another"


@behave.when("room is claimed by datagram {count:d} times")
def claim(context, count):
    context.replies = []

    async def act(stage):
        request = room_builders.make_generation("1")
        for _ in range(count):
            began = trio.current_time()
            context.replies.append(
                await stage.claims.claim(stage.target, request)
            )
            context.ended = trio.current_time()
            assert context.ended - began < 0.1

    trio.run(context.stage.run, act)


@behave.when("room is claimed by datagram, and the caller leaves")
def claim_and_leave(context):
    async def act(stage):
        with trio.move_on_after(0.01):
            await stage.claims.claim(
                stage.target, room_builders.make_generation("1")
            )

    trio.run(context.stage.run, act)


@behave.then("the replies are {words}")
def check_replies(context, words):
    names = {None: "missing", True: "granted", False: "refused"}
    found = [names[reply and reply.is_granted] for reply in context.replies]
    assert found == words.split(", "), found


@behave.then("the engine's state was applied")
def check_state(context):
    assert context.stage.states == ["target-0"]


@behave.then("room is expected in about 400 ms")
def check_opening(context):
    left_s = context.replies[0].opens_at - context.ended
    assert 0.3 < left_s <= 0.4, left_s


@behave.then("the target is not used any more")
def check_replaced(context):
    assert not context.stage.target.accepts_work()
    assert not context.stage.states


@behave.then("the room was returned to the agent")
def check_returned(context):
    kinds = [item["type"] for item in context.stage.agent.received]
    assert kinds == ["room_wanted", "room_returned"], kinds


@behave.then("the agent was asked {count:d} times")
def check_agent_asked(context, count):
    assert len(context.stage.agent.received) == count
