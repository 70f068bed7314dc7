"""Generations that were given out and not started, or are to end.

An identifier is asked for before a request that may run only once is started,
and a generation is cancelled by its identifier through any entry.
"""

import typing

import trio

from gentianpoint_core import codec
from gentianpoint_core import errors
from gentianpoint_core import peer_connections
from gentianpoint_entry import agent_links
from gentianpoint_entry import call_requests
from gentianpoint_entry import calls
from gentianpoint_entry import dispatch

__all__ = ("cancel_generation", "prepare_generation")

_CANCEL_WITHIN_S: typing.Final = 10


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

    A lost link is tried again for some seconds: cancelling is idempotent.
    Raises :class:`errors.CallError` with ``outcome_unknown`` when the home
    does not answer, or the entry ends before it does: it may run on.
    """
    marker = dispatch.OpenCall()
    dispatcher.add_call(marker, request)
    try:
        with dispatcher.shutdown.limit_wait(_make_uncancelled):
            with trio.move_on_after(_CANCEL_WITHIN_S):
                return await _cancel(dispatcher, request)
        raise _make_uncancelled("its home does not answer; cancel it again")
    finally:
        dispatcher.forget_call(marker)


def _make_uncancelled(
    reason: str = "this entry ends before its home answers; cancel it again",
    retry_after_ms: int = dispatch.RETRY_AFTER_MS,
) -> errors.CallError:
    return errors.CallError(
        errors.OUTCOME_UNKNOWN,
        reason,
        step="cancel generation",
        retry_after_ms=retry_after_ms,
    )


async def _cancel(
    dispatcher: dispatch.Dispatcher, request: call_requests.CallRequest
) -> bool:
    while True:
        try:
            link = await dispatcher.wait_home(request.generation)
            answer = await _ask_to_cancel(link, request)
        except dispatch.HomeLostError as error:
            raise _make_uncancelled(str(error), 0) from error
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
