"""Steps for an entry that can't serve what comes to it."""

import behave
import busy_builders
import trio

from gentianpoint_core import option_types
from gentianpoint_entry.forwarding import saturation

_STEP_S = 0.1


class Entry:
    """An entry on a clock of its own."""

    def __init__(self):
        self.now = 100.0
        self.load = busy_builders.FixedLoad()
        self.saturation = saturation.Saturation(self.load)
        self.held_s = []

    def is_ready(self):
        """Tell what the balancer is told."""
        return not self.saturation.is_saturated(self.now)

    def connect(self, per_s, for_s):
        """Let connections come at a rate."""
        for _ in range(per_s * for_s):
            self.now += 1 / per_s
            self.took_last = self.saturation.takes_connection(self.now)

    def be_saturated(self):
        """Be saturated until it is ready again."""
        began_at = self.now
        self.load.share = 1.0
        assert not self.is_ready()
        self.load.share = 0.1
        while not self.is_ready():
            self.now += _STEP_S
        self.held_s.append(round(self.now - began_at))


@behave.given("an entry that is idle")
def make_idle(context):
    context.entry = Entry()
    assert context.entry.is_ready()


@behave.given("an entry that is saturated")
def make_saturated(context):
    make_idle(context)
    context.entry.load.share = 1.0
    assert not context.entry.is_ready()


@behave.given("an entry that was saturated until now")
def make_relieved(context):
    make_idle(context)
    context.entry.be_saturated()


@behave.when("its scheduler is busy for {share:f} of the time")
def set_share(context, share):
    context.entry.load.share = share


@behave.when("{ms:d} ms have passed")
def pass_time(context, ms):
    context.entry.now += ms / 1000


@behave.when(
    "it is saturated {count:d} more {word}, each {ms:d} ms after it is ready"
)
def saturate_again(context, count, word, ms):
    for _ in range(count):
        context.entry.now += ms / 1000
        context.entry.be_saturated()


@behave.then("it {verb} ready")
def check_ready(context, verb):
    assert context.entry.is_ready() == (verb == "is")


@behave.given(
    "an entry that is idle, to which {per_s:d} connections come a second"
)
def make_usual(context, per_s):
    make_idle(context)
    context.entry.connect(per_s, 60)


@behave.when("{per_s:d} connections come a second, for {for_s:d} s")
def connect(context, per_s, for_s):
    context.entry.connect(per_s, for_s)


@behave.then("it {verb} the last connection")
def check_takes(context, verb):
    assert context.entry.took_last == (verb == "serves")


@behave.then("it was not ready for {seconds} seconds")
def check_held(context, seconds):
    wanted = [int(word) for word in seconds.split(", ")]
    assert context.entry.held_s == wanted, context.entry.held_s


@behave.given("a server that takes no new connections")
def make_closing(context):
    context.entry = busy_builders.RunningEntry(
        takes_connection=lambda: False, is_ready=lambda: False
    )


@behave.when("{count:d} callers send a request")
def send_requests(context, count):
    context.answers = []

    async def use():
        for _ in range(count):
            context.answers.append(await call(context.entry))
        address = context.entry.addresses.ready
        context.probe = await exchange(address)

    trio.run(busy_builders.run_entry, context.entry, use)


async def call(entry):
    return await exchange(entry.addresses.callers)


async def exchange(address):
    stream = await trio.open_tcp_stream(*option_types.split_address(address))
    data = b""
    with trio.fail_after(10):
        try:
            await stream.send_all(busy_builders.REQUEST)
            async for chunk in stream:
                data += chunk
        except trio.BrokenResourceError:
            pass
    await trio.aclose_forcefully(stream)
    return data


@behave.then("no request is read")
def check_unread(context):
    assert context.entry.served == 0


@behave.then("all callers see a connection that ends without an answer")
def check_no_answer(context):
    assert not any(context.answers), context.answers


@behave.then("the balancer still gets an answer")
def check_probe(context):
    assert context.probe.startswith(b"HTTP/1.1 503 "), context.probe
