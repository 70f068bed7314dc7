"""What simulated engines report to their agents."""

import trio

from bench.replay import engine
from gentianpoint_core import ports

__all__ = ("make_status",)


def make_status(item: engine.Engine) -> ports.EngineStatus:
    """Return the present status of an engine.

    An engine works on one prompt at a time, which has its memory as a whole
    from the beginning. The other prompts of its batch wait. It lists a
    generation once that has an event.
    """
    generating = [
        work
        for work in item.batch
        if work.is_running and work.made_tokens >= item.costs.event_tokens
    ]
    reading = [work for work in item.batch if not work.is_running]
    in_progress = len(item.batch) - max(0, len(reading) - 1)
    waiting = [*reading[1:], *item.waiting]
    copy_tokens = sum(copy.tokens for copy in item.copies.values())
    generating_tokens = sum(work.tokens for work in generating)
    unfinished_tokens = sum(
        work.all_tokens
        for work in item.batch
        if work not in generating and work not in reading[1:]
    )
    is_leaving = item.leaves_at < 1e9
    left_s = max(0.0, item.leaves_at - trio.current_time())
    return ports.EngineStatus(
        running=in_progress,
        waiting=len(waiting),
        used_tokens=generating_tokens + unfinished_tokens + copy_tokens,
        total_tokens=item.costs.memory_tokens,
        copy_tokens=copy_tokens,
        next_prompt_tokens=waiting[0].all_tokens if waiting else 0,
        generating=len(generating),
        generating_tokens=generating_tokens,
        born_ms=1,
        is_leaving=is_leaving,
        leaves_in_ms=round(left_s * 1000) if is_leaving else None,
        runs=tuple(
            ports.EngineRun(
                work.generation.request_id,
                work.tokens,
                work.made_tokens // item.costs.event_tokens,
                work.urgency,
            )
            for work in generating
        ),
    )
