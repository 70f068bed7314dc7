"""Tells whether a connection was reset, whichever call was told of it.

The kernel reports a reset as an error of one call. Where that is a write, the
reads after it return what had arrived before, and then the same end as that of
a connection that its peer has closed in order.
"""

import select
import typing

__all__ = ("DescribedSocket", "was_reset")

_BOTH_SIDES_ENDED: typing.Final = select.POLLHUP | select.POLLERR


class DescribedSocket(typing.Protocol):
    """A socket, of whichever library."""

    def fileno(self) -> int:
        """Return its descriptor, -1 once this side has closed it."""


def was_reset(sock: DescribedSocket) -> bool:
    """Tell whether a connection was reset, or closed by this side.

    A peer that has ended only its sending side may still read, and has not
    reset the connection.
    """
    descriptor = sock.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return any(events & _BOTH_SIDES_ENDED for _, events in poll.poll(0))
