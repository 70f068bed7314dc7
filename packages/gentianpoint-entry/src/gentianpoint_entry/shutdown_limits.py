"""Waits that end with an answer when the time of a shutdown is over.

What still waits then would be cancelled with its connection, and a caller
that has no answer yet could not tell whether its request ran.
"""

from collections import abc
import contextlib
import typing

import trio

from gentianpoint_core import errors

__all__ = ("ShutdownLimits",)


class ShutdownLimits:
    """The waits of calls for anything but the next message of an agent."""

    def __init__(self) -> None:
        """Limit nothing until :meth:`cancel_waits`."""
        self._scopes: typing.Final[set[trio.CancelScope]] = set()
        self.is_expired = False

    @contextlib.contextmanager
    def limit_wait(
        self, make_error: abc.Callable[[], errors.CallError]
    ) -> abc.Iterator[None]:
        """Raise the error of ``make_error`` if the wait has to end."""
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
        """End all waits, and begin none any more."""
        self.is_expired = True
        for scope in self._scopes:
            scope.cancel()
