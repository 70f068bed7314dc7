"""Steps for the room at an engine."""

import random

import behave
import room_builders

from gentianpoint_core.decisions import room_book

_PLAYED_S = 24.0
_BURST_S = 6.0
_REPORT_S = 0.1


def make_book(context, status):
    context.book = room_book.RoomBook()
    context.now = 100.0
    report(context, status)


def report(context, status):
    context.status = status
    context.book.note_status(status, context.now)


def claim(context, request_id, **more):
    return context.book.claim(
        room_builders.make_claim(request_id, **more), context.now
    )


def play_generations(context, count, events, urgency=5):
    """Let generations of a length run at an engine, four at a time."""
    for first in range(0, count, 4):
        names = [f"{events}-{first + index}" for index in range(4)]
        for name in names:
            claim(context, name, prompt_tokens=100, urgency=urgency)
        made = 1
        while made <= events:
            context.now += 10 * room_builders.TICK_S
            runs = [
                room_builders.make_run(name, made, 100, urgency)
                for name in names
            ]
            report(context, room_builders.make_status(runs))
            made += 10 if made < events - 10 else max(1, events - made)
        context.now += room_builders.TICK_S
        report(context, room_builders.make_status())


def make_arrivals(seed):
    rng = random.Random(seed)
    arrivals = []
    at = 0.0
    while at < _PLAYED_S:
        is_burst = at % (2 * _BURST_S) < _BURST_S
        at += rng.expovariate(8.0 if is_burst else 2.0)
        is_long = rng.random() < 0.7
        generation = room_builders.Generation(
            str(at),
            rng.randrange(2500, 3500) if is_long else 2550,
            rng.randrange(120, 250) if is_long else 2,
            5 if is_long else 1,
        )
        arrivals.append((at, generation))
    return arrivals


@behave.given(
    "long and short generations that come in bursts, by seeds {first:d} to"
    " {last:d}"
)
def make_loads(context, first, last):
    context.loads = [make_arrivals(seed) for seed in range(first, last + 1)]


def play_arrivals(arrivals, book):
    """Play an engine until the arrivals end; claim room if there is a book."""
    engine = room_builders.SmallEngine()
    waiting = []
    left = [
        (
            at,
            room_builders.Generation(
                item.request_id,
                item.prompt_tokens,
                item.events,
                item.urgency,
            ),
        )
        for at, item in arrivals
    ]
    steps = round(_PLAYED_S / room_builders.TICK_S)
    for step in range(steps):
        now = step * room_builders.TICK_S
        while left and left[0][0] <= now:
            waiting.append(left.pop(0)[1])
        if book is None:
            engine.waiting += waiting
            waiting.clear()
        elif step % 5 == 0:
            book.note_status(engine.make_status(), now)
            waiting.sort(key=lambda item: item.urgency)
            refused = []
            for item in waiting:
                wanted = room_builders.make_claim(
                    item.request_id,
                    prompt_tokens=item.prompt_tokens,
                    urgency=item.urgency,
                )
                # Those behind one that is refused wait, as at an entry.
                if not refused and book.claim(wanted, now).is_granted:
                    engine.waiting.append(item)
                else:
                    refused.append(item)
            waiting = refused
        engine.advance()
    return engine


@behave.when("they are played with and without claims")
def play_both(context):
    context.played = [
        (play_arrivals(load, None), play_arrivals(load, room_book.RoomBook()))
        for load in context.loads
    ]
    for without, claimed in context.played:
        print(
            f"preemptions {without.preemptions} -> {claimed.preemptions},"
            f" complete {without.complete} -> {claimed.complete}"
        )


@behave.then("claims leave at most a third of the preemptions of each seed")
def check_preemptions(context):
    for without, claimed in context.played:
        assert without.preemptions >= 6, without.preemptions
        assert claimed.preemptions <= without.preemptions / 3


@behave.then(
    "at the end {share:d}% or more as many generations are complete over all"
    " seeds"
)
def check_complete(context, share):
    before, after = (
        sum(engine.complete for engine in engines)
        for engines in zip(*context.played, strict=True)
    )
    assert after >= share / 100 * before, (before, after)


@behave.given("an engine that runs {count:d} generations of {tokens:d} tokens")
def make_engine(context, count, tokens):
    runs = [
        room_builders.make_run(f"run-{index}", 1, tokens)
        for index in range(count)
    ]
    make_book(context, room_builders.make_status(runs))


@behave.given(
    "an engine that runs {count:d} generations with {events:d} events"
)
def run_generations(context, count, events):
    for made in (events - 10, events):
        context.now += 10 * room_builders.TICK_S
        runs = [
            room_builders.make_run(f"run-{index}", made)
            for index in range(count)
        ]
        report(context, room_builders.make_status(runs))


@behave.given("an engine that is leaving")
def make_leaving(context):
    make_book(context, room_builders.make_status(is_leaving=True))


@behave.given(
    "a book that has seen {count:d} generations of {events:d} events"
)
def make_learned(context, count, events):
    make_book(context, room_builders.make_status())
    play_generations(context, count, events)


@behave.given("{count:d} requests of {tokens:d} tokens wait there")
def add_waiting(context, count, tokens):
    report(
        context,
        context.status._replace(waiting=count, next_prompt_tokens=tokens),
    )


@behave.given("{tokens:d} tokens of copies are there")
def add_copies(context, tokens):
    status = context.status
    used = status.used_tokens + tokens
    report(context, status._replace(copy_tokens=tokens, used_tokens=used))


@behave.when("claims {names} come at the same moment")
def claim_together(context, names):
    context.answers = {}
    context.all_answers = []
    for name in names.split(", "):
        answer = claim(context, name)
        context.answers[name] = answer
        context.all_answers.append(answer)


