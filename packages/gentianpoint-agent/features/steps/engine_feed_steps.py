"""Steps for the pace that agents report."""

import behave
import trio
import trio.testing

from gentianpoint_agent import engine_feed
from gentianpoint_core import ports


class GrowingEngine(ports.EngineStatusSource):
    """An engine with one generation that gains a token at each step."""

    def __init__(self, step_s):
        self.step_s = step_s
        self.born_ms = 1
        self.is_out = False

    async def read_status(self):
        """Return the status at this time."""
        if self.is_out:
            raise ports.PortError("poll", "engine", "out", took_effect=False)
        tokens = 3000 + int(trio.current_time() / self.step_s)
        return ports.EngineStatus(
            running=1,
            waiting=0,
            used_tokens=tokens,
            total_tokens=27_000,
            copy_tokens=0,
            next_prompt_tokens=0,
            generating=1,
            generating_tokens=tokens,
            born_ms=self.born_ms,
            is_leaving=False,
            leaves_in_ms=None,
            runs=(ports.EngineRun("run", tokens, tokens // 4, 5),),
        )

    async def read_identity(self):
        """Return the name of the engine's start."""
        return "engine-1"


@behave.given("an engine whose generation grows by a token each {ms:d} ms")
def make_engine(context, ms):
    context.engine = GrowingEngine(ms / 1000)
    context.acts = []


@behave.when("its agent polls it for {for_s:d} s")
def poll(context, for_s):
    async def act():
        await trio.sleep(for_s)

    context.acts.append(act)


@behave.when("the engine restarts, and is polled twice")
def restart(context):
    async def act():
        context.engine.born_ms = 2
        await trio.sleep(2 * engine_feed.POLL_INTERVAL_S)

    context.acts.append(act)


@behave.when("the engine does not answer for {for_s:d} s")
def fail(context, for_s):
    async def act():
        context.engine.is_out = True
        await trio.sleep(for_s)

    context.acts.append(act)


@behave.then("the agent reports steps of {least:d} to {most:d} us")
def check_steps(context, least, most):
    async def run():
        feed = engine_feed.EngineFeed(context.engine, lambda born_ms: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed.watch)
            for act in context.acts:
                await act()
            nursery.cancel_scope.cancel()
        # Polls take no time on this clock, so this reads the last status.
        return feed._make_message(feed._status)

    message = trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    assert least <= message["step_us"] <= most, message
    assert message["prefill_us_per_k"] == 0, message
