"""Steps for how busy a scheduler is, on a scripted clock."""

import behave

from gentianpoint_core import loop_load

_TURN_S = 0.02


class Scheduler:
    """Works and waits on a clock of its own."""

    def __init__(self):
        self.now = 0.0
        self.load = loop_load.LoopLoad(lambda: self.now)
        self.load.start()
        self.busy_share = 0.0

    def turn(self, work_s, wait_s):
        """Run tasks and wait for input."""
        self.now += work_s
        self.load.before_io_wait(wait_s)
        self.now += wait_s
        self.load.after_io_wait(wait_s)
        self.busy_share = self.load.busy_share

    def run(self, words, for_s):
        """Be busy or idle for a time."""
        for _ in range(round(for_s / _TURN_S)):
            is_busy = words == "busy"
            self.turn(_TURN_S * is_busy, _TURN_S * (not is_busy))


@behave.given("a scheduler that is {words}")
def make_scheduler(context, words):
    context.scheduler = Scheduler()
    context.scheduler.run(words, 5)


@behave.when(
    "it works for {work:d} ms and waits for {wait:d} ms, again and again for"
    " {for_s:d} s"
)
def work_again(context, work, wait, for_s):
    ends_at = context.scheduler.now + for_s
    while context.scheduler.now < ends_at:
        context.scheduler.turn(work / 1000, wait / 1000)


@behave.when("it is {words} for {ms:d} ms")
def change_work(context, words, ms):
    context.scheduler.run(words, ms / 1000)


@behave.then("it counts as busy for {share:f} of the time")
def check_share(context, share):
    assert abs(context.scheduler.busy_share - share) < 0.05


@behave.then("it counts as busy for less than {share:f} of the time")
def check_less(context, share):
    assert context.scheduler.busy_share < share


@behave.then("it counts as busy for over {share:f} of the time")
def check_more(context, share):
    assert context.scheduler.busy_share > share
