"""Steps for parts of prompts that end targets."""

import behave
import part_builders
import target_ends_steps
import trio


@behave.when(
    "streams with {parts:d} part that ends targets come for {seconds:d}"
    " seconds beside harmless ones"
)
def send_parts(context, parts, seconds):
    async def act(fleet):
        context.load = part_builders.PartLoad(fleet, parts)
        await context.load.run(seconds)

    target_ends_steps.run_fleet(context, act)


def has_fatal(context, item):
    return not context.fleet.park.fatal_parts.isdisjoint(item.parts)


def find_nth_end(context, count):
    ends = sorted(item.at for item in context.fleet.park.ends)
    return ends[min(count, len(ends)) - 1]


@behave.then(
    "from {seconds:d} seconds after the fifth end on, at most {most:d} more"
    " with it reach a target"
)
def check_late(context, seconds, most):
    fifth_at = find_nth_end(context, 5)
    late = [
        item
        for item in context.fleet.park.sends
        if has_fatal(context, item) and item.at > fifth_at + seconds
    ]
    ends = len(context.fleet.park.ends)
    assert len(late) <= most, f"{len(late)} sent, {ends} ended in all"


def measure_begun(items):
    return sum(item.status == 200 for item in items) / len(items)


@behave.then(
    "harmless ones begin {share:g} times as often as in calm times from"
    " {seconds:d} seconds after it on"
)
def check_begun(context, share, seconds):
    harmless = [
        item for item in context.fleet.served if not has_fatal(context, item)
    ]
    calm_until = context.load.calm_until
    calm = [item for item in harmless if item.at < calm_until - 2]
    from_s = find_nth_end(context, 5) + seconds
    later = [item for item in harmless if item.at >= from_s]
    assert len(calm) >= 20 and len(later) >= 20, (len(calm), len(later))
    ratio = measure_begun(later) / measure_begun(calm)
    assert ratio >= share, ratio
