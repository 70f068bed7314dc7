"""Preparing and cancelling generations by their identifiers.

An identifier is prepared before a non-repeatable request is started. Any
entry can cancel a generation by its identifier.
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

_CANCEL_TIMEOUT_S: typing.Final = 10
"""Time limit of a cancellation, in seconds."""


async def prepare_generation(
    dispatcher: dispatch.Dispatcher, request: call_requests.CallRequest
) -> str:
    """Return a new identifier with which one generation can be started.

    Raises :class:`errors.CallError` with ``not_run`` when no agent issues
    one.
    """
    call = calls.Call(dispatcher, request)
    try:
        with dispatcher.shutdown.limit_wait(_make_shutdown_error):
            while not call.generation:
                await call.prepare_at_any_agent()
    finally:
        dispatcher.forget_call(call)
    return call.generation


def _make_shutdown_error() -> errors.CallError:
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

    Cancelling is idempotent, so it is retried for some seconds after a lost
    link. Raises :class:`errors.CallError` with ``outcome_unknown`` when the
    home does not answer in time or the entry shuts down first; the
    generation may then still run.
    """
    marker = dispatch.OpenCall()
    dispatcher.add_call(marker, request)
    try:
        with dispatcher.shutdown.limit_wait(_make_cancel_error):
            with trio.move_on_after(_CANCEL_TIMEOUT_S):
                return await _cancel(dispatcher, request)
        raise _make_cancel_error("its home does not answer; cancel it again")
    finally:
        dispatcher.forget_call(marker)


def _make_cancel_error(
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
            link = await dispatcher.wait_for_home(request.generation)
            answer = await _ask_to_cancel(link, request)
        except dispatch.HomeLostError as error:
            raise _make_cancel_error(str(error), 0) from error
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
