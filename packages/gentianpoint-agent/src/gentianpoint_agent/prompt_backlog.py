"""How much of the prompts at an engine is still to be read.

The load it answers: several entries see an engine that has just started, or
has emptied, and each sends it what comes next. An entry knows its own prompts
only, so all of them go on to send while the engine reads one prompt after the
other, and first events come seconds late. The engine's own report shows what
all entries together have sent.
"""

from gentianpoint_core import ports

__all__ = ("estimate_unread",)


def estimate_unread(status: ports.EngineStatus) -> int:
    """Return the prompt tokens that an engine has still to read.

    Memory is taken for a whole prompt as soon as its reading begins, so what
    is in use beyond copies and what generates is the prompt under way. It
    counts whole, since reports do not tell how far it is. Of the prompts that
    wait only the first one's length is told; the others count as much.
    """
    waiting = status.waiting * status.next_prompt_tokens
    if status.running <= status.generating:
        return waiting
    reading = (
        status.used_tokens - status.copy_tokens - status.generating_tokens
    )
    return waiting + max(0, reading)
