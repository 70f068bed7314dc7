"""Steps for evacuated data centres."""

import behave
import evacuation_builders
import forwarding_builders
import stream_calls_steps
import topic_builders
import trio

from gentianpoint_core import deadlines

_START_S = 6.0
_PHASES = 4
_PHASE_STEP_S = 0.243
_SETTLE_S = 4.0
_EVACUATED = "centre-1"
_KNOWN_WITHIN_S = 3.0


@behave.given(
    "{count:d} entries that send all the time, and hear of evacuations within"
    " {within_ms:d} ms"
)
def make_entries(context, count, within_ms):
    context.make_fleet = lambda: evacuation_builders.SendingFleet(
        count, within_ms
    )
    context.sends = []


def run_fleet(context, action):
    async def run():
        fleet = context.make_fleet()
        async with trio.open_nursery() as nursery:
            fleet.start(nursery)
            await trio.sleep(_START_S)
            await action(fleet)
            await trio.sleep(_SETTLE_S)
            nursery.cancel_scope.cancel()
        context.fleets.append(fleet)

    context.fleets = getattr(context, "fleets", [])
    topic_builders.run_on_mock_clock(run)


async def evacuate_and_take_back(fleet):
    fleet.evacuate(_EVACUATED)
    await trio.sleep(_SETTLE_S)
    fleet.take_back(_EVACUATED)


async def take_back_at_once(fleet):
    fleet.evacuate(_EVACUATED)
    await trio.sleep(0.2)
    fleet.take_back(_EVACUATED)


async def evacuate_twice(fleet):
    fleet.evacuate(_EVACUATED)
    await trio.sleep(0.5)
    fleet.evacuate(_EVACUATED)
    await trio.sleep(_SETTLE_S)
    fleet.take_back(_EVACUATED)


async def evacuate_by_turns(fleet):
    for _ in range(4):
        fleet.evacuate(_EVACUATED)
        await trio.sleep(0.3)
        fleet.take_back(_EVACUATED)
        await trio.sleep(0.3)
    fleet.evacuate(_EVACUATED)
    await trio.sleep(_SETTLE_S)
    fleet.take_back(_EVACUATED)


async def evacuate_all(fleet):
    for data_centre in evacuation_builders.DATA_CENTRES:
        fleet.evacuate(data_centre)
    await trio.sleep(_SETTLE_S)
    for data_centre in evacuation_builders.DATA_CENTRES:
        fleet.take_back(data_centre)


async def evacuate_unknown(fleet):
    fleet.evacuate("nowhere")
    await trio.sleep(_SETTLE_S)
    fleet.take_back("nowhere")


_CHANGES = {
    "one is evacuated and taken back": evacuate_and_take_back,
    "one is taken back at once": take_back_at_once,
    "one is evacuated twice": evacuate_twice,
    "one is evacuated by turns": evacuate_by_turns,
    "all are evacuated": evacuate_all,
    "an unknown one is evacuated": evacuate_unknown,
}


@behave.when("{changes} while the first reader {fault} at any phase")
def change(context, changes, fault):
    for phase in range(_PHASES):

        async def action(fleet, phase=phase):
            await trio.sleep(phase * _PHASE_STEP_S)
            fleet.fail_first_reader(fault)
            await _CHANGES[changes](fleet)

        run_fleet(context, action)


@behave.when("an entry starts while one is evacuated")
def start_later(context):
    async def action(fleet):
        fleet.evacuate(_EVACUATED)
        await trio.sleep(_SETTLE_S)
        context.late = fleet.add_entry()

    run_fleet(context, action)


@behave.then("it never sends there")
def check_late(context):
    (fleet,) = context.fleets
    sends = [send for send in fleet.sends if send.entry == context.late]
    assert sends
    assert _EVACUATED not in {send.data_centre for send in sends}


@behave.when("the log turns {count:d} of them away as one is evacuated")
def reject_some(context, count):
    async def action(fleet):
        fleet.reject(count)
        fleet.evacuate(_EVACUATED)

    run_fleet(context, action)


@behave.then(
    "no entry sends to an evacuated data centre after {within_ms:d} ms"
)
def check_sends(context, within_ms):
    for fleet in context.fleets:
        assert fleet.sends
        late = fleet.list_late_sends(within_ms / 1000)
        assert not late, (len(late), late[:3])


@behave.then("all use it again within {within_ms:d} ms")
def check_used_again(context, within_ms):
    for fleet in context.fleets:
        waits = fleet.measure_return_s()
        assert waits and max(waits.values()) <= within_ms / 1000, waits


def find_evacuated(context, name):
    # Targets of these scenarios are named by one letter, and each has a data
    # centre of its own.
    return sorted(context.calls.scripts) if name == "all" else [name]


@behave.given("the data centre of {name} is evacuated")
def evacuate_before(context, name):
    async def evacuate(context, shared, _):
        evacuation_builders.separate_targets(shared.registry)
        shared.registry.set_evacuated(
            find_evacuated(context, name), trio.current_time()
        )

    context.before = evacuate


async def evacuate_when(context, shared, names, is_due):
    evacuation_builders.separate_targets(shared.registry)
    while not is_due():
        await trio.sleep(0.01)
    shared.registry.set_evacuated(names, trio.current_time())
    for target in shared.registry.list_all():
        if target.is_evacuated:
            target.leaves_at = deadlines.make_deadline(60000)


@behave.when(
    "the request is served, and the data centre of {name} is evacuated after"
    " event {number:d}"
)
def serve_and_evacuate(context, name, number):
    wanted = forwarding_builders.make_event(number)

    async def change(context, shared, _):
        await evacuate_when(
            context, shared, [name], lambda: wanted in context.answer.data
        )

    stream_calls_steps.serve(context, change, 0)


@behave.when(
    "the request is served, and b is evacuated once a has begun to move it"
)
def serve_and_evacuate_destination(context):
    async def change(context, shared, _):
        await stream_calls_steps.give_notice(context, shared, 5)
        await evacuate_when(
            context, shared, ["b"], lambda: context.calls.stop_flags
        )

    stream_calls_steps.serve(context, change, 0)


@behave.then("the copy at b is released")
def check_released(context):
    assert ("a", "handle-1") in context.freed, context.freed


@behave.then("target {name} received {count:d} request")
def check_requests(context, name, count):
    sent = [target for target, _ in context.calls.sends if target == name]
    assert len(sent) == count, sent
