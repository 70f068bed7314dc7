"""Steps for the prompt tokens that an engine has yet to process."""

import behave

from gentianpoint_agent import prompt_backlog
from gentianpoint_core import ports

_IDLE = ports.EngineStatus(
    running=0,
    waiting=0,
    used_tokens=0,
    total_tokens=34_000,
    copy_tokens=0,
    next_prompt_tokens=0,
    generating=0,
    generating_tokens=0,
    born_ms=0,
    is_leaving=False,
    leaves_in_ms=None,
)


@behave.given(
    "an engine with {running:d} running, {generating:d} of them generating"
)
def make_engine(context, running, generating):
    context.status = _IDLE._replace(running=running, generating=generating)


@behave.given(
    "{used:d} tokens in use, {copies:d} of them copies and {made:d} of"
    " generating streams"
)
def use_memory(context, used, copies, made):
    context.status = context.status._replace(
        used_tokens=used, copy_tokens=copies, generating_tokens=made
    )


@behave.given("{waiting:d} waiting, the first with {tokens:d} tokens")
def set_waiting(context, waiting, tokens):
    context.status = context.status._replace(
        waiting=waiting, next_prompt_tokens=tokens
    )


@behave.then("{unread:d} tokens have yet to be processed")
def check_unread(context, unread):
    assert prompt_backlog.estimate_unprocessed_tokens(context.status) == unread
