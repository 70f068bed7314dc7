"""Estimates how many prompt tokens an engine has yet to process.

Several entries may find an engine that has just started or become idle, and
each sends it new generations. An entry knows only its own prompts, so all of
them keep sending while the engine processes one prompt after the other, and
first events are seconds late. The engine's own report covers the prompts of
all entries.
"""

from gentianpoint_core import ports

__all__ = ("estimate_unprocessed_tokens",)


def estimate_unprocessed_tokens(status: ports.EngineStatus) -> int:
    """Return the number of prompt tokens that an engine has yet to process.

    The engine allocates memory for a whole prompt when it starts on it. So
    the memory in use that holds neither copies of other engines' generations
    nor streams that have produced an event belongs to the prompt in
    progress. That prompt counts in full, since reports don't state its
    progress. Of the waiting prompts only the first one's length is reported;
    the others are assumed to have the same length.
    """
    waiting = status.waiting * status.next_prompt_tokens
    if status.running <= status.generating:
        return waiting
    in_progress = (
        status.used_tokens - status.copy_tokens - status.generating_tokens
    )
    return waiting + max(0, in_progress)