@behave.when("a claim for {tokens:d} tokens comes")
def claim_large(context, tokens):
    context.answer = claim(context, "large", prompt_tokens=tokens)


@behave.when("the room of {name} is given back")
def give_back(context, name):
    context.book.give_back(name)


@behave.when("the engine reports that {name} runs")
def report_run(context, name):
    context.now += 0.3
    runs = [room_builders.make_run(name, 1)]
    report(context, room_builders.make_status(runs))


@behave.when("after {later_s:g} s the engine reports {waiting:d} waiting")
def report_later(context, later_s, waiting):
    context.now += later_s
    report(
        context,
        room_builders.make_status(
            waiting=waiting, next_prompt_tokens=3000 if waiting else 0
        ),
    )


@behave.when("another start of the engine reports")
def restart_engine(context):
    context.now += 0.1
    report(context, room_builders.make_status(born_ms=2))


@behave.when("it sees {count:d} generations of {events:d} events")
def see_generations(context, count, events):
    play_generations(context, count, events)


@behave.when(
    "{count:d} generations are no longer listed after {events:d} events,"
    " since {why}"
)
def cut_off(context, count, events, why):
    for index in range(count):
        name = f"cut-{index}"
        claim(context, name, prompt_tokens=100)
        for made in (1, events - 10, events):
            context.now += 0.1
            runs = [room_builders.make_run(name, made, 100)]
            report(context, room_builders.make_status(runs))
        context.now += 0.1
        gone = room_builders.make_status()
        if why == "they moved":
            context.book.note_move(name)
        elif why == "the engine leaves":
            gone = gone._replace(is_leaving=True)
        elif why == "they were preempted":
            gone = gone._replace(waiting=1, next_prompt_tokens=180)
        else:
            context.now += 2.0
        report(context, gone)
        if why == "they were preempted":
            for made in (events, 100):
                context.now += 0.5
                runs = [room_builders.make_run(name, made, 100)]
                report(context, room_builders.make_status(runs))
        context.now += 0.1
        report(context, room_builders.make_status())


@behave.when(
    "{count:d} leases expire without a report that lists their requests"
)
def expire_leases(context, count):
    for index in range(count):
        claim(context, f"unseen-{index}", prompt_tokens=100)
        context.now += 0.5
        report(context, room_builders.make_status())
    context.now += 1.0
    report(context, room_builders.make_status())


@behave.when(
    "urgent claims for {tokens:d} tokens come {per_s:d} times a second for"
    " {seconds:d} s"
)
def claim_urgent(context, tokens, per_s, seconds):
    for index in range(per_s * seconds):
        context.now += 1 / per_s
        name = f"urgent-{index}"
        claim(context, name, prompt_tokens=tokens, urgency=1)
        context.book.give_back(name)


@behave.when("{count:d} claims for 1 token and any number of slots come")
def claim_many(context, count):
    for index in range(count):
        claim(context, str(index), prompt_tokens=1, most_tokens=1, slots=10**9)


@behave.then("only {name} is granted")
def check_only(context, name):
    granted = [key for key in context.answers if context.answers[key][0]]
    assert granted == [name], context.answers


@behave.then("{name} is granted")
def check_granted(context, name):
    answer = context.answer if name == "it" else context.answers[name]
    assert answer.is_granted, answer


@behave.then("{name} is refused")
def check_refused(context, name):
    assert not context.answers[name].is_granted, context.answers


@behave.then("it is refused as {reason}")
def check_reason(context, reason):
    assert context.answer == (False, None, reason), context.answer


@behave.then(
    "{name} is refused and room is expected in {least:d} to {most:d} ms"
)
def check_opening(context, name, least, most):
    answer = context.answers[name]
    assert not answer.is_granted
    opens_in_ms = (answer.opens_at - context.now) * 1000
    assert least <= opens_in_ms <= most, opens_in_ms


@behave.then("all are granted with {leases:d} lease")
@behave.then("all are granted with {leases:d} leases")
def check_all(context, leases):
    assert all(answer.is_granted for answer in context.all_answers)
    assert context.book.count_leases() == leases


@behave.then(
    "there are {leases:d} leases and a peak of {least:d} to {most:d} tokens"
)
def check_leases(context, leases, least, most):
    assert context.book.count_leases() == leases, context.book.count_leases()
    peak = context.book.find_peak()
    assert least <= peak <= most, peak


@behave.then("there are at most {most:d} leases")
def check_most(context, most):
    assert 0 < context.book.count_leases() <= most


@behave.then("the mean length is {least:d} to {most:d} tokens")
def check_mean(context, least, most):
    mean = context.book.find_distribution(5).find_mean()
    assert least <= mean <= most, mean


@behave.then("{least:d} to {most:d} tokens are reserved against others")
def check_reserved(context, least, most):
    found = context.book.find_reserved(5, context.now)
    assert least <= found <= most, found


@behave.then("nothing is reserved against urgent ones")
def check_urgent(context):
    assert context.book.find_reserved(1, context.now) == 0


@behave.then("a claim is refused as reserved unless it is urgent")
def check_claims(context):
    assert claim(context, "a").refusal == room_book.RESERVED
    assert claim(context, "b", urgency=1).is_granted


@behave.then("after {seconds:d} s nothing is reserved")
def check_released(context, seconds):
    found = context.book.find_reserved(5, context.now + seconds)
    assert found == 0, found


@behave.then("nothing is reserved and no length is known")
def check_reset(context):
    assert context.book.find_reserved(9, context.now) == 0
    assert context.book.find_distribution(5).count_ended() == 0
