"""Ends the waits of calls with an error when the shutdown time is over.

Otherwise such a wait would be cancelled with its connection, and a caller
without an answer couldn't tell whether its request ran.
"""

from collections import abc
import contextlib
import typing

import trio

from gentianpoint_core import errors

__all__ = ("ShutdownLimits",)


class ShutdownLimits:
    """Cancels the waits of calls, except for an agent's next message."""

    def __init__(self) -> None:
        """Start without a limit; :meth:`cancel_waits` sets it."""
        self._scopes: typing.Final[set[trio.CancelScope]] = set()
        self.is_expired = False

    @contextlib.contextmanager
    def limit_wait(
        self, make_error: abc.Callable[[], errors.CallError]
    ) -> abc.Iterator[None]:
        """Raise the error of ``make_error`` if the wait is cancelled."""
        if self.is_expired:
            raise make_error()
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)
        if scope.cancelled_caught:
            raise make_error()

    def cancel_waits(self) -> None:
        """Cancel all open waits, and let later ones fail at once."""
        self.is_expired = True
        for scope in self._scopes:
            scope.cancel()
