"""Reads the bodies of answers, and tells those that were broken off."""

from collections import abc
import typing

import trio

from gentianpoint_core import ports
from gentianpoint_core.decisions import answer_ends

__all__ = ("CLOSING_S", "AskSender", "has_framing", "receive_complete")

CLOSING_S: typing.Final = 0.05
"""Seconds in which a process that ends has closed all its sockets. Until then
it may seem to listen."""
_BODILESS_STATUSES: typing.Final = frozenset((204, 304))

AskSender = abc.Callable[[], abc.Awaitable[typing.Optional[bool]]]
"""Tells whether the sender of an answer listens; None if nothing answers."""


def has_framing(
    method: bytes, status: int, header_names: abc.Collection[bytes]
) -> bool:
    """Tell whether the head of an answer says where its body ends.

    ``header_names`` are in lower case. See RFC 9112, section 6.3.

    >>> has_framing(b"GET", 200, {b"content-type"})
    False
    """
    if method == b"HEAD" or status in _BODILESS_STATUSES:
        return True
    return b"content-length" in header_names or (
        b"transfer-encoding" in header_names
    )


async def receive_complete(
    chunks: abc.AsyncIterator[bytes],
    *,
    is_delimited: bool,
    ask_sender: AskSender,
    peer: str,
    find_content_end: abc.Callable[
        [], answer_ends.ContentEnd
    ] = answer_ends.find_no_content_end,
    was_told_to_stop: abc.Callable[[], bool] = lambda: False,
) -> abc.AsyncIterator[bytes]:
    """Yield a body; raises :class:`ports.PortError` unless it is complete.

    ``chunks`` raises if a length or chunks were not met. Once the body has
    ended, ``find_content_end`` tells what its content says, and
    ``was_told_to_stop`` whether its sender may have been told to stop.
    """
    async for chunk in chunks:
        yield chunk
    end = answer_ends.AnswerEnd(
        is_delimited, find_content_end(), was_told_to_stop()
    )
    verdict = answer_ends.judge_end(end)
    if verdict is answer_ends.Verdict.ASK_SENDER:
        end = end._replace(sender=await _find_sender(ask_sender))
        verdict = answer_ends.judge_end(end)
    if verdict is answer_ends.Verdict.BROKEN_OFF:
        raise ports.PortError(
            "end body",
            peer,
            f"content end {end.content.name.lower()}, sender"
            f" {end.sender.name.lower()}"
            f"{', told to stop' if end.was_told_to_stop else ''}",
            took_effect=True,
            disconnected=not is_delimited,
        )


async def _find_sender(ask_sender: AskSender) -> answer_ends.Sender:
    """Find out whether a sender goes on after the end of its answer."""
    is_listening = await ask_sender()
    if is_listening:
        await trio.sleep(CLOSING_S)
        is_listening = await ask_sender()
    if is_listening is None:
        return answer_ends.Sender.UNKNOWN
    if is_listening:
        return answer_ends.Sender.GOES_ON
    return answer_ends.Sender.ENDED
