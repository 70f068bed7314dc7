"""Generations that were given out and not started, or are to end.

An identifier is asked for before a request that may run only once is started,
and a generation is cancelled by its identifier through any entry.
"""

import typing

from gentianpoint_core import codec
from gentianpoint_core import errors
from gentianpoint_core import peer_connections
from gentianpoint_entry import agent_links
from gentianpoint_entry import call_requests
from gentianpoint_entry import calls
from gentianpoint_entry import dispatch

__all__ = ("cancel_generation", "prepare_generation")


async def prepare_generation(
    dispatcher: dispatch.Dispatcher, request: call_requests.CallRequest
) -> str:
    """Return an identifier that a later call starts, once.

    Raises :class:`errors.CallError` with ``not_run`` when no target gives
    one out.
    """
    call = calls.Call(dispatcher, request)
    try:
        with dispatcher.shutdown.limit_wait(_make_overdue):
            while not call.generation:
                await call.prepare_somewhere()
    finally:
        dispatcher.forget_call(call)
    return call.generation


def _make_overdue() -> errors.CallError:
    return errors.CallError(
        errors.NOT_RUN,
        "this entry ends before an identifier came",
        step="prepare generation",
        retry_after_ms=dispatch.RETRY_AFTER_MS,
    )


async def cancel_generation(
    dispatcher: dispatch.Dispatcher, request: call_requests.CallRequest
) -> bool:
    """Cancel a generation; False when its home does not hold it.

    A lost link is tried again until the caller gives up: cancelling is
    idempotent. Raises :class:`errors.CallError` with ``outcome_unknown``
    when the entry ends before.
    """
    marker = dispatch.OpenCall()
    dispatcher.add_call(marker, request)
    try:
        with dispatcher.shutdown.limit_wait(_make_uncancelled):
            return await _cancel(dispatcher, request)
    finally:
        dispatcher.forget_call(marker)


def _make_uncancelled() -> errors.CallError:
    return errors.CallError(
        errors.OUTCOME_UNKNOWN,
        "this entry ends before the generation's home answers; cancel again",
        step="cancel generation",
        retry_after_ms=dispatch.RETRY_AFTER_MS,
    )


async def _cancel(
    dispatcher: dispatch.Dispatcher, request: call_requests.CallRequest
) -> bool:
    while True:
        try:
            link = await dispatcher.wait_home(request.generation)
            answer = await _ask_to_cancel(link, request)
        except dispatch.HomeLostError:
            return False
        except peer_connections.PeerConnectionError:
            continue
        if answer is not None:
            return bool(answer["known"])


async def _ask_to_cancel(
    link: agent_links.AgentLink, request: call_requests.CallRequest
) -> typing.Optional[codec.MessageMap]:
    call = link.open_call()
    try:
        await link.send(
            {
                "type": "cancel",
                "call": call.number,
                "generation": request.generation,
                "customer": request.customer,
            }
        )
        return await call.receive()
    finally:
        call.close()
