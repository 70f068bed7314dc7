"""What simulated engines report to their agents."""

import trio

from bench.replay import engine
from gentianpoint_core import ports

__all__ = ("make_status",)


def make_status(item: engine.Engine) -> ports.EngineStatus:
    """Return the present status of an engine."""
    runs = tuple(
        ports.EngineRun(
            work.generation.request_id,
            work.tokens,
            work.made_tokens // item.costs.event_tokens,
            work.urgency,
        )
        for work in item.batch
        if work.is_running and work.made_tokens >= item.costs.event_tokens
    )
    is_leaving = item.leaves_at < 1e9
    left_s = max(0.0, item.leaves_at - trio.current_time())
    first = next(iter(item.waiting), None)
    return ports.EngineStatus(
        running=len(item.batch),
        waiting=len(item.waiting),
        used_tokens=item.used_tokens,
        total_tokens=item.costs.memory_tokens,
        copy_tokens=sum(copy.tokens for copy in item.copies.values()),
        next_prompt_tokens=0 if first is None else first.all_tokens,
        generating=len(runs),
        generating_tokens=sum(run.tokens for run in runs),
        born_ms=1,
        is_leaving=is_leaving,
        leaves_in_ms=round(left_s * 1000) if is_leaving else None,
        runs=runs,
    )
