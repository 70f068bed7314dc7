"""Reads the bodies of answers, and tells those that were broken off."""

from collections import abc
import typing

import trio

from gentianpoint_core import ports
from gentianpoint_core import standstills
from gentianpoint_core.decisions import answer_ends

__all__ = (
    "CLOSING_S",
    "AskSender",
    "ConfirmSender",
    "has_framing",
    "name_sender",
    "receive_complete",
)

CLOSING_S: typing.Final = 0.05
"""Seconds in which a process that ends has closed all its sockets. Until then
it may seem to listen."""
_SEEMS_TO_GO_ON: typing.Final = (
    answer_ends.Sender.GOES_ON,
    answer_ends.Sender.LISTENS,
)
_BODILESS_STATUSES: typing.Final = frozenset((204, 304))

_SUCCEEDED_AFTER_S: typing.Final = 0.25
"""Seconds after the end of a process from which on another one may listen at
its address."""
_WAITED_S: typing.Final = 0.001
"""Seconds that a read takes at least if it has to wait for data."""
_SURELY_WAITED_S: typing.Final = 0.05
"""Seconds that a read takes only if it has to wait, also in a busy process."""

AskSender = abc.Callable[[float], abc.Awaitable[answer_ends.Sender]]
"""Finds out what is known of an answer's sender, which was there at the given
time on trio's clock."""
ConfirmSender = abc.Callable[[], abc.Awaitable[answer_ends.Sender]]
"""Waits for news on whether the start that sent an answer goes on."""


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
    was_reset: abc.Callable[[], bool] = lambda: False,
    confirm_sender: typing.Optional[ConfirmSender] = None,
) -> abc.AsyncIterator[bytes]:
    """Yield a body; raises :class:`ports.PortError` unless it is complete.

    ``chunks`` raises if a length or chunks were not met. Once the body has
    ended, ``find_content_end`` tells what its content says,
    ``was_told_to_stop`` whether its sender may have been told to stop, and
    ``was_reset`` whether its connection was reset by then.
    ``confirm_sender`` is asked where a process listens that may not be the
    sender; without it such an answer is broken off.
    """
    open_at = trio.current_time()
    is_late = False
    if is_delimited:
        async for chunk in chunks:
            yield chunk
    else:
        with standstills.watch_standstills() as watch:
            times = _ReadTimes(watch)
            while (data := await times.read(chunks)) is not None:
                yield data
            open_at = times.open_at
            is_late = times.may_be_late()
    end = answer_ends.AnswerEnd(
        is_delimited,
        find_content_end(),
        was_told_to_stop(),
        is_late,
        was_reset=not is_delimited and was_reset(),
    )
    verdict = answer_ends.judge_end(end)
    if verdict is answer_ends.Verdict.ASK_SENDER:
        sender = await _find_sender(ask_sender, open_at)
        if sender is answer_ends.Sender.LISTENS and (
            end.is_late and confirm_sender is not None
        ):
            sender = await confirm_sender()
        # A sender that gets more of the request after its end resets late.
        end = end._replace(sender=sender, was_reset=was_reset())
        verdict = answer_ends.judge_end(end)
    if verdict is answer_ends.Verdict.BROKEN_OFF:
        raise ports.PortError(
            "end body",
            peer,
            _describe_end(end),
            took_effect=True,
            disconnected=not is_delimited,
        )


class _ReadTimes:
    """When the connection of a body was last known to be open."""

    def __init__(self, watch: standstills.StandstillWatch) -> None:
        """Begin as the head of the answer has been read."""
        self.open_at = trio.current_time()
        self._watch: typing.Final = watch
        self._read_at = self.open_at
        # True once it was left unread for so long that its end may be old.
        self._is_behind = False

    async def read(
        self, chunks: abc.AsyncIterator[bytes]
    ) -> typing.Optional[bytes]:
        """Return the next chunk, None at the end.

        A read that waits shows that the connection was open until its data
        came, unless this process stood still. Others return what may have
        come at any time since the last one.
        """
        began_at = trio.current_time()
        self._is_behind |= began_at - self._read_at > _SUCCEEDED_AFTER_S
        chunk = await anext(chunks, None)
        self._read_at = trio.current_time()
        least_s = _SURELY_WAITED_S if self._is_behind else _WAITED_S
        has_waited = self._read_at - began_at >= least_s
        if has_waited and not self._watch.has_stood_still_since(began_at):
            self.open_at = self._read_at
            self._is_behind = False
        return chunk

    def may_be_late(self) -> bool:
        """Tell whether the end may have come long before it was read."""
        return self._is_behind or self._watch.has_stood_still_since(
            self.open_at
        )


def name_sender(is_listening: typing.Optional[bool]) -> answer_ends.Sender:
    """Return what is known of a sender by a new connection to its address.

    ``is_listening`` is None if nothing answers.
    """
    if is_listening is None:
        return answer_ends.Sender.UNKNOWN
    if is_listening:
        return answer_ends.Sender.LISTENS
    return answer_ends.Sender.ENDED


async def _find_sender(
    ask_sender: AskSender, open_at: float
) -> answer_ends.Sender:
    """Find out whether a sender goes on after the end of its answer."""
    sender = await ask_sender(open_at)
    if sender in _SEEMS_TO_GO_ON:
        await trio.sleep(CLOSING_S)
        sender = await ask_sender(open_at)
    return sender


def _describe_end(end: answer_ends.AnswerEnd) -> str:
    words = [
        f"content end {end.content.name.lower()}",
        f"sender {end.sender.name.lower()}",
    ]
    if end.was_told_to_stop:
        words.append("told to stop")
    if end.was_reset:
        words.append("connection reset")
    if end.is_late:
        words.append("read late")
    return ", ".join(words)
