"""Finds out whether the agent's target has ended."""

import abc
import secrets
import typing
import urllib.parse

import trio

__all__ = ("TargetWatch", "TcpTargetWatch")

_SAME_END_S: typing.Final = 1.0
"""Seconds within which all runs that break off belong to one end."""
_CONNECT_TIMEOUT_S: typing.Final = 1.0
_IDENTIFIER_BYTES: typing.Final = 6
_DEFAULT_PORTS: typing.Final = {"http": 80, "https": 443}


class TargetWatch(abc.ABC):
    """Tells the end of a target from a connection that broke off."""

    def __init__(self, target: str) -> None:
        """Watch the target of this name."""
        self._target: typing.Final = target
        self._end = ""
        self._same_end_until = 0.0

    @abc.abstractmethod
    async def check_listening(self) -> typing.Optional[bool]:
        """Tell whether a process listens at the target's address.

        Returns None if that is not certain, as when nothing answers.
        """

    async def find_end(self) -> str:
        """Return the identifier of the target's end, empty if it goes on.

        It is the same for all runs that broke off with one end.
        """
        if await self.check_listening() is not False:
            return ""
        now = trio.current_time()
        if now >= self._same_end_until:
            self._end = (
                f"{self._target}~{secrets.token_hex(_IDENTIFIER_BYTES)}"
            )
        self._same_end_until = now + _SAME_END_S
        return self._end


class TcpTargetWatch(TargetWatch):
    """Watches a target on this host by connecting to it."""

    def __init__(self, target: str, url: str) -> None:
        """Watch the target that listens at the base URL ``url``."""
        super().__init__(target)
        parts = urllib.parse.urlsplit(url)
        self._host: typing.Final = parts.hostname or ""
        self._port: typing.Final = parts.port or _DEFAULT_PORTS.get(
            parts.scheme, 0
        )

    async def check_listening(self) -> typing.Optional[bool]:
        """Open a connection and close it; see the base class."""
        with trio.move_on_after(_CONNECT_TIMEOUT_S):
            try:
                stream = await trio.open_tcp_stream(self._host, self._port)
            except OSError as error:
                return False if _is_refusal(error) else None
            await trio.aclose_forcefully(stream)
            return True
        return None


def _is_refusal(error: OSError) -> bool:
    """Tell whether a connection was refused by the host.

    Trio wraps the errors of all addresses in one, as its cause.
    """
    cause = error.__cause__
    causes: tuple[BaseException, ...] = ()
    if isinstance(cause, BaseExceptionGroup):
        causes = cause.exceptions
    elif cause is not None:
        causes = (cause,)
    return bool(causes) and all(
        isinstance(item, ConnectionRefusedError) for item in causes
    )
