"""Local addresses that no two deployments of this machine share.

A product's process is told its address before it listens, so for about a
second a port that looks free is promised but not taken. Deployments of other
tests that look in that second would be promised the same one; the second
process then fails to listen, and its deployment finds a stranger at its
address, which answers 401 to each question. A UDP socket on the same number
is therefore held for as long as this process lives: only one process of the
machine can have it, and TCP does not notice it.
"""

import secrets
import socket
import typing

__all__ = ("AddressPool", "reserve_address")

_LOOPBACK: typing.Final = "127.0.0.1"
_FIRST_PORT: typing.Final = 10_000
_PORT_COUNT: typing.Final = 22_000
_TRIES_PER_PORT: typing.Final = 20


class AddressPool:
    """Addresses of a range of ports, each given out once.

    The range of :func:`reserve_address` is below the ports that the system
    gives to connections: one of those could be taken by a connection before
    the process listens.
    """

    def __init__(
        self, first_port: int = _FIRST_PORT, count: int = _PORT_COUNT
    ) -> None:
        """Give out ``count`` ports from ``first_port``."""
        self._first_port: typing.Final = first_port
        self._count: typing.Final = count
        self._held: typing.Final[list[socket.socket]] = []

    def reserve(self) -> str:
        """Return an address that is free and given to nobody else.

        Raises :class:`OSError` when no port of the range is left.
        """
        for _ in range(_TRIES_PER_PORT * self._count):
            port = self._first_port + secrets.randbelow(self._count)
            if self._hold(port):
                return f"{_LOOPBACK}:{port}"
        raise OSError("no port of the range is free")

    def _hold(self, port: int) -> bool:
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            guard.bind((_LOOPBACK, port))
            with socket.socket() as listener:
                listener.bind((_LOOPBACK, port))
        except OSError:
            guard.close()
            return False
        self._held.append(guard)
        return True

    def release_all(self) -> None:
        """Let others have the addresses of this pool."""
        for guard in self._held:
            guard.close()
        self._held.clear()


_POOL: typing.Final = AddressPool()


def reserve_address() -> str:
    """Return a local address that is this process's for its life."""
    return _POOL.reserve()
